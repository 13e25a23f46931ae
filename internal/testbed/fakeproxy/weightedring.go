package fakeproxy

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"mintspring/internal/fleet"
)

// Bounds of a ring's size. The lower one is Envoy's default (RingHashLbConfig.minimum_ring_size).
const (
	minRingSize = 1 << 10
	maxRingSize = 1 << 23
)

// maxPriorities is the number of priorities that NewWeightedRing considers, from 0 up.
const maxPriorities = 8

// WeightedRing is the hash ring of a proxy that balances by weights alone, as the documentation of Envoy's ring hash load balancer
// describes it: each host has points in proportion to its weight, and a key belongs to the host of the next point. The ring contains
// the hosts of the first priority that has a healthy one.
type WeightedRing struct {
	points []ringPoint // sorted by position
}

type ringPoint struct {
	position uint64
	hostID   string
}

// ringHost is a host of a cluster load assignment that may take requests.
type ringHost struct {
	id, addr string
	weight   float64
}

// NewWeightedRing builds the ring of a cluster load assignment.
func NewWeightedRing(assignment *endpoint.ClusterLoadAssignment) *WeightedRing {
	byPriority := healthyHosts(assignment)
	for priority := range uint32(maxPriorities) {
		if hosts := byPriority[priority]; len(hosts) > 0 {
			return newRing(hosts)
		}
	}
	return &WeightedRing{}
}

// healthyHosts returns the hosts that may take requests, by priority.
func healthyHosts(assignment *endpoint.ClusterLoadAssignment) map[uint32][]ringHost {
	byPriority := map[uint32][]ringHost{}
	for _, locality := range assignment.GetEndpoints() {
		for _, lbEndpoint := range locality.LbEndpoints {
			if h := lbEndpoint.HealthStatus; h != core.HealthStatus_HEALTHY && h != core.HealthStatus_UNKNOWN {
				continue
			}
			address := lbEndpoint.GetEndpoint().Address.GetSocketAddress()
			byPriority[locality.Priority] = append(byPriority[locality.Priority], ringHost{
				id:     lbEndpoint.GetEndpoint().Hostname,
				addr:   fmt.Sprint(address.Address, ":", address.GetPortValue()),
				weight: float64(lbEndpoint.LoadBalancingWeight.GetValue()),
			})
		}
	}
	return byPriority
}

// newRing gives each host points in proportion to its weight: at least one to the lightest host, and in all no fewer than
// minRingSize and no more than maxRingSize.
func newRing(hosts []ringHost) *WeightedRing {
	total, lightest := 0.0, hosts[0].weight
	for _, h := range hosts {
		total, lightest = total+h.weight, min(lightest, h.weight)
	}
	pointsPerWeight := max(1/lightest, minRingSize/total)
	if total*pointsPerWeight > maxRingSize {
		pointsPerWeight = maxRingSize / total
	}
	r := &WeightedRing{}
	for _, h := range hosts {
		for i := range int(h.weight * pointsPerWeight) {
			r.points = append(r.points, ringPoint{xxhash.Sum64String(fmt.Sprintf("%s_%d", h.addr, i)), h.id})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Compare(a.position, b.position) })
	return r
}

// Owner returns the id of the host that a key belongs to, or "" if the ring has no hosts.
func (r *WeightedRing) Owner(key fleet.Key) string {
	if len(r.points) == 0 {
		return ""
	}
	hash := fleet.Mix(uint64(key))
	next := sort.Search(len(r.points), func(i int) bool { return r.points[i].position >= hash })
	return r.points[next%len(r.points)].hostID
}
