// Package decide makes every routing decision of a node: which server gets a request, whether the request is retried
// or hedged, and what is rejected. It does no I/O and reads no clock; times are ms of its caller's clock.
//
// The caller allocates each request in the slab that it shares with the Node. Route sends, holds or answers a
// request, AttemptDone returns the decision after the end of an attempt, and NextDue returns how long to sleep and which
// request to pass to Route next (none: the node's own maintenance is due). The other methods report events or read and
// set state. ring.go adjusts ring points, health.go tracks the health of servers, responding.go reviews attempts whose
// responses have begun, admit.go limits the load on the origin and on cold servers, list.go applies the endpoint list, snapshot.go
// exports and restores state.
// One goroutine must own a Node.
//
// The ring and its adjustment follow a thesis. The comments call it the thesis and mark deviations from it.
package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/hotkeys"
	"mintspring/internal/slowstart"
)

// Stages of an open request.
const (
	stageNew         uint8 = iota
	stageAtCache           // an attempt is in flight at a cache
	stageNeedsOrigin       // to be sent to the origin
	stageQueued            // waits for capacity at the origin
	stageAtOrigin          // an attempt is in flight at the origin
	stageReroute           // to be routed again
)

// Node is the routing state of one node of the fleet. Nodes share no state.
type Node struct {
	limits              limits
	requests            *fleet.Slab
	now                 float64
	seed, randomCounter uint64

	servers                    []*server        // by ServerID; nil for an id that was never listed
	hashOrder                  []fleet.ServerID // all of servers, by hashPoint
	ring                       hashRing         // all caches
	zoneRing                   hashRing         // the caches of this node's zone
	hasColdServer              bool             // a server on a ring was in slow start when applyShedShares was last called
	meanUtil, zoneShare        float64          // meanUtil: of caches; zoneShare: share of keys routed by zoneRing
	origin                     *server          // nil: none is ready
	pollAt                     float64          // time of the next request for the endpoint list; +Inf: a watch is open
	adjustAt                   float64          // time of the next adjustment of ring points
	failedPolls, cacheInFlight int              // failedPolls: consecutive; cacheInFlight: attempts in flight at caches

	timers              fleet.TimerHeap
	originLimit         originLimiter
	responses           responseRecord
	slowStart           slowstart.Meter
	keyCounts           hotkeys.Counts
	hedgeBudget         float64 // hedged requests that may be sent now
	maxConnectedServers float64 // caches that this node may stay connected to; +Inf: no limit is known
	lateShare           float64 // moving share of cache responses that were late or nearly late
}

// requestClass is the part of a request class that decisions depend on.
type requestClass struct {
	effect                 fleet.Effect
	scope                  fleet.DedupScope
	dedupWindow, objective float64 // dedupWindow: time for which servers drop repeats; objective: latency objective
	maxWait                float64 // in overload, a request with a higher expected latency is not sent to a cache
	priority, lateFactor   float64 // priority: priority weight; lateFactor: factor on priority for a late response
	maxAttempts            int
	mayHedgeOrCancel       bool // an attempt in flight may be hedged, or cancelled and replaced
}

// limits are derived from the settings, which are not kept.
type limits struct {
	classes                        []requestClass
	zone                           fleet.ZoneID
	nodesPerZone, hedgeRate        float64      // nodesPerZone: mean number of nodes in a zone; hedgeRate: hedged requests per attempt
	originKind                     fleet.KindID // below 0: there is no origin, caches fetch missing keys themselves
	hedging, cancellation          bool         // hedging: two attempts may be in flight; cancellation: an attempt may be cancelled
	serversRefuseWhenFull          bool         // a server at its connection limit refuses connects, as one that is down does
	maxRetryAfter                  float64      // 0: rejections have no Retry-After
	minObjective, minWindow        float64      // minObjective: shortest latency objective; minWindow: smallest window at the origin
	deadlineMargin, adjustInterval float64      // deadlineMargin: reserve before a deadline; adjustInterval: time between ring adjustments
	maxPollInterval                float64      // time within which the endpoint list is requested again; 0: it is pushed
	coldCapacity, warmUpTime       float64      // coldCapacity: share of capacity at a server's start; warmUpTime: until its full capacity
	coldLoadFactor, coldBurst      float64      // allowed on a cold server; coldLoadFactor: load per capacity; coldBurst: ms of it at once
}

