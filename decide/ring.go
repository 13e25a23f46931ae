package decide

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"mintspring/internal/fleet"
)

const (
	maxLoadLevel    = 5.0                 // highest load level: gamma of the thesis (section 3.1, MOVE)
	moveMargin      = 0.05 * maxLoadLevel // difference of load levels above which a point moves
	firstStep       = 0.25                // share of the computed shift that a first move takes; below 1, as reports lag and differ between nodes
	stepDecay       = 0.7                 // factor on the step after each move, so that rings converge and keys stay
	layoutRounds    = 12                  // rounds of moves that turn the hash points into the even ring; more rounds move more keys at a join
	popularKeyCount = 10                  // a key whose decayed request count in a zone reaches this has a copy in that zone
	minKeyCount     = 1.5                 // this node's decayed count below which a key's popularity is unknown
	priorCount      = 20                  // added to the sum of counts, so that a key gets no large share while the node has seen few requests
)

// hashRing is a ring of servers in the order of their points.
type hashRing struct {
	positionIndex int // in server.positions
	servers       []*server
	capacity      float64 // sum of its servers' capacity shares

	layout []placedServer // of the even ring; kept for reuse
}

// placedServer is a server with its point while the even ring is laid out.
type placedServer struct {
	point, load float64 // load: relative to that of the other servers, for equal arcs
	server      *server
}

// position is the place of a server on one ring.
type position struct {
	index              int     // in hashRing.servers
	evenPoint, evenArc float64 // point and arc length on the even ring
	point              float64 // current point: evenPoint and the moves since
}

// rebuild puts all ready caches on the rings and looks up the origin. The arcs of other servers go to their successors.
func (n *Node) rebuild() {
	n.ring.servers, n.zoneRing.servers, n.origin = n.ring.servers[:0], n.zoneRing.servers[:0], nil
	for _, s := range n.servers {
		if s != nil && s.state == fleet.Ready && n.isOrigin(s) {
			n.origin = s
		}
	}
	for _, id := range n.hashOrder {
		if s := n.servers[id]; s.state == fleet.Ready && !n.isOrigin(s) {
			n.ring.servers = append(n.ring.servers, s)
			if s.zone == n.limits.zone {
				n.zoneRing.servers = append(n.zoneRing.servers, s)
			}
		}
	}
	n.zoneRing.positionIndex = 1
	n.ring.layOutEvenly()
	n.zoneRing.layOutEvenly()
	n.applyShedShares()
}

func (n *Node) isOrigin(s *server) bool {
	return n.limits.originKind >= 0 && s.kind == n.limits.originKind
}

// indexInHashOrder returns the index of the first server in hashOrder whose point is not before that of the given one.
func (n *Node) indexInHashOrder(id fleet.ServerID) int {
	i, _ := slices.BinarySearchFunc(n.hashOrder, n.servers[id].hashPoint, func(other fleet.ServerID, point float64) int {
		return cmp.Compare(n.servers[other].hashPoint, point)
	})
	return i
}

func (n *Node) insertIntoHashOrder(id fleet.ServerID) {
	n.hashOrder = slices.Insert(n.hashOrder, n.indexInHashOrder(id), id)
}

// removeFromHashOrder removes a server that is in hashOrder by its present point.
func (n *Node) removeFromHashOrder(id fleet.ServerID) {
	i := n.indexInHashOrder(id)
	for n.hashOrder[i] != id { // servers with the same point
		i++
	}
	n.hashOrder = slices.Delete(n.hashOrder, i, i+1)
}

// layOutEvenly puts the points on the even ring. Deviation from the thesis: without reports all loads are equal, so the
// thesis's own move, made layoutRounds times from the hash points, evens the arcs. The result depends on the endpoint
// list alone, so that all nodes agree on it, and each point depends on few neighbors, so that a join moves few keys.
func (r *hashRing) layOutEvenly() {
	r.layout = r.layout[:0]
	for _, s := range r.servers {
		r.layout = append(r.layout, placedServer{s.hashPoint, 1 / s.size, s})
	}
	sortByPoint(r.layout)
	for range layoutRounds {
		moveTowardsEvenArcs(r.layout)
	}
	sortByPoint(r.layout)
	for i, placed := range r.layout {
		r.servers[i] = placed.server
		r.servers[i].positions[r.positionIndex].point = placed.point
	}
	for i, s := range r.servers {
		s.positions[r.positionIndex] = position{i, r.pointAt(i), r.arcLength(i), r.pointAt(i)}
	}
}

