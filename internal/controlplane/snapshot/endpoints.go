package snapshot

import (
	"net"
	"slices"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"mintspring/internal/fleet"
)

// totalWeight is the weight of the entire ring. Each server gets a share of it in proportion to its arc.
const totalWeight = 1 << 20

// Priorities of localities.
const (
	ownZonePriority    = 0
	otherZonesPriority = 1 // used if the proxies' own zone has a ring
)

// newLoadAssignment returns the endpoints of all zones, weighted by their arcs. If the proxies' own zone has a ring, the endpoints in that
// zone are weighted by their arcs on it and all others have a lower priority. Weights cannot describe a zone's ring more closely.
func newLoadAssignment(input *Input) *endpoint.ClusterLoadAssignment {
	ringWeights := endpointWeights(input.Ring)
	zoneWeights := endpointWeights(input.ZoneRing)
	hasZoneRing := len(input.ZoneRing) > 0
	assignment := &endpoint.ClusterLoadAssignment{ClusterName: input.Cluster}
	for _, zone := range append(slices.Clone(input.Zones), "") {
		weights, priority := ringWeights, uint32(ownZonePriority)
		switch {
		case hasZoneRing && zone == input.Zone:
			weights = zoneWeights
		case hasZoneRing:
			priority = otherZonesPriority
		}
		endpoints := localityEndpoints(input, zone, weights)
		if len(endpoints) == 0 {
			continue
		}
		assignment.Endpoints = append(assignment.Endpoints, &endpoint.LocalityLbEndpoints{
			Locality:    &core.Locality{Zone: zone},
			LbEndpoints: endpoints,
			Priority:    priority,
		})
	}
	return assignment
}

// localityEndpoints returns the endpoints of one zone. Servers in zones that are not configured count as in the empty zone.
func localityEndpoints(input *Input, zone string, weights map[fleet.ServerID]uint32) []*endpoint.LbEndpoint {
	var endpoints []*endpoint.LbEndpoint
	for i := range input.Servers {
		server := &input.Servers[i]
		serverZone := server.Zone
		if !slices.Contains(input.Zones, serverZone) {
			serverZone = ""
		}
		if serverZone != zone || server.State == fleet.Gone {
			continue
		}
		if e := newLbEndpoint(server, weights[server.Slot]); e != nil {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// endpointWeights returns the weight of each server: its arc, or in slow start the part of its arc that it serves, as a positive integer.
func endpointWeights(points []fleet.RingPoint) map[fleet.ServerID]uint32 {
	weights := map[fleet.ServerID]uint32{}
	limits := slowStartLimits(points)
	for i, p := range points {
		share := arcLength(points, i)
		if limits[i] > 0 {
			share = limits[i]
		}
		weights[p.ID] = max(1, uint32(share*totalWeight))
	}
	return weights
}

// newLbEndpoint returns one endpoint, or nil if the server's address is not an IP address and a port.
func newLbEndpoint(server *Server, weight uint32) *endpoint.LbEndpoint {
	host, portText, err := net.SplitHostPort(server.Addr)
	if err != nil || net.ParseIP(host) == nil {
		return nil
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil || port == 0 {
		return nil
	}
	health := core.HealthStatus_HEALTHY
	if server.State == fleet.Draining {
		health = core.HealthStatus_DRAINING
	}
	address := &core.SocketAddress{Address: host, PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(port)}}
	return &endpoint.LbEndpoint{
		HealthStatus:        health,
		LoadBalancingWeight: wrapperspb.UInt32(max(1, weight)),
		HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{
			Hostname: server.ID,
			Address:  &core.Address{Address: &core.Address_SocketAddress{SocketAddress: address}},
		}},
	}
}
