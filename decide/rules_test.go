package decide

import (
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/fleet"
)

// No generated sequence of events may lead to a decision that the harness's model of the rules forbids.
func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(drawLimits(t))
		servers := rapid.IntRange(1, 6).Draw(t, "servers")
		h.listServers(servers)
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				h.drawRequest(t)
			case 3, 4, 5:
				h.drawOutcome(t)
			case 6, 7:
				h.advance(rapid.Float64Range(1, 400).Draw(t, "time"))
			case 8:
				h.drawListChange(t, servers)
			case 9:
				h.drawClientGone(t)
			}
		}
		h.advance(1500)
		if h.violation != "" {
			t.Fatal(h.violation)
		}
	})
}

// drawLimits generates the limits of a node.
func drawLimits(t *rapid.T) fleet.Limits {
	limits := testLimits()
	limits.Seed = rapid.Uint64().Draw(t, "seed")
	limits.Hedging = rapid.Bool().Draw(t, "hedging")
	limits.Cancellation = rapid.Bool().Draw(t, "cancellation")
	limits.SendRetryAfter = rapid.Bool().Draw(t, "retry after")
	limits.MaxRetryAfter = rapid.Float64Range(0, 300).Draw(t, "max retry after")
	limits.MaxAttempts = rapid.IntRange(1, 5).Draw(t, "max attempts")
	if rapid.Bool().Draw(t, "no origin") {
		limits.OriginKind = -1
	}
	for i := range limits.Classes {
		limits.Classes[i].DedupScope = fleet.DedupScope(rapid.IntRange(0, 2).Draw(t, "scope"))
		limits.Classes[i].DedupWindow = rapid.Float64Range(50, 1000).Draw(t, "dedup window")
	}
	return limits
}

// drawRequest has a client send a generated request.
func (h *harness) drawRequest(t *rapid.T) {
	class := fleet.ClassID(rapid.IntRange(0, 2).Draw(t, "class"))
	key := fleet.Key(rapid.IntRange(1, 12).Draw(t, "key"))
	write := rapid.Bool().Draw(t, "write")
	h.request(class, key, write, rapid.Float64Range(1, 900).Draw(t, "timeout"))
}

// drawOutcome ends the first pending attempt of an open request, if there is one.
func (h *harness) drawOutcome(t *rapid.T) {
	if len(h.open) == 0 {
		return
	}
	results := []fleet.Result{
		fleet.Completed, fleet.Completed, fleet.Missed, fleet.Missed, fleet.Failed,
		fleet.Declined, fleet.ConnectFailed, fleet.Reset, fleet.NotSent,
	}
	trace := rapid.SampledFrom(h.open).Draw(t, "request")
	for i := range trace.attempts {
		if trace.attempts[i].result == fleet.Pending {
			h.endAttempt(trace, i, rapid.SampledFrom(results).Draw(t, "result"), fleet.CacheHit)
			return
		}
	}
}

// drawListChange changes the state of a server, and perhaps restarts it.
func (h *harness) drawListChange(t *rapid.T, servers int) {
	e := h.list[fleet.ServerID(rapid.IntRange(0, servers).Draw(t, "server"))]
	e.State = fleet.State(rapid.IntRange(0, 2).Draw(t, "state"))
	if rapid.Bool().Draw(t, "restart") {
		e.StartedAt = h.now
	}
	h.updateList(fleet.ListDelta, e)
}

// drawClientGone has the client of an open request leave.
func (h *harness) drawClientGone(t *rapid.T) {
	if len(h.open) == 0 {
		return
	}
	trace := rapid.SampledFrom(h.open).Draw(t, "client gone")
	if req := h.slab.Get(trace.ref); req != nil && trace.answers == 0 && !trace.clientGone {
		trace.clientGone = true
		h.node.ClientGone(h.now, req)
		h.routeAllDue()
	}
}

// enforce replaces a proposed attempt that a rule forbids by the nearest decision that the rules allow. The generated histories of
// TestRulesHold do not reach most of these cases, because chooseDecision avoids them too.
func TestEnforceForbids(t *testing.T) {
	const target fleet.ServerID = 0
	for name, c := range map[string]struct {
		arrange func(h *harness, req *fleet.Request)
		want    fleet.Action
	}{
		"nothing forbids it": {func(*harness, *fleet.Request) {}, fleet.Send},
		"draining server": {func(h *harness, _ *fleet.Request) {
			e := h.list[target]
			e.State = fleet.Draining
			h.updateList(fleet.ListDelta, e)
		}, fleet.Reject},
		"attempts used up": {func(h *harness, req *fleet.Request) {
			req.NumAttempts = h.limits.MaxAttempts
			for i := range req.Attempts[:req.NumAttempts] {
				req.Attempts[i].Result = fleet.Missed
			}
		}, fleet.Reject},
		"deadline passed":      {func(h *harness, req *fleet.Request) { req.Deadline = h.now }, fleet.Reject},
		"response is streamed": {func(_ *harness, req *fleet.Request) { req.Streaming = true }, fleet.Reject},
		"non-idempotent, may have been executed": {func(_ *harness, req *fleet.Request) {
			req.Class, req.NumAttempts = nonIdempotentClass, 1
			req.Attempts[0] = fleet.Attempt{Server: 1, Result: fleet.TimedOut}
		}, fleet.Abort},
		"in flight already, no hedging": {func(h *harness, req *fleet.Request) {
			h.node.limits.hedging = false
			req.NumAttempts, req.InFlight = 1, 1
			req.Attempts[0] = fleet.Attempt{Server: 1, Result: fleet.Pending}
		}, fleet.Hold},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(testLimits())
			h.listServers(3)
			req := newRead(&h.slab, h.now, 5)
			c.arrange(h, req)
			d := h.node.enforce(req, h.node.send(req, h.node.servers[target]))
			if d.Action != c.want {
				t.Errorf("action %d, want %d", d.Action, c.want)
			}
			if answered := d.Action == fleet.Reject || d.Action == fleet.Abort; req.Closed != answered {
				t.Errorf("closed: %v after action %d", req.Closed, d.Action)
			}
		})
	}
}

// A request that enforce holds, since it has an attempt in flight and may have no other, is decided on again at its deadline and no later. A
// change of that bound once passed all tests.
func TestHeldRequestIsDueAtItsDeadline(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(3)
	h.node.limits.hedging = false
	req := newRead(&h.slab, h.now, 5)
	req.NumAttempts, req.InFlight = 1, 1
	req.Attempts[0] = fleet.Attempt{Server: 1, Result: fleet.Pending}
	h.node.enforce(req, h.node.send(req, h.node.servers[0]))
	if ref, _ := h.node.NextDue(req.Deadline - 1); ref == req.Ref {
		t.Error("the request is due before its deadline")
	}
	for now := req.Deadline; ; now++ {
		ref, wait := h.node.NextDue(now)
		if ref == req.Ref {
			return
		}
		if wait > 0 {
			t.Fatal("the request is not due at its deadline")
		}
		h.node.Route(now, nil) // the node's own maintenance
	}
}
