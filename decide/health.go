package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// server is what this node knows of one server, from the endpoint list and its own traffic.
type server struct {
	id      fleet.ServerID
	state   fleet.State
	kind    fleet.KindID
	zone    fleet.ZoneID
	cell    fleet.CellID
	started float64

	listed, connected bool // connected: there may be a connection to it
	newReport         bool // the load report has moved no point yet

	homePoint, size float64     // the hash of its id, and its nominal size
	positions       [2]position // on the ring of all caches and on its zone's
	shed, step      float64     // share of its arc that moves have handed on; share of x that its next one takes
	report          fleet.LoadReport

	queuePeak, hitRatio       float64 // recent peak of the reported queue, and level of the hit ratio
	inFlight                  int     // own attempts there
	silentSince               float64 // since when something is in flight and nothing was received
	perQueued                 float64 // response time for each request ahead
	latency                   float64 // recent response time
	latencyAhead, latencyAt   float64 // what was ahead at that time, and when that was
	failures, indirect        float64 // recent share of failures, and what indirect evidence adds to it
	trialAt, backoff          float64 // outlier: when a trial request may go, and from one to the next
	trialInterval, lastUsedAt float64 // the same where other nodes try as well; when an attempt was sent
	bucket                    slowstart.Bucket
}

const (
	failureWeight   = 0.25 // of one outcome in the recent share of failures
	outlierLimit    = 0.4  // share of failures from which a server is an outlier
	evidencePeriods = 15   // after which what was seen of a server has decayed
	overloadShare   = 0.1  // share of late responses above which requests are rejected
)

// blame is what an outcome says against its server. A reset is more often the fault of the connection.
var blame = [...]float64{fleet.Failed: 1, fleet.Reset: 0.5, fleet.ConnectFailed: 1, fleet.Missed: 0}

// ahead counts what a new request would find at s: own attempts and the queue last reported.
func (s *server) ahead() float64 {
	if queue := s.report.Queue; !math.IsNaN(queue) {
		return float64(s.inFlight) + queue
	}
	return float64(s.inFlight)
}

// expected is the response time to expect at s: the recent one, corrected by how much more or less is ahead
// now than was then, so that errors of reports cancel out. It decays with age; silence counts as it grows.
func (s *server) expected(n *Node) float64 {
	a := s.ahead()
	t := s.perQueued * (1 + a)
	if w := 1 - (n.now-s.latencyAt)/(evidencePeriods*n.limits.period); w > 0 {
		t += w * (s.latency + s.perQueued*(a-s.latencyAhead) - t)
	}
	t = max(t, s.perQueued)
	if s.inFlight > 0 {
		t = max(t, n.now-s.silentSince)
	}
	return t
}

// recordSend counts one more attempt in flight at s.
func (n *Node) recordSend(s *server, req *fleet.Request) {
	if s.inFlight == 0 {
		s.silentSince = n.now
	}
	s.inFlight++
	s.connected, s.lastUsedAt = true, n.now
	if s != n.origin {
		n.cacheInFlight++
		n.hedgeBudget = min(n.hedgeBudget+n.limits.hedgeRate, 10)
		n.slowStart.Spend(n.now, &s.bucket, n.limits.period, req.Work)
		return
	}
	n.originLimit.nextSendAt = n.now + n.limits.minObjective/4/n.originLimit.window
	if req.Write {
		n.originLimit.writes++
	}
}

