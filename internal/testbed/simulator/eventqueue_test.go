package simulator

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Events fire in the order of their due times, and events with the same due time in the order in which they were scheduled. The clock
// never goes back and no event is lost, also if events schedule further events.
func TestEventsFireInOrder(t *testing.T) {
	type firedEvent struct {
		at       simTime
		sequence uint64
	}
	rapid.Check(t, func(r *rapid.T) {
		var q eventQueue
		var got, want []firedEvent
		remaining := rapid.IntRange(1, 300).Draw(r, "events")
		var scheduleOne func()
		scheduleOne = func() {
			remaining--
			at := max(q.now, q.now+simTime(rapid.Int64Range(-3, 20).Draw(r, "in")))
			sequence := q.lastSequence + 1
			want = append(want, firedEvent{at, sequence})
			q.schedule(at, actionFunc(func() {
				got = append(got, firedEvent{q.now, sequence})
				for range rapid.IntRange(0, 3).Draw(r, "more") {
					if remaining > 0 {
						scheduleOne()
					}
				}
			}))
		}
		for remaining > 0 {
			scheduleOne()
			for rapid.Bool().Draw(r, "step") && q.fireNext() {
			}
		}
		for q.fireNext() {
		}
		slices.SortFunc(want, func(a, b firedEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence)) })
		if !slices.Equal(got, want) {
			r.Fatalf("fired %v, want %v", got, want)
		}
	})
}

// An event never fires before its due time, however that time is rounded.
func TestTimesRoundUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q eventQueue
		due := epochMs + rapid.Float64Range(0, 1e7).Draw(r, "ms")
		q.schedule(simTimeOf(due), actionFunc(func() {}))
		if q.fireNext(); q.nowMs() < due || q.nowMs() > due+1e-4 {
			r.Errorf("due at %v, fired at %v", due, q.nowMs())
		}
	})
}

// An event in the past, which only a bug in the simulator can cause, panics instead of setting the clock back.
func TestPastEventPanics(t *testing.T) {
	var q eventQueue
	q.schedule(100, actionFunc(func() {}))
	q.fireNext()
	q.heap = append(q.heap, event{50, 9, actionFunc(func() {})})
	defer func() {
		if recover() == nil {
			t.Error("an event in the past was fired without a panic")
		}
	}()
	q.fireNext()
}
