package decide

import (
	"testing"

	"mintspring/internal/fleet"
)

// When a connection goes silent while its server responds on others, the attempt is cancelled well before its timeout and the request
// is sent to the same server again: a cache has the key, and after a miss the origin does.
func TestAttemptOnSilentConnectionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		lostAttempt                 int     // index of the attempt that is lost: 0 at the cache, 1 at the origin
		lateShare                   float64 // while responses are late, long attempts are no sign of a lost connection
		replacedFrom, replacedUntil float64 // ms after the lost attempt was sent
	}{{0, 0, 0, 400}, {1, 0, 0, 400}, {0, 1, 220, 900}} {
		h, lost := loseAttempt(c.lostAttempt, c.lateShare)
		i := c.lostAttempt
		took := h.now - lost.attempts[i].sentAt
		replaced := len(lost.attempts) == i+2 &&
			(lost.attempts[i+1].server == lost.attempts[i].server || c.lateShare > 0)
		if !replaced || took < c.replacedFrom || took > c.replacedUntil {
			t.Errorf("the request with the lost attempt has %+v at %v", lost.attempts, h.now)
		}
		h.expectNoViolation(t)
	}
}

// loseAttempt leaves one attempt of a request without a response while others are answered, until the request has another attempt.
func loseAttempt(lostAttempt int, lateShare float64) (*harness, *requestTrace) {
	limits := testLimits()
	limits.Hedging = false
	h := newHarness(limits)
	h.listServers(4)
	readWithAttempt := func(key fleet.Key) *requestTrace {
		trace := h.read(key)
		if lostAttempt == 1 {
			h.miss(trace, 0)
		}
		return trace
	}
	for i := range 200 {
		h.hit(readWithAttempt(fleet.Key(i)), lostAttempt)
		h.advance(5)
	}
	h.node.lateShare = lateShare
	lost := readWithAttempt(7)
	for key := fleet.Key(1000); len(lost.attempts) == lostAttempt+1 && h.now < 3000; key++ {
		trace := readWithAttempt(key)
		h.advance(5)
		h.hit(trace, lostAttempt)
	}
	return h, lost
}

// A hedged request that is sent to another cache because the owner is silent goes on to the origin when it misses. Such a request was
// once left without another attempt until its deadline.
func TestHedgeThatMissesGoesToOrigin(t *testing.T) {
	const origin fleet.ServerID = 3
	h := newHarness(testLimits())
	h.listServers(int(origin))
	h.node.originLimit.window = 2
	trace := h.read(5)
	h.advance(60)
	h.request(deduplicatedClass, 7, true, clientTimeout) // half of the window is used: the first hedge goes to a cache
	h.advance(100)
	if len(trace.attempts) != 2 || trace.attempts[1].server == origin {
		t.Fatalf("no hedge at another cache: %v", trace.attempts)
	}
	h.miss(trace, 1)
	if len(trace.attempts) != 3 || trace.attempts[2].server != origin {
		t.Errorf("attempts %v", trace.attempts)
	}
	h.expectNoViolation(t)
}
