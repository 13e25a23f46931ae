package decide

import (
	"math"
	"sort"

	"mintspring/internal/fleet"
)

const (
	maxLevel     = 5.0 // highest load level: gamma of the thesis (section 3.1, MOVE)
	margin       = 0.05 * maxLevel
	firstStep    = 0.25 // share of x taken by a first move, since reports lag and differ between nodes
	stepDecay    = 0.7  // by which each move shortens the next, so that rings converge and keys stay
	evenRounds   = 12   // moves of all points from their hash to the even ring; more move more keys at a join
	popularCount = 10   // decayed count of a key's requests in a zone above which it has a copy there
	minKeyCount  = 1.5  // own decayed count below which nothing is known of a key
	priorCount   = 20   // requests that a node must have seen before a share of them is worth much
)

// hashRing is one ring of servers in the order of their points.
type hashRing struct {
	index    int // of its positions in server.positions
	servers  []*server
	capacity float64 // sum of its servers' warmth
}

// position is the place of a server on one ring.
type position struct {
	index              int     // in hashRing.servers
	evenPoint, evenArc float64 // on the even ring: its point, and the length of its arc
	point              float64 // after the moves since then
}

// rebuild puts the servers that own arcs on the rings; the arcs of others fall to their successors.
func (n *Node) rebuild() {
	n.ring.servers, n.zoneRing.servers, n.origin = n.ring.servers[:0], n.zoneRing.servers[:0], nil
	for _, s := range n.servers {
		switch {
		case s == nil || s.state != fleet.Ready:
		case n.limits.originKind >= 0 && s.kind == n.limits.originKind:
			n.origin = s
		default:
			n.ring.servers = append(n.ring.servers, s)
			if s.zone == n.limits.zone {
				n.zoneRing.servers = append(n.zoneRing.servers, s)
			}
		}
	}
	n.zoneRing.index = 1
	n.ring.layOut()
	n.zoneRing.layOut()
	n.applyShed()
}

// layOut puts the points on the even ring. Departure: without reports all loads are equal, and the thesis's
// own move, made evenRounds times from the hash points, evens the arcs. It depends on the endpoint list
// alone, so all nodes agree on it, and it reaches few neighbours, so that a join moves few keys.
func (c *hashRing) layOut() {
	sort.Slice(c.servers, func(i, j int) bool { return c.servers[i].homePoint < c.servers[j].homePoint })
	for _, s := range c.servers {
		s.positions[c.index].point = s.homePoint
	}
	for range evenRounds {
		for i := len(c.servers) - 1; i >= 0; i-- {
			s, next := c.servers[i], c.at(i+1)
			x := shift(1/s.size, 1/next.size, c.arc(i), c.arc(i+1))
			if x = min(x, c.arc(i)*0.9); x > 0 && s != next {
				s.positions[c.index].point = fleet.ArcLength(x, s.positions[c.index].point)
			}
		}
	}
	sort.Slice(c.servers, func(i, j int) bool { return c.point(i) < c.point(j) })
	for i, s := range c.servers {
		s.positions[c.index] = position{i, c.point(i), c.arc(i), c.point(i)}
	}
}

// applyShed puts every point where its moves leave it, within its own arc of the even ring.
func (n *Node) applyShed() {
	for _, c := range [...]*hashRing{&n.ring, &n.zoneRing} {
		c.capacity = 0
		for _, s := range c.servers {
			p := &s.positions[c.index]
			p.point = p.evenPoint - s.shed*p.evenArc // the first one's may lie below 0: points stay in order
			c.capacity += s.warmth(n)
		}
	}
}

// owner returns the index of the server whose arc holds p. Past the last point that is the first or the one
// behind it: the first may have moved back past 0.
func (c *hashRing) owner(p float64) int {
	for k, turn := len(c.servers), 0.0; ; turn-- {
		i := sort.Search(k, func(i int) bool { return c.servers[i].positions[c.index].point >= p+turn })
		if i < k || turn < 0 {
			return i
		}
	}
}

// at is the server at index i, counted round the ring.
func (c *hashRing) at(i int) *server {
	k := len(c.servers)
	return c.servers[(i%k+k)%k]
}

func (c *hashRing) point(i int) float64 { return c.at(i).positions[c.index].point }

// arc is the length of the arc of the server at index i.
func (c *hashRing) arc(i int) float64 {
	if len(c.servers) == 1 {
		return 1
	}
	return fleet.ArcLength(c.point(i-1), c.point(i))
}

// level is a server's load as the thesis sums it: CPU (c three times the utilization, alpha 3 and m 4/3), the
// queue over its recent peak, and memory, each from 1 to maxLevel and equally weighted. A hit ratio below the
// server's own recent level stands for memory short of beta. What is not reported is NaN and leaves the sum.
func (s *server) level() float64 {
	sum, k, r := 0.0, 0.0, &s.report
	for _, used := range [...]float64{r.Util, r.Queue / s.queuePeak, 1 - r.HitRatio/s.hitRatio} {
		if !math.IsNaN(used) {
			sum, k = sum+1+(maxLevel-1)*min(max(used, 0), 1), k+1
		}
	}
	return sum / k
}

