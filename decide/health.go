package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// server holds what this node knows of one server, from the endpoint list and the node's own traffic.
type server struct {
	id      fleet.ServerID
	state   fleet.State
	kind    fleet.KindID
	zone    fleet.ZoneID
	cell    fleet.CellID
	started float64 // when its process started

	listed, connected bool // listed: in the endpoint list; connected: this node may have connections to it
	hasNewReport      bool // the last load report has not moved a point yet

	hashPoint, size float64     // hashPoint: hash of the server's name on the ring; size: nominal size
	positions       [2]position // on the ring of all caches and on the ring of its zone
	shedShare, step float64     // shedShare: share of the arc that moves gave to the successor; step: share of a shift that the next move takes
	report          fleet.LoadReport

	queuePeak, hitRatioPeak     float64 // recent peaks of the reported queue and hit ratio
	inFlight                    int     // attempts of this node
	silentSince                 float64 // start of the time with attempts in flight and no response
	completedAt, stoppedAt      float64 // completedAt: last completed response; stoppedAt: when a request last timed out within a response; 0: never
	timePerQueued               float64 // response time per request in the queue, the new one included
	latency                     float64 // moving average of the response time
	latencyAhead, latencyAt     float64 // latencyAhead: moving average of requests ahead of the measured ones; latencyAt: last measurement
	failureShare, indirectShare float64 // failureShare: moving share of failures; indirectShare: what other nodes' evidence adds to it
	trialAt, backoff            float64 // of an outlier; trialAt: time of the next trial request; backoff: time between two of them
	trialInterval, lastUsedAt   float64 // trialInterval: between trials while other nodes send some too; lastUsedAt: of the last attempt
	bucket                      slowstart.Bucket
}

const (
	failureWeight     = 0.25 // of one outcome in failureShare
	outlierThreshold  = 0.4  // share of failures from which a server is an outlier
	evidenceIntervals = 15   // adjustIntervals after which evidence of a server has decayed
	overloadLateShare = 0.1  // share of late responses above which requests are rejected
)

// failureScore is how much a result counts as a failure of the server. A reset is more often a fault of the connection.
var failureScore = [...]float64{fleet.Failed: 1, fleet.Reset: 0.5, fleet.ConnectFailed: 1, fleet.Missed: 0}

// requestsAhead counts the requests that a new one finds at s: this node's attempts and the last reported queue.
func (s *server) requestsAhead() float64 {
	if queue := s.report.Queue; !math.IsNaN(queue) {
		return float64(s.inFlight) + queue
	}
	return float64(s.inFlight)
}

// expectedLatency returns the response time to expect at s: the recent one, corrected by the change in the number of
// requests ahead since its measurement, so that errors of load reports cancel out. The recent time counts less with age. While s
// does not respond, the result is at least the time since its last response.
func (s *server) expectedLatency(n *Node) float64 {
	ahead := s.requestsAhead()
	expected := s.timePerQueued * (1 + ahead)
	if weight := 1 - (n.now-s.latencyAt)/n.evidenceTime(); weight > 0 {
		expected += weight * (s.latency + s.timePerQueued*(ahead-s.latencyAhead) - expected)
	}
	expected = max(expected, s.timePerQueued)
	if s.inFlight > 0 {
		expected = max(expected, n.now-s.silentSince)
	}
	return expected
}

// recordSend records that an attempt of req at s has started.
func (n *Node) recordSend(s *server, req *fleet.Request) {
	if s.inFlight == 0 {
		s.silentSince = n.now
	}
	s.inFlight++
	s.connected, s.lastUsedAt = true, n.now
	if s != n.origin {
		n.cacheInFlight++
		n.hedgeBudget = min(n.hedgeBudget+n.limits.hedgeRate, 10)
		n.slowStart.Spend(n.now, &s.bucket, n.limits.adjustInterval, req.Work)
		return
	}
	n.originLimit.nextSendAt = n.now + n.limits.minObjective/4/n.originLimit.window
	if req.Write {
		n.originLimit.writesInFlight++
	}
}