// sortByPoint sorts a layout, which mostly is in order but for its beginning: moves take the first points back past 0.
func sortByPoint(layout []placedServer) {
	byPoint := func(a, b placedServer) int { return cmp.Compare(a.point, b.point) }
	for i := 1; i < len(layout); i++ {
		if byPoint(layout[i-1], layout[i]) > 0 {
			rotate(layout, i)
			break
		}
	}
	if !slices.IsSortedFunc(layout, byPoint) {
		slices.SortFunc(layout, byPoint)
	}
}

// rotate moves the first count servers of a layout to its end.
func rotate(layout []placedServer, count int) {
	slices.Reverse(layout[:count])
	slices.Reverse(layout[count:])
	slices.Reverse(layout)
}

// moveTowardsEvenArcs makes one round of moves of the thesis, from the last point to the first. The points stay in their order on the ring.
func moveTowardsEvenArcs(layout []placedServer) {
	last := len(layout) - 1
	if last < 1 {
		return
	}
	successor := &layout[0]
	for i := last; i >= 0; i-- {
		placed, predecessor := &layout[i], &layout[last]
		if i > 0 {
			predecessor = &layout[i-1]
		}
		arc := fleet.ArcLength(predecessor.point, placed.point)
		x := pointShift(placed.load, successor.load, arc, fleet.ArcLength(placed.point, successor.point))
		if x = min(x, arc*0.9); x > 0 {
			placed.point = fleet.ArcLength(x, placed.point)
		}
		successor = placed
	}
}

// applyShedShares sets each point by its server's shedShare, within the server's arc of the even ring, and sums up the
// rings' capacities.
func (n *Node) applyShedShares() {
	n.hasColdServer = false
	for _, ring := range [...]*hashRing{&n.ring, &n.zoneRing} {
		ring.capacity = 0
		for _, s := range ring.servers {
			p := &s.positions[ring.positionIndex]
			p.point = p.evenPoint - s.shedShare*p.evenArc // may be below 0 for the first one, so that the points stay in order
			share := s.capacityShare(n)
			ring.capacity += share
			n.hasColdServer = n.hasColdServer || share < 1
		}
	}
}

// ownerIndex returns the index of the server whose arc holds p. If p is behind the last point, this is the first
// server, or the second if the first one's point has moved back past 0 and past p.
func (r *hashRing) ownerIndex(p float64) int {
	for count, offset := len(r.servers), 0.0; ; offset-- {
		i := sort.Search(count, func(i int) bool { return r.servers[i].positions[r.positionIndex].point >= p+offset })
		if i < count || offset < 0 {
			return i
		}
	}
}

// serverAt returns the server at index i, which wraps around the ring.
func (r *hashRing) serverAt(i int) *server {
	count := len(r.servers)
	return r.servers[(i%count+count)%count]
}

func (r *hashRing) pointAt(i int) float64 { return r.serverAt(i).positions[r.positionIndex].point }

// arcLength returns the length of the arc of the server at index i.
func (r *hashRing) arcLength(i int) float64 {
	if len(r.servers) == 1 {
		return 1
	}
	return fleet.ArcLength(r.pointAt(i-1), r.pointAt(i))
}

// loadLevel returns a server's load level as in the thesis: the mean of the levels of CPU (c is three times the
// utilization, alpha 3 and m 4/3), of the queue relative to its recent peak, and of memory, each from 1 to maxLoadLevel.
// A hit ratio below its recent peak stands for memory short of beta. Values that are not reported are NaN and are left
// out; without any, the level is NaN.
func (s *server) loadLevel() float64 {
	sum, count, report := 0.0, 0.0, &s.report
	for _, used := range [...]float64{report.Util, report.Queue / s.queuePeak, 1 - report.HitRatio/s.hitRatioPeak} {
		if !math.IsNaN(used) {
			sum, count = sum+1+(maxLoadLevel-1)*min(max(used, 0), 1), count+1
		}
	}
	return sum / count
}

// pointShift is x of the thesis: how far a point must move back for arc lengths in inverse proportion to the loads.
func pointShift(ownLoad, succLoad, ownArc, succArc float64) float64 {
	return (ownLoad*ownArc - succLoad*succArc) / (ownLoad + succLoad)
}

