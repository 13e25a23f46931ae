package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// originLimiter is this node's adaptive concurrency limit at the origin. Its window follows the response times.
type originLimiter struct {
	window, shrunkAt   float64     // window: attempts that may be in flight; shrunkAt: time of the last reduction
	latency, lateShare float64     // moving averages: response time, share of late responses
	writesInFlight     int         // counted in origin.inFlight too
	nextSendAt         float64     // earliest time of the next attempt while the window is below 1
	waiting            []fleet.Ref // requests queued for the origin
}

// maxQueuedTimeShare limits the queue for the origin: a request waits behind others only if its response is expected
// within this share of its remaining time.
const maxQueuedTimeShare = 0.6

// originHasCapacity reports whether one more read may be sent to the origin. Writes in flight take up at most half
// of the window.
func (n *Node) originHasCapacity() bool { return n.origin != nil && n.originLimit.utilization(n) < 1 }

// isPaced reports whether a window below 1 still delays the next read.
func (l *originLimiter) isPaced(now float64) bool { return l.window < 1 && now < l.nextSendAt }

// utilization returns the used share of the window, or 1 while the next read is delayed or the origin is silent.
func (l *originLimiter) utilization(n *Node) float64 {
	if l.isPaced(n.now) || n.origin.inFlight > 0 && n.now-n.origin.silentSince > n.limits.minObjective/2 {
		return 1
	}
	return (float64(n.origin.inFlight) - max(0, float64(l.writesInFlight)-l.window/2)) / max(1, l.window)
}

// recordOutcome widens the window while responses are in time and cuts it when too many are late. Writes never count
// as late, because they take several times as long as reads. An early reset does not count as late either.
func (l *originLimiter) recordOutcome(n *Node, req *fleet.Request, attempt *fleet.Attempt, o fleet.Outcome) {
	timeLimit, late, growth := n.limits.minObjective/2, 1.0, 0.17
	if req.Write {
		timeLimit = n.limits.classes[req.Class].objective
	}
	if o.Result == fleet.Completed {
		if l.latency += 0.1 * (o.Took - l.latency); o.Took <= timeLimit {
			late, growth = 0, 0.17*max(1, min(3, timeLimit/o.Took))
		}
	}
	neverLate := req.Write || o.Result == fleet.Reset && o.Took <= timeLimit
	if o.Result == fleet.Cancelled || o.Result == fleet.NotSent || late > 0 && neverLate {
		return
	}
	l.lateShare += 0.15 * (late - l.lateShare)
	if late > 0 && (l.lateShare > 0.3 || l.window <= 1) && attempt.SentAt >= l.shrunkAt {
		l.window, l.shrunkAt = max(n.limits.minWindow, l.window*0.7), n.now
	} else if late == 0 && float64(n.origin.inFlight+1) >= l.window-1 {
		l.window = min(64, l.window+min(growth*l.window, 1/l.window))
	}
}

// popWaiting removes and returns the waiting request with the highest value, or NoRequest if none waits or the origin
// has no capacity.
func (l *originLimiter) popWaiting(n *Node) fleet.Ref {
	if len(l.waiting) == 0 || !n.originHasCapacity() {
		return fleet.NoRequest
	}
	best, highest := -1, math.Inf(-1)
	stillWaiting := l.waiting[:0]
	for _, r := range l.waiting {
		req := n.requests.Get(r)
		if req == nil || req.Closed || req.Stage != stageQueued {
			continue
		}
		class := &n.limits.classes[req.Class]
		value := class.priority / (1 + (req.Deadline-n.now)/class.objective) // grows with the priority and as the deadline approaches
		if n.now+l.latency > req.ArrivedAt+class.objective {
			value *= class.lateFactor // it would be late: requests that can be in time go first
		}
		if value > highest {
			best, highest = len(stillWaiting), value
		}
		stillWaiting = append(stillWaiting, r)
	}
	if l.waiting = stillWaiting; best < 0 {
		return fleet.NoRequest
	}
	r := stillWaiting[best]
	n.requests.Get(r).Stage = stageNeedsOrigin
	l.waiting = append(stillWaiting[:best], stillWaiting[best+1:]...)
	return r
}