// releaseCapacity records that an attempt of req at s no longer takes up the server's capacity.
func (n *Node) releaseCapacity(s *server, req *fleet.Request) {
	s.inFlight--
	switch {
	case s != n.origin:
		n.cacheInFlight--
	case req.Write:
		n.originLimit.writesInFlight--
	}
}

// recordOutcome updates the latency and health of s and the share of late responses with the outcome of an attempt.
func (n *Node) recordOutcome(s *server, req *fleet.Request, attempt *fleet.Attempt, o fleet.Outcome) {
	respondedAt, responsive := n.now, s.silentSince > attempt.SentAt
	if attempt.RespondingAt == 0 {
		n.releaseCapacity(s, req)
	} else {
		responsive = s.completedAt > attempt.RespondingAt
		respondedAt, o.Took = n.recordResponding(s, attempt, o)
	}
	n.recordReport(s, o.Report)
	objective := n.limits.classes[req.Class].objective
	if s == n.origin {
		n.originLimit.recordOutcome(n, req, attempt, o)
	} else {
		countsAsResponse := o.Result == fleet.Completed || o.Result == fleet.TimedOut || responsive && !o.Result.NotExecuted()
		switch {
		case o.Result == fleet.Declined:
			n.lateShare += 0.05 * (0.2 - n.lateShare)
		case countsAsResponse && respondedAt-req.ArrivedAt > 0.8*objective:
			n.lateShare += 0.05 * (1 - n.lateShare)
		case countsAsResponse:
			n.lateShare -= 0.05 * n.lateShare
		}
	}
	switch o.Result {
	case fleet.NotSent:
		return
	case fleet.TimedOut, fleet.Cancelled:
		// The response would have taken longer than o.Took: a server must not look fast because its slow responses are cut off.
		s.recordLatency(n, max(o.Took, s.latency), attempt.RequestsAhead)
		// A slow server has not failed: only one that has answered nothing since the attempt was sent counts as silent.
		if !responsive && o.Took >= objective/4 {
			n.recordHealth(s, 1)
		}
		return
	case fleet.Completed:
		if o.Cache <= fleet.CacheHit {
			n.recordResponseTime(s, attempt, o.Took, min(n.now-respondedAt, objective))
		}
		s.completedAt = n.now
	case fleet.Missed:
		if transfer := min(n.now-respondedAt, objective); transfer > s.latency {
			s.recordLatency(n, transfer, attempt.RequestsAhead)
		}
		s.completedAt = n.now
	}
	if o.Result != fleet.Declined && !o.StaleConnection {
		n.recordHealth(s, failureScore[o.Result])
	}
	s.silentSince = n.now
}

// recordResponseTime updates the latency of s with a completed attempt: how long the server took until its response began, and how long the
// response took from then, which counts for caches only: requests for keys of a cache that writes slowly are late.
func (n *Node) recordResponseTime(s *server, attempt *fleet.Attempt, took, transfer float64) {
	took = min(took, 4*s.expectedLatency(n)) // limits the influence of one heavy request
	// timePerQueued stays near the shortest times: waiting behind other nodes' requests does not make a server slow.
	perQueued, weight := took/(1+attempt.RequestsAhead), 0.02
	if perQueued < s.timePerQueued {
		weight = 0.1
	}
	s.timePerQueued += weight * (perQueued - s.timePerQueued)
	if s != n.origin {
		took += transfer
	}
	s.recordLatency(n, took, attempt.RequestsAhead)
}

// recordLatency updates the moving averages with a response time and the number of requests that were ahead.
func (s *server) recordLatency(n *Node, took, ahead float64) {
	s.latency += 0.3 * (took - s.latency)
	s.latencyAhead += 0.3 * (ahead - s.latencyAhead)
	s.latencyAt = n.now
}

