package node

import (
	"fmt"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
)

// snapshotPolicy is a policy that can export and restore its learned state.
type snapshotPolicy interface {
	Export(now float64, into *fleet.Snapshot)
	Restore(now float64, from *fleet.Snapshot)
}

// takeSnapshot copies the learned state of the policy, using exported as a buffer. Encoding and writing the copy take longer and are not
// done on the loop.
func (n *Node) takeSnapshot(now float64, policy snapshotPolicy, config snapshot.Config, exported *fleet.Snapshot) *snapshot.State {
	policy.Export(now, exported)
	return snapshot.New(now, config, exported, func(id fleet.ServerID) string { return n.servers[id].entry.ID })
}

// restoreSnapshot restores a snapshot into the policy if it is newer than the last restored one: a successor gets the state transfer of its
// predecessor, an older file, and the file that the predecessor writes at its end. State that belongs to no server, such as key counts, is
// restored only once, since it would add up. State of a server from which this process has had responses is weighted by its age
// (decide.Node.Restore).
func (n *Node) restoreSnapshot(now float64, policy snapshotPolicy, state *snapshot.State, config snapshot.Config) {
	if state.TakenAt <= n.restoredSnapshotTime {
		return
	}
	restored, trust := state.Restore(now, config, n.currentServers(), n.serverTable.SlotByID)
	if n.restoredSnapshotTime > 0 {
		restored.Trust = 0
	}
	n.restoredSnapshotTime = state.TakenAt
	policy.Restore(now, &restored)
	log := n.log.WithField("trust", fmt.Sprintf("%.2f", trust.Global)).
		WithField("servers", len(trust.TrustedServers())).
		WithField("age_s", int((now-state.TakenAt)/1000))
	if len(trust.Reasons) > 0 {
		log = log.WithField("reasons", trust.Reasons)
	}
	log.Info("restored a snapshot")
}

func (n *Node) currentServers() []snapshot.CurrentServer {
	var servers []snapshot.CurrentServer
	for id, s := range n.servers {
		servers = append(servers, snapshot.CurrentServer{
			Name:      s.entry.ID,
			StartedAt: s.startedAt,
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
		s.node.restoreSnapshot(now, s.policy, s.pending, s.config)
		s.pending = nil
	}
}

// snapshotRequest is an event that asks the loop for a snapshot.
type snapshotRequest struct {
	store *snapshotStore
	reply chan *snapshot.State // buffered
}

func (e snapshotRequest) handle(n *Node, now float64) {
	start := time.Now()
	state := n.takeSnapshot(now, e.store.policy, e.store.config, &e.store.reusedBuffer)
	n.log.WithField("pause", time.Since(start)).Debug("snapshot taken")
	e.reply <- state
}

// peerSnapshotRequest is an event that asks the loop for a snapshot for another node. The reply is nil if this node takes no snapshots.
type peerSnapshotRequest struct{ reply chan *snapshot.State }

func (e peerSnapshotRequest) handle(n *Node, now float64) {
	if n.snapshots == nil {
		e.reply <- nil
		return
	}
	snapshotRequest{n.snapshots, e.reply}.handle(n, now)
}

// snapshotFound is the event that a snapshot was read from the directory, after another process had released the directory, or came from
// another node.
type snapshotFound struct {
	store *snapshotStore
	state *snapshot.State
}

func (e snapshotFound) handle(_ *Node, now float64) {
	e.store.pending = e.state
	e.store.restorePending(now)
}