// routeToOrigin sends req to the origin if the origin has capacity, queues req if its response can be in time, or rejects it.
func (n *Node) routeToOrigin(req *fleet.Request) fleet.Decision {
	l := &n.originLimit
	if n.origin == nil {
		return n.reject(n.limits.minObjective)
	}
	if n.originHasCapacity() || req.Write && float64(n.origin.inFlight) < l.window+2 {
		return n.send(req, n.origin)
	}
	latency := max(l.latency, n.now-n.origin.silentSince)
	class, timeLeft := &n.limits.classes[req.Class], req.Deadline-n.now-n.limits.deadlineMargin
	// A response after the latency objective keeps only lateFactor of its value.
	timeLeft = max(timeLeft*class.lateFactor, min(timeLeft, req.ArrivedAt+class.objective-n.now))
	wait := float64(len(l.waiting)+1) * latency / l.window
	// The expected response time is a mean: half of the responses to requests that are queued behind others for all of timeLeft would be late, and
	// delay other requests.
	behindOthers := len(l.waiting) > 1 || len(l.waiting) > 0 && req.Stage != stageQueued
	if wait+latency > timeLeft || behindOthers && wait+latency > maxQueuedTimeShare*timeLeft {
		return n.reject(wait)
	}
	if req.Stage != stageQueued {
		req.Stage, l.waiting = stageQueued, append(l.waiting, req.Ref)
	}
	// Route is called again halfway, to reject a request that can no longer be in time. Otherwise the request would be
	// rejected only shortly before its deadline.
	return n.hold(req, n.now+max(timeLeft/2, min(timeLeft, latency)))
}

// capacityShare returns the share of its nominal capacity that a server is sure to have. During slow start it grows
// linearly with time.
func (s *server) capacityShare(n *Node) float64 {
	age := n.now - s.started
	if s.started <= 0 || n.limits.warmUpTime <= 0 || age >= n.limits.warmUpTime {
		return 1
	}
	return n.limits.coldCapacity + (1-n.limits.coldCapacity)*max(0, age)/n.limits.warmUpTime
}

// inSlowStartArc reports whether s serves point p. A cold server serves only the first part of its arc, next to its
// predecessor. This part is as long as the server's share of the ring's capacity.
func (n *Node) inSlowStartArc(ring *hashRing, s *server, p float64) bool {
	share := s.capacityShare(n)
	if share >= 1 || len(ring.servers) < 2 {
		return true
	}
	i := s.positions[ring.positionIndex].index
	return fleet.ArcLength(ring.pointAt(i-1), p) <= min(ring.arcLength(i), share/ring.capacity)
}

// hasSlowStartQuota reports whether this node's quota for s permits req. Only cold servers have quotas. The quotas of all
// nodes add up to half of the load at which a cold server fails.
func (n *Node) hasSlowStartQuota(s *server, req *fleet.Request) bool {
	return s == n.origin || s.capacityShare(n) >= 1 || n.slowStart.Allow(n.now, &s.bucket,
		n.limits.coldLoadFactor*s.capacityShare(n), n.ring.capacity, n.limits.coldBurst, req.Work)
}

// SlowStartQuota returns this node's quota of the load on a cold server and the node's demand for it, both in work per
// ms. Both are zero for a warm server.
func (n *Node) SlowStartQuota(now float64, id fleet.ServerID) (quota, demand float64) {
	s := n.servers[id]
	if n.now = now; s.capacityShare(n) >= 1 {
		return 0, 0
	}
	return n.slowStart.Quota(now, &s.bucket, n.limits.coldLoadFactor*s.capacityShare(n), n.ring.capacity)
}

// SetLeases sets the leases between nodes of their quotas for a cold server.
func (n *Node) SetLeases(id fleet.ServerID, l slowstart.Leases) { n.servers[id].bucket.Leases = l }