// recordHealth updates the failure share of s with the score of an outcome, 0 for a success. While s is an outlier, each
// further failure postpones its next trial request and doubles the backoff up to a limit.
func (n *Node) recordHealth(s *server, score float64) {
	if score == 0 {
		s.failureShare, s.backoff = s.failureShare*(1-failureWeight), n.limits.adjustInterval
	} else if s.failureShare += failureWeight * score * (1 - s.failureShare); s.isOutlier() {
		s.trialAt = n.now + s.backoff*(1+evidenceIntervals*max(0, s.indirectShare))
		s.backoff = min(2*s.backoff, 4*n.limits.adjustInterval)
		if s.trialInterval > 0 { // random, so that nodes which start together spread their trials
			s.trialAt = max(s.trialAt, n.now+2*s.trialInterval*n.random())
		}
	}
}

func (s *server) isOutlier() bool { return s.failureShare+s.indirectShare >= outlierThreshold }

// SetIndirectEvidence sets what other nodes' evidence adds to a server's failure share, and the interval between this
// node's trial requests while those nodes send some too. The next trial request is sent at trialBy at the latest.
func (n *Node) SetIndirectEvidence(id fleet.ServerID, evidence, trialInterval, trialBy float64) {
	s := n.servers[id]
	s.indirectShare, s.trialInterval, s.trialAt = evidence, trialInterval, min(s.trialAt, trialBy)
}

// accepts reports whether s may be sent req. An outlier gets one trial request at a time, which must be idempotent and
// for a key of the outlier's arc.
func (n *Node) accepts(ring *hashRing, s *server, req *fleet.Request, owner bool) bool {
	for _, earlier := range req.Attempts[:req.NumAttempts] {
		// A healthy server has a copy of the key: it may be sent req again after a connection was reset or went silent, but not after it
		// stopped within its response or wrote that slowly.
		lost := earlier.RespondingAt == 0 &&
			(earlier.Result == fleet.Reset || earlier.Result == fleet.Cancelled && s.silentSince > earlier.SentAt)
		if earlier.Server == s.id && earlier.Result != fleet.Missed && earlier.Result != fleet.NotSent && !lost {
			return false
		}
	}
	idempotent := n.limits.classes[req.Class].effect == fleet.Idempotent
	trial := owner && s.inFlight == 0 && n.now >= s.trialAt && req.NumAttempts == 0 && idempotent
	return (!s.isOutlier() || trial) && n.inSlowStartArc(ring, s, req.Key.Point()) && n.maySend(req, s)
}

// silenceLimit returns for how long s may be silent before an attempt of req there is hedged or replaced.
func (n *Node) silenceLimit(req *fleet.Request, s *server) float64 {
	return max(n.limits.classes[req.Class].objective/3, 4*s.timePerQueued)
}

