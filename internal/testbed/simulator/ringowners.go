package simulator

import (
	"slices"

	"mintspring/internal/fleet"
	"mintspring/internal/node/clients"
	"mintspring/internal/testbed/experiment"
)

// Limits on the nodes and keys whose owners are compared.
const (
	maxComparedNodes = 10
	maxComparedKeys  = 1000
)

// ringPointsProvider is a policy that exposes the points of its ring.
type ringPointsProvider interface {
	RingPoints(now float64, near bool, out []fleet.RingPoint) ([]fleet.RingPoint, float64)
}

// ringKey returns the ring position of a key.
func ringKey(key string) fleet.Key { return clients.RingPoint([]byte(key)) }

// serverByAddr returns the server at an address.
func (s *Simulation) serverByAddr(addr string) *server {
	return s.servers[slices.IndexFunc(s.servers, func(server *server) bool { return server.addr == addr })]
}

// keyOwners returns the owners of the most popular keys for each of the first nodes. The entry is nil for a node that has exited or whose
// policy does not expose its ring.
func (s *Simulation) keyOwners() (owners [][]string) {
	keys := s.clients.traffic.Keys
	keys = keys[:min(maxComparedKeys, len(keys))]
	for _, n := range s.nodes[:min(maxComparedNodes, len(s.nodes))] {
		policy, ok := n.process.inflight.Policy.(ringPointsProvider)
		if !ok || n.process.exited {
			owners = append(owners, nil)
			continue
		}
		points, _ := policy.RingPoints(s.nowMs(), false, nil)
		names := make([]string, 0, len(keys))
		for _, key := range keys {
			names = append(names, n.process.ownerOf(points, ringKey(key).Point()))
		}
		owners = append(owners, names)
	}
	return owners
}

// ownerOf returns the name of the server with the first point at or after a position.
func (p *process) ownerOf(points []fleet.RingPoint, position float64) (name string) {
	nearest := 2.0 // greater than the length of the ring
	for _, point := range points {
		if distance := fleet.ArcLength(position, point.Position); distance < nearest {
			name, nearest = p.links[point.ID].server.Name, distance
		}
	}
	return name
}

// movedKeyShare returns the share of keys whose owner differs from their owner at the start of the measurement.
func (s *Simulation) movedKeyShare() float64 {
	moved, compared := 0, 0
	for i, names := range s.keyOwners() {
		if i >= len(s.initialOwners) || len(names) != len(s.initialOwners[i]) {
			continue
		}
		for j, name := range names {
			if compared++; name != s.initialOwners[i][j] {
				moved++
			}
		}
	}
	if compared == 0 {
		return experiment.UnknownMovedKeyShare
	}
	return float64(moved) / float64(compared)
}
