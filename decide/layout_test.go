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
