package consensus

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/lease"
)

// newInitialSnapshot returns the snapshot that every initial voter starts from. All of them have to create identical snapshots.
func newInitialSnapshot(voters []ReplicaID) *pb.Snapshot {
	ids := make([]uint64, 0, len(voters))
	for _, v := range voters {
		ids = append(ids, uint64(v))
	}
	return &pb.Snapshot{
		Data:     lease.NewState().Encode(),
		Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: ids}, Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
}

// restore loads durable state into memory: a snapshot, the hard state and log entries, each of which may be absent.
func (c *Core) restore(snapshot *pb.Snapshot, hardState *pb.HardState, entries []*pb.Entry) error {
	if snapshot != nil {
		if err := c.restoreSnapshot(snapshot); err != nil {
			return err
		}
	}
	if hardState != nil {
		if err := c.raftStorage.SetHardState(hardState); err != nil {
			return fmt.Errorf("restore hard state: %w", err)
		}
	}
	if err := c.raftStorage.Append(entries); err != nil {
		return fmt.Errorf("restore log entries: %w", err)
	}
	return nil
}

func (c *Core) restoreSnapshot(snapshot *pb.Snapshot) error {
	if err := c.raftStorage.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	leases, err := lease.DecodeState(snapshot.GetData())
	if err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	c.leases = leases
	c.confState = snapshot.GetMetadata().GetConfState()
	c.appliedIndex = snapshot.GetMetadata().GetIndex()
	c.snapshotIndex = c.appliedIndex
	return nil
}

// Compact returns a snapshot to store if many entries were applied since the last one, or if the membership has changed: a replica rejects a
// snapshot whose membership does not include it. It returns false if no snapshot is due.
func (c *Core) Compact() (storage.Update, bool, error) {
	due := c.appliedIndex-c.snapshotIndex >= snapshotIntervalEntries || c.membershipChanged
	if !due || c.ready != nil || c.appliedIndex == c.snapshotIndex {
		return storage.Update{}, false, nil
	}
	c.membershipChanged = false
	snapshot, err := c.raftStorage.CreateSnapshot(c.appliedIndex, c.confState, c.leases.Encode())
	if err != nil {
		return storage.Update{}, false, fmt.Errorf("create snapshot: %w", err)
	}
	c.snapshotIndex = c.appliedIndex
	if err := c.discardEntries(); err != nil {
		return storage.Update{}, false, fmt.Errorf("compact log: %w", err)
	}
	return storage.Update{Snapshot: snapshot}, true, nil
}

// discardEntries drops log entries from memory that are covered by the snapshot, and keeps the last ones for replicas that are slightly behind.
func (c *Core) discardEntries() error {
	firstIndex, err := c.raftStorage.FirstIndex()
	if err != nil {
		return err
	}
	if c.appliedIndex <= firstIndex+retainedEntries {
		return nil
	}
	return c.raftStorage.Compact(c.appliedIndex - retainedEntries)
}
