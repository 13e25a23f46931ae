// Package decide holds every routing decision of a node: the server a request goes to, whether it is retried
// or hedged, what is rejected. It does no I/O and reads no clock; times are ms of its caller's clock.
//
// The caller puts each request into the slab that it shares with the Node. Route says where to send a request
// or to hold or answer it, AttemptDone what follows an attempt's end, NextDue how long to sleep and for which
// request to call Route then (none: the node's own upkeep). All else reports facts. ring.go adjusts points,
// health.go judges servers, admit.go limits the origin and cold servers, list.go follows the endpoint list,
// snapshot.go exports and restores state. A Node belongs to one goroutine.
package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/hotkeys"
	"mintspring/internal/slowstart"
)

// Stages of an open request.
const (
	stageNew       uint8 = iota
	stageAtCache         // an attempt is in flight at a cache
	stageForOrigin       // to be sent to the origin
	stageWaiting         // waits for capacity at the origin
	stageAtOrigin        // an attempt is in flight at the origin
	stageReroute         // to be routed anew
)

// Node is the state of one balancer. Nodes share nothing.
type Node struct {
	limits          limits
	requests        *fleet.Slab
	now             float64
	seed, drawCount uint64

	servers                    []*server // by ServerID; nil where a number was never listed
	ring                       hashRing  // all caches
	zoneRing                   hashRing  // the caches of this node's zone
	meanUtil, zoneShare        float64   // mean utilization of caches; share of keys routed by zoneRing
	origin                     *server   // nil: none is ready
	pollAt                     float64   // when the endpoint list is requested next; +Inf: a watch is open
	adjustAt                   float64   // when ring points are adjusted next
	failedPolls, cacheInFlight int       // consecutive ones; attempts in flight at caches

	timers       fleet.TimerHeap
	originLimit  originLimiter
	slowStart    slowstart.Meter
	keyCounts    hotkeys.Counts
	hedgeBudget  float64 // hedged requests that may be sent now
	maxConnected float64 // servers that seem to have capacity for a connection; +Inf: no limit seen
	lateShare    float64 // moving share of cache responses that were late or nearly so
}

// class is what decisions need of a request class.
type class struct {
	effect                 fleet.Effect
	scope                  fleet.DedupScope
	dedupWindow, objective float64 // for how long repeats are dropped; the latency objective
	maxWait                float64 // expected wait up to which a request is admitted in overload
	priority, lateFactor   float64 // priority weight, and the factor on it for a late response
	maxAttempts            int
	reviewable             bool // an attempt in flight can be hedged or replaced
}

// limits are the figures derived from the settings; the settings themselves are not kept.
type limits struct {
	classes                  []class
	zone                     fleet.ZoneID
	nodesPerZone, hedgeRate  float64      // hedged requests per attempt
	originKind               fleet.KindID // below 0: servers fetch for themselves
	hedging, cancellation    bool         // two attempts may be in flight; one may be cancelled
	fullRefuses              bool         // a server at its connection limit fails connects, as a dead one does
	maxRetryAfter            float64      // 0: clients are sent no Retry-After
	minObjective, minWindow  float64      // shortest latency objective; least concurrency window at the origin
	slack, period            float64      // kept before a deadline; between ring adjustments
	pollWithin               float64      // the endpoint list is requested within this time; 0: it is pushed
	coldCapacity, warmUpTime float64      // share of its capacity that a server starts with; time to all of it
	coldRate, coldBurst      float64      // work for a cold server by what it can do; ms of that rate at once
}