// deriveLimits computes the limits from the settings.
func deriveLimits(l fleet.Limits) limits {
	d := limits{
		zone: l.Zone, nodesPerZone: float64(l.Nodes) / float64(max(1, l.Zones)), originKind: l.OriginKind,
		hedging: l.Hedging, cancellation: l.Cancellation, serversRefuseWhenFull: l.FullServersRefuse, minObjective: math.Inf(1),
		hedgeRate: 0.05 / (0.5 + 2*l.UnusedAttemptCost), minWindow: min(1, max(0.1, 8/float64(max(1, l.Nodes)))),
		coldCapacity: l.ColdCapacity, warmUpTime: l.WarmUpTime,
		coldLoadFactor: l.OverloadFactor / 2, coldBurst: l.OverloadBurst / 2, deadlineMargin: l.Quantum,
	}
	maxPriority := 1e-9
	for _, class := range l.Classes {
		d.minObjective, maxPriority = min(d.minObjective, class.LatencyObjective), max(maxPriority, class.PriorityWeight)
	}
	if len(l.Classes) == 0 || d.minObjective <= 0 {
		d.minObjective = 1000
	}
	for _, class := range l.Classes {
		d.classes = append(d.classes, requestClass{
			effect: class.Effect, scope: class.DedupScope, dedupWindow: class.DedupWindow, objective: class.LatencyObjective,
			priority: class.PriorityWeight, lateFactor: class.LateWeightFactor, maxAttempts: l.AttemptLimit(&class),
			// In overload, late responses take the place of responses in time, and an overloaded server loses
			// capacity. The maximum wait is therefore short, and shorter for lower priorities.
			maxWait:          class.LatencyObjective * (1 + class.LateWeightFactor) * (0.3 + 0.2*class.PriorityWeight/maxPriority),
			mayHedgeOrCancel: class.Effect == fleet.Idempotent && (l.Hedging || l.Cancellation),
		})
	}
	d.deadlineMargin += d.minObjective / 100
	if d.adjustInterval = d.minObjective; l.WarmUpTime > 0 {
		d.adjustInterval = l.WarmUpTime / 20
	}
	if l.SendRetryAfter {
		d.maxRetryAfter = l.MaxRetryAfter
	}
	if l.Subscribe {
		if d.maxPollInterval = l.PollWithin; d.maxPollInterval <= 0 {
			d.maxPollInterval = 10 * d.minObjective
		}
	}
	return d
}

// New returns a node that has learned nothing yet. Its caller adds the requests to slab.
func New(now float64, l fleet.Limits, slab *fleet.Slab) *Node {
	n := &Node{limits: deriveLimits(l), requests: slab, now: now, seed: l.Seed}
	n.maxConnectedServers, n.zoneShare, n.meanUtil, n.pollAt = math.Inf(1), 1, 0.5, now
	if l.Hedging {
		n.hedgeBudget = 3 // at first no server is known to be fast, and a hedged request costs little
	}
	n.originLimit = originLimiter{window: 4, latency: n.limits.minObjective / 4}
	if n.limits.maxPollInterval == 0 {
		n.pollAt = math.Inf(1)
	}
	n.adjustAt = now + n.limits.adjustInterval*(0.5+0.5*n.random())
	return n
}

// Reconfigure replaces the limits. The class ids must keep their meaning. The ring, the health of servers and the
// traffic measurements are kept.
func (n *Node) Reconfigure(now float64, l fleet.Limits) { n.now, n.limits = now, deriveLimits(l) }

// random returns a number in [0,1) that is hashed from the seed and a counter, so that equal events lead to equal
// decisions.
func (n *Node) random() float64 {
	n.randomCounter++
	return fleet.Random(n.seed, n.randomCounter)
}

// Route sends, holds or answers req. Without a request it does the node's maintenance.
func (n *Node) Route(now float64, req *fleet.Request) fleet.Decision {
	n.now = now
	if req == nil {
		return n.maintain()
	}
	if req.Closed || req.Streaming {
		return fleet.Decision{}
	}
	if !req.HasKey && req.NumAttempts == 0 {
		req.Key = fleet.Key(n.random() * (1 << 53)) // a request without a key goes to a random point of the ring
	}
	if req.Stage == stageNew && req.HasKey {
		n.keyCounts.Add(uint64(req.Key))
	}
	return n.enforce(req, n.chooseDecision(req))
}

// AttemptDone records the end of an attempt and returns the next decision for its request.
func (n *Node) AttemptDone(now float64, req *fleet.Request, o fleet.Outcome) fleet.Decision {
	n.now = now
	if o.Attempt < 0 || o.Attempt >= req.NumAttempts || req.Attempts[o.Attempt].Result != fleet.Pending {
		return fleet.Decision{}
	}
	attempt := &req.Attempts[o.Attempt]
	s := n.servers[attempt.Server]
	if req.Uploading {
		n.recordSend(s, req) // the attempt ended during its upload, so its start is not recorded yet
	}
	attempt.Result = o.Result
	req.InFlight--
	n.recordOutcome(s, req, attempt, o)
	d := n.nextDecision(req, s, o)
	if idle := n.pickIdleServer(s, o.Result); idle != nil {
		idle.connected, d.CloseIdle, d.IdleServer = false, true, idle.id
	}
	return d
}

