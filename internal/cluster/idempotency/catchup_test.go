package idempotency

import (
	"slices"
	"testing"
)

// Once a member with new storage has requested records from another member, each vote of that other member lists the new storage.
func TestVotesListNewStorage(t *testing.T) {
	c := newTestCore(1, nil, nil)
	deliver(c, 1, Message{Type: MsgCatchUp, From: 0, StorageIncarnation: 60})
	r := deliver(c, 2, newPrepare(2, 1))
	listed := false
	for _, m := range append(r.Messages, r.MessagesAfterSync...) {
		listed = listed || m.Type == MsgPromise && slices.Contains(m.KnownStorage, MemberStorage{0, 60})
	}
	if !listed {
		t.Errorf("the promise does not list the new storage: %+v", r)
	}
}

// A member votes once one of the two other members knows its storage. If a process with the same member number and an earlier storage
// incarnation starts, it asks both others, and the one that knows the later storage tells it that its own is superseded.
func TestMemberVotesOncePeerKnowsStorage(t *testing.T) {
	stored := NewStoredState()
	stored.CaughtUpStorage = testStorage
	c := New(0, newTestCore(0, nil, nil).config, stored)
	c.Tick(0)
	if r := c.Ready(); len(r.Messages) != 2 || r.Messages[0].Type != MsgAnnounce {
		t.Fatalf("%+v", r.Messages)
	}
	if r := deliver(c, 1, newPrepare(1, 1)); len(r.Messages)+len(r.MessagesAfterSync) > 0 {
		t.Error("it votes although nobody knows its storage")
	}
	peer := newTestCore(1, nil, nil)
	r := deliver(peer, 1, Message{Type: MsgAnnounce, From: 0, StorageIncarnation: testStorage})
	if len(r.MessagesAfterSync) != 1 || len(r.Entries) != 1 {
		t.Fatalf("an acknowledgement has to wait for the disk: %+v", r)
	}
	c.Receive(2, r.MessagesAfterSync[0])
	if r := deliver(c, 3, newPrepare(1, 1)); len(r.MessagesAfterSync) != 1 {
		t.Error("it does not vote although its storage is known")
	}
	// A member with an earlier storage incarnation learns of the later one when it requests its records.
	outdated := newTestCore(0, NewStoredState(), func(c *Config) { c.StorageIncarnation = 40 })
	outdated.Tick(0)
	r = deliver(peer, 4, Message{Type: MsgCatchUp, From: 0, StorageIncarnation: 40})
	outdated.Receive(4, r.MessagesAfterSync[0])
	if latest, neverServed := outdated.NewerStorage(); latest != testStorage || !neverServed {
		t.Errorf("newer storage is %d, never served %v", latest, neverServed)
	}
}

// New storage takes over the known storage and the promises of the peers that it catches up with.
func TestNewStorageCatchesUp(t *testing.T) {
	c := newTestCore(0, NewStoredState(), nil)
	c.Tick(0)
	if r := c.Ready(); len(r.Messages) != 2 || r.Messages[0].Type != MsgCatchUp {
		t.Fatalf("it requests %+v", r.Messages)
	}
	page := func(from MemberID, storage StorageIncarnation) Ready {
		return deliver(c, 5, Message{
			Type: MsgCatchUpPage, From: from, StorageIncarnation: testStorage, Ballot: Ballot{0, ClaimID{Incarnation: storage}},
			PromiseFloor: 700, KnownStorage: []MemberStorage{{2, 80}},
		})
	}
	// This page answers a request of the tested member's previous storage (40), which may have voted on more records after that request.
	page(1, 40)
	page(2, testStorage)
	if c.CaughtUp() || len(deliver(c, 6, newPrepare(1, 9000)).MessagesAfterSync) > 0 {
		t.Fatal("it votes having caught up with one of two others")
	}
	c.Advance(page(1, testStorage))
	if !c.CaughtUp() {
		t.Fatal("it has caught up with both")
	}
	r := deliver(c, 7, newPrepare(1, 700))
	if len(r.Messages) != 1 || r.Messages[0].Type != MsgRejected || len(r.Messages[0].KnownStorage) != 2 || !slices.Contains(r.Messages[0].KnownStorage, MemberStorage{2, 80}) {
		t.Errorf("%+v", r.Messages[0])
	}
}

// If both others are gone, new storage waits until all records of the previous storage have expired.
func TestNewStorageWaitsWithoutPeers(t *testing.T) {
	c := newTestCore(0, NewStoredState(), nil)
	c.Tick(10e3)
	if c.CaughtUp() {
		t.Error("it votes while lost records may be in use")
	}
	if c.Tick(10.6e3); !c.CaughtUp() {
		t.Error("it never stops waiting")
	}
}