// deriveLimits turns settings into the figures that decisions use.
func deriveLimits(l fleet.Limits) limits {
	d := limits{
		zone: l.Zone, nodesPerZone: float64(l.Nodes) / float64(max(1, l.Zones)), originKind: l.OriginKind,
		hedging: l.Hedging, cancellation: l.Cancellation, fullRefuses: l.FullServersRefuse, minObjective: math.Inf(1),
		hedgeRate: 0.05 / (0.5 + 2*l.UnusedAttemptCost), minWindow: min(1, max(0.1, 8/float64(max(1, l.Nodes)))),
		coldCapacity: l.ColdCapacity, warmUpTime: l.WarmUpTime,
		coldRate: l.OverloadFactor / 2, coldBurst: l.OverloadBurst / 2, slack: l.Quantum,
	}
	top := 1e-9
	for _, w := range l.Classes {
		d.minObjective, top = min(d.minObjective, w.LatencyObjective), max(top, w.PriorityWeight)
	}
	if len(l.Classes) == 0 || d.minObjective <= 0 {
		d.minObjective = 1000
	}
	for _, w := range l.Classes {
		d.classes = append(d.classes, class{
			effect: w.Effect, scope: w.DedupScope, dedupWindow: w.DedupWindow, objective: w.LatencyObjective,
			priority: w.PriorityWeight, lateFactor: w.LateWeightFactor, maxAttempts: l.AttemptLimit(&w),
			// A late response takes the place of one in time, and a crowded server loses capacity: in overload waits
			// are kept short, the shorter the lower the priority.
			maxWait:    w.LatencyObjective * (1 + w.LateWeightFactor) * (0.3 + 0.2*w.PriorityWeight/top),
			reviewable: w.Effect == fleet.Idempotent && (l.Hedging || l.Cancellation),
		})
	}
	d.slack += d.minObjective / 100
	if d.period = d.minObjective; l.WarmUpTime > 0 {
		d.period = l.WarmUpTime / 20
	}
	if l.SendRetryAfter {
		d.maxRetryAfter = l.MaxRetryAfter
	}
	if l.Subscribe {
		if d.pollWithin = l.PollWithin; d.pollWithin <= 0 {
			d.pollWithin = 10 * d.minObjective
		}
	}
	return d
}

// New returns a node that knows nothing but its limits. It adds no request to slab; its caller does.
func New(now float64, l fleet.Limits, slab *fleet.Slab) *Node {
	n := &Node{limits: deriveLimits(l), requests: slab, now: now, seed: l.Seed}
	n.maxConnected, n.zoneShare, n.meanUtil, n.pollAt = math.Inf(1), 1, 0.5, now
	if l.Hedging {
		n.hedgeBudget = 3 // at the start nothing is known of any server, and a hedge costs little
	}
	n.originLimit = originLimiter{window: 4, latency: n.limits.minObjective / 4}
	if n.limits.pollWithin == 0 {
		n.pollAt = math.Inf(1)
	}
	n.adjustAt = now + n.limits.period*(0.5+0.5*n.random())
	return n
}

// Reconfigure replaces the limits. Class ids keep their meaning; ring, health and meters stay.
func (n *Node) Reconfigure(now float64, l fleet.Limits) { n.now, n.limits = now, deriveLimits(l) }

// random draws from [0,1) by hashing the seed and a counter, so that equal events give equal decisions.
func (n *Node) random() float64 {
	n.drawCount++
	return fleet.Random(n.seed, n.drawCount)
}

// Route says where to send req now, to hold it, or to answer it. Without a request it does the node's upkeep.
func (n *Node) Route(now float64, req *fleet.Request) fleet.Decision {
	n.now = now
	if req == nil {
		return n.maintain()
	}
	if req.Closed || req.Streaming {
		return fleet.Decision{}
	}
	if !req.HasKey && req.NumAttempts == 0 {
		req.Key = fleet.Key(n.random() * (1 << 53)) // a request without a key gets a place on the ring
	}
	if req.Stage == stageNew && req.HasKey {
		n.keyCounts.Add(uint64(req.Key))
	}
	return n.enforce(req, n.propose(req))
}

