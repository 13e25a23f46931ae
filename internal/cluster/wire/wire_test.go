package wire

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/cluster"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// drawMessage draws a message that fits into a datagram.
func drawMessage(t *rapid.T) *Message {
	u32 := rapid.Uint32()
	id := rapid.Map(rapid.Uint16(), func(n uint16) cluster.NodeID { return cluster.NodeID(n) })
	age := rapid.Map(rapid.IntRange(0, 255), func(n int) float64 { return 100 * float64(n) })
	m := &Message{
		Kind:        Kind(rapid.IntRange(1, 4).Draw(t, "kind")),
		Fleet:       u32.Draw(t, "fleet"),
		From:        id.Draw(t, "from"),
		Incarnation: cluster.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
		To:          id.Draw(t, "to"),
		Seq:         u32.Draw(t, "seq"),
		Target:      id.Draw(t, "target"),
	}
	for range rapid.IntRange(0, 6).Draw(t, "updates") {
		m.Updates = append(m.Updates, MemberUpdate{
			Node:        id.Draw(t, "node"),
			Incarnation: cluster.Incarnation(rapid.Uint64().Draw(t, "member incarnation")),
			Refutation:  rapid.Uint16().Draw(t, "refutation"),
			State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
			SuspectedBy: id.Draw(t, "suspected by"),
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "quota requests") {
		m.QuotaRequests = append(m.QuotaRequests, QuotaRequest{u32.Draw(t, "budget"), u32.Draw(t, "seq"), u32.Draw(t, "units")})
		m.QuotaGrants = append(m.QuotaGrants, QuotaGrant{rapid.Uint16().Draw(t, "incarnation tag"), u32.Draw(t, "budget"), u32.Draw(t, "seq"), u32.Draw(t, "units")})
	}
	for range rapid.IntRange(0, min(4, m.EvidenceCapacity())).Draw(t, "evidence") {
		m.Evidence = append(m.Evidence, Evidence{
			Source:   id.Draw(t, "source"),
			Server:   u32.Draw(t, "server"),
			Verdict:  Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")),
			Attempts: rapid.Uint8().Draw(t, "attempts"),
			AgeMs:    age.Draw(t, "age"),
		})
	}
	for range rapid.IntRange(0, min(3, m.QuotaRequestCapacity())).Draw(t, "traffic quota requests") {
		m.TrafficQuotaRequests = append(m.TrafficQuotaRequests, QuotaRequest{u32.Draw(t, "budget"), u32.Draw(t, "seq"), u32.Draw(t, "units")})
	}
	labeled := false
	for range rapid.IntRange(0, 9).Draw(t, "counters") {
		if m.CounterCapacity() == 0 {
			break
		}
		c := Counter{
			Node:           id.Draw(t, "node"),
			IncarnationTag: rapid.Uint16().Draw(t, "incarnation tag"),
			Seq:            rapid.Uint16().Draw(t, "seq"),
			Kind:           rapid.Uint8().Draw(t, "kind"),
			Value:          u32.Draw(t, "value"),
			AgeMs:          age.Draw(t, "age"),
		}
		if labeled = labeled || rapid.Bool().Draw(t, "has a label"); labeled { // Parse returns these last
			c.Label = max(1, u32.Draw(t, "label"))
		}
		m.Counters = append(m.Counters, c)
	}
	return m
}

// An encoded message is decoded to the same message and fits into a datagram; truncated or corrupted anywhere it is rejected.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		b := m.Append(nil)
		if len(b) != m.Size() || len(b) > MaxSize {
			t.Fatalf("%d bytes, but Size returns %d", len(b), m.Size())
		}
		got, err := Parse(b)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v is decoded as %+v, %v", m, got, err)
		}
		if _, err := Parse(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("a truncated datagram is accepted")
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		if _, err := Parse(b); err == nil {
			t.Fatal("a corrupted datagram is accepted")
		}
	})
}

// A message of a later version is decoded as far as it is understood.
func TestLaterVersionIsPartlyDecoded(t *testing.T) {
	m := &Message{Kind: Ping, From: 3, Updates: []MemberUpdate{{Node: 4, State: Alive}}}
	b := m.Append(nil)
	b[2] = Version + 1
	b = append(b[:len(b)-checksumSize], 77, 3, 1, 2, 3)
	b = appendChecksum(b)
	got, err := Parse(b)
	if err != nil || got.From != 3 || len(got.Updates) != 1 {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Parse(appendChecksum(append(b[:len(b)-checksumSize], sectionUpdates, 5, 1, 2, 3, 4, 5))); !errors.Is(err, ErrMalformed) {
		t.Errorf("an incomplete entry: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add((&Message{Kind: Ping, Updates: []MemberUpdate{{Node: 1}}, Evidence: []Evidence{{Server: 4}}}).Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > checksumSize {
			b = appendChecksum(b[:len(b)-checksumSize]) // otherwise almost every input fails the checksum
		}
		m, err := Parse(b)
		if err != nil {
			return
		}
		if again, err := Parse(m.Append(nil)); err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%+v is decoded as %+v, %v", m, again, err)
		}
	})
}

// An age is rounded up to a multiple of 100 ms, so that nothing appears younger after it is passed on, and is limited to what a byte holds.
func TestAgeIsRoundedUp(t *testing.T) {
	for ms, want := range map[float64]float64{-5: 0, 0: 0, 1: 100, 100: 100, 101: 200, 25_450: 25_500, 1e9: 25_500} {
		m := &Message{Kind: Gossip, Evidence: []Evidence{{AgeMs: ms}}}
		got, err := Parse(m.Append(nil))
		if err != nil {
			t.Fatal(err)
		}
		if got.Evidence[0].AgeMs != want {
			t.Errorf("an age of %v ms is decoded as %v, want %v", ms, got.Evidence[0].AgeMs, want)
		}
	}
}
