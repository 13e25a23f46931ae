package decide

import (
	"testing"

	"mintspring/internal/fleet"
)

// originOfFourCaches is the id of the origin in a harness with four caches.
const originOfFourCaches fleet.ServerID = 4

// Neither late writes nor a single late read may close the origin to reads. They once did, which left a fleet idle.
func TestLateWritesDoNotShrinkOriginWindow(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(4)
	for i := range 40 {
		trace := h.request(deduplicatedClass, fleet.Key(i), true, clientTimeout)
		h.advance(400)
		h.endAttempt(trace, 0, fleet.Completed, fleet.CacheUnknown)
	}
	if h.node.originLimit.window < 4 || !h.node.originHasCapacity() {
		t.Errorf("late writes cut the window to %v", h.node.originLimit.window)
	}
	for i := range 40 {
		trace := h.read(fleet.Key(100 + i))
		h.miss(trace, 0)
		h.advance(250)
		h.endAttempt(trace, 1, fleet.Completed, fleet.CacheUnknown)
	}
	if h.node.originLimit.window > 2 {
		t.Errorf("late reads left the window at %v", h.node.originLimit.window)
	}
}

// A request that has only one attempt goes to the origin while the origin has capacity, because after a miss at a cache the request could
// not be sent again.
func TestLastAttemptGoesToOrigin(t *testing.T) {
	limits := testLimits()
	limits.MaxAttempts = 1
	h := newHarness(limits)
	h.listServers(4)
	for i := range 6 {
		trace := h.read(fleet.Key(i))
		if atOrigin := trace.attempts[0].server == originOfFourCaches; atOrigin != (i < 4) {
			t.Errorf("request %d went to server %d with %d in flight at the origin", i, trace.attempts[0].server, i)
		}
	}
}

// When the origin goes silent, requests that wait for it are answered well before their deadlines.
func TestNoRequestIsHeldForSilentOrigin(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(4)
	var held []*requestTrace
	for i := range 12 {
		trace := h.read(fleet.Key(i / 2))
		if len(trace.attempts) > 0 && trace.attempts[0].server != originOfFourCaches {
			h.miss(trace, 0)
		}
		held = append(held, trace)
	}
	h.advance(700)
	for i, trace := range held {
		if k := len(trace.attempts); trace.answers == 0 && (k == 0 || trace.attempts[k-1].result != fleet.Pending) {
			t.Errorf("request %d is still held with nothing in flight", i)
		}
	}
}

// readMissingAtCaches sends a read that misses at every cache that it is sent to, so that it goes to the origin or waits for it.
func (h *harness) readMissingAtCaches(key fleet.Key) *requestTrace {
	trace := h.read(key)
	for i := 0; len(trace.attempts) > i && trace.attempts[i].server != originOfFourCaches; i++ {
		h.miss(trace, i)
	}
	return trace
}

// While more reads need the origin than it has capacity for, those that can still be in time are sent first, and a request is not held
// for a response after its latency objective if a late response has no value. The origin once served its full rate of reads, and all of
// them late.
func TestOriginQueuePrefersRequestsInTime(t *testing.T) {
	for name, c := range map[string]struct {
		lateFactor     float64
		olderHeld      bool // the older request is still held shortly before its latency objective
		olderGoesFirst bool
	}{
		"late is worth nothing": {0, false, false},
		"late is worth half":    {0.5, true, false},
		"late is worth as much": {1, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits()
			limits.Classes[idempotentClass].LateWeightFactor = c.lateFactor
			h := newHarness(limits)
			h.listServers(4)
			h.node.originLimit.window, h.node.originLimit.latency = 1, 100
			first := h.readMissingAtCaches(1)
			older := h.read(2)
			h.miss(older, 0)
			h.node.origin.silentSince = h.now + 250 // the origin responds to others
			h.advance(250)
			if held := older.answers == 0; held != c.olderHeld {
				t.Errorf("50 ms before its latency objective the older request is held: %v", held)
			}
			h.node.originLimit.latency, h.node.origin.silentSince = 55, h.now
			newer := h.read(3)
			h.miss(newer, 0)
			h.endLastAttempt(first, fleet.Completed, fleet.CacheUnknown)
			wentToOrigin := func(trace *requestTrace) bool {
				return trace.attempts[len(trace.attempts)-1].server == originOfFourCaches
			}
			if wentToOrigin(older) != c.olderGoesFirst || wentToOrigin(newer) == c.olderGoesFirst {
				t.Errorf("the older request went to the origin: %v, the newer one: %v", wentToOrigin(older), wentToOrigin(newer))
			}
			h.expectNoViolation(t)
		})
	}
}

