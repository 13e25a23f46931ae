package consensus

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// replicaIDBase is the multiplier of the generation in a ReplicaID. Replica numbers range from 1 to MaxReplicaNumber.
const replicaIDBase = 16

// MaxReplicaNumber is the largest number of a replica. A larger one would stand for another replica in a ReplicaID.
const MaxReplicaNumber = replicaIDBase - 1

// CheckReplicaNumber returns an error if no replica can have a number.
func CheckReplicaNumber(number int) error {
	if number < 1 || number > MaxReplicaNumber {
		return fmt.Errorf("replica number %d is not between 1 and %d", number, MaxReplicaNumber)
	}
	return nil
}

// ReplicaID combines a replica's number, from 1, with its generation, which counts how often the replica was replaced. A replica that has lost its
// data directory no longer knows its votes. It must not vote under its old ID again, because it could vote twice in one term.
type ReplicaID uint64

// NewReplicaID returns the ID of a replica in a generation.
func NewReplicaID(number, generation int) ReplicaID {
	return ReplicaID(generation*replicaIDBase + number)
}

// Number returns the replica's number, the same in each generation.
func (id ReplicaID) Number() int { return int(id % replicaIDBase) }

// Generation returns how often the replica was replaced.
func (id ReplicaID) Generation() int { return int(id / replicaIDBase) }

var errLastVoter = errors.New("cannot remove the only voter")

func errUnknownReplica(number int) error {
	return fmt.Errorf("replica %d is not in the consensus group", number)
}

func errReplicaExists(id ReplicaID) error {
	return fmt.Errorf("replica %d is already in the consensus group, in generation %d", id.Number(), id.Generation())
}

// Voters returns the voters according to the log entries that this replica has applied.
func (c *Core) Voters() []ReplicaID {
	voters := make([]ReplicaID, 0, len(c.confState.Voters))
	for _, v := range c.confState.Voters {
		voters = append(voters, ReplicaID(v))
	}
	return voters
}

// ReplaceReplica proposes that a replica that has lost its data directory rejoins in a new generation. Its old ID is removed. Its new ID joins as a
// learner, which is promoted to a voter once it has caught up. Only the leader can propose this change.
func (c *Core) ReplaceReplica(id ReplicaID) error {
	if id.Number() < 1 || id.Generation() < 1 {
		return fmt.Errorf("replica %d in generation %d: the number and the new generation must be at least 1", id.Number(), id.Generation())
	}
	var changes []*pb.ConfChangeSingle
	for _, member := range slices.Concat(c.confState.Voters, c.confState.Learners) {
		old := ReplicaID(member)
		if old.Number() != id.Number() {
			continue
		}
		if old.Generation() >= id.Generation() {
			return errReplicaExists(old)
		}
		changes = append(changes, confChange(pb.ConfChangeType_ConfChangeRemoveNode, old))
	}
	if len(changes) == 0 {
		return errUnknownReplica(id.Number())
	}
	return c.proposeChanges(append(changes, confChange(pb.ConfChangeType_ConfChangeAddLearnerNode, id))...)
}

// AddReplica proposes that a replica joins as a learner, which is promoted to a voter once it has caught up. A replica that was removed earlier has
// to join in a higher generation, because the votes in its old data directory are no longer valid. Only the leader can propose this change.
func (c *Core) AddReplica(id ReplicaID) error {
	if id.Number() < 1 || id.Number() >= replicaIDBase {
		return fmt.Errorf("invalid replica number %d", id.Number())
	}
	for _, member := range slices.Concat(c.confState.Voters, c.confState.Learners, c.confState.VotersOutgoing) {
		if ReplicaID(member).Number() == id.Number() {
			return errReplicaExists(ReplicaID(member))
		}
	}
	return c.proposeChanges(confChange(pb.ConfChangeType_ConfChangeAddLearnerNode, id))
}

// RemoveReplica proposes that a replica leaves the group, whatever its generation. Only the leader can propose this change.
func (c *Core) RemoveReplica(number int) error {
	for _, member := range slices.Concat(c.confState.Voters, c.confState.Learners) {
		if ReplicaID(member).Number() != number {
			continue
		}
		if len(c.confState.Voters) == 1 && slices.Contains(c.confState.Voters, member) {
			return errLastVoter
		}
		return c.proposeChanges(confChange(pb.ConfChangeType_ConfChangeRemoveNode, ReplicaID(member)))
	}
	return errUnknownReplica(number)
}

func confChange(kind pb.ConfChangeType, id ReplicaID) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(uint64(id))}
}

// proposeChanges proposes changes that take effect together. The library ignores the proposal while an earlier membership change is not yet applied.
func (c *Core) proposeChanges(changes ...*pb.ConfChangeSingle) error {
	return c.rawNode.ProposeConfChange(&pb.ConfChangeV2{Changes: changes})
}

// promoteLearners proposes that learners that have caught up become voters.
func (c *Core) promoteLearners() {
	var caughtUp []ReplicaID
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if slices.Contains(c.confState.Learners, id) && p.Match+maxLearnerLagEntries >= c.appliedIndex && p.RecentActive {
			caughtUp = append(caughtUp, ReplicaID(id))
		}
	})
	for _, id := range caughtUp {
		_ = c.proposeChanges(confChange(pb.ConfChangeType_ConfChangeAddNode, id)) // if the proposal is lost, the next tick repeats it
	}
}
