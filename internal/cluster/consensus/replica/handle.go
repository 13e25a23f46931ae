package replica

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"

	"mintspring/internal/cluster/consensus"
	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/lease"
)

var errRemoveGeneration = errors.New("a replica is removed whatever its generation, and this message names one")

// handleReceived handles a datagram and all others that are already queued, so that their updates share one sync.
func (r *Replica) handleReceived(d datagram) {
	for {
		r.handleDatagram(d)
		select {
		case d = <-r.received:
		default:
			return
		}
	}
}

// handleDatagram handles a datagram, and drops it if it cannot be decoded.
func (r *Replica) handleDatagram(d datagram) {
	switch d.payload[0] {
	case kindConsensus:
		_ = r.core.Step(d.payload[1:]) // Step has dropped the message if it returns an error
	case kindFragment:
		if message := r.assembler.add(d.from, d.payload); message != nil {
			_ = r.core.Step(message) // as above
		}
	case kindCommand:
		r.handleCommand(d)
	case kindReplaceReplica:
		r.handleReplaceReplica(d)
	case kindChangeMembership:
		r.handleChangeMembership(d)
	}
}

func (r *Replica) handleCommand(d datagram) {
	var m commandMessage
	if decodeDatagram(d.payload, &m) != nil {
		return
	}
	if len(r.pending) > maxPendingCommands {
		clear(r.pending) // by now their clients have timed out and retried
	}
	r.lastRequestID++
	r.pending[r.lastRequestID] = pendingCommand{d.from, m.RequestID, uint64(m.Command.Process.Incarnation)}
	if r.core.Propose(r.lastRequestID, m.Command) != nil {
		delete(r.pending, r.lastRequestID) // no leader is known; the client times out and retries with another replica
	}
}

func (r *Replica) handleReplaceReplica(d datagram) {
	var id consensus.ReplicaID
	if decodeDatagram(d.payload, &id) != nil || !r.core.IsLeader() {
		return
	}
	r.logProposal(id, "replace", r.core.ReplaceReplica(id))
}

func (r *Replica) handleChangeMembership(d datagram) {
	var m membershipMessage
	if decodeDatagram(d.payload, &m) != nil || !r.core.IsLeader() {
		return
	}
	if m.Remove {
		err := checkRemoval(m.ID)
		if err == nil {
			err = r.core.RemoveReplica(m.ID.Number())
		}
		r.logProposal(m.ID, "remove", err)
		return
	}
	r.logProposal(m.ID, "add", r.core.AddReplica(m.ID))
}

// checkRemoval returns an error if a replica to remove has a generation. Its number did not fit into the ID then, which an earlier version
// of the client does not check.
func checkRemoval(id consensus.ReplicaID) error {
	if id.Generation() != 0 {
		return errRemoveGeneration
	}
	return nil
}

// logProposal logs that a membership change was proposed, or why it was rejected.
func (r *Replica) logProposal(id consensus.ReplicaID, change string, err error) {
	log := r.log.WithFields(logrus.Fields{"change": change, "target": id.Number(), "generation": id.Generation()})
	if err != nil {
		log.WithError(err).Warn("membership change rejected")
		return
	}
	log.Info("membership change proposed")
}

// processUpdates takes updates from the core until there are no more. It makes each one durable, and then sends the messages and results that depend
// on it. Afterwards it stores a snapshot if one is due.
func (r *Replica) processUpdates() error {
	for {
		u, ok := r.core.Ready()
		if !ok {
			break
		}
		if err := r.save(u); err != nil {
			return err
		}
		messages, responses, err := r.core.Advance(r.clock.Now())
		if err != nil {
			return err
		}
		for _, m := range messages {
			r.sendMessage(m)
		}
		for _, response := range responses {
			r.sendResult(response.RequestID, response.Result)
		}
	}
	u, ok, err := r.core.Compact()
	if err != nil || !ok {
		return err
	}
	return r.save(u)
}

// save makes an update durable. Its errors wrap ErrStorage.
func (r *Replica) save(u storage.Update) error {
	if err := r.store.Save(u); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	return nil
}

// sendMessage sends a message to another replica. It drops the message on any error, which the protocol handles like a lost datagram.
func (r *Replica) sendMessage(m *raftpb.Message) {
	number := consensus.ReplicaID(m.GetTo()).Number()
	if number < 1 || number > len(r.peerAddrs) {
		return // no address is configured for the replica
	}
	b, err := consensus.EncodeMessage(m)
	if err != nil {
		return
	}
	if len(b) >= maxDatagramSize {
		r.sendFragments(b, r.peerAddrs[number-1])
		return
	}
	r.send(append([]byte{kindConsensus}, b...), r.peerAddrs[number-1])
}

// sendResult sends the result of a command to the client that sent the command. It does nothing if the client is no longer known.
func (r *Replica) sendResult(requestID uint64, result lease.Result) {
	command, known := r.pending[requestID]
	if !known {
		return
	}
	delete(r.pending, requestID)
	b, err := encodeDatagram(kindResult, resultMessage{RequestID: command.clientRequestID, Incarnation: command.clientIncarnation, Result: result})
	if err != nil {
		return
	}
	r.send(b, command.clientAddr)
}

func (r *Replica) send(b []byte, to netip.AddrPort) {
	_, _ = r.conn.WriteToUDPAddrPort(b, to) // an error is handled like a lost datagram
}
