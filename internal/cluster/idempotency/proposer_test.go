package idempotency

import "testing"

// A delayed vote from lost storage does not count towards a quorum once another vote lists the member's new storage.
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

// Members without a common replica set ignore each other's messages. While one replica set replaces another, a change needs a quorum of each.
func TestReplicaSetsThatChange(t *testing.T) {
	c := newTestCore(0, nil, nil)
	c.Receive(1, &Message{Type: MsgPrepare, From: 1, To: 0, ReplicaSetHashes: [2]uint32{1, 2}, Key: testKey, Ballot: testBallot(1, 1)})
	if len(c.Ready().MessagesAfterSync) > 0 || c.counts.ForeignReplicaSets != 1 {
		t.Error("a message of another replica set is handled")
	}
	twoSets := newTestProposer(ReplicaSet{Members: []MemberID{0, 1, 2}}, ReplicaSet{Members: []MemberID{3, 4, 5}})
	twoSets.Claim(0, 1, testKey, ClaimOptions{}, 1e3)
	request := twoSets.Ready().Messages[0]
	promise := func(from MemberID) Ready {
		return deliver(twoSets, 1, Message{Type: MsgPromise, From: from, StorageIncarnation: 5, Number: 1, Ballot: request.Ballot})
	}
	for i, from := range []MemberID{0, 1, 2, 3} {
		if r := promise(from); len(r.Messages) > 0 {
			t.Errorf("the second phase starts after %d votes", i+1)
		}
	}
	if r := promise(4); len(r.Messages) != 6 {
		t.Errorf("with a quorum of each it sends %d messages", len(r.Messages))
	}
}