// recordOutcome records what an outcome says of its server: how fast it is, and whether it is healthy.
func (n *Node) recordOutcome(s *server, req *fleet.Request, e *fleet.Attempt, o fleet.Outcome) {
	s.inFlight--
	n.recordReport(s, o.Report)
	objective, responsive := n.limits.classes[req.Class].objective, s.silentSince > e.SentAt
	if s == n.origin {
		n.originLimit.recordOutcome(n, req, e, o)
	} else {
		n.cacheInFlight--
		done := o.Result == fleet.Completed || o.Result == fleet.TimedOut || responsive && !o.Result.NotExecuted()
		switch {
		case o.Result == fleet.Declined:
			n.lateShare += 0.05 * (0.2 - n.lateShare)
		case done && n.now-req.ArrivedAt > 0.8*objective:
			n.lateShare += 0.05 * (1 - n.lateShare)
		case done:
			n.lateShare -= 0.05 * n.lateShare
		}
	}
	switch o.Result {
	case fleet.NotSent:
		return
	case fleet.TimedOut, fleet.Cancelled:
		// It would have taken longer still: a server must not look quick because slow responses are cut off.
		s.recordLatency(n, max(o.Took, s.latency), e.RequestsAhead)
		// Slow is not dead: only a server that has answered nothing since the attempt left counts as silent.
		if !responsive && o.Took >= objective/4 {
			n.recordHealth(s, 1)
		}
		return
	case fleet.Completed:
		if o.Cache <= fleet.CacheHit {
			took := min(o.Took, 4*s.expected(n)) // one heavy request says little of the server
			// The time per request ahead stays near the shortest: waits behind other nodes' are not slowness.
			one, weight := took/(1+e.RequestsAhead), 0.02
			if one < s.perQueued {
				weight = 0.1
			}
			s.perQueued += weight * (one - s.perQueued)
			s.recordLatency(n, took, e.RequestsAhead)
		}
	}
	if o.Result != fleet.Declined && !o.StaleConnection {
		n.recordHealth(s, blame[o.Result])
	}
	s.silentSince = n.now
}

// recordLatency records one response time and what was ahead of it.
func (s *server) recordLatency(n *Node, took, ahead float64) {
	s.latency += 0.3 * (took - s.latency)
	s.latencyAhead += 0.3 * (ahead - s.latencyAhead)
	s.latencyAt = n.now
}

// recordHealth weighs an outcome. While s is an outlier, each further failure starts a longer backoff.
func (n *Node) recordHealth(s *server, fail float64) {
	if fail == 0 {
		s.failures, s.backoff = s.failures*(1-failureWeight), n.limits.period
	} else if s.failures += failureWeight * fail * (1 - s.failures); s.isOutlier() {
		s.trialAt = n.now + s.backoff*(1+evidencePeriods*max(0, s.indirect))
		s.backoff = min(2*s.backoff, 4*n.limits.period)
		if s.trialInterval > 0 { // of nodes that begin together some try soon
			s.trialAt = max(s.trialAt, n.now+2*s.trialInterval*n.random())
		}
	}
}

func (s *server) isOutlier() bool { return s.failures+s.indirect >= outlierLimit }

// SetIndirectEvidence sets what other nodes' evidence adds to a server's failures, and the interval between
// trials where those nodes send some as well; the next one goes by trialBy.
func (n *Node) SetIndirectEvidence(id fleet.ServerID, bias, trialInterval, trialBy float64) {
	s := n.servers[id]
	s.indirect, s.trialInterval, s.trialAt = bias, trialInterval, min(s.trialAt, trialBy)
}

// accepts reports whether s can be sent req. An outlier gets single trials of requests that may run again.
func (n *Node) accepts(c *hashRing, s *server, req *fleet.Request, owner bool) bool {
	for _, e := range req.Attempts[:req.NumAttempts] {
		// A healthy server has the copy: it may get again what its connection lost, by a reset or in silence.
		lost := e.Result == fleet.Reset || e.Result == fleet.Cancelled && s.silentSince > e.SentAt
		if e.Server == s.id && e.Result != fleet.Missed && e.Result != fleet.NotSent && !lost {
			return false
		}
	}
	idempotent := n.limits.classes[req.Class].effect == fleet.Idempotent
	trial := owner && s.inFlight == 0 && n.now >= s.trialAt && req.NumAttempts == 0 && idempotent
	return (!s.isOutlier() || trial) && n.inColdArc(c, s, req.Key.Point()) && n.maySend(req, s)
}