// shift is x of the thesis: how far a point must go back for arcs in inverse proportion to loads.
func shift(own, succ, arcOwn, arcSucc float64) float64 {
	return (own*arcOwn - succ*arcSucc) / (own + succ)
}

// adjustPoints moves each point whose server's load exceeds its successor's by the margin, on reports not
// used before: an old number must not move a point twice.
func (n *Node) adjustPoints() {
	c := &n.ring
	for i, s := range c.servers {
		next := c.at(i + 1)
		reported := s.newReport && next.newReport && s.level() > next.level()+margin // false where one is NaN
		if !reported || s.isOutlier() || next.isOutlier() {
			continue
		}
		if x := shift(s.level(), next.level(), c.arc(i), c.arc(i+1)) * s.step; x > 0 && s != next {
			s.shed = min(s.shed+x/s.positions[0].evenArc, 0.75)
			s.step, s.newReport = max(s.step*stepDecay, 0.02), false
		}
	}
	n.applyShed()
	busy := n.origin != nil && n.origin.report.Util > 0.9 && len(n.originLimit.waiting) > 0
	if n.lateShare > 3*overloadShare || n.originLimit.lateShare > 0.3 || busy {
		n.zoneShare *= 0.7
	} else {
		n.zoneShare = min(1, n.zoneShare+0.05)
	}
}

// copyCount is over how many servers of a zone a key is spread; 0: it is not popular. Departure: a key that
// is requested often enough has a copy in each zone, and one that would fill a server has as many as it
// takes, each node using one. What a node of many sees of a key is multiplied by the nodes of its zone.
func (n *Node) copyCount(key fleet.Key) uint64 {
	seen := n.keyCounts.Count(uint64(key))
	if seen < minKeyCount || seen*max(1, n.limits.nodesPerZone) < popularCount {
		return 0
	}
	share := seen / (n.keyCounts.Sum() + priorCount)
	return uint64(max(1, math.Ceil(share*float64(len(n.zoneRing.servers)))))
}

// pickCache routes req. Departure: most keys stay on the ring of the node's zone, which saves zone crossings
// and connections, but for a share that servers so busy and few could not carry, and that grows while
// responses are very late or the origin is slow: one copy serves all zones.
func (n *Node) pickCache(req *fleet.Request) *server {
	owner := n.firstAvailable(&n.ring, req, 0)
	copies := n.copyCount(req.Key)
	k, reach := n.zoneRing.capacity, 1.0 // a cold server counts for what it can carry
	if copies == 0 {
		reach -= 4 * n.meanUtil / k
	}
	ownerInZone := owner != nil && owner.zone == n.limits.zone
	if k == 0 || copies < 2 && (ownerInZone || req.Key.Sample() >= n.zoneShare*reach) {
		return owner
	}
	skip, best := 0, uint64(0)
	for j := range copies { // rendezvous hashing: as copies changes, few nodes change their choice
		if h := fleet.Mix(n.seed + j*0x9e3779b97f4a7c15); h > best {
			skip, best = int(j), h
		}
	}
	// A server of the zone may be slower by a fetch, but not where the zone is crowded.
	s, slower := n.firstAvailable(&n.zoneRing, req, skip), n.originLimit.latency
	if n.lateShare <= overloadShare {
		slower += n.limits.minObjective
	}
	if s == nil || owner != nil && s.expected(n) > owner.expected(n)+slower {
		return owner
	}
	return s
}

// firstAvailable goes from the server whose arc holds req's key along its successors to one that accepts req.
// Departure: one with over twice its share of this node's requests is passed over if that saves half a fetch.
func (n *Node) firstAvailable(c *hashRing, req *fleet.Request, skip int) *server {
	var pick *server
	first, bound := c.owner(req.Key.Point())+skip, max(2, 2*n.cacheInFlight/max(1, len(c.servers)))
	for k := range c.servers {
		s := c.at(first + k)
		if n.accepts(c, s, req, k == 0) &&
			(pick == nil || s.expected(n)+n.originLimit.latency/2 < pick.expected(n)) {
			if pick = s; s.inFlight < bound {
				break
			}
		}
	}
	return pick
}

// RingPoints returns the present points of a ring, in the space of out, and the share of keys routed by zone.
func (n *Node) RingPoints(now float64, zone bool, out []fleet.RingPoint) ([]fleet.RingPoint, float64) {
	c := map[bool]*hashRing{false: &n.ring, true: &n.zoneRing}[zone]
	n.now, out = now, out[:0]
	for i, s := range c.servers {
		out = append(out, fleet.RingPoint{ID: s.id, Position: c.point(i), CapacityShare: s.warmth(n)})
	}
	return out, n.zoneShare * (1 - 4*n.meanUtil/n.zoneRing.capacity)
}