// AttemptDone records how an attempt ended and says what to do next for its request.
func (n *Node) AttemptDone(now float64, req *fleet.Request, o fleet.Outcome) fleet.Decision {
	n.now = now
	if o.Attempt < 0 || o.Attempt >= req.NumAttempts || req.Attempts[o.Attempt].Result != fleet.Pending {
		return fleet.Decision{}
	}
	e := &req.Attempts[o.Attempt]
	s := n.servers[e.Server]
	if req.Uploading {
		n.recordSend(s, req) // the attempt ends before its upload did
	}
	e.Result = o.Result
	req.InFlight--
	n.recordOutcome(s, req, e, o)
	d := n.nextStep(req, s, o)
	if c := n.idleToClose(s, o.Result); c != nil {
		c.connected, d.CloseIdle, d.IdleServer = false, true, c.id
	}
	return d
}

// nextStep is what AttemptDone says of the request itself.
func (n *Node) nextStep(req *fleet.Request, s *server, o fleet.Outcome) fleet.Decision {
	if o.Closed || req.Closed {
		if o.Result == fleet.Completed && o.Attempt > 0 && req.InFlight > 0 {
			n.hedgeBudget++ // the hedge was first: the budget is for those that are not
		}
		req.Closed = true
		return n.cancelLoser(req)
	}
	missed := o.Result == fleet.Missed
	if req.InFlight > 0 && missed && req.Stage == stageAtCache && n.limits.hedging && n.originFree() {
		return n.enforce(req, n.send(req, n.origin)) // a hedge that missed must not leave req with a silent server
	}
	if req.Streaming || req.InFlight > 0 {
		return fleet.Decision{Action: fleet.Hold}
	}
	if req.Stage = stageReroute; s == n.origin || missed && n.origin != nil {
		req.Stage = stageForOrigin
	}
	return n.enforce(req, n.propose(req))
}