// adjustPoints moves back each point whose server's load level exceeds its successor's by moveMargin, and adapts the
// share of keys routed by zone. A move needs a new report from both servers: no report may move a point twice.
func (n *Node) adjustPoints() {
	ring, moved := &n.ring, false
	for i, s := range ring.servers {
		if !s.hasNewReport {
			continue
		}
		successor := ring.serverAt(i + 1)
		exceedsMargin := successor.hasNewReport && s.loadLevel() > successor.loadLevel()+moveMargin // false if a level is NaN
		if !exceedsMargin || s.isOutlier() || successor.isOutlier() {
			continue
		}
		if x := pointShift(s.loadLevel(), successor.loadLevel(), ring.arcLength(i), ring.arcLength(i+1)) * s.step; x > 0 && s != successor {
			s.shedShare = min(s.shedShare+x/s.positions[0].evenArc, 0.75)
			s.step, s.hasNewReport, moved = max(s.step*stepDecay, 0.02), false, true
		}
	}
	if moved || n.hasColdServer {
		n.applyShedShares()
	}
	originBusy := n.origin != nil && n.origin.report.Util > 0.9 && len(n.originLimit.waiting) > 0
	if n.lateShare > 3*overloadLateShare || n.originLimit.lateShare > 0.3 || originBusy {
		n.zoneShare *= 0.7
	} else {
		n.zoneShare = min(1, n.zoneShare+0.05)
	}
}

// copyCount returns how many servers of a zone have a copy of a key; 0: it is not popular. Deviation from the thesis: a
// popular key has a copy in each zone, and a key whose requests would fill a server has as many copies as that load
// needs; each node uses one of them. The requests of the zone are estimated as this node's count times the nodes per zone.
func (n *Node) copyCount(key fleet.Key) uint64 {
	seen := n.keyCounts.Count(uint64(key))
	if seen < minKeyCount || seen*max(1, n.limits.nodesPerZone) < popularKeyCount {
		return 0
	}
	share := seen / (n.keyCounts.Sum() + priorCount)
	return uint64(max(1, math.Ceil(share*float64(len(n.zoneRing.servers)))))
}

// pickCache chooses a cache for req, or nil. Deviation from the thesis: most keys stay on the ring of the node's zone,
// which saves connections and traffic between zones. The ring of all caches serves the share of keys for which the zone
// has no capacity. The share on the ring of all caches grows while responses are very late or the origin is slow, because
// one copy of a key there serves all zones.
func (n *Node) pickCache(req *fleet.Request) *server {
	owner := n.firstAvailable(&n.ring, req, 0)
	copies := n.copyCount(req.Key)
	zoneCapacity, carriedShare := n.zoneRing.capacity, 1.0 // a cold server counts by its capacity share
	if copies == 0 {
		carriedShare -= 4 * n.meanUtil / zoneCapacity
	}
	ownerInZone := owner != nil && owner.zone == n.limits.zone
	if zoneCapacity == 0 || copies < 2 && (ownerInZone || req.Key.Sample() >= n.zoneShare*carriedShare) {
		return owner
	}
	skip, highest := 0, uint64(0)
	for j := range copies { // rendezvous hashing: when copies changes, few nodes change their choice
		if h := fleet.Mix(n.seed + j*0x9e3779b97f4a7c15); h > highest {
			skip, highest = int(j), h
		}
	}
	// The server of the zone is preferred to the owner unless its expected latency is higher by more than a fetch from the
	// origin takes. Without overload, a latency objective is added to that margin.
	s, maxExtraLatency := n.firstAvailable(&n.zoneRing, req, skip), n.originLimit.latency
	if n.lateShare <= overloadLateShare {
		maxExtraLatency += n.limits.minObjective
	}
	if s == nil || owner != nil && s.expectedLatency(n) > owner.expectedLatency(n)+maxExtraLatency {
		return owner
	}
	return s
}

// firstAvailable returns the first server that accepts req, or nil. It begins skip places after the owner of req's key
// and goes on along the successors. Deviation from the thesis: a server with more than twice its share of this node's
// requests is passed over if this saves half the latency of a fetch.
func (n *Node) firstAvailable(ring *hashRing, req *fleet.Request, skip int) *server {
	var pick *server
	first, maxInFlight := ring.ownerIndex(req.Key.Point())+skip, max(2, 2*n.cacheInFlight/max(1, len(ring.servers)))
	for k := range ring.servers {
		s := ring.serverAt(first + k)
		if n.accepts(ring, s, req, k == 0) &&
			(pick == nil || s.expectedLatency(n)+n.originLimit.latency/2 < pick.expectedLatency(n)) {
			if pick = s; s.inFlight < maxInFlight {
				break
			}
		}
	}
	return pick
}

// RingPoints returns the current points of a ring, stored in out, and the share of keys routed by the ring of the zone.
func (n *Node) RingPoints(now float64, zone bool, out []fleet.RingPoint) ([]fleet.RingPoint, float64) {
	ring := map[bool]*hashRing{false: &n.ring, true: &n.zoneRing}[zone]
	n.now, out = now, out[:0]
	for i, s := range ring.servers {
		out = append(out, fleet.RingPoint{ID: s.id, Position: ring.pointAt(i), CapacityShare: s.capacityShare(n)})
	}
	return out, n.zoneShare * (1 - 4*n.meanUtil/n.zoneRing.capacity)
}
