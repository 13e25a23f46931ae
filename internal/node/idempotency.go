package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"syscall"
	"time"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/replica"
	"mintspring/internal/node/exchange"
)

// bindRetryInterval is the interval at which the replica tries to bind an address that the predecessor still holds. A claim
// made before the address is bound waits for the replica until the claim's deadline.
const bindRetryInterval = 10 * time.Millisecond

// errNoReplica is a reply on the admin port. Operators' scripts match its text, which uses the words of the admin commands.
var errNoReplica = errors.New("this node takes part in no book: its operator's file has no [book], or the process before has its place")

// startIdempotency starts the node's replica of the idempotency records, if the operator's file configures one.
func (n *Node) startIdempotency(config *Config) error {
	if config.Operator == nil || config.Operator.Idempotency == nil {
		return nil
	}
	section := config.Operator.Idempotency
	number := config.Deployment.NodeIndex + 1
	if section.MemberNumber > 0 {
		number = section.MemberNumber
	}
	if number < 1 || number > len(section.Members) {
		return fmt.Errorf("idempotency: this node's number, %d, is not among %d members", number, len(section.Members))
	}
	n.idempotency = &claimManager{
		node:       n,
		settings:   section,
		claims:     map[uint64]*claim{},
		byExchange: map[*exchange.Exchange]*claim{},
	}
	replicaConfig := section.ReplicaConfig(idempotency.MemberID(number - 1))
	replicaConfig.Core.Seed = n.seed
	replicaConfig.Core.Incarnation = cluster.NewIncarnation(n.clock.Now(), n.random())
	replicaConfig.Snapshot = n.snapshotForPeer
	err := n.startReplica(&replicaConfig)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	n.log.WithError(err).Info("idempotency replica address in use, waiting for the predecessor to release it")
	go n.retryReplica(&replicaConfig)
	return nil
}

// replicaStopTimeout is how long a replica that is being replaced waits for its claims to end.
const replicaStopTimeout = 100 * time.Millisecond

func (n *Node) startReplica(config *replica.Config) error {
	r, err := replica.Start(*config, n.clock, n.log.Logger, func(result idempotency.Result) { n.inbox.post(replicaResult{result}) })
	if err != nil {
		return err
	}
	n.inbox.post(replicaStarted{r})
	if isSystemError(r.DataDirError()) {
		go n.reopenDataDir(config, r)
	}
	return nil
}

// reopenDataDir restarts the replica once its data directory can be opened: a disk may be full for a moment. Until then the current
// replica stores no records and only queries the others. reopenDataDir returns when the node stops.
func (n *Node) reopenDataDir(config *replica.Config, current *replica.Replica) {
	for backoff := minReplicaBackoff; ; backoff = min(2*backoff, maxReplicaBackoff) {
		select {
		case <-n.quit:
			return
		case <-time.After(backoff):
		}
		if config.CheckDataDir() == nil {
			break
		}
	}
	if stopped, err := onLoop(n, func(float64) (bool, error) { return n.idempotency.closed, nil }); err != nil || stopped {
		return
	}
	current.Stop(replicaStopTimeout)
	if err := n.startReplica(config); err != nil {
		n.log.WithError(err).Error("continuing without idempotency records")
		return
	}
	n.log.Info("the data directory of the idempotency records works now")
}

// retryReplica starts the replica once the predecessor has released its address. It returns when the node stops.
func (n *Node) retryReplica(config *replica.Config) {
	err := n.retryWhileAddressInUse(bindRetryInterval, func() error { return n.startReplica(config) })
	if err != nil {
		n.log.WithError(err).Error("continuing without idempotency records")
	}
}

// replicaStarted is the event that the replica of the idempotency records has started.
type replicaStarted struct{ replica *replica.Replica }

func (e replicaStarted) handle(n *Node, _ float64) {
	m := n.idempotency
	m.replica = e.replica
	for _, id := range m.claimIDs() { // requests that arrived before the replica started
		if c := m.claims[id]; c.phase == claiming {
			m.replica.Claim(c.id, c.key, c.options, c.replicaDeadline)
		}
	}
	if s := n.snapshots; s != nil && s.startedEmpty && n.restoredSnapshotTime == 0 {
		go s.fetchFromReplica(e.replica) // returns within fetchTimeout
	}
}

// replicaResult is the event that the replica has the result of a claim or of a settlement.
type replicaResult struct{ result idempotency.Result }

func (e replicaResult) handle(n *Node, now float64) { n.idempotency.handleResult(now, &e.result) }

// stopIdempotency stops the replica once all claims are answered and replicated, or at the deadline. It does not wait for client
// connections to close: until the replica has stopped, the successor has no replica and rejects requests that need a claim.
func (n *Node) stopIdempotency(deadline time.Time) {
	if n.idempotency == nil {
		return
	}
	r, err := onLoop(n, func(float64) (*replica.Replica, error) {
		n.idempotency.closed = true
		return n.idempotency.replica, nil
	})
	if err != nil {
		n.log.WithError(err).Warn("cannot stop the idempotency replica")
	}
	if r != nil {
		r.Stop(time.Until(deadline))
	}
}

// IdempotencyStatus returns the status of this replica of the idempotency records, as JSON.
func (n *Node) IdempotencyStatus() (string, error) {
	r, err := onLoop(n, func(float64) (*replica.Replica, error) {
		if n.idempotency == nil || n.idempotency.replica == nil {
			return nil, errNoReplica
		}
		return n.idempotency.replica, nil
	})
	if err != nil {
		return "", err
	}
	status, err := r.Status()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(status)
	return string(text), err
}
