package decide

import (
	"fmt"
	"math"
	"testing"

	"mintspring/internal/fleet"
)

func TestPointShiftAndLoadLevel(t *testing.T) {
	expectNear := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
	// Loads 4 and 2 on arcs of 0.3 and 0.1: x = (1.2-0.2)/6, and the new arc lengths are in the ratio 2 to 4.
	x := pointShift(4, 2, 0.3, 0.1)
	expectNear("x", x, 1.0/6)
	expectNear("ratio after the move", (0.3-x)/(0.1+x), 2.0/4)
	expectNear("negative x", pointShift(4, 3, 0.1, 0.3), -0.5/7)
	s := server{report: fleet.NewLoadReport(), queuePeak: 1}
	if !math.IsNaN(s.loadLevel()) {
		t.Error("a server without reports has a level")
	}
	s.report.Util = 0.5
	expectNear("level by utilization alone", s.loadLevel(), 3)
	s.report.Queue, s.queuePeak = 5, 10
	s.report.HitRatio, s.hitRatioPeak = 0.3, 0.6
	expectNear("all three levels", s.loadLevel(), 3)
	s.report = fleet.LoadReport{Util: 1.2, Queue: 30, HitRatio: 0}
	expectNear("all levels at their highest", s.loadLevel(), maxLoadLevel)
	s.report = fleet.LoadReport{Util: 0, Queue: 0, HitRatio: 0.9}
	expectNear("all levels at rest", s.loadLevel(), 1)
}

// A report moves a point once, only backwards, never past its predecessor, and not while loads differ by less than the margin.
func TestReportMovesPointOnce(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(4)
	n := h.node
	for _, s := range n.ring.servers {
		n.recordReport(s, utilizationReport(0.3))
	}
	s := n.ring.servers[2]
	n.recordReport(s, utilizationReport(0.9))
	before, arc := s.positions[0].point, n.ring.arcLength(2)
	x := pointShift(s.loadLevel(), n.ring.serverAt(2+1).loadLevel(), arc, n.ring.arcLength(3))
	n.adjustPoints()
	if want := min(max(0, x*firstStep), arc*0.75); math.Abs(fleet.ArcLength(s.positions[0].point, before)-want) > 1e-9 {
		t.Errorf("moved by %v, want %v", fleet.ArcLength(s.positions[0].point, before), want)
	}
	after := s.positions[0].point
	n.adjustPoints()
	if s.positions[0].point != after {
		t.Error("an old report moved the point again")
	}
}

// A key belongs to the server of the next point, wherever points have moved to. Once, when the first point had moved back past 0, its
// server got the whole arc of its successor, because the search relies on the order of the points.
func TestOwnerWithFirstPointBelowZero(t *testing.T) {
	belowZero := 0
	for seed := range 40 {
		ring := newRingWithMovedPoints(seed)
		if s := ring.servers[0]; s.positions[0].evenPoint < s.shedShare*s.positions[0].evenArc {
			belowZero++
		}
		for k := range 500 {
			p := fleet.Key(fleet.Mix(uint64(k) + 1)).Point()
			want := nextPoint(ring, p)
			if got := ring.ownerIndex(p); got%len(ring.servers) != want {
				t.Fatalf("the owner of point %v is %d, got %d", p, want, got)
			}
		}
	}
	if belowZero < 5 {
		t.Errorf("the first point is below 0 in %d cases only", belowZero)
	}
}

// newRingWithMovedPoints returns a ring of seven servers, each of which has handed most of its arc to its successor.
func newRingWithMovedPoints(seed int) *hashRing {
	n := newHarness(testLimits()).node
	var entries []fleet.Endpoint
	for i := range 7 {
		name := fmt.Sprint("s", seed, "-", i)
		entries = append(entries, fleet.Endpoint{ID: fleet.ServerID(i), Name: name, State: fleet.Ready, NominalCapacity: 1})
	}
	n.UpdateEndpoints(1, fleet.ListFull, entries)
	for _, s := range n.ring.servers {
		s.shedShare = 0.7
	}
	n.applyShedShares()
	return &n.ring
}

// nextPoint returns the index of the server whose point is the next one at or after p, by a linear search.
func nextPoint(ring *hashRing, p float64) int {
	nearest := 0
	for i, s := range ring.servers {
		if fleet.ArcLength(p, s.positions[0].point) < fleet.ArcLength(p, ring.servers[nearest].positions[0].point) {
			nearest = i
		}
	}
	return nearest
}

// Without load reports, the arcs of a large fleet have nearly the same length. Nodes with the same endpoint list have the same ring, in
// any order of its entries. Few keys move when a server leaves, and all of them return with it.
func TestArcsAreEvenWithoutLoadReports(t *testing.T) {
	const size = 80
	h, other := newHarness(testLimits()), newHarness(testLimits())
	h.listServers(size)
	for id := fleet.ServerID(size); id >= 0; id-- {
		other.updateList(fleet.ListDelta, h.list[id])
	}
	owners := func(h *harness) (owners [4000]fleet.ServerID) {
		for k := range owners {
			owners[k] = h.ownerOf(fleet.Key(k)).id
		}
		return owners
	}
	before, widest := owners(h), 0.0
	for i := range h.node.ring.servers {
		widest = max(widest, h.node.ring.arcLength(i)*size)
	}
	if widest > 2 {
		t.Errorf("the widest arc is %.1f times the mean", widest)
	}
	if owners(other) != before {
		t.Error("two nodes with the same list disagree")
	}
	moved := 0
	for id := range fleet.ServerID(10) {
		e := h.list[id]
		e.State = fleet.Draining
		h.updateList(fleet.ListDelta, e)
		for k, owner := range owners(h) {
			if before[k] != owner {
				moved++
			}
		}
		e.State = fleet.Ready
		h.updateList(fleet.ListDelta, e)
	}
	if moved > 10*4*len(before)/size {
		t.Errorf("%d of %d keys moved when each of ten of %d servers left", moved, len(before), size)
	}
	if owners(h) != before {
		t.Error("the ring differs after leaving and joining")
	}
}
