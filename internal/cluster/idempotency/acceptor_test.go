package idempotency

import "testing"

// Incarnations of the member under test: that of its storage and that of its process.
const (
	testStorage     = 50
	testIncarnation = 100
)

var testKey = NewKey("sale", []byte("key"), []byte("mark"))

// newTestCore returns one of three members. If stored is nil, the member's storage has caught up. If the storage has caught up, all members
// know it.
func newTestCore(self MemberID, stored *StoredState, configure func(*Config)) *Core {
	config := Config{
		Self: self, Incarnation: testIncarnation, StorageIncarnation: testStorage, ReplicaSets: []ReplicaSet{{Members: []MemberID{0, 1, 2}}},
		ReplicationFactor: 3, RetentionMs: 10e3, RetryIntervalMs: 20, MaxReceiptBytes: 64, RepairsPerSecond: 1e3,
	}
	if stored == nil {
		stored = NewStoredState()
		stored.CaughtUpStorage = testStorage
	}
	if configure != nil {
		configure(&config)
	}
	c := New(0, config, stored)
	if stored.CaughtUpStorage == testStorage {
		for _, m := range []MemberID{0, 1, 2} {
			c.acceptor.recordAcknowledgement(m)
		}
	}
	return c
}

// newTestProposer returns a member that stores nothing and only proposes.
func newTestProposer(sets ...ReplicaSet) *Core {
	return newTestCore(9, nil, func(c *Config) {
		c.StorageIncarnation = 0
		if len(sets) > 0 {
			c.ReplicaSets = sets
		}
	})
}

// deliver delivers a message for testKey to a member, and returns the resulting batch.
func deliver(c *Core, now float64, m Message) Ready {
	m.To, m.ReplicaSetHashes, m.Key = c.config.Self, c.config.replicaSetHashes, testKey
	c.Receive(now, &m)
	return c.Ready()
}

// testClaim returns the claim in all test ballots of a member.
func testClaim(m MemberID) ClaimID { return ClaimID{Member: m, Incarnation: 7, Number: 1} }

func testBallot(round uint32, m MemberID) Ballot { return Ballot{round, testClaim(m)} }

func newPrepare(from MemberID, round uint32) Message {
	return Message{Type: MsgPrepare, From: from, Ballot: testBallot(round, from)}
}

func newAccept(round uint32, r Record) Message {
	return Message{Type: MsgAccept, From: 1, Ballot: testBallot(round, 1), Record: r}
}

// A promise above the synced ceiling waits until the new ceiling is synced, even if an earlier batch that contains the new ceiling is
// already being written. An acceptor that crashed before the sync would otherwise restart with a ceiling below its promise.
func TestPromisesWaitForTheirCeiling(t *testing.T) {
	c := newTestCore(0, nil, nil)
	first := deliver(c, 1, newPrepare(1, 3))
	if len(first.Messages) > 0 || len(first.MessagesAfterSync) != 1 || len(first.Entries) == 0 {
		t.Fatalf("first promise: %+v", first)
	}
	if r := deliver(c, 2, newPrepare(2, 4)); len(r.Messages) > 0 || len(r.MessagesAfterSync) != 1 {
		t.Fatalf("second promise, before the first ceiling is synced: %+v", r)
	}
	c.Advance(first)
	if r := deliver(c, 3, newPrepare(1, 5)); len(r.Messages) != 1 || len(r.Entries) > 0 {
		t.Fatalf("third promise, after the ceiling is synced: %+v", r)
	}
	// After a restart from the stored entries, the acceptor rejects rounds up to the ceiling.
	stored := NewStoredState()
	for _, entry := range append(first.Entries, CaughtUpEntry(testStorage)) {
		if err := stored.Apply(entry); err != nil {
			t.Fatal(err)
		}
	}
	c = newTestCore(0, stored, nil)
	r := deliver(c, 4, newPrepare(2, 4))
	if len(r.Messages) != 1 || r.Messages[0].Type != MsgRejected || r.Messages[0].PromiseFloor != 3+defaultBallotCeilingStep {
		t.Fatalf("a late ballot after a restart: %+v", r.Messages)
	}
}

// A late MsgAccept does not make a copied record younger: the acceptor counts the record's age from its promise.
func TestLateAcceptDoesNotReduceAge(t *testing.T) {
	c := newTestCore(0, nil, nil)
	c.Advance(deliver(c, 100, newPrepare(1, 1)))
	c.Advance(deliver(c, 4100, newAccept(1, Record{State: StateInFlight, Claim: testClaim(1), TimeoutMs: 100})))
	r := deliver(c, 4200, newPrepare(2, 5))
	if all := append(r.Messages, r.MessagesAfterSync...); len(all) != 1 || all[0].AgeMs != 4100 || all[0].UnchangedMs != 100 {
		t.Errorf("%+v", all)
	}
	// A ballot that was not promised is rejected, because the age of its record would be unknown.
	c = newTestCore(0, nil, nil)
	r = deliver(c, 1, newAccept(9, Record{State: StateInFlight}))
	if len(r.MessagesAfterSync) > 0 || len(r.Messages) != 1 || r.Messages[0].Type != MsgRejected {
		t.Errorf("%+v", r)
	}
}

// The proposer of a claim settles it in one phase: an acceptor that votes for the claim also promises the next ballot.
func TestClaimIsSettledInOnePhase(t *testing.T) {
	c := newTestCore(0, nil, nil)
	c.Advance(deliver(c, 1, newPrepare(1, 1)))
	c.Advance(deliver(c, 2, newAccept(1, Record{State: StateInFlight, Claim: testClaim(1)})))
	r := deliver(c, 3, newAccept(2, Record{State: StateCompleted, Claim: testClaim(1)}))
	if len(r.MessagesAfterSync) != 1 || r.MessagesAfterSync[0].Type != MsgAccepted {
		t.Errorf("%+v", r)
	}
}

// Records expire after RetentionMs, and late messages do not restore them.
func TestRecordsExpire(t *testing.T) {
	c := newTestCore(0, nil, nil)
	c.Advance(deliver(c, 1, newPrepare(1, 1)))
	c.Advance(deliver(c, 2, newAccept(1, Record{State: StateCompleted})))
	if c.Tick(9900); c.Status(0).Records != 1 {
		t.Fatal("the record expires too early")
	}
	if c.Tick(10.4e3); c.Status(0).Records != 0 || c.Status(0).Promises != 0 {
		t.Fatal("the record does not expire")
	}
	c.Advance(c.Ready())
	for _, m := range []Message{newPrepare(1, 1), newAccept(1, Record{}), newAccept(2, Record{})} {
		if r := deliver(c, 10.5e3, m); len(r.Messages) != 1 || r.Messages[0].Type != MsgRejected {
			t.Errorf("late message of type %v: %+v", m.Type, r)
		}
	}
}
