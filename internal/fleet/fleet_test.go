package fleet

import (
	"math"
	"slices"
	"testing"
)

// A Ref finds its request until the request is freed, and nothing afterwards, even if the slot is reused.
func TestSlabRefs(t *testing.T) {
	var s Slab
	if s.Get(NoRequest) != nil {
		t.Error("NoRequest refers to a request")
	}
	a, b := s.Alloc(), s.Alloc()
	refA := a.Ref
	if s.Get(a.Ref) != a || s.Get(b.Ref) != b {
		t.Error("a Ref does not find its request")
	}
	a.Closed = true
	s.Free(a)
	if s.Get(refA) != nil {
		t.Error("a Ref finds a request that was freed")
	}
	reused := s.Alloc()
	if reused != a || reused.Closed || s.Get(refA) != nil || s.Get(reused.Ref) != reused {
		t.Errorf("the slot is reused as %+v, and the stale Ref finds %v", reused, s.Get(refA))
	}
	if c := s.Alloc(); c == a || c == b {
		t.Error("two requests share a slot")
	}
}

// A second Free of a request must not release the slot again, which would give the slot to two requests.
func TestSlabFreeTwice(t *testing.T) {
	var s Slab
	request := s.Alloc()
	s.Free(request)
	if s.Get(request.Ref) != nil {
		t.Error("a request that was freed is found under its own Ref")
	}
	s.Free(request)
	if a, b := s.Alloc(), s.Alloc(); a == b {
		t.Errorf("two requests share slot %d", a.Ref.slot)
	}
}

func TestSlabDoesNotAllocateOnceGrown(t *testing.T) {
	var s Slab
	s.Free(s.Alloc())
	if n := testing.AllocsPerRun(100, func() { s.Free(s.Alloc()) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestTimersInOrder(t *testing.T) {
	var h TimerHeap
	var want []float64
	for i := range uint64(100) {
		at := Random(1, i)
		want = append(want, at)
		h.Add(Timer{At: at})
	}
	slices.Sort(want)
	for i, at := range want {
		if h[0].At != at {
			t.Fatalf("timer %d is due at %v, want %v", i, h[0].At, at)
		}
		h.PopMin()
	}
	if len(h) != 0 {
		t.Errorf("%d timers remain", len(h))
	}
}

func TestArcLength(t *testing.T) {
	for _, c := range []struct{ from, to, want float64 }{{0.25, 0.75, 0.5}, {0.75, 0.25, 0.5}, {-0.25, 0.25, 0.5}, {0.5, 0.5, 0}, {0.5, 2.75, 0.25}} {
		if got := ArcLength(c.from, c.to); got != c.want {
			t.Errorf("from %v to %v: %v, want %v", c.from, c.to, got, c.want)
		}
	}
}

// Hashes decide which server owns a key and must be equal on all nodes and in all versions.
func TestHashesAreStable(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"UnitInterval", UnitInterval(1), 0.7044485202539007},
		{"InitialPoint", InitialPoint("s-1"), 0.7868623057953976},
		{"Point", Key(7).Point(), 0.4532343027862311},
		{"Sample", Key(7).Sample(), 0.8520852044655691},
		{"Random", Random(3, 4), 0.8150851125281021},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
}

func TestNotExecuted(t *testing.T) {
	for result := Pending; result <= Missed; result++ {
		want := slices.Contains([]Result{Declined, ConnectFailed, NotSent, Missed}, result)
		if result.NotExecuted() != want {
			t.Errorf("result %d: %v", result, !want)
		}
	}
}

func TestAttemptLimit(t *testing.T) {
	for _, c := range []struct{ limit, classLimit, want int }{{4, 0, 4}, {4, 2, 2}, {0, 0, 1}, {100, 0, MaxAttempts}, {1, 3, 3}} {
		l := Limits{MaxAttempts: c.limit}
		if got := l.AttemptLimit(&Class{MaxAttempts: c.classLimit}); got != c.want {
			t.Errorf("limit %d, class limit %d: got %d, want %d", c.limit, c.classLimit, got, c.want)
		}
	}
}

func TestNewLoadReportIsEmpty(t *testing.T) {
	r, other := NewLoadReport(), NewLoadReport()
	for _, figure := range []float64{r.Util, r.Queue, r.Inflight, r.Latency, r.Rate, r.Errors, r.HitRatio, r.X1} {
		if !math.IsNaN(figure) {
			t.Errorf("%+v", r)
		}
	}
	if r.Present || !r.SameLoad(&other) {
		t.Errorf("%+v", r)
	}
	other.Queue = 3
	if r.SameLoad(&other) {
		t.Error("reports with different queues have the same load")
	}
}
