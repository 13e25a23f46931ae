package simulator

import (
	"slices"

	"mintspring/internal/fleet"
	"mintspring/internal/node/clients"
	"mintspring/internal/testbed/experiment"
)

// Owners of keys are compared for a limited number of nodes and keys.
const (
	ownershipNodes = 10
	ownershipKeys  = 1000
)

// ringExposer is a policy that shows its ring.
type ringExposer interface {
	RingPoints(now float64, near bool, out []fleet.RingPoint) ([]fleet.RingPoint, float64)
}

// ringKey returns where a key is on the ring.
func ringKey(key string) fleet.Key { return clients.RingPoint([]byte(key)) }

// serverByAddr returns the server at an address.
func (s *Simulation) serverByAddr(addr string) *server {
	return s.servers[slices.IndexFunc(s.servers, func(server *server) bool { return server.addr == addr })]
}

// keyOwners returns the owners of the most popular keys on the whole ring, as the first nodes have it. It is nil for a node that does not
// show its ring.
func (s *Simulation) keyOwners() (owners [][]string) {
	keys := s.clients.traffic.Keys
	keys = keys[:min(ownershipKeys, len(keys))]
	for _, n := range s.nodes[:min(ownershipNodes, len(s.nodes))] {
		policy, ok := n.process.inflight.Policy.(ringExposer)
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

// ownerOf returns the name of the server with the first point from a position on.
func (p *process) ownerOf(points []fleet.RingPoint, position float64) (name string) {
	nearest := 2.0 // more than the whole ring
	for _, point := range points {
		if distance := fleet.ArcLength(position, point.Position); distance < nearest {
			name, nearest = p.links[point.ID].server.Name, distance
		}
	}
	return name
}

// movedKeyShare returns the share of keys that have another owner now than when the measurement began.
func (s *Simulation) movedKeyShare() float64 {
	moved, all := 0, 0
	for i, names := range s.keyOwners() {
		if i >= len(s.initialOwners) || len(names) != len(s.initialOwners[i]) {
			continue
		}
		for j, name := range names {
			if all++; name != s.initialOwners[i][j] {
				moved++
			}
		}
	}
	if all == 0 {
		return experiment.UnknownMovedKeyShare
	}
	return float64(moved) / float64(all)
}
