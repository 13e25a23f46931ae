package consensus

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/lease"
	"mintspring/internal/testbed/goldentest"
)

// The log entries of running fleets are stored in this encoding, so the bytes must not change.
func TestGoldenEntries(t *testing.T) {
	process := lease.Process{Node: 1, Incarnation: 0x18bcfe56800abcd}
	for file, e := range map[string]logEntry{
		"entry-of-member.json": {Proposer: 18, Sequence: 1764658800<<20 + 3, Command: lease.Command{Kind: lease.KindAcquire, Name: "roll", Process: process, TTLMillis: 15000}},
		"entry-of-leader.json": {Command: lease.Command{Kind: lease.KindExpire, Name: "roll", Token: 9, Renewals: 31}},
	} {
		want := goldentest.Read(t, file)
		if got, err := json.Marshal(e); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: encoded as %s, %v; want %s", file, got, err, want)
		}
		var decoded logEntry
		if err := json.Unmarshal(want, &decoded); err != nil || !reflect.DeepEqual(decoded, e) {
			t.Errorf("%s: decoded as %+v, %v; want %+v", file, decoded, err, e)
		}
	}
}

// Replicas of different versions exchange messages in this encoding, so the bytes must not change.
func TestGoldenMessages(t *testing.T) {
	for file, m := range map[string]*pb.Message{
		"message-append.bin": {
			Type: pb.MessageType_MsgApp.Enum(), To: proto.Uint64(1), From: proto.Uint64(2), Term: proto.Uint64(5), LogTerm: proto.Uint64(4), Index: proto.Uint64(40),
			Commit: proto.Uint64(39), Entries: []*pb.Entry{{Type: pb.EntryType_EntryNormal.Enum(), Term: proto.Uint64(5), Index: proto.Uint64(41), Data: []byte(`{"from":2}`)}},
		},
		"message-vote.bin": {Type: pb.MessageType_MsgPreVoteResp.Enum(), To: proto.Uint64(1), From: proto.Uint64(2), Term: proto.Uint64(6), Reject: proto.Bool(true)},
		"message-snapshot.bin": {
			Type: pb.MessageType_MsgSnap.Enum(), To: proto.Uint64(1), From: proto.Uint64(2), Term: proto.Uint64(5),
			Snapshot: &pb.Snapshot{Data: []byte(`{"last":0}`), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(7), Term: proto.Uint64(3), ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{20}}}},
		},
	} {
		want := goldentest.Read(t, file)
		if got, err := EncodeMessage(m); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: encoded as %x, %v; want %x", file, got, err, want)
		}
		decoded := &pb.Message{}
		if err := proto.Unmarshal(want[checksumSize:], decoded); err != nil || !proto.Equal(decoded, m) {
			t.Errorf("%s: decoded as %v, %v; want %v", file, decoded, err, m)
		}
		c, err := New(1e6, Config{Self: 1, InitialVoters: []ReplicaID{1, 2, 3}, TickMillis: 20}, storage.State{}, 1)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Step(want); err != nil {
			t.Errorf("%s: message dropped: %v", file, err)
		}
	}
}

// All initial voters have to start from the same snapshot, whatever their versions, so the bytes must not change.
func TestGoldenInitialSnapshot(t *testing.T) {
	want := goldentest.Read(t, "founding.bin")
	c, err := New(1e6, Config{Self: 2, InitialVoters: []ReplicaID{1, 2, 3}, TickMillis: 20}, storage.State{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	u, ok := c.InitialUpdate()
	if !ok {
		t.Fatal("an initial voter without stored state has no initial snapshot")
	}
	if got, err := proto.Marshal(u.Snapshot); err != nil || !bytes.Equal(got, want) {
		t.Errorf("initial snapshot encoded as %x, %v; want %x", got, err, want)
	}
	decoded := &pb.Snapshot{}
	if err := proto.Unmarshal(want, decoded); err != nil {
		t.Fatal(err)
	}
	if c, err = New(1e6, Config{Self: 2, InitialVoters: []ReplicaID{2}, TickMillis: 20}, storage.State{Snapshot: decoded}, 1); err != nil {
		t.Fatal(err)
	}
	if got := c.Voters(); !reflect.DeepEqual(got, []ReplicaID{1, 2, 3}) {
		t.Errorf("voters of the decoded snapshot are %v, want 1 2 3", got)
	}
}

// Log entries and messages contain replica IDs, so the values must not change.
func TestGoldenIDs(t *testing.T) {
	for _, tc := range []struct {
		number, generation int
		want               ReplicaID
	}{{1, 0, 1}, {15, 0, 15}, {2, 1, 18}, {3, 7, 115}} {
		if id := NewReplicaID(tc.number, tc.generation); id != tc.want || id.Number() != tc.number || id.Generation() != tc.generation {
			t.Errorf("replica %d in generation %d has ID %d", tc.number, tc.generation, id)
		}
	}
}
