package idempotency

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"reflect"
	"testing"

	"mintspring/internal/testbed/goldentest"
)

var (
	goldenClaim          = ClaimID{Member: 2, Incarnation: 0x0102030405060708, Number: 77}
	goldenKey            = NewKey("checkout", []byte("cart:9"), []byte("client-token"))
	goldenBallot         = Ballot{Round: 9, Claim: goldenClaim}
	goldenAcceptedBallot = Ballot{Round: 8, Claim: ClaimID{Member: 1, Incarnation: 55, Number: 1 << 48}}
	goldenRecords        = map[State]Record{
		StateUnclaimed:     {State: StateUnclaimed, Claim: goldenClaim},
		StateInFlight:      {State: StateInFlight, Claim: goldenClaim, TimeoutMs: 512.5, MayHaveExecuted: true},
		StateIndeterminate: {State: StateIndeterminate, Claim: goldenClaim, MayHaveExecuted: true},
		StateCompleted:     {State: StateCompleted, Claim: goldenClaim, HasReceipt: true, Receipt: []byte("a response")},
	}
)

// The encodings of messages and stored entries, the keys, the replica set hashes and the choice of replicas do not change between versions:
// testdata/golden holds the output of an earlier version. Members of two versions must read each other's messages, and a new version must
// read the data directory of the previous one.
func TestGoldenMessages(t *testing.T) {
	keyAndBallot := VersionedRecord{Key: goldenKey, AcceptedBallot: goldenAcceptedBallot}
	pageRecord := func(r Record, ageMs, unchangedMs float64) VersionedRecord {
		return VersionedRecord{Key: goldenKey, AcceptedBallot: goldenAcceptedBallot, Record: r, AgeMs: ageMs, UnchangedMs: unchangedMs}
	}
	known := []MemberStorage{{0, 1 << 40}, {3, 99}}
	for name, m := range map[string]Message{
		"prepare":         {Type: MsgPrepare, Number: 7, Key: goldenKey, Ballot: goldenBallot},
		"promise_none":    {Type: MsgPromise, Number: 7, Key: goldenKey, Ballot: goldenBallot, PromiseFloor: 4, KnownStorage: known},
		"promise_record":  {Type: MsgPromise, Number: 7, Key: goldenKey, Ballot: goldenBallot, HasRecord: true, AcceptedBallot: goldenAcceptedBallot, Record: goldenRecords[StateCompleted], AgeMs: 12.25, UnchangedMs: math.Inf(1)},
		"accept_free":     {Type: MsgAccept, Number: 7, Key: goldenKey, Ballot: goldenBallot, Record: goldenRecords[StateUnclaimed], AgeMs: 1, UnchangedMs: 0.5},
		"accept_out":      {Type: MsgAccept, Number: 7, Key: goldenKey, Ballot: goldenBallot, Record: goldenRecords[StateInFlight], AgeMs: math.Inf(1), UnchangedMs: math.Inf(1)},
		"accept_open":     {Type: MsgAccept, Number: 1<<63 | 7, Key: goldenKey, Ballot: goldenBallot, Record: goldenRecords[StateIndeterminate]},
		"accept_done":     {Type: MsgAccept, Number: 1<<63 | 7, Key: goldenKey, Ballot: goldenBallot, Record: goldenRecords[StateCompleted], AgeMs: 2, UnchangedMs: 1},
		"accepted":        {Type: MsgAccepted, Number: 7, Key: goldenKey, Ballot: goldenBallot, KnownStorage: known},
		"refused":         {Type: MsgRejected, Number: 7, Key: goldenKey, Ballot: goldenBallot, PromiseFloor: 1024, KnownStorage: known},
		"hello":           {Type: MsgCatchUp, Number: 3},
		"page":            {Type: MsgCatchUpPage, Number: 3, Ballot: Ballot{Round: 5, Claim: ClaimID{Incarnation: 42}}, PromiseFloor: 2048, More: true, KnownStorage: known, Records: []VersionedRecord{pageRecord(goldenRecords[StateInFlight], 3, 2), pageRecord(goldenRecords[StateCompleted], math.Inf(1), 0)}},
		"page_anew":       {Type: MsgCatchUpPage, Restart: true, KnownStorage: known[:1]},
		"which":           {Type: MsgCompare, Number: 400, Ballot: Ballot{Claim: ClaimID{Number: 6}}},
		"these":           {Type: MsgComparePage, Number: 400, Ballot: Ballot{Round: 402, Claim: ClaimID{Number: 6}}, Records: []VersionedRecord{keyAndBallot, keyAndBallot}},
		"these_anew":      {Type: MsgComparePage, Restart: true, Ballot: Ballot{Claim: ClaimID{Number: 6}}},
		"greet":           {Type: MsgAnnounce},
		"greeted":         {Type: MsgAnnounceAck, Ballot: Ballot{Claim: ClaimID{Incarnation: 42}}},
		"greeted_another": {Type: MsgAnnounceAck, Ballot: Ballot{Claim: ClaimID{Incarnation: 42}}, KnownStorage: known[1:]},
	} {
		m.From, m.To, m.StorageIncarnation, m.ReplicaSetHashes = 2, 1, 1<<48|5, [2]uint32{0xdeadbeef, 0x01020304}
		want := goldentest.Read(t, "message_"+name+".bin")
		if got := m.Append(nil); !bytes.Equal(got, want) {
			t.Errorf("%s is written as\n%x, want\n%x", name, got, want)
		}
		if got, err := ParseMessage(want); err != nil || !reflect.DeepEqual(got, &m) {
			t.Errorf("%s is read as\n%+v, %v; want\n%+v", name, got, err, &m)
		}
	}
}

func TestGoldenEntries(t *testing.T) {
	want := NewStoredState()
	want.KnownStorage[1], want.KnownStorage[7] = 1<<40|3, 9
	want.BallotCeiling = 4096
	for state, r := range goldenRecords {
		want.Records[NewKey("w", []byte("k"), []byte{byte(state)})] = VersionedRecord{Key: NewKey("w", []byte("k"), []byte{byte(state)}), AcceptedBallot: goldenAcceptedBallot, Record: r}
	}
	entries := append(want.Entries(), CaughtUpEntry(1<<40|3))
	want.CaughtUpStorage = 1<<40 | 3
	golden := goldentest.Read(t, "entries.hex")
	var written []byte
	for _, e := range entries {
		written = fmt.Appendf(written, "%x\n", e)
	}
	if !bytes.Equal(written, golden) {
		t.Errorf("entries are written as\n%s, want\n%s", written, golden)
	}
	got := NewStoredState()
	for _, line := range bytes.Fields(golden) {
		e, err := hex.DecodeString(string(line))
		if err == nil {
			err = got.Apply(e)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("entries are read as\n%+v, want\n%+v", got, want)
	}
}

func TestGoldenPlacement(t *testing.T) {
	var got []byte
	for _, set := range []ReplicaSet{{Members: []MemberID{0, 1, 2}}, {Members: []MemberID{0, 1, 2, 3, 4, 300}, Zones: []string{"a", "a", "b", "", "b"}}} {
		got = fmt.Appendf(got, "list %v %q hash %08x\n", set.Members, set.Zones, set.hash())
		for i := range 6 {
			key := NewKey("checkout", []byte("cart"), fmt.Append(nil, i))
			got = fmt.Appendf(got, "%x %v %v\n", key, set.replicas(key, 3), set.replicas(key, 5))
		}
	}
	if want := goldentest.Read(t, "placement.txt"); !bytes.Equal(got, want) {
		t.Errorf("got\n%s, want\n%s", got, want)
	}
}
