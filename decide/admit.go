package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// originLimiter is this node's adaptive concurrency limit at the origin: its window follows response times.
type originLimiter struct {
	window, shrunkAt   float64 // attempts that may be in flight; when it was last cut
	latency, lateShare float64 // usual response time; moving share of late responses
	writes             int     // of the attempts in flight
	nextSendAt         float64 // a window below one paces attempts: when the next may go
	waiting            []fleet.Ref
}

// maxUsedShare is the share of the time left within which a response has to be expected while others wait.
const maxUsedShare = 0.6

// originFree reports whether one more read may go. Writes in flight take at most half of the reads' window.
func (n *Node) originFree() bool { return n.origin != nil && n.originLimit.load(n) < 1 }

// isPaced reports whether a window below one still keeps the next read back.
func (l *originLimiter) isPaced(now float64) bool { return l.window < 1 && now < l.nextSendAt }

// load is the used share of the window; 1 as well while the origin is paced or silent.
func (l *originLimiter) load(n *Node) float64 {
	if l.isPaced(n.now) || n.origin.inFlight > 0 && n.now-n.origin.silentSince > n.limits.minObjective/2 {
		return 1
	}
	return (float64(n.origin.inFlight) - max(0, float64(l.writes)-l.window/2)) / max(1, l.window)
}

// recordOutcome widens the window while responses come in time, and cuts it when a fair share does not. A
// write is never late, for writes take a multiple of what reads take; nor is a quick reset.
func (l *originLimiter) recordOutcome(n *Node, req *fleet.Request, e *fleet.Attempt, o fleet.Outcome) {
	limit, late, growth := n.limits.minObjective/2, 1.0, 0.17
	if req.Write {
		l.writes--
		limit = n.limits.classes[req.Class].objective
	}
	if o.Result == fleet.Completed {
		if l.latency += 0.1 * (o.Took - l.latency); o.Took <= limit {
			late, growth = 0, 0.17*max(1, min(3, limit/o.Took))
		}
	}
	neverLate := req.Write || o.Result == fleet.Reset && o.Took <= limit
	if o.Result == fleet.Cancelled || o.Result == fleet.NotSent || late > 0 && neverLate {
		return
	}
	l.lateShare += 0.15 * (late - l.lateShare)
	if late > 0 && (l.lateShare > 0.3 || l.window <= 1) && e.SentAt >= l.shrunkAt {
		l.window, l.shrunkAt = max(n.limits.minWindow, l.window*0.7), n.now
	} else if late == 0 && float64(n.origin.inFlight+1) >= l.window-1 {
		l.window = min(64, l.window+min(growth*l.window, 1/l.window))
	}
}

// nextWaiting takes out the waiting request of the highest value, once there is capacity.
func (l *originLimiter) nextWaiting(n *Node) fleet.Ref {
	if len(l.waiting) == 0 || !n.originFree() {
		return fleet.NoRequest
	}
	best, highest := -1, math.Inf(-1)
	open := l.waiting[:0]
	for _, r := range l.waiting {
		req := n.requests.Get(r)
		if req == nil || req.Closed || req.Stage != stageWaiting {
			continue
		}
		c := &n.limits.classes[req.Class]
		value := c.priority / (1 + (req.Deadline-n.now)/c.objective) // priority first, then the time left
		if n.now+l.latency > req.ArrivedAt+c.objective {
			value *= c.lateFactor // it would be late: one that can still be in time goes first
		}
		if value > highest {
			best, highest = len(open), value
		}
		open = append(open, r)
	}
	if l.waiting = open; best < 0 {
		return fleet.NoRequest
	}
	r := open[best]
	n.requests.Get(r).Stage = stageForOrigin
	l.waiting = append(open[:best], open[best+1:]...)
	return r
}

// routeToOrigin sends req to the origin if it has capacity, queues it while it can be in time, or rejects it.
func (n *Node) routeToOrigin(req *fleet.Request) fleet.Decision {
	l := &n.originLimit
	if n.origin == nil {
		return n.reject(n.limits.minObjective)
	}
	if n.originFree() || req.Write && float64(n.origin.inFlight) < l.window+2 {
		return n.send(req, n.origin)
	}
	latency := max(l.latency, n.now-n.origin.silentSince)
	c, left := &n.limits.classes[req.Class], req.Deadline-n.now-n.limits.slack
	left = max(left*c.lateFactor, min(left, req.ArrivedAt+c.objective-n.now)) // beyond that it is worth nothing
	wait := float64(len(l.waiting)+1) * latency / l.window
	// What is expected is a mean: of a queue held to the edge half came late, and took the place of others.
	others := len(l.waiting) > 1 || len(l.waiting) > 0 && req.Stage != stageWaiting
	if wait+latency > left || others && wait+latency > maxUsedShare*left {
		return n.reject(wait)
	}
	if req.Stage != stageWaiting {
		req.Stage, l.waiting = stageWaiting, append(l.waiting, req.Ref)
	}
	// Reviewed halfway: what can't be in time any more is rejected then, not shortly before its deadline.
	return n.hold(req, n.now+max(left/2, min(left, latency)))
}

// warmth is the share of its capacity that a server is sure to have: it grows linearly from its start.
func (s *server) warmth(n *Node) float64 {
	age := n.now - s.started
	if s.started <= 0 || n.limits.warmUpTime <= 0 || age >= n.limits.warmUpTime {
		return 1
	}
	return n.limits.coldCapacity + (1-n.limits.coldCapacity)*max(0, age)/n.limits.warmUpTime
}

// inColdArc limits a cold server to the part of its arc next to its predecessor, by its share of the warmth.
func (n *Node) inColdArc(c *hashRing, s *server, p float64) bool {
	w := s.warmth(n)
	if w >= 1 || len(c.servers) < 2 {
		return true
	}
	i := s.positions[c.index].index
	return fleet.ArcLength(c.point(i-1), p) <= min(c.arc(i), w/c.capacity)
}

// hasColdQuota reports whether s, if it is cold, may be sent req: this node has a quota of half of its limit.
func (n *Node) hasColdQuota(s *server, req *fleet.Request) bool {
	return s == n.origin || s.warmth(n) >= 1 || n.slowStart.Allow(n.now, &s.bucket,
		n.limits.coldRate*s.warmth(n), n.ring.capacity, n.limits.coldBurst, req.Work)
}

// SlowStartQuota returns this node's quota of the work that a cold server bears, and how much the node could
// use, in work per ms; zeros for a warm server.
func (n *Node) SlowStartQuota(now float64, id fleet.ServerID) (quota, demand float64) {
	s := n.servers[id]
	if n.now = now; s.warmth(n) >= 1 {
		return 0, 0
	}
	return n.slowStart.Quota(now, &s.bucket, n.limits.coldRate*s.warmth(n), n.ring.capacity)
}

// SetLeases sets what nodes have leased one another of what a cold server bears.
func (n *Node) SetLeases(id fleet.ServerID, l slowstart.Leases) { n.servers[id].bucket.Leases = l }