// In a large fleet, late responses reduce the window of a node at the origin below one read. A silent origin gets no second read.
func TestOriginWindowBelowOneRead(t *testing.T) {
	h := newHarnesses(400, 4, testLimits())[0]
	for i := range 60 {
		trace := h.read(fleet.Key(i))
		if len(trace.attempts) > 0 && trace.attempts[0].server != originOfFourCaches {
			h.miss(trace, 0)
		}
		h.advance(250)
		if k := len(trace.attempts) - 1; k >= 0 && trace.attempts[k].server == originOfFourCaches &&
			trace.attempts[k].result == fleet.Pending {
			h.endAttempt(trace, k, fleet.Completed, fleet.CacheUnknown)
		}
	}
	if window := h.node.originLimit.window; window > 0.5 {
		t.Errorf("late responses left a window of %v at one of 400 nodes", window)
	}
	silent := newHarness(testLimits())
	silent.listServers(4)
	first := silent.request(deduplicatedClass, 5, true, clientTimeout)
	silent.advance(200)
	second := silent.request(deduplicatedClass, 6, true, clientTimeout)
	if len(first.attempts) != 1 || silent.node.originHasCapacity() {
		t.Errorf("a silent origin has capacity: %v, %v", first.attempts, second.attempts)
	}
}

// The first request that finds the origin full waits for it while its response can be in time. Behind others, a request waits only if
// its response is expected well within its time: when the queue was filled up to the limit, half of its responses were late, which at
// 800 requests a second cost a twentieth of the value that could have been reached.
func TestOriginQueueIsShort(t *testing.T) {
	for behind, want := range []bool{true, true, false} {
		h := newHarness(testLimits())
		h.listServers(4)
		h.node.originLimit.window, h.node.originLimit.latency = 1, 60
		h.readMissingAtCaches(1) // stays in flight at the origin
		var last *requestTrace
		for k := range behind + 1 {
			last = h.readMissingAtCaches(fleet.Key(2 + k))
		}
		// The response is expected after 60 x (1 + 1 + 1) = 180 ms behind one other request, after 240 ms behind two. The objective is 300 ms.
		if waits := last.answers == 0; waits != want {
			t.Errorf("behind %d others it waits: %v", behind, waits)
		}
	}
}

// A write that takes longer than a read may, and no longer than the objective of its class, widens the origin's window. The limit of reads in its
// place once passed all tests.
func TestWriteWithinItsObjectiveWidensOriginWindow(t *testing.T) {
	for _, tt := range []struct {
		took  float64
		wider bool
	}{{classObjective / 2, true}, {classObjective - 1, true}, {classObjective + 1, false}} {
		h := newHarness(testLimits())
		h.listServers(4)
		h.node.originLimit.window = 2
		write := h.request(deduplicatedClass, 5, true, clientTimeout)
		h.advance(tt.took)
		h.endAttempt(write, 0, fleet.Completed, fleet.CacheUnknown)
		if window := h.node.originLimit.window; (window > 2) != tt.wider {
			t.Errorf("after a write of %v ms the window is %v", tt.took, window)
		}
	}
}
