package decide

import (
	"math"
	"sort"

	"mintspring/fleet"
)

// The move's figures as the thesis gives them (section 3.1, MOVE).
const (
	gamma   = 5.0
	alpha   = 3.0
	slope   = (gamma - 1) / alpha
	beta    = 0.1
	margin  = 0.05 * gamma
	stride  = 0.7 // share of x taken in a first move, since reports lag behind it
	spread  = 2
	popular = 10  // fading count of a key's queries above which it has a copy nearby
	settle  = 0.7 // by which each move shortens the next, so that rings come to rest and keys stay
)

// rebuild sorts the servers that own arcs. Those that drain or are gone own none: their arcs fall to
// their successors.
func (n *Node) rebuild() {
	n.ring, n.origin, n.warm = n.ring[:0], nil, 0
	for _, s := range n.servers {
		if s == nil || s.state != fleet.Ready {
			continue
		}
		if n.lim.origin >= 0 && s.kind == n.lim.origin {
			n.origin = s
			continue
		}
		n.ring = append(n.ring, s)
	}
	sort.SliceStable(n.ring, func(i, j int) bool { return n.ring[i].point < n.ring[j].point })
	for i, s := range n.ring {
		s.at, n.warm = i, n.warm+s.warmth(n)
	}
}

// owner returns the place on the ring of the server whose arc holds p.
func (n *Node) owner(p float64) int {
	i := sort.Search(len(n.ring), func(i int) bool { return n.ring[i].point >= p })
	if i == len(n.ring) {
		return 0
	}
	return i
}

func (n *Node) neighbour(i, step int) *server {
	return n.ring[((i+step)%len(n.ring)+len(n.ring))%len(n.ring)]
}

// arc is the length of the arc of the server at place i.
func (n *Node) arc(i int) float64 {
	if len(n.ring) == 1 {
		return 1
	}
	return fleet.Span(n.neighbour(i, -1).point, n.ring[i].point)
}

func loadCPU(c float64) float64 {
	if c > alpha {
		return gamma
	}
	return 1 + slope*c
}

func loadMemory(free float64) float64 {
	if free > beta {
		return 1
	}
	return gamma - (gamma-1)/beta*free
}

// level is a server's load as the thesis sums it: CPU, utilisation and memory, each 1 to gamma, equally
// weighted. A hit share below the server's own recent level stands for memory running short. What is not
// reported is NaN and leaves the sum.
func (s *server) level() float64 {
	sum, k := 0.0, 0.0
	for _, v := range [...]float64{loadCPU(alpha * s.report.Util), 1 + (gamma-1)*s.report.Queue/s.peak,
		loadMemory(beta * s.report.X0 / s.hits)} {
		if !math.IsNaN(v) {
			sum, k = sum+min(max(v, 1), gamma), k+1
		}
	}
	return sum / k
}

// shift is x of the thesis: how far a point must go back so that arcs are inversely proportional to loads.
func shift(own, succ, arcOwn, arcSucc float64) float64 {
	return (own*arcOwn - succ*arcSucc) / (own + succ)
}

// moveRing moves every point whose server is loaded above its successor by the margin, each on reports
// not used before: an old number must not move a point twice.
func (n *Node) moveRing() {
	for i, s := range n.ring {
		next := n.neighbour(i, 1)
		if !s.news || !next.news || s.ejected || next.ejected || !(s.level() > next.level()+margin) {
			continue
		}
		x := shift(s.level(), next.level(), n.arc(i), n.arc(next.at)) * s.stride
		if x = min(x, n.arc(i)/2); x <= 0 || s == next {
			continue
		}
		if s.point -= x; s.point < 0 {
			s.point++
		}
		s.stride = max(s.stride*settle, 0.02)
		s.used = true
	}
	for _, s := range n.ring {
		s.news, s.used = s.news && !s.used, false
	}
	n.rebuild()
}

// route walks from the key's owner along its successors to a server that can take q. Departure: an owner that
// holds more than twice its share of this node's queries hands the next one on, when the wait that saves is
// longer than what a miss costs more: half a fetch, the wait for room at the origin, and in overload, where
// only hits carry the load, part of the SLO time.
func (n *Node) route(q *fleet.Query) *server {
	bound := max(2, math.Ceil(spread*float64(n.atCaches+1)/float64(len(n.ring))))
	gain := n.store.rt / 2
	if n.late > overload {
		gain += n.lim.sloMin / 4
	}
	if !n.store.room(n) {
		gain += float64(len(n.store.waiting)+1) * n.store.rt / n.store.window
	}
	i := n.owner(q.Key.Point())
	var pick *server
	if s := n.nearby(i, q.Key); s != nil && n.takes(s, q, true) {
		// A copy nearby may be a fetch slower, but not where its zone is crowded.
		if e := s.est(n); e <= n.ring[i].est(n) || n.late <= overload && e <= n.ring[i].est(n)+n.store.rt {
			return s
		}
	}
	for k := range n.ring {
		s := n.neighbour(i, k)
		if !n.takes(s, q, k == 0) || pick != nil && s.est(n)+gain >= pick.est(n) {
			continue
		}
		if pick = s; float64(s.out+1) <= bound && n.now >= s.fullTil {
			break
		}
	}
	return pick
}

// nearby is the first server of this node's own zone on the way from a popular key's owner. Departure: a
// key that this node asks for often enough to keep a second copy warm has one there, which saves the way
// between zones and spreads hot keys.
func (n *Node) nearby(i int, key fleet.Key) *server {
	if n.heat[uint64(key)%uint64(len(n.heat))] < popular {
		return nil
	}
	for k := range n.ring {
		if s := n.neighbour(i, k); s.zone == n.lim.zone {
			return s
		}
	}
	return nil
}
