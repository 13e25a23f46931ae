package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"mintspring/internal/fleet"
)

// layOutPlainly is the even ring as the thesis's move defines it, without regard to the time that it takes.
func layOutPlainly(r *hashRing) {
	sort.Slice(r.servers, func(i, j int) bool { return r.servers[i].hashPoint < r.servers[j].hashPoint })
	for _, s := range r.servers {
		s.positions[r.positionIndex].point = s.hashPoint
	}
	for range layoutRounds {
		for i := len(r.servers) - 1; i >= 0; i-- {
			s, next := r.servers[i], r.serverAt(i+1)
			x := pointShift(1/s.size, 1/next.size, r.arcLength(i), r.arcLength(i+1))
			if x = min(x, r.arcLength(i)*0.9); x > 0 && s != next {
				s.positions[r.positionIndex].point = fleet.ArcLength(x, s.positions[r.positionIndex].point)
			}
		}
	}
	sort.Slice(r.servers, func(i, j int) bool { return r.pointAt(i) < r.pointAt(j) })
	for i, s := range r.servers {
		s.positions[r.positionIndex] = position{i, r.pointAt(i), r.arcLength(i), r.pointAt(i)}
	}
}

// Guards against nodes of different builds that route a key to different servers: the even ring is, to the last bit, the one that the thesis's move
// gives, whatever the number of servers, their sizes and the order of the list.
func TestEvenRingIsThatOfTheThesis(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for _, count := range []int{0, 1, 2, 3, 4, 7, 40, 300, 3200} {
		servers := make([]*server, count)
		for i := range servers {
			servers[i] = &server{hashPoint: fleet.InitialPoint(fmt.Sprint(count, "-", i)), size: []float64{1, 0.5, 2.7}[rng.IntN(3)]}
		}
		got, want := hashRing{servers: servers}, hashRing{servers: slices.Clone(servers), positionIndex: 1}
		rng.Shuffle(count, func(i, j int) { got.servers[i], got.servers[j] = got.servers[j], got.servers[i] })
		got.layOutEvenly()
		layOutPlainly(&want)
		if !slices.Equal(got.servers, want.servers) {
			t.Fatalf("%d servers are in another order", count)
		}
		for i, s := range got.servers {
			if s.positions[0] != s.positions[1] {
				t.Fatalf("server %d of %d: %+v, want %+v", i, count, s.positions[0], s.positions[1])
			}
		}
	}
}

// Guards against a ring that is not that of the list: after any changes (servers that are new, restart, drain, are gone, or take the slot of another one) and
// adjustments, the servers, points and capacity are those that the list and the moves so far give.
func TestRingFollowsChangesOfTheList(t *testing.T) {
	const slots = 40
	rng := rand.New(rand.NewPCG(3, 3))
	n := newHarness(testLimits()).node
	now := harnessStart
	for range 400 {
		id := fleet.ServerID(rng.IntN(slots))
		change := fleet.Endpoint{ID: id, Name: fmt.Sprint(id, "-", rng.IntN(3)), State: fleet.State(rng.IntN(3)), NominalCapacity: 1, StartedAt: now * float64(rng.IntN(2))}
		n.UpdateEndpoints(now, fleet.ListDelta, []fleet.Endpoint{change})
		for _, s := range n.ring.servers {
			n.recordReport(s, utilizationReport(rng.Float64()))
		}
		now += testWarmUpTime / 10 * rng.Float64()
		n.now = now
		n.adjustPoints()
		checkRing(t, n)
	}
}

// checkRing compares the ring of all caches with one that is made anew.
func checkRing(t *testing.T, n *Node) {
	t.Helper()
	want := hashRing{positionIndex: 0}
	for _, s := range n.servers {
		if s != nil && s.state == fleet.Ready {
			copied := *s
			want.servers = append(want.servers, &copied)
		}
	}
	layOutPlainly(&want)
	if len(want.servers) != len(n.ring.servers) {
		t.Fatalf("%d servers are on the ring, want %d", len(n.ring.servers), len(want.servers))
	}
	capacity := 0.0
	for i, s := range want.servers {
		s.positions[0].point -= s.shedShare * s.positions[0].evenArc
		capacity += s.capacityShare(n)
		if got := n.ring.servers[i]; got.id != s.id || got.positions[0] != s.positions[0] {
			t.Fatalf("server %d at %+v, want %d at %+v", got.id, got.positions[0], s.id, s.positions[0])
		}
	}
	if capacity != n.ring.capacity {
		t.Fatalf("capacity %v, want %v", n.ring.capacity, capacity)
	}
}
