package decide

import (
	"testing"

	"mintspring/internal/fleet"
)

// A server that has begun to write a large response has done its work: the time until then counts as its response time, the attempt takes up none
// of its capacity, and is not cancelled because the server answers others meanwhile. Reads that an origin wrote slowly were once rejected as if it
// were overloaded.
func TestServerThatWritesSlowlyIsNotOverloaded(t *testing.T) {
	const origin, pause = fleet.ServerID(4), 300.0
	limits := testLimits()
	limits.Hedging = false
	h := newHarness(limits)
	h.listServers(int(origin))
	h.node.hedgeBudget = 10
	type transfer struct {
		trace *requestTrace
		until float64
	}
	var transfers []transfer
	for key := fleet.Key(1); h.now < harnessStart+3000; key++ {
		trace := h.read(key)
		h.advance(2)
		h.miss(trace, 0)
		if len(trace.attempts) == 2 && trace.attempts[1].server == origin {
			h.advance(3)
			h.node.ServerResponding(h.now, trace.req, 1)
			h.node.ServerResponding(h.now, trace.req, 1) // without effect
			transfers = append(transfers, transfer{trace, h.now + pause})
		}
		for len(transfers) > 0 && transfers[0].until <= h.now {
			h.hit(transfers[0].trace, 1)
			transfers = transfers[1:]
		}
		h.advance(5)
		if len(trace.attempts) != 2 {
			t.Fatalf("after %.0f ms the request has the attempts %+v", h.now-harnessStart, trace.attempts)
		}
	}
	for _, pending := range transfers {
		h.hit(pending.trace, 1)
	}
	if l := &h.node.originLimit; h.node.origin.inFlight != 0 || h.node.cacheInFlight != 0 || l.latency > 20 || l.lateShare > 0.1 {
		t.Errorf("%d attempts at the origin and %d at caches, latency %.0f ms, late %.2f", h.node.origin.inFlight, h.node.cacheInFlight, l.latency, l.lateShare)
	}
	h.expectNoViolation(t)
}

// A request whose server has stopped within its response goes to another server; after a connection was reset before the response, it goes to the same
// one, which has the key.
func TestServerThatStopsWithinItsResponseIsAvoided(t *testing.T) {
	for _, responding := range []bool{false, true} {
		limits := testLimits()
		limits.Hedging = false
		h := newHarness(limits)
		h.listServers(4)
		trace := h.read(5)
		if responding {
			h.node.ServerResponding(h.now, trace.req, 0)
		}
		h.advance(10)
		h.endAttempt(trace, 0, fleet.Reset, fleet.CacheUnknown)
		if len(trace.attempts) != 2 || (trace.attempts[1].server != trace.attempts[0].server) != responding {
			t.Errorf("responding %v: attempts %+v", responding, trace.attempts)
		}
		h.expectNoViolation(t)
	}
}
