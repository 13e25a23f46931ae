package node

import (
	"fmt"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
)

// snapshotPolicy is a policy that gives out what it has learned, and takes in what was learned before.
type snapshotPolicy interface {
	Export(now float64, into *fleet.Snapshot)
	Restore(now float64, from *fleet.Snapshot)
}

// takeSnapshot copies what the policy has learned, by way of raw. Encoding and writing it take longer and are not done on the loop.
func (n *Node) takeSnapshot(now float64, policy snapshotPolicy, trust snapshot.Config, raw *fleet.Snapshot) *snapshot.State {
	policy.Export(now, raw)
	return snapshot.New(now, trust, raw, func(id fleet.ServerID) string { return n.servers[id].entry.ID })
}

// restoreSnapshot gives the policy a snapshot, if it is younger than the one before: a successor has the message of its predecessor, the
// file of some time before that, and the one that the predecessor writes at its end. What belongs to no server, such as counts of keys,
// is restored once only, for it would add up. What belongs to a server of which this process has heard counts the more the younger it
// is (decide.Node.Restore).
func (n *Node) restoreSnapshot(now float64, policy snapshotPolicy, state *snapshot.State, trust snapshot.Config) {
	if state.TakenAt <= n.restoredAt {
		return
	}
	restored, verdict := state.Restore(now, trust, n.currentServers(), n.serverTable.SlotByID)
	if n.restoredAt > 0 {
		restored.Trust = 0
	}
	n.restoredAt = state.TakenAt
	policy.Restore(now, &restored)
	log := n.log.WithField("trust", fmt.Sprintf("%.2f", verdict.Global)).
		WithField("servers", len(verdict.TrustedServers())).
		WithField("age_s", int((now-state.TakenAt)/1000))
	if len(verdict.Reasons) > 0 {
		log = log.WithField("reasons", verdict.Reasons)
	}
	log.Info("restored a snapshot")
}

func (n *Node) currentServers() []snapshot.CurrentServer {
	var servers []snapshot.CurrentServer
	for id, s := range n.servers {
		servers = append(servers, snapshot.CurrentServer{
			Name:      s.entry.ID,
			StartedAt: s.started,
			Ready:     n.serverTable.State(fleet.ServerID(id)) == fleet.Ready,
		})
	}
	return servers
}

// listReceived restores a pending snapshot, now that the servers are known.
func (s *snapshotStore) listReceived(now float64) {
	s.listReady = true
	s.restorePending(now)
}

func (s *snapshotStore) restorePending(now float64) {
	if s.listReady && s.pending != nil {
		s.node.restoreSnapshot(now, s.policy, s.pending, s.trust)
		s.pending = nil
	}
}

// snapshotRequest asks the loop for a snapshot.
type snapshotRequest struct {
	store *snapshotStore
	reply chan *snapshot.State // has room for it
}

func (e snapshotRequest) handle(n *Node, now float64) {
	start := time.Now()
	state := n.takeSnapshot(now, e.store.policy, e.store.trust, &e.store.reusedBuffer)
	n.log.WithField("pause", time.Since(start)).Debug("snapshot taken")
	e.reply <- state
}

// peerSnapshotRequest asks the loop for a snapshot for another node. The reply is nil where this one takes none.
type peerSnapshotRequest struct{ reply chan *snapshot.State }

func (e peerSnapshotRequest) handle(n *Node, now float64) {
	if n.snapshots == nil {
		e.reply <- nil
		return
	}
	snapshotRequest{n.snapshots, e.reply}.handle(n, now)
}

// snapshotFound: a snapshot has come from the directory, once another process had released it, or from another node.
type snapshotFound struct {
	store *snapshotStore
	state *snapshot.State
}

func (e snapshotFound) handle(_ *Node, now float64) {
	e.store.pending = e.state
	e.store.restorePending(now)
}
