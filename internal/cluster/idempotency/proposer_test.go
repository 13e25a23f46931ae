package idempotency

import "testing"

// A vote of storage that is lost, still on its way, makes no quorum with one of a member that knows the new storage.
func TestVotesOfLostStorage(t *testing.T) {
	c := newTestProposer()
	c.Claim(0, 1, testKey, ClaimOptions{TimeoutMs: 100}, 1e3)
	request := c.Ready().Messages[0]
	promise := func(from MemberID, storage StorageIncarnation, known ...MemberStorage) Ready {
		return deliver(c, 5, Message{Type: MsgPromise, From: from, StorageIncarnation: storage, Number: 1, Ballot: request.Ballot, KnownStorage: known})
	}
	if r := promise(0, 50); len(r.Messages) > 0 {
		t.Fatal("one of three is a quorum")
	}
	if r := promise(1, 50, MemberStorage{0, 60}); len(r.Messages) > 0 {
		t.Error("a vote of lost storage counts")
	}
	if r := promise(0, 60); len(r.Messages) != 3 || r.Messages[0].Type != MsgAccept {
		t.Errorf("two votes that count: %+v", r.Messages)
	}
}

// Members that share no replica set do not take in each other's messages; while one replica set replaces another a quorum of each is needed.
func TestReplicaSetsThatChange(t *testing.T) {
	c := newTestCore(0, nil, nil)
	c.Receive(1, &Message{Type: MsgPrepare, From: 1, To: 0, ReplicaSetHashes: [2]uint32{1, 2}, Key: testKey, Ballot: testBallot(1, 1)})
	if len(c.Ready().MessagesAfterSync) > 0 || c.counts.ForeignReplicaSets != 1 {
		t.Error("a message of another replica set is taken in")
	}
	both := newTestProposer(ReplicaSet{Members: []MemberID{0, 1, 2}}, ReplicaSet{Members: []MemberID{3, 4, 5}})
	both.Claim(0, 1, testKey, ClaimOptions{}, 1e3)
	request := both.Ready().Messages[0]
	promise := func(from MemberID) Ready {
		return deliver(both, 1, Message{Type: MsgPromise, From: from, StorageIncarnation: 5, Number: 1, Ballot: request.Ballot})
	}
	for i, from := range []MemberID{0, 1, 2, 3} {
		if r := promise(from); len(r.Messages) > 0 {
			t.Errorf("it goes on after %d votes", i+1)
		}
	}
	if r := promise(4); len(r.Messages) != 6 {
		t.Errorf("with a quorum of each it sends %d messages", len(r.Messages))
	}
}
