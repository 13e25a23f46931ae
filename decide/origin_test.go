package decide

import (
	"testing"

	"mintspring/internal/fleet"
)

// fourCachesOrigin is the origin's id where a harness lists four caches.
const fourCachesOrigin fleet.ServerID = 4

// Late writes must not close the origin to reads, nor one late read: it once left a fleet idle.
func TestOriginWindowOutlivesLateWrites(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(4)
	for i := range 40 {
		trace := h.request(deduplicatedClass, fleet.Key(i), true, clientTimeout)
		h.advance(400)
		h.endAttempt(trace, 0, fleet.Completed, fleet.CacheUnknown)
	}
	if h.node.originLimit.window < 4 || !h.node.originFree() {
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

// Where a request has one attempt only, a miss would be its end: it goes to the origin while that has capacity.
func TestLastAttemptGoesToOrigin(t *testing.T) {
	limits := testLimits()
	limits.MaxAttempts = 1
	h := newHarness(limits)
	h.listServers(4)
	for i := range 6 {
		trace := h.read(fleet.Key(i))
		if atOrigin := trace.attempts[0].server == fourCachesOrigin; atOrigin != (i < 4) {
			t.Errorf("request %d went to server %d with %d in flight at the origin", i, trace.attempts[0].server, i)
		}
	}
}

// When the origin goes silent, requests that wait for it are answered well before their deadlines, not held to them.
func TestNoRequestIsHeldForSilentOrigin(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(4)
	var held []*requestTrace
	for i := range 12 {
		trace := h.read(fleet.Key(i / 2))
		if len(trace.attempts) > 0 && trace.attempts[0].server != fourCachesOrigin {
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

// readThroughMisses sends a read and has every cache that it is sent to miss, so that it goes to the origin or waits for that.
func (h *harness) readThroughMisses(key fleet.Key) *requestTrace {
	trace := h.read(key)
	for i := 0; len(trace.attempts) > i && trace.attempts[i].server != fourCachesOrigin; i++ {
		h.miss(trace, i)
	}
	return trace
}

// While more reads want the origin than it has capacity for, those go first that can still be in time, and a request is not held
// for a response after its latency objective where that is worth nothing. Once the origin served its full rate of reads, and all
// of them late.
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
			first := h.readThroughMisses(1)
			older := h.read(2)
			h.miss(older, 0)
			h.node.origin.silentSince = h.now + 250 // it answers others
			h.advance(250)
			if held := older.answers == 0; held != c.olderHeld {
				t.Errorf("50 ms before its latency objective the older one is held: %v", held)
			}
			h.node.originLimit.latency, h.node.origin.silentSince = 55, h.now
			newer := h.read(3)
			h.miss(newer, 0)
			h.endLastAttempt(first, fleet.Completed, fleet.CacheUnknown)
			wentToOrigin := func(trace *requestTrace) bool {
				return trace.attempts[len(trace.attempts)-1].server == fourCachesOrigin
			}
			if wentToOrigin(older) != c.olderGoesFirst || wentToOrigin(newer) == c.olderGoesFirst {
				t.Errorf("the older goes first: %v, the newer: %v", wentToOrigin(older), wentToOrigin(newer))
			}
			h.expectNoViolation(t)
		})
	}
}

// Late responses bring a node of many below one read in flight at the origin, and a silent origin gets no second one.
func TestManyNodesPaceOrigin(t *testing.T) {
	h := newHarnesses(400, 4, testLimits())[0]
	for i := range 60 {
		trace := h.read(fleet.Key(i))
		if len(trace.attempts) > 0 && trace.attempts[0].server != fourCachesOrigin {
			h.miss(trace, 0)
		}
		h.advance(250)
		if k := len(trace.attempts) - 1; k >= 0 && trace.attempts[k].server == fourCachesOrigin &&
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
	if len(first.attempts) != 1 || silent.node.originFree() {
		t.Errorf("a silent origin has capacity: %v, %v", first.attempts, second.attempts)
	}
}

// The first request that finds the origin full waits for it while its response can be in time; behind others one waits only
// where that is well within its time: of a queue held to the edge half came late, and at 800 a second that cost a twentieth of
// what was worth being.
func TestOriginQueueIsShort(t *testing.T) {
	for behind, want := range []bool{true, true, false} {
		h := newHarness(testLimits())
		h.listServers(4)
		h.node.originLimit.window, h.node.originLimit.latency = 1, 60
		h.readThroughMisses(1) // is in flight at the origin
		var last *requestTrace
		for k := range behind + 1 {
			last = h.readThroughMisses(fleet.Key(2 + k))
		}
		// Behind one other it is expected after 60 x (1 + 1 + 1) = 180 ms, behind two after 240, of 300 to its objective.
		if waits := last.answers == 0; waits != want {
			t.Errorf("behind %d others it waits: %v", behind, waits)
		}
	}
}
