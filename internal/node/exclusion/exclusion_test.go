package exclusion

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/fleet"
)

// setModel is a Set with the state expected of it.
type setModel struct {
	set        *Set
	now        float64
	listed     map[string]bool
	excluded   map[string]float64 // start of the exclusion by id
	readmitted map[string]Interval
}

// TestSetInvariants calls the methods in any order with listed and unlisted ids, and hands the set over at any time. A server is excluded
// from Exclude until Readmit, and an id that was never listed is refused.
func TestSetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &setModel{set: New(), now: 1000, listed: map[string]bool{}, excluded: map[string]float64{}, readmitted: map[string]Interval{}}
		t.Repeat(map[string]func(*rapid.T){
			"listed": func(t *rapid.T) {
				id := drawID(t)
				m.listed[id] = true
				m.set.MarkListed(id)
			},
			"exclude":     m.exclude,
			"readmit":     m.readmit,
			"handed over": m.handOver,
			"later":       func(*rapid.T) { m.now++ },
			"":            m.check,
		})
	})
}

// TestRebaseStored: the times of a stored state may be ahead of or behind the clock of this process. Either way, a server that was excluded
// counts as started at its readmission, and no server counts as started in the future.
func TestRebaseStored(t *testing.T) {
	const now, hour = 1e12, 3.6e6
	for _, offset := range []float64{-hour, 0, hour} {
		state := State{
			Excluded:   map[string]float64{"out": now + offset - 10},
			Readmitted: map[string]Interval{"back": {From: now + offset - 20, To: now + offset - 10}},
		}
		state.RebaseStored(now)
		s := New()
		s.MarkListed("out")
		s.Import(state)
		if _, err := s.Readmit("out", now+5); err != nil {
			t.Fatal(err)
		}
		if at := s.StartedAt("out", now-5); at != now+5 {
			t.Errorf("offset %.0f: an excluded server has started %.0f ms from now, want at its readmission", offset, at-now)
		}
		if at := s.StartedAt("back", 0); at > now {
			t.Errorf("offset %.0f: a readmitted server has started %.0f ms from now", offset, at-now)
		}
	}
}

func drawID(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "A", ""}).Draw(t, "id")
}

func (m *setModel) exclude(t *rapid.T) {
	id := drawID(t)
	_, err := m.set.Exclude(id, m.now)
	m.checkError(t, id, err)
	if _, was := m.excluded[id]; err == nil && !was {
		m.excluded[id] = m.now
	}
}

func (m *setModel) readmit(t *rapid.T) {
	id := drawID(t)
	_, err := m.set.Readmit(id, m.now)
	m.checkError(t, id, err)
	if since, was := m.excluded[id]; was {
		m.readmitted[id] = Interval{since, m.now}
	}
	delete(m.excluded, id)
}

// checkError checks that a method refused an id if and only if the id was never listed.
func (m *setModel) checkError(t *rapid.T, id string, err error) {
	var unknown *UnknownServerError
	if (err == nil) != m.listed[id] || err != nil && !errors.As(err, &unknown) {
		t.Fatalf("%q, listed %v: %v", id, m.listed[id], err)
	}
}

// handOver replaces the set by a new one that has imported its state.
func (m *setModel) handOver(t *rapid.T) {
	text, err := json.Marshal(m.set.Export(true))
	var state State
	if err != nil || json.Unmarshal(text, &state) != nil {
		t.Fatal("the state cannot be written and read", err)
	}
	m.set = New()
	m.set.Import(state)
}

// check compares the effective state and the start time of a random server with those expected.
func (m *setModel) check(t *rapid.T) {
	id := drawID(t)
	want := fleet.Ready
	if _, is := m.excluded[id]; is {
		want = fleet.Draining
	} else {
		last := m.readmitted[id]
		before, since := m.set.StartedAt(id, last.From-1), m.set.StartedAt(id, last.From)
		if before != max(last.To, last.From-1) || since != last.From {
			t.Fatalf("%q started at %v or %v, last excluded %v", id, before, since, last)
		}
	}
	if got := m.set.EffectiveState(id, fleet.Ready); got != want || m.set.EffectiveState(id, fleet.Gone) != fleet.Gone {
		t.Fatalf("%q is in state %v", id, got)
	}
}

// TestSeenIsBounded: however many ids are listed, only the maxSeen newest are remembered, and they are exported in the order of listing.
func TestSeenIsBounded(t *testing.T) {
	set := New()
	for i := range maxSeen + 100 {
		set.MarkListed(fmt.Sprint("s", i))
	}
	if len(set.seen) != maxSeen || len(set.seenOrder) != maxSeen {
		t.Errorf("%d ids are remembered", len(set.seen))
	}
	if _, err := set.Exclude("s0", 1); err == nil {
		t.Error("the id listed longest ago is still known")
	}
	if _, err := set.Exclude(fmt.Sprint("s", maxSeen+99), 1); err != nil {
		t.Error(err)
	}
	state := set.Export(true)
	if len(state.Seen) != maxSeen || state.Seen[0] != hashID("s100") {
		t.Error("handed over, the ids are not in the order in which they were listed")
	}
}
