package snapshot

import (
	"fmt"
	"math"
	"testing"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"mintspring/internal/fleet"
)

// testInput returns a ring of servers in two zones, with points at even distances.
func testInput(servers int) *Input {
	input := &Input{Cluster: "boxes", Zone: "b", Zones: []string{"a", "b"}, ZoneShare: 0.5, ConnectTimeoutMs: 250}
	for i := range servers {
		input.Servers = append(input.Servers, Server{
			Slot:  fleet.ServerID(i),
			ID:    fmt.Sprint("s", i),
			Addr:  fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone:  input.Zones[i%2],
			State: fleet.Ready,
		})
		p := fleet.RingPoint{ID: fleet.ServerID(i), Position: (float64(i) + 0.5) / float64(servers), CapacityShare: 1}
		input.Ring = append(input.Ring, p)
		if i%2 == 1 {
			input.ZoneRing = append(input.ZoneRing, p)
		}
	}
	return input
}

func mustBuild(t *testing.T, builder *Builder, sequence uint64, input *Input) *Snapshot {
	t.Helper()
	built, err := builder.Build(Version{1, sequence}, 0, input)
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// loadAssignment decodes the endpoints of a snapshot and checks them against the rules of Envoy's API.
func loadAssignment(t *testing.T, built *Snapshot) *endpoint.ClusterLoadAssignment {
	t.Helper()
	assignment := &endpoint.ClusterLoadAssignment{}
	if err := built.Resources(EndpointType).Items[0].Body.UnmarshalTo(assignment); err != nil {
		t.Fatal(err)
	}
	if err := assignment.Validate(); err != nil {
		t.Error(err)
	}
	return assignment
}

// TestUnchangedResourcesAreReused checks that unchanged resources are reused, that every process gives them the same version, and that an
// adjusted point changes only its part and the head.
func TestUnchangedResourcesAreReused(t *testing.T) {
	var builder, otherBuilder Builder
	input := testInput(200)
	first := mustBuild(t, &builder, 1, input)
	input.Ring[70].Position -= 0.001
	second := mustBuild(t, &builder, 2, input)
	changed := map[string]bool{}
	for _, resource := range second.Resources(RingPartType).Items {
		if previous, _ := first.Resources(RingPartType).Find(resource.Name); previous == nil || previous.Version != resource.Version {
			changed[resource.Name] = true
		} else if previous.Body != resource.Body {
			t.Errorf("unchanged resource %s is encoded again", resource.Name)
		}
	}
	if fmt.Sprint(changed) != "map[boxes/head:true boxes/whole/0001:true]" || first.Digest == second.Digest {
		t.Errorf("changed: %v", changed)
	}
	if second.Resources(ClusterType).Version != first.Resources(ClusterType).Version || second.Resources(RingPartType).Version != "1.2" {
		t.Errorf("versions %s, %s", second.Resources(ClusterType).Version, second.Resources(RingPartType).Version)
	}
	rebuilt := mustBuild(t, &otherBuilder, 9, input)
	for _, resource := range rebuilt.Resources(RingPartType).Items {
		if previous, _ := second.Resources(RingPartType).Find(resource.Name); resource.Name != "boxes/head" && previous.Version != resource.Version {
			t.Errorf("%s has another version from another process", resource.Name)
		}
	}
}

// TestClusterIsValid checks the cluster against the rules of Envoy's API.
func TestClusterIsValid(t *testing.T) {
	var builder Builder
	c := &cluster.Cluster{}
	if err := mustBuild(t, &builder, 1, testInput(3)).Resources(ClusterType).Items[0].Body.UnmarshalTo(c); err != nil {
		t.Fatal(err)
	}
	if err := c.ValidateAll(); err != nil || c.GetEdsClusterConfig().GetEdsConfig().GetAds() == nil {
		t.Errorf("%v: %v", c, err)
	}
}

// TestEndpoints checks the priorities of zones, the weights, and the status of draining endpoints, and that servers whose address is a host
// name are omitted.
func TestEndpoints(t *testing.T) {
	var builder Builder
	input := testInput(8)
	input.Ring[2].Position += 0.05 // its arc grows and its successor's arc shrinks
	input.Servers[0].State = fleet.Draining
	input.Servers[4].Addr = "cache.example:1"
	input.Servers[6].State = fleet.Gone
	assignment := loadAssignment(t, mustBuild(t, &builder, 1, input))
	weights := map[string]uint32{}
	for _, locality := range assignment.Endpoints {
		if want := map[string]uint32{"a": 1, "b": 0}[locality.Locality.Zone]; locality.Priority != want {
			t.Errorf("zone %s has priority %d", locality.Locality.Zone, locality.Priority)
		}
		for _, e := range locality.LbEndpoints {
			id := e.GetEndpoint().Hostname
			weights[id] = e.LoadBalancingWeight.Value
			if (e.HealthStatus == core.HealthStatus_DRAINING) != (id == "s0") {
				t.Errorf("%s is %v", id, e.HealthStatus)
			}
		}
	}
	if len(weights) != 6 || weights["s4"] != 0 || weights["s6"] != 0 {
		t.Errorf("weights %v", weights)
	}
	if share := float64(weights["s2"]) / totalWeight; math.Abs(share-(0.125+0.05)) > 1e-4 {
		t.Errorf("s2 has %v of the ring", share)
	}
}

// TestSlowStart checks that a server in slow start gets a reduced limit and weight, and that the limit grows in steps.
func TestSlowStart(t *testing.T) {
	points := []fleet.RingPoint{
		{ID: 0, Position: 0.25, CapacityShare: 1},
		{ID: 1, Position: 0.5, CapacityShare: 0.2},
		{ID: 2, Position: 0.75, CapacityShare: 1},
		{ID: 3, Position: 1 - 1e-9, CapacityShare: 1},
	}
	limits := slowStartLimits(points)
	want := math.Floor(0.2*slowStartSteps) / slowStartSteps
	if limits[0] != 0 || math.Abs(limits[1]-want/(3+want)) > 1e-9 {
		t.Errorf("limits %v", limits)
	}
	if weights := endpointWeights(points); weights[1] >= weights[0]/2 || weights[1] == 0 {
		t.Errorf("weights %v", weights)
	}
	points[1].CapacityShare += 1e-4
	if next := slowStartLimits(points); next[1] != limits[1] {
		t.Error("the limit changes with every change of the capacity, not in steps")
	}
}

// TestAscendingPoints checks that a point with a negative position becomes the last one.
func TestAscendingPoints(t *testing.T) {
	got := ascendingPoints([]fleet.RingPoint{{ID: 3, Position: -0.1}, {ID: 1, Position: 0.2}, {ID: 2, Position: 0.6}})
	if len(got) != 3 || got[0].ID != 1 || got[2].ID != 3 || math.Abs(got[2].Position-0.9) > 1e-9 {
		t.Errorf("%v", got)
	}
}

// TestVersion checks that formatted versions are parsed back, that malformed ones are rejected, and the order of versions.
func TestVersion(t *testing.T) {
	for text, want := range map[string]bool{"1.2": true, "18446744073709551615.0": true, "": false, "1": false, "1.x": false, "-1.2": false} {
		version, ok := ParseVersion(text)
		if ok != want || ok && version.String() != text {
			t.Errorf("%q: %v, %v", text, version, ok)
		}
	}
	if !(Version{1, 9}).Before(Version{2, 1}) || (Version{2, 1}).Before(Version{2, 1}) {
		t.Error("Before returns the wrong order")
	}
}
