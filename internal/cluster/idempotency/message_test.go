package idempotency

import (
	"bytes"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/cluster"
)

func drawClaimID(t *rapid.T, label string) ClaimID {
	return ClaimID{MemberID(rapid.Uint16().Draw(t, label)), cluster.Incarnation(rapid.Uint64().Draw(t, label)), rapid.Uint64().Draw(t, label)}
}

func drawRecord(t *rapid.T, label string) Record {
	r := Record{
		State: State(rapid.IntRange(0, 3).Draw(t, label)), Claim: drawClaimID(t, label), TimeoutMs: rapid.Float64Range(0, 1e6).Draw(t, label),
		MayHaveExecuted: rapid.Bool().Draw(t, label), HasReceipt: rapid.Bool().Draw(t, label),
	}
	if receipt := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, label); len(receipt) > 0 {
		r.Receipt = receipt
	}
	return r
}

func drawMessage(t *rapid.T) *Message {
	m := &Message{
		Type: MessageType(rapid.IntRange(int(MsgPrepare), int(MsgAnnounceAck)).Draw(t, "type")), From: 1, To: 2, StorageIncarnation: 3,
		Number: rapid.Uint64().Draw(t, "number"), Key: testKey, Ballot: Ballot{rapid.Uint32().Draw(t, "round"), drawClaimID(t, "claim")},
		HasRecord: rapid.Bool().Draw(t, "has record"), PromiseFloor: 7, More: rapid.Bool().Draw(t, "more"),
	}
	if m.hasRecord() {
		m.AcceptedBallot, m.Record, m.AgeMs, m.UnchangedMs = Ballot{3, drawClaimID(t, "accepted")}, drawRecord(t, "record"), 5, math.Inf(1)
	}
	for range rapid.IntRange(0, 3).Draw(t, "known storage") {
		m.KnownStorage = append(m.KnownStorage, MemberStorage{4, 5})
	}
	for range rapid.IntRange(0, 3).Draw(t, "records") {
		r := VersionedRecord{Key: testKey, AcceptedBallot: Ballot{8, drawClaimID(t, "listed")}}
		if m.Type == MsgCatchUpPage {
			r.Record, r.AgeMs, r.UnchangedMs = drawRecord(t, "listed"), 1, 2
		}
		m.Records = append(m.Records, r)
	}
	return m
}

// An encoded message decodes to itself, and a single flipped bit is detected.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		b := m.Append(nil)
		got, err := ParseMessage(b)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%v\n%+v\n%+v", err, m, got)
		}
		bit := rapid.IntRange(0, 8*len(b)-1).Draw(t, "bit")
		b[bit/8] ^= 1 << (bit % 8)
		if _, err := ParseMessage(b); err == nil {
			t.Fatalf("with bit %d flipped it decodes", bit)
		}
	})
}

func FuzzParseMessage(f *testing.F) {
	f.Add((&Message{Type: MsgPrepare, Key: testKey}).Append(nil))
	f.Add((&Message{Type: MsgCatchUpPage, Records: []VersionedRecord{{Key: testKey}}}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ParseMessage(b)
		if err == nil && !bytes.Equal(m.Append(nil), b) {
			// The input may differ from the encoding in unknown flag bits only. Otherwise one message would have several encodings and
			// checksums.
			if again, err := ParseMessage(m.Append(nil)); err != nil || !reflect.DeepEqual(again, m) {
				t.Errorf("%+v is decoded from its own bytes as %+v, %v", m, again, err)
			}
		}
	})
}

// Apply does not panic on any input.
func FuzzApplyEntry(f *testing.F) {
	f.Add(recordEntry(testKey, Ballot{}, Record{Receipt: []byte("r")}))
	f.Add(storageEntry(MemberStorage{1, 2}))
	f.Fuzz(func(_ *testing.T, entry []byte) {
		_ = NewStoredState().Apply(entry) // most entries are malformed
	})
}
