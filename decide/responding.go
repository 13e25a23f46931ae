package decide

import "mintspring/internal/fleet"

// An attempt is responding while its server has begun a response of which the client has nothing yet. A server may pause there and go on
// before the deadline, so that such an attempt is not ended while its server may go on.

// maxRespondingAge is by how much a response may take longer than the longest lately, as a factor, and still be expected to go on.
const maxRespondingAge = 2

// responseRecord holds how long responses took lately from their beginning to their completion, or to the first byte of a large value, at any server.
type responseRecord struct {
	longest float64 // ms
	at      float64 // when it was completed
}

// record adds a response.
func (r *responseRecord) record(now, took, evidenceTime float64) {
	if took >= r.longest || now-r.at > evidenceTime {
		r.longest, r.at = took, now
	}
}

// evidenceTime returns for how long the past of a server says something about it, in ms.
func (n *Node) evidenceTime() float64 { return evidenceIntervals * n.limits.adjustInterval }

// recordResponding records the outcome of an attempt at s that was responding. It returns when the server had responded and how long that took: the rest
// of a completed response is its transfer.
func (n *Node) recordResponding(s *server, attempt *fleet.Attempt, o fleet.Outcome) (respondedAt, took float64) {
	switch o.Result {
	case fleet.TimedOut:
		s.stoppedAt = n.now
	case fleet.Completed, fleet.Missed:
		n.responses.record(n.now, n.now-attempt.RespondingAt, n.evidenceTime())
		return attempt.RespondingAt, attempt.RespondingAt - attempt.SentAt
	}
	return n.now, o.Took
}

// mayContinue reports whether s may go on with the response to an attempt. It probably does not if it has stopped within a response lately and no
// response has taken nearly as long.
func (n *Node) mayContinue(s *server, attempt *fleet.Attempt) bool {
	stoppedLately := s.stoppedAt > 0 && n.now-s.stoppedAt <= n.evidenceTime()
	tookAsLong := n.now-n.responses.at <= n.evidenceTime() && n.now-attempt.RespondingAt <= maxRespondingAge*n.responses.longest
	return !stoppedLately || tookAsLong
}

// ServerResponding reports that the server of the attempt with the given number has begun to write a response of which the client has
// nothing yet. The server has done its work: the attempt no longer counts as in flight there, but ends as any other.
func (n *Node) ServerResponding(now float64, req *fleet.Request, number int) {
	n.now = now
	attempt := &req.Attempts[number]
	if number >= req.NumAttempts || attempt.Result != fleet.Pending || attempt.RespondingAt > 0 || req.Uploading {
		return
	}
	s := n.servers[attempt.Server]
	attempt.RespondingAt, s.silentSince = now, now
	n.releaseCapacity(s, req)
	if reviewAt := n.reviewRespondingAt(req, attempt); !n.limits.hedging || req.WakeAt <= now || req.WakeAt > reviewAt {
		n.hold(req, reviewAt)
	}
}

// reviewRespondingAt returns when an attempt that is still responding is reviewed: after half of the time that was left when its response began or,
// if only one attempt may be in flight, as late as another one can be in time.
func (n *Node) reviewRespondingAt(req *fleet.Request, attempt *fleet.Attempt) float64 {
	half := (attempt.RespondingAt + req.Deadline) / 2
	if n.limits.hedging {
		return half
	}
	return max(half, req.Deadline-n.limits.classes[req.Class].maxRetryTime())
}

// maxRetryTime and minRetryTime return the bounds of the time that is kept for another attempt once a response has begun, in ms. It is short, since a
// server that stopped within one response may only pause within the next.
func (c *requestClass) maxRetryTime() float64 { return c.objective / 4 }
func (c *requestClass) minRetryTime() float64 { return c.objective / 16 }

// reviewResponding decides whether a request whose newest attempt is still responding gets another one. Only an idempotent request does: no other
// attempt of a request with an effect could have a better response.
func (n *Node) reviewResponding(req *fleet.Request, attempt *fleet.Attempt) fleet.Decision {
	reviewAt := n.reviewRespondingAt(req, attempt)
	switch {
	case n.now < reviewAt:
		return n.hold(req, reviewAt)
	case n.limits.classes[req.Class].effect != fleet.Idempotent || n.now >= req.Deadline-n.limits.deadlineMargin:
		return fleet.Decision{Action: fleet.Hold}
	case req.InFlight > 1:
		return n.cancelOlder(req)
	}
	return n.addToResponding(req, attempt)
}

// addToResponding decides whether a request whose only attempt is still responding gets another one. If two attempts may be in flight, the first
// one goes on. Otherwise it is cancelled, but only if its server probably does not go on, and as late as possible.
func (n *Node) addToResponding(req *fleet.Request, attempt *fleet.Attempt) fleet.Decision {
	s, class := n.servers[attempt.Server], &n.limits.classes[req.Class]
	target := n.origin
	if s != n.origin && !req.Write && !n.originHasCapacity() {
		target = n.pickCache(req)
	}
	switch {
	case target == nil:
		return fleet.Decision{Action: fleet.Hold}
	case n.limits.hedging:
		return n.send(req, target)
	}
	retryAt := req.Deadline - max(class.minRetryTime(), min(class.maxRetryTime(), 4*target.expectedLatency(n)))
	switch {
	case n.now < retryAt:
		return n.hold(req, retryAt)
	case !n.limits.cancellation || n.mayContinue(s, attempt):
		return fleet.Decision{Action: fleet.Hold}
	}
	attempt.Cancelled = true
	return fleet.Decision{Action: fleet.Cancel, Attempt: req.NumAttempts - 1}
}

// cancelOlder cancels the older one of two attempts in flight, if it is responding as well and its server probably does not go on. The request is
// reviewed again once that attempt has ended, and gets a third one.
func (n *Node) cancelOlder(req *fleet.Request) fleet.Decision {
	for i := range req.Attempts[:req.NumAttempts-1] {
		older := &req.Attempts[i]
		pending := older.Result == fleet.Pending && !older.Cancelled && older.RespondingAt > 0
		if pending && n.limits.cancellation && !n.mayContinue(n.servers[older.Server], older) {
			older.Cancelled = true
			return fleet.Decision{Action: fleet.Cancel, Attempt: i}
		}
	}
	return fleet.Decision{Action: fleet.Hold}
}
