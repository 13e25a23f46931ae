package decide

import (
	"fmt"
	"math"
	"testing"

	"mintspring/internal/fleet"
)

func TestShiftAndLevel(t *testing.T) {
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	// 4 on an arc of 0.3 beside 2 on 0.1: x = (1.2-0.2)/6, and the arcs come out as 2 to 4.
	x := shift(4, 2, 0.3, 0.1)
	near("x", x, 1.0/6)
	near("ratio after the move", (0.3-x)/(0.1+x), 2.0/4)
	near("negative x", shift(4, 3, 0.1, 0.3), -0.5/7)
	s := server{report: fleet.NewLoadReport(), queuePeak: 1}
	if !math.IsNaN(s.level()) {
		t.Error("a server without reports has a level")
	}
	s.report.Util = 0.5
	near("level by utilization alone", s.level(), 3)
	s.report.Queue, s.queuePeak = 5, 10
	s.report.HitRatio, s.hitRatio = 0.3, 0.6
	near("all three levels", s.level(), 3)
	s.report = fleet.LoadReport{Util: 1.2, Queue: 30, HitRatio: 0}
	near("all levels at their highest", s.level(), maxLevel)
	s.report = fleet.LoadReport{Util: 0, Queue: 0, HitRatio: 0.9}
	near("all levels at rest", s.level(), 1)
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
	before, arc := s.positions[0].point, n.ring.arc(2)
	x := shift(s.level(), n.ring.at(2+1).level(), arc, n.ring.arc(3))
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

// A key belongs to the server of the next point, wherever points have moved to. The server of the first point once took its
// successor's whole arc when that point had moved back past 0, for the search goes by the order of the points.
func TestOwnerWithFirstPointBelowZero(t *testing.T) {
	belowZero := 0
	for seed := range 40 {
		ring := shedRing(seed)
		if s := ring.servers[0]; s.positions[0].evenPoint < s.shed*s.positions[0].evenArc {
			belowZero++
		}
		for k := range 500 {
			p := fleet.Key(fleet.Mix(uint64(k) + 1)).Point()
			want := nextPoint(ring, p)
			if got := ring.owner(p); got%len(ring.servers) != want {
				t.Fatalf("%v belongs to %d, and goes to %d", p, want, got)
			}
		}
	}
	if belowZero < 5 {
		t.Errorf("the first point is below 0 in %d cases only", belowZero)
	}
}

// shedRing is a ring of seven servers, each of which has shed most of its arc.
func shedRing(seed int) *hashRing {
	n := newHarness(testLimits()).node
	var entries []fleet.Endpoint
	for i := range 7 {
		name := fmt.Sprint("s", seed, "-", i)
		entries = append(entries, fleet.Endpoint{ID: fleet.ServerID(i), Name: name, State: fleet.Ready, NominalCapacity: 1})
	}
	n.UpdateEndpoints(1, fleet.ListFull, entries)
	for _, s := range n.ring.servers {
		s.shed = 0.7
	}
	n.applyShed()
	return &n.ring
}

// nextPoint finds the server of the next point at or after p by looking at all of them.
func nextPoint(ring *hashRing, p float64) int {
	nearest := 0
	for i, s := range ring.servers {
		if fleet.ArcLength(p, s.positions[0].point) < fleet.ArcLength(p, ring.servers[nearest].positions[0].point) {
			nearest = i
		}
	}
	return nearest
}

// Without reports the arcs of a large fleet are nearly even, nodes with the same endpoint list agree whatever order it came in,
// and one server's leaving moves few keys; its return restores them all.
func TestEvenRing(t *testing.T) {
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
		widest = max(widest, h.node.ring.arc(i)*size)
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