// nextDecision returns the decision for a request after one of its attempts at s has ended.
func (n *Node) nextDecision(req *fleet.Request, s *server, o fleet.Outcome) fleet.Decision {
	if o.Closed || req.Closed {
		if o.Result == fleet.Completed && o.Attempt > 0 && req.InFlight > 0 {
			n.hedgeBudget++ // the hedged request was faster: only those that are slower use up the budget
		}
		req.Closed = true
		return n.cancelUnneeded(req)
	}
	missed := o.Result == fleet.Missed
	if req.InFlight > 0 && missed && req.Stage == stageAtCache && n.limits.hedging && n.originHasCapacity() {
		return n.enforce(req, n.send(req, n.origin)) // a hedged request missed, and the server of the other attempt is silent
	}
	switch {
	case req.Streaming:
		return fleet.Decision{Action: fleet.Hold}
	case req.InFlight > 0 && o.Result == fleet.Cancelled: // it may have made room for another attempt
		return n.enforce(req, n.reviewAttempt(req))
	case req.InFlight > 0:
		return fleet.Decision{Action: fleet.Hold}
	}
	if req.Stage = stageReroute; s == n.origin || missed && n.origin != nil {
		req.Stage = stageNeedsOrigin
	}
	return n.enforce(req, n.chooseDecision(req))
}

// NextDue returns the request to pass to Route now, or NoRequest and the time in ms to sleep. A time of 0 with NoRequest
// means that the node's own maintenance is due.
func (n *Node) NextDue(now float64) (fleet.Ref, float64) {
	n.now = now
	if r := n.originLimit.popWaiting(n); r != fleet.NoRequest {
		return r, 0
	}
	due := min(n.adjustAt, n.pollAt)
	if len(n.originLimit.waiting) > 0 && n.originLimit.isPaced(now) {
		due = min(due, n.originLimit.nextSendAt)
	}
	for len(n.timers) > 0 {
		t := n.timers[0]
		if req := n.requests.Get(t.Ref); req == nil || req.Closed || req.WakeAt != t.At || t.At <= now {
			n.timers.PopMin()
			if req != nil && !req.Closed && req.WakeAt == t.At {
				return t.Ref, 0
			}
			continue
		}
		due = min(due, t.At)
		break
	}
	return fleet.NoRequest, max(0, due-now)
}

// ResponseStarted reports that the response to req is being streamed to the client. From then on req gets no further
// attempt and no other answer.
func (n *Node) ResponseStarted(now float64, req *fleet.Request) { n.now, req.Streaming = now, true }

// UploadDone reports that the value of req is complete and its deadline is set. An attempt in flight counts as sent only
// now.
func (n *Node) UploadDone(now float64, req *fleet.Request) {
	if n.now = now; req.Uploading && req.InFlight > 0 {
		attempt := &req.Attempts[req.NumAttempts-1]
		attempt.SentAt = now
		n.recordSend(n.servers[attempt.Server], req)
	}
	req.Uploading = false
}

// ClientGone reports that the client of req has disconnected.
func (n *Node) ClientGone(now float64, req *fleet.Request) { n.now, req.Closed = now, true }

// cancelUnneeded cancels an attempt whose response is no longer needed, if cancellation is permitted.
func (n *Node) cancelUnneeded(req *fleet.Request) fleet.Decision {
	for i := range req.Attempts[:req.NumAttempts] {
		attempt := &req.Attempts[i]
		if n.limits.cancellation && !req.Streaming && attempt.Result == fleet.Pending && !attempt.Cancelled {
			attempt.Cancelled = true
			return fleet.Decision{Action: fleet.Cancel, Attempt: i}
		}
	}
	return fleet.Decision{}
}

// chooseDecision chooses a decision for an open request; enforce checks it against the rules.
func (n *Node) chooseDecision(req *fleet.Request) fleet.Decision {
	class, stage := &n.limits.classes[req.Class], req.Stage
	lastAttempt := req.NumAttempts+1 == class.maxAttempts
	switch {
	case req.InFlight > 0:
		return n.reviewAttempt(req)
	case req.Deadline-n.now <= n.limits.deadlineMargin || req.NumAttempts >= class.maxAttempts || req.ValueConsumed:
		return n.reject(n.limits.minObjective)
	case n.limits.originKind < 0:
	case req.Write || stage == stageNeedsOrigin || stage == stageQueued || lastAttempt && n.originHasCapacity():
		return n.routeToOrigin(req)
	}
	s := n.pickCache(req)
	if s == nil {
		return n.routeToOrigin(req)
	}
	if s.isOutlier() {
		return n.send(req, s) // a trial request: the server's past latency says nothing about it
	}
	// Deviation from the thesis: a request that its owner would answer late goes to the origin while the origin has
	// capacity and is faster; the owner keeps its other keys and copies. In overload, a request that would be late and
	// does not go to the origin is rejected at once.
	expected, originLoad, limiter := s.expectedLatency(n), math.Inf(1), &n.originLimit
	if n.origin != nil {
		originLoad = limiter.utilization(n)
	}
	overloaded := n.lateShare > overloadLateShare && expected > max(class.maxWait, 3.5*s.timePerQueued)
	slowerThanOrigin := expected > max(class.objective/4, limiter.latency, 2.5*s.timePerQueued)
	switch {
	case overloaded && originLoad < 0.8 || slowerThanOrigin && originLoad < 0.5 && limiter.lateShare < 0.3:
		return n.routeToOrigin(req)
	case overloaded:
		return n.reject(expected)
	}
	return n.send(req, s)
}

