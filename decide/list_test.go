package decide

import (
	"testing"

	"mintspring/internal/fleet"
)

// The backoff stays short even if many requests for the endpoint list fail, because the rules assume that the node knows the list soon
// after the discovery service is back.
func TestPollBackoffIsBounded(t *testing.T) {
	limits := testLimits()
	limits.Subscribe, limits.PollWithin = true, 10_000
	h := newHarness(limits)
	for i := range 20 {
		for _, wait := h.node.NextDue(h.now); h.node.Route(h.now, nil).Action != fleet.Subscribe; _, wait = h.node.NextDue(h.now) {
			h.now += max(wait, 0.01)
		}
		h.node.UpdateEndpoints(h.now, fleet.ListFailed, nil)
		failedAt := h.now
		for h.node.pollAt > h.now {
			_, wait := h.node.NextDue(h.now)
			h.now += max(wait, 0.01)
			if h.node.pollAt > h.now {
				h.node.Route(h.now, nil)
			}
		}
		if backoff := h.now - failedAt; backoff > 1500 || i == 0 && backoff > 300 {
			t.Fatalf("after %d failed polls the next comes %.0f ms later", i+1, backoff)
		}
	}
}