// reviewAttempt decides whether to hedge or replace an attempt that takes long. An attempt at a silent server is
// hedged or replaced. A server that responds to other requests works, and req is heavy or queued there; only an attempt
// that takes much longer than expected is assumed to have lost its connection. An attempt whose response has begun is
// never replaced here; it is hedged if another server is faster.
func (n *Node) reviewAttempt(req *fleet.Request) fleet.Decision {
	attempt, class := &req.Attempts[req.NumAttempts-1], &n.limits.classes[req.Class]
	if !n.mayGetAnother(req, attempt) {
		return fleet.Decision{Action: fleet.Hold}
	}
	responding := attempt.RespondingAt > 0
	if responding && (req.InFlight > 1 || !n.limits.hedging || n.now >= n.reviewRespondingAt(req, attempt)) {
		return n.reviewResponding(req, attempt)
	}
	s, nextReview := n.servers[attempt.Server], n.now+class.objective/8
	if req.InFlight > 1 || !class.mayHedgeOrCancel || nextReview >= req.Deadline-n.limits.deadlineMargin {
		return fleet.Decision{Action: fleet.Hold}
	}
	age := n.now - attempt.SentAt
	takesTooLong := s.silentSince > attempt.SentAt && n.lateShare <= overloadLateShare &&
		age > max(class.objective/2, 6*s.expectedLatency(n))
	silent := s != n.origin && n.now-max(s.silentSince, attempt.SentAt) >= n.silenceLimit(req, s)
	if responding {
		nextReview = min(nextReview, n.reviewRespondingAt(req, attempt))
	}
	if n.hedgeBudget < 1 || !takesTooLong && !silent {
		return n.hold(req, nextReview)
	}
	target := n.origin // another cache seldom has the key; the origin always does, and writes go there
	if target == nil || !req.Write && n.originLimit.utilization(n) >= 0.5 {
		target = n.pickCache(req)
	}
	if (target == nil || target == s || target.expectedLatency(n) >= age/2) && (!takesTooLong || n.limits.hedging) {
		return n.hold(req, nextReview)
	}
	n.hedgeBudget--
	if n.limits.hedging {
		return n.send(req, target)
	}
	attempt.Cancelled = true
	return fleet.Decision{Action: fleet.Cancel, Attempt: req.NumAttempts - 1}
}

// mayGetAnother reports whether a request with an attempt in flight may get another attempt: it has one left, and its value is available to it.
func (n *Node) mayGetAnother(req *fleet.Request, newest *fleet.Attempt) bool {
	return !req.Uploading && !req.ValueConsumed && newest.Result == fleet.Pending && !newest.Cancelled &&
		req.NumAttempts < n.limits.classes[req.Class].maxAttempts
}

// pickIdleServer returns a server whose idle connections are to be closed, or nil. Deviation from the thesis: if full
// servers refuse connects (limits.serversRefuseWhenFull), a failed connect means that the nodes together hold too many
// connections. The node then halves the number of servers that it stays connected to, first closes the connections that
// it has used least recently, and slowly raises the number again. If full servers do not refuse connects, it closes
// nothing, since one lost server would make it close nearly all connections.
func (n *Node) pickIdleServer(s *server, result fleet.Result) *server {
	refused := result == fleet.ConnectFailed && n.limits.serversRefuseWhenFull
	if refused {
		n.recordHealth(s, 1) // so that the server is avoided at once
		s.connected = s.inFlight > 0
	} else if math.IsInf(n.maxConnectedServers, 1) {
		return nil
	}
	var idle *server
	connected := 0.0
	for _, candidate := range n.ring.servers {
		if candidate.connected {
			connected++
		}
		if candidate.connected && candidate.inFlight == 0 && (idle == nil || candidate.lastUsedAt < idle.lastUsedAt) {
			idle = candidate
		}
	}
	if refused {
		n.maxConnectedServers = max(1, min(connected, n.maxConnectedServers)/2)
	}
	if connected <= n.maxConnectedServers {
		return nil
	}
	return idle
}

// recordReport stores a server's load report, which the server repeats on every response until it makes a new one.
func (n *Node) recordReport(s *server, r fleet.LoadReport) {
	if !r.Present || r.SameLoad(&s.report) {
		return
	}
	s.hasNewReport = true
	if !math.IsNaN(r.Queue) {
		s.queuePeak = max(1, r.Queue, s.queuePeak*0.9)
	}
	if !math.IsNaN(r.HitRatio) {
		s.hitRatioPeak = max(r.HitRatio, s.hitRatioPeak*0.98)
	}
	s.report = r
	if s != n.origin && !math.IsNaN(r.Util) {
		n.meanUtil += 0.05 * (r.Util - n.meanUtil)
	}
}

// ProbeDone records the load report from a health check. The result and the duration are not used.
func (n *Node) ProbeDone(now float64, id fleet.ServerID, _ fleet.Result, _ float64, r fleet.LoadReport) {
	n.now = now
	n.recordReport(n.servers[id], r)
}