// NextDue returns how long to sleep, in ms, and the request that Route is to be called for then.
func (n *Node) NextDue(now float64) (fleet.Ref, float64) {
	n.now = now
	if r := n.originLimit.nextWaiting(n); r != fleet.NoRequest {
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

// ResponseStarted reports that the response to req streams: it belongs to the client now.
func (n *Node) ResponseStarted(now float64, req *fleet.Request) { n.now, req.Streaming = now, true }

// UploadDone reports that req's value is complete, its deadline known. An attempt in flight begins only now.
func (n *Node) UploadDone(now float64, req *fleet.Request) {
	if n.now = now; req.Uploading && req.InFlight > 0 {
		e := &req.Attempts[req.NumAttempts-1]
		e.SentAt = now
		n.recordSend(n.servers[e.Server], req)
	}
	req.Uploading = false
}

// ClientGone reports that the client of req is gone.
func (n *Node) ClientGone(now float64, req *fleet.Request) { n.now, req.Closed = now, true }

// cancelLoser cancels an attempt whose response nobody waits for, where that frees work.
func (n *Node) cancelLoser(req *fleet.Request) fleet.Decision {
	for i := range req.Attempts[:req.NumAttempts] {
		e := &req.Attempts[i]
		if n.limits.cancellation && !req.Streaming && e.Result == fleet.Pending && !e.Cancelled {
			e.Cancelled = true
			return fleet.Decision{Action: fleet.Cancel, Attempt: i}
		}
	}
	return fleet.Decision{}
}

// propose chooses for an open request; enforce has the last word.
func (n *Node) propose(req *fleet.Request) fleet.Decision {
	c, st := &n.limits.classes[req.Class], req.Stage
	lastAttempt := req.NumAttempts+1 == c.maxAttempts
	switch {
	case req.InFlight > 0:
		return n.review(req)
	case req.Deadline-n.now <= n.limits.slack || req.NumAttempts >= c.maxAttempts || req.ValueConsumed:
		return n.reject(n.limits.minObjective)
	case n.limits.originKind < 0:
	case req.Write || st == stageForOrigin || st == stageWaiting || lastAttempt && n.originFree():
		return n.routeToOrigin(req)
	}
	s := n.pickCache(req)
	if s == nil {
		return n.routeToOrigin(req)
	}
	if s.isOutlier() {
		return n.send(req, s) // a trial request: what was seen of the server before says nothing
	}
	// Departure: what its owner would answer late goes to the origin while that has capacity and is quicker; the
	// owner keeps its other keys and copies. In overload, the rest is rejected at once.
	expected, load, o := s.expected(n), math.Inf(1), &n.originLimit
	if n.origin != nil {
		load = o.load(n)
	}
	crowded := n.lateShare > overloadShare && expected > max(c.maxWait, 3.5*s.perQueued)
	slower := expected > max(c.objective/4, o.latency, 2.5*s.perQueued)
	switch {
	case crowded && load < 0.8 || slower && load < 0.5 && o.lateShare < 0.3:
		return n.routeToOrigin(req)
	case crowded:
		return n.reject(expected)
	}
	return n.send(req, s)
}

// send proposes an attempt with all the time that is left: time-outs kill heavy requests on healthy servers.
func (n *Node) send(req *fleet.Request, s *server) fleet.Decision {
	return fleet.Decision{Action: fleet.Send, Server: s.id, Timeout: req.Deadline - n.now}
}

// hold keeps req and has NextDue name it at the given time.
func (n *Node) hold(req *fleet.Request, at float64) fleet.Decision {
	req.WakeAt = at
	n.timers.Add(fleet.Timer{At: at, Ref: req.Ref})
	return fleet.Decision{Action: fleet.Hold}
}

// reject answers req at once, with a Retry-After where clients understand one.
func (n *Node) reject(wait float64) fleet.Decision {
	return fleet.Decision{Action: fleet.Reject, RetryAfter: min(wait, n.limits.maxRetryAfter)}
}

// enforce checks every decision about req. What a rule forbids becomes the nearest thing that is allowed.
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
		// The timer of an earlier hold must not review this attempt: it once cancelled what must not be.
		d.Attempt, req.WakeAt = req.NumAttempts, 0
		req.Attempts[req.NumAttempts] = fleet.Attempt{Server: s.id, SentAt: n.now, RequestsAhead: s.ahead()}
		req.NumAttempts++
		if req.InFlight++; !req.Uploading {
			n.recordSend(s, req)
		}
		if req.Stage = stageAtCache; s == n.origin {
			req.Stage = stageAtOrigin
		}
		if n.limits.classes[req.Class].reviewable {
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

// maySend checks rules 1 to 4 for one more attempt of req at s.
func (n *Node) maySend(req *fleet.Request, s *server) bool {
	return !req.Closed && !req.Streaming && req.NumAttempts < n.limits.classes[req.Class].maxAttempts &&
		n.now < req.Deadline && s.state == fleet.Ready && n.hasColdQuota(s, req) &&
		n.now <= n.repeatableUntil(req, s)
}

// repeatableUntil is until when one more attempt of req at s can't repeat an effect; without s, one anywhere.
func (n *Node) repeatableUntil(req *fleet.Request, s *server) float64 {
	c, until := &n.limits.classes[req.Class], math.Inf(1)
	for i := range req.Attempts[:req.NumAttempts] {
		e := &req.Attempts[i]
		was := n.servers[e.Server]
		switch {
		case c.effect == fleet.Idempotent || e.Result.NotExecuted():
		case c.effect == fleet.NonIdempotent || s == nil && c.scope != fleet.DedupAll:
			return math.Inf(-1)
		case s != nil && (c.scope == fleet.DedupZone && was.zone != s.zone ||
			c.scope == fleet.DedupCell && was.cell != s.cell):
			return math.Inf(-1)
		case s != nil:
			until = min(until, e.SentAt+c.dedupWindow-n.limits.slack)
		}
	}
	return until
}
