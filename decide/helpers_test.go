package decide

import (
	"fmt"
	"math"
	"testing"

	"mintspring/internal/fleet"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// Request classes of testLimits.
const (
	idempotentClass    fleet.ClassID = 0
	deduplicatedClass  fleet.ClassID = 1
	nonIdempotentClass fleet.ClassID = 2
	clientTimeout                    = 900.0 // ms, of all classes
	classObjective                   = 300.0 // ms, latency objective of all classes
	testWarmUpTime                   = 20_000.0
	harnessStart                     = 1000.0 // ms, start of every harness
	maxDecisionsAtOnce               = 10_000 // more decisions at one moment are treated as an endless loop
)

// testLimits are the limits of a single node in a fleet of caches with an origin. The classes are idempotent, deduplicated and
// non-idempotent.
func testLimits() fleet.Limits {
	return fleet.Limits{
		Seed: 5, Nodes: 1, OriginKind: 1, MaxAttempts: 4, Hedging: true,
		Cancellation:   true,
		SendRetryAfter: true, MaxRetryAfter: 1000, StopSendingWithin: 500, ColdCapacity: 0.2, WarmUpTime: testWarmUpTime,
		OverloadFactor: 4, OverloadBurst: 2000, AnswerSlack: 20, Quantum: 5, Classes: []fleet.Class{
			{LatencyObjective: classObjective, ClientTimeout: clientTimeout, PriorityWeight: 1},
			{
				LatencyObjective: classObjective, ClientTimeout: clientTimeout, PriorityWeight: 3,
				Effect: fleet.Deduplicated, DedupWindow: 1000,
			},
			{LatencyObjective: classObjective, ClientTimeout: clientTimeout, PriorityWeight: 2, Effect: fleet.NonIdempotent},
		},
	}
}

// endpointList lists caches 0..servers-1 and the origin after them, all without zones.
func endpointList(servers int) []fleet.Endpoint {
	var list []fleet.Endpoint
	for i := range servers {
		list = append(list, fleet.Endpoint{ID: fleet.ServerID(i), Name: fmt.Sprint("s", i), State: fleet.Ready, NominalCapacity: 1})
	}
	return append(list, fleet.Endpoint{ID: fleet.ServerID(servers), Name: "origin", Kind: 1, State: fleet.Ready, NominalCapacity: 1})
}

// newRead puts a read of a key into the slab.
func newRead(slab *fleet.Slab, now float64, key fleet.Key) *fleet.Request {
	req := slab.Alloc()
	req.Key, req.HasKey, req.ArrivedAt, req.Deadline = key, true, now, now+clientTimeout
	return req
}

// cacheHit is the outcome of an attempt that a cache completed.
func cacheHit(attempt int, took float64, report fleet.LoadReport) fleet.Outcome {
	return fleet.Outcome{
		Attempt: attempt, Result: fleet.Completed, Took: took, Closed: true, Cache: fleet.CacheHit, Report: report,
	}
}

// utilizationReport is a load report that states nothing but the utilization.
func utilizationReport(utilization float64) fleet.LoadReport {
	r := fleet.NewLoadReport()
	r.Present, r.Util = true, utilization
	return r
}

// routeDue calls Route for everything that is due now.
func routeDue(n *Node, slab *fleet.Slab, now float64) {
	for {
		ref, wait := n.NextDue(now)
		if wait > 0 {
			return
		}
		n.Route(now, slab.Get(ref))
	}
}

// harness is the caller of one node. It records the history of every request, carries out the decisions, and checks them against a
// model of the four rules that depends on the history alone.
type harness struct {
	limits        fleet.Limits
	node          *Node
	slab          fleet.Slab
	now           float64
	list          map[fleet.ServerID]fleet.Endpoint
	open          []*requestTrace
	lostWhileIdle bool   // outcomes say that the connection had been idle when it was lost
	violation     string // the first violation of a rule; empty: none
}

// requestTrace is the history of one request.
type requestTrace struct {
	req        *fleet.Request
	ref        fleet.Ref
	deadline   float64
	answers    int
	clientGone bool
	attempts   []attemptTrace
}

// attemptTrace is the history of one attempt.
type attemptTrace struct {
	server    fleet.ServerID
	sentAt    float64
	expiresAt float64
	result    fleet.Result
}

// mayHaveExecuted reports whether the attempt may have had an effect or may still have one.
func (a attemptTrace) mayHaveExecuted() bool { return !a.result.NotExecuted() }

func newHarness(limits fleet.Limits) *harness {
	h := &harness{limits: limits, now: harnessStart, list: map[fleet.ServerID]fleet.Endpoint{}}
	h.node = New(h.now, limits, &h.slab)
	return h
}

// newHarnesses starts nodes that all have the same endpoint list.
func newHarnesses(nodes, servers int, limits fleet.Limits) []*harness {
	var all []*harness
	limits.Nodes = nodes
	for i := range nodes {
		limits.Seed = uint64(i + 1)
		h := newHarness(limits)
		h.listServers(servers)
		all = append(all, h)
	}
	return all
}

// listServers lists caches 0..n-1, in two zones and three cells, and the origin n.
func (h *harness) listServers(n int) {
	var list []fleet.Endpoint
	for i := range n + 1 {
		e := fleet.Endpoint{
			ID: fleet.ServerID(i), Name: fmt.Sprintf("cache-%d", i), State: fleet.Ready,
			Zone: fleet.ZoneID(i % 2), Cell: fleet.CellID(i % 3),
		}
		if i == n && h.limits.OriginKind >= 0 {
			e.Kind, e.Name = h.limits.OriginKind, "origin"
		}
		list = append(list, e)
	}
	h.updateList(fleet.ListFull, list...)
}

func (h *harness) updateList(mode fleet.ListMode, entries ...fleet.Endpoint) {
	if mode == fleet.ListFull {
		for id, e := range h.list {
			e.State = fleet.Gone
			h.list[id] = e
		}
	}
	for _, e := range entries {
		h.list[e.ID] = e
	}
	h.node.UpdateEndpoints(h.now, mode, entries)
	h.routeAllDue()
}

// request sends a request of a client that waits for timeout ms.
func (h *harness) request(class fleet.ClassID, key fleet.Key, write bool, timeout float64) *requestTrace {
	req := h.slab.Alloc()
	req.Class, req.Key, req.HasKey, req.Write = class, key, true, write
	req.ArrivedAt, req.Deadline = h.now, h.now+timeout
	trace := &requestTrace{req: req, ref: req.Ref, deadline: req.Deadline}
	h.open = append(h.open, trace)
	h.apply(trace, h.node.Route(h.now, req))
	h.routeAllDue()
	return trace
}

// read sends an idempotent read of a client.
func (h *harness) read(key fleet.Key) *requestTrace {
	return h.request(idempotentClass, key, false, clientTimeout)
}

// ownerOf returns the server whose arc on the ring of all caches holds a key.
func (h *harness) ownerOf(key fleet.Key) *server {
	return h.node.ring.serverAt(h.node.ring.ownerIndex(key.Point()))
}

// recordViolation keeps the first violation of a rule.
func (h *harness) recordViolation(format string, args ...any) {
	if h.violation == "" {
		h.violation = fmt.Sprintf("at %.0f: ", h.now) + fmt.Sprintf(format, args...)
	}
}

// expectNoViolation fails the test if a decision broke a rule.
func (h *harness) expectNoViolation(t *testing.T) {
	t.Helper()
	if h.violation != "" {
		t.Error(h.violation)
	}
}

// apply checks a decision against the rules and carries it out.
func (h *harness) apply(trace *requestTrace, d fleet.Decision) {
	switch d.Action {
	case fleet.Send:
		h.checkSend(trace, d)
		expiresAt := min(h.now+max(d.Timeout, 0), trace.deadline)
		trace.attempts = append(trace.attempts, attemptTrace{d.Server, h.now, expiresAt, fleet.Pending})
	case fleet.Reject, fleet.Abort:
		trace.answers++
		h.checkAnswer(trace, d)
		if d.RetryAfter > 0 && (!h.limits.SendRetryAfter || d.RetryAfter > h.limits.MaxRetryAfter) {
			h.recordViolation("a Retry-After of %v ms is not permitted", d.RetryAfter)
		}
	case fleet.Probe, fleet.Broadcast:
		h.recordViolation("action %d is not permitted by the limits", d.Action)
	case fleet.Cancel:
		if !h.limits.Cancellation {
			h.recordViolation("cancellation is not permitted by the limits")
		}
		if a := trace.attempts[d.Attempt]; a.result == fleet.Pending {
			h.endAttempt(trace, d.Attempt, fleet.Cancelled, fleet.CacheUnknown)
		}
	}
}

// checkSend checks whether one more attempt may be sent.
func (h *harness) checkSend(trace *requestTrace, d fleet.Decision) {
	if trace.answers > 0 || trace.clientGone || h.now >= trace.deadline {
		h.recordViolation("sent an attempt of a request that is answered, abandoned or past its deadline")
	}
	if s := h.list[d.Server]; s.State != fleet.Ready {
		h.recordViolation("sent to server %d in state %d", d.Server, s.State)
	}
	if len(trace.attempts) >= h.limits.MaxAttempts {
		h.recordViolation("sent %d attempts", len(trace.attempts)+1)
	}
	for _, earlier := range trace.attempts {
		if earlier.result == fleet.Pending && !h.limits.Hedging {
			h.recordViolation("two attempts in flight without hedging")
		}
		if earlier.mayHaveExecuted() {
			h.checkRepeat(h.limits.Classes[trace.req.Class], earlier, d)
		}
	}
}

// checkRepeat checks whether one more attempt can repeat the effect of an earlier one that may have executed.
func (h *harness) checkRepeat(class fleet.Class, earlier attemptTrace, d fleet.Decision) {
	if class.Effect == fleet.Idempotent {
		return
	}
	to, from := h.list[d.Server], h.list[earlier.server]
	inScope := class.DedupScope == fleet.DedupAll || class.DedupScope == fleet.DedupZone && to.Zone == from.Zone ||
		class.DedupScope == fleet.DedupCell && to.Cell == from.Cell
	repeatableUntil := earlier.sentAt + class.DedupWindow
	if class.Effect == fleet.NonIdempotent ||
		class.Effect == fleet.Deduplicated && (!inScope || h.now > repeatableUntil) {
		h.recordViolation("a request with effect %d may be executed twice", class.Effect)
	}
	sendableUntil := d.SendBy
	if sendableUntil == 0 {
		sendableUntil = math.Inf(1)
	}
	if class.Effect == fleet.Deduplicated && sendableUntil > repeatableUntil {
		h.recordViolation("an attempt may be sent until %v, when servers no longer drop repeats", sendableUntil)
	}
}

// checkAnswer checks whether the node may reject or abort a request.
func (h *harness) checkAnswer(trace *requestTrace, d fleet.Decision) {
	if trace.answers > 1 || trace.clientGone {
		h.recordViolation("answered twice or after the client had gone")
	}
	class := h.limits.Classes[trace.req.Class]
	mayReject := class.Effect == fleet.Idempotent ||
		class.Effect == fleet.Deduplicated && class.DedupScope == fleet.DedupAll
	for _, a := range trace.attempts {
		if d.Action == fleet.Reject && a.mayHaveExecuted() && !mayReject {
			h.recordViolation("rejected a request that may have been executed")
		}
	}
}

// endAttempt reports the outcome of an attempt.
func (h *harness) endAttempt(trace *requestTrace, i int, result fleet.Result, cache fleet.CacheStatus) {
	a := &trace.attempts[i]
	a.result = result
	answered := result == fleet.Completed && trace.answers == 0 && !trace.clientGone
	if answered {
		trace.answers++
	}
	o := fleet.Outcome{
		Attempt: i, Result: result, Took: h.now - a.sentAt, Closed: answered || trace.answers > 0 || trace.clientGone,
		StaleConnection: h.lostWhileIdle, Cache: cache, Report: fleet.NewLoadReport(),
	}
	if req := h.slab.Get(trace.ref); req != nil {
		h.apply(trace, h.node.AttemptDone(h.now, req, o))
	}
	h.routeAllDue()
}

// endLastAttempt reports the outcome of the last attempt of a request.
func (h *harness) endLastAttempt(trace *requestTrace, result fleet.Result, cache fleet.CacheStatus) {
	h.endAttempt(trace, len(trace.attempts)-1, result, cache)
}

// hit completes an attempt with a cache hit.
func (h *harness) hit(trace *requestTrace, i int) {
	h.endAttempt(trace, i, fleet.Completed, fleet.CacheHit)
}

// miss ends an attempt with a cache miss.
func (h *harness) miss(trace *requestTrace, i int) {
	h.endAttempt(trace, i, fleet.Missed, fleet.CacheMiss)
}

// routeAllDue calls Route for everything that is due now and carries out the decisions.
func (h *harness) routeAllDue() {
	for range maxDecisionsAtOnce {
		ref, wait := h.node.NextDue(h.now)
		if wait > 0 {
			return
		}
		req := h.slab.Get(ref)
		h.apply(h.traceOf(req), h.node.Route(h.now, req))
	}
	h.recordViolation("NextDue does not stop returning due requests or maintenance")
}

// traceOf returns the history of an open request, or nil.
func (h *harness) traceOf(req *fleet.Request) *requestTrace {
	for _, trace := range h.open {
		if req != nil && trace.ref == req.Ref {
			return trace
		}
	}
	return nil
}

// advance lets time pass in small steps, ends attempts whose timeout has passed, and checks that requests are answered in time.
func (h *harness) advance(ms float64) {
	for end := h.now + ms; h.now < end; {
		_, wait := h.node.NextDue(h.now)
		h.now = min(end, math.Floor(h.now)+h.limits.Quantum, h.now+max(wait, 0.001))
		h.expireAttempts()
		h.routeAllDue()
		h.freeOverdue()
	}
}

// expireAttempts ends the attempts whose timeout has passed.
func (h *harness) expireAttempts() {
	for _, trace := range h.open {
		for i := range trace.attempts {
			if trace.attempts[i].result == fleet.Pending && h.now >= trace.attempts[i].expiresAt {
				h.endAttempt(trace, i, fleet.TimedOut, fleet.CacheUnknown)
			}
		}
	}
}

// freeOverdue frees the requests whose deadline has passed, all of which must have been answered.
func (h *harness) freeOverdue() {
	open := h.open[:0]
	for _, trace := range h.open {
		overdue := h.now > trace.deadline+h.limits.AnswerSlack
		if overdue && trace.answers == 0 && !trace.clientGone {
			h.recordViolation("no answer by the deadline")
		}
		if !overdue {
			open = append(open, trace)
		} else if req := h.slab.Get(trace.ref); req != nil {
			h.slab.Free(req)
		}
	}
	h.open = open
}