// send returns the decision to send an attempt with all the remaining time as its timeout: shorter timeouts would end
// heavy requests on healthy servers.
func (n *Node) send(req *fleet.Request, s *server) fleet.Decision {
	return fleet.Decision{Action: fleet.Send, Server: s.id, Timeout: req.Deadline - n.now}
}

// hold keeps req until the given time, when NextDue returns it.
func (n *Node) hold(req *fleet.Request, at float64) fleet.Decision {
	req.WakeAt = at
	n.timers.Add(fleet.Timer{At: at, Ref: req.Ref})
	return fleet.Decision{Action: fleet.Hold}
}

// reject answers req at once, with a Retry-After if the settings permit one.
func (n *Node) reject(wait float64) fleet.Decision {
	return fleet.Decision{Action: fleet.Reject, RetryAfter: min(wait, n.limits.maxRetryAfter)}
}

// enforce checks every decision about req and replaces one that the rules forbid by the nearest one that they allow.
func (n *Node) enforce(req *fleet.Request, d fleet.Decision) fleet.Decision {
	overlaps := req.InFlight > 0 && !n.limits.hedging
	if d.Action == fleet.Send && (overlaps || !n.maySend(req, n.servers[d.Server])) {
		if req.InFlight > 0 {
			return n.hold(req, req.Deadline)
		}
		d = n.reject(n.limits.minObjective)
	}
	switch d.Action {
	case fleet.Send:
		s := n.servers[d.Server]
		d.SendBy = n.repeatableUntil(req, s)
		// WakeAt is reset, since the timer of an earlier hold would have this attempt reviewed, and perhaps cancelled, too early.
		d.Attempt, req.WakeAt = req.NumAttempts, 0
		req.Attempts[req.NumAttempts] = fleet.Attempt{Server: s.id, SentAt: n.now, RequestsAhead: s.requestsAhead()}
		req.NumAttempts++
		if req.InFlight++; !req.Uploading {
			n.recordSend(s, req)
		}
		if req.Stage = stageAtCache; s == n.origin {
			req.Stage = stageAtOrigin
		}
		if n.limits.classes[req.Class].mayHedgeOrCancel {
			n.hold(req, n.now+n.silenceLimit(req, s))
		}
	case fleet.Reject, fleet.Abort:
		if n.now > n.repeatableUntil(req, nil) {
			d = fleet.Decision{Action: fleet.Abort}
		}
		req.Closed = true
	}
	return d
}

// maySend reports whether the four rules allow one more attempt of req at s: (1) req is open, (2) req has attempts and
// time left, (3) s is ready and has quota for the attempt, (4) no effect is repeated.
func (n *Node) maySend(req *fleet.Request, s *server) bool {
	return !req.Closed && !req.Streaming && req.NumAttempts < n.limits.classes[req.Class].maxAttempts &&
		n.now < req.Deadline && s.state == fleet.Ready && n.hasSlowStartQuota(s, req) &&
		n.now <= n.repeatableUntil(req, s)
}

// repeatableUntil returns the time until which one more attempt of req at s cannot repeat an effect. The result is -Inf
// if an attempt could repeat an effect now, and +Inf if it never can. If s is nil, the result holds for every server.
func (n *Node) repeatableUntil(req *fleet.Request, s *server) float64 {
	class, until := &n.limits.classes[req.Class], math.Inf(1)
	for i := range req.Attempts[:req.NumAttempts] {
		attempt := &req.Attempts[i]
		attemptServer := n.servers[attempt.Server]
		switch {
		case class.effect == fleet.Idempotent || attempt.Result.NotExecuted():
		case class.effect == fleet.NonIdempotent || s == nil && class.scope != fleet.DedupAll:
			return math.Inf(-1)
		case s != nil && (class.scope == fleet.DedupZone && attemptServer.zone != s.zone ||
			class.scope == fleet.DedupCell && attemptServer.cell != s.cell):
			return math.Inf(-1)
		case s != nil:
			until = min(until, attempt.SentAt+class.dedupWindow-n.limits.deadlineMargin)
		}
	}
	return until
}