// silenceLimit is how long s may be silent before a request in flight there is reviewed again.
func (n *Node) silenceLimit(req *fleet.Request, s *server) float64 {
	return max(n.limits.classes[req.Class].objective/3, 4*s.perQueued)
}

// review decides on a request whose attempt takes long. Only silence counts: a server that answers others
// works, and the request is heavy or queued, until it takes so long that its connection must be lost.
func (n *Node) review(req *fleet.Request) fleet.Decision {
	e, c := &req.Attempts[req.NumAttempts-1], &n.limits.classes[req.Class]
	s, next := n.servers[e.Server], n.now+c.objective/8
	if !c.reviewable || req.InFlight != 1 || e.Result != fleet.Pending || e.Cancelled ||
		req.NumAttempts >= c.maxAttempts || next >= req.Deadline-n.limits.slack {
		return fleet.Decision{Action: fleet.Hold}
	}
	age := n.now - e.SentAt
	lost := s.silentSince > e.SentAt && n.lateShare <= overloadShare && age > max(c.objective/2, 6*s.expected(n))
	silent := s != n.origin && n.now-max(s.silentSince, e.SentAt) >= n.silenceLimit(req, s)
	if n.hedgeBudget < 1 || !lost && !silent {
		return n.hold(req, next)
	}
	t := n.origin // another cache seldom has the key; the origin always does
	if t == nil || n.originLimit.load(n) >= 0.5 {
		t = n.pickCache(req)
	}
	if (t == nil || t == s || t.expected(n) >= age/2) && (!lost || n.limits.hedging) {
		return n.hold(req, next)
	}
	n.hedgeBudget--
	if n.limits.hedging {
		return n.send(req, t)
	}
	e.Cancelled = true
	return fleet.Decision{Action: fleet.Cancel, Attempt: req.NumAttempts - 1}
}

// idleToClose names a server whose idle connections are to be closed. Departure: where full servers refuse
// connects (else one lost server closed nearly all), the nodes hold too many together. Each then keeps half
// of its own, opens more by and by, and closes first what it has used least recently.
func (n *Node) idleToClose(s *server, res fleet.Result) *server {
	short := res == fleet.ConnectFailed && n.limits.fullRefuses
	if short {
		n.recordHealth(s, 1) // and is left at once
		s.connected = s.inFlight > 0
	} else if math.IsInf(n.maxConnected, 1) {
		return nil
	}
	var idle *server
	connected := 0.0
	for _, c := range n.ring.servers {
		if c.connected {
			connected++
		}
		if c.connected && c.inFlight == 0 && (idle == nil || c.lastUsedAt < idle.lastUsedAt) {
			idle = c
		}
	}
	if short {
		n.maxConnected = max(1, min(connected, n.maxConnected)/2)
	}
	if connected <= n.maxConnected {
		return nil
	}
	return idle
}

// recordReport keeps a server's load report, which is on every response until the server makes a new one.
func (n *Node) recordReport(s *server, r fleet.LoadReport) {
	if !r.Present || r.SameLoad(&s.report) {
		return
	}
	s.newReport = true
	if !math.IsNaN(r.Queue) {
		s.queuePeak = max(1, r.Queue, s.queuePeak*0.9)
	}
	if !math.IsNaN(r.HitRatio) {
		s.hitRatio = max(r.HitRatio, s.hitRatio*0.98)
	}
	s.report = r
	if s != n.origin && !math.IsNaN(r.Util) {
		n.meanUtil += 0.05 * (r.Util - n.meanUtil)
	}
}

// ProbeDone records the result of a health check.
func (n *Node) ProbeDone(now float64, id fleet.ServerID, _ fleet.Result, _ float64, r fleet.LoadReport) {
	n.now = now
	n.recordReport(n.servers[id], r)
}
