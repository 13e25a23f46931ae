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

// testInput returns a ring of servers in two zones, at even distances.
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

func mustBuild(t *testing.T, b *Builder, sequence uint64, input *Input) *Snapshot {
	t.Helper()
	built, err := b.Build(Version{1, sequence}, 0, input)
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// loadAssignment decodes and validates the endpoints of a snapshot.
func loadAssignment(t *testing.T, built *Snapshot) *endpoint.ClusterLoadAssignment {
	t.Helper()
	a := &endpoint.ClusterLoadAssignment{}
	if err := built.Resources(EndpointType).Items[0].Body.UnmarshalTo(a); err != nil {
		t.Fatal(err)
	}
	if err := a.Validate(); err != nil {
		t.Error(err)
	}
	return a
}

// TestUnchangedResourcesAreReused checks that what has not changed is the same resource, with the same version from each process, and
// that an adjusted point changes its part and the head.
func TestUnchangedResourcesAreReused(t *testing.T) {
	var b, other Builder
	input := testInput(200)
	first := mustBuild(t, &b, 1, input)
	input.Ring[70].Position -= 0.001
	second := mustBuild(t, &b, 2, input)
	changed := map[string]bool{}
	for _, x := range second.Resources(RingPartType).Items {
		if was, _ := first.Resources(RingPartType).Find(x.Name); was == nil || was.Version != x.Version {
			changed[x.Name] = true
		} else if was.Body != x.Body {
			t.Errorf("%s is encoded again", x.Name)
		}
	}
	if fmt.Sprint(changed) != "map[boxes/head:true boxes/whole/0001:true]" || first.Digest == second.Digest {
		t.Errorf("changed: %v", changed)
	}
	if second.Resources(ClusterType).Version != first.Resources(ClusterType).Version || second.Resources(RingPartType).Version != "1.2" {
		t.Errorf("versions %s, %s", second.Resources(ClusterType).Version, second.Resources(RingPartType).Version)
	}
	again := mustBuild(t, &other, 9, input)
	for _, x := range again.Resources(RingPartType).Items {
		if was, _ := second.Resources(RingPartType).Find(x.Name); x.Name != "boxes/head" && was.Version != x.Version {
			t.Errorf("%s has another version from another process", x.Name)
		}
	}
}

// TestClusterIsValid checks the cluster against the rules of Envoy's API.
func TestClusterIsValid(t *testing.T) {
	var b Builder
	c := &cluster.Cluster{}
	if err := mustBuild(t, &b, 1, testInput(3)).Resources(ClusterType).Items[0].Body.UnmarshalTo(c); err != nil {
		t.Fatal(err)
	}
	if err := c.ValidateAll(); err != nil || c.GetEdsClusterConfig().GetEdsConfig().GetAds() == nil {
		t.Errorf("%v: %v", c, err)
	}
}

// TestEndpoints checks priorities by zone, weights by arcs, draining endpoints, and that addresses which need a lookup are left out.
func TestEndpoints(t *testing.T) {
	var b Builder
	input := testInput(8)
	input.Ring[2].Position += 0.05 // its arc grows, and its successor's shrinks
	input.Servers[0].State = fleet.Draining
	input.Servers[4].Addr = "cache.example:1"
	input.Servers[6].State = fleet.Gone
	a := loadAssignment(t, mustBuild(t, &b, 1, input))
	weight := map[string]uint32{}
	for _, l := range a.Endpoints {
		if want := map[string]uint32{"a": 1, "b": 0}[l.Locality.Zone]; l.Priority != want {
			t.Errorf("zone %s has priority %d", l.Locality.Zone, l.Priority)
		}
		for _, e := range l.LbEndpoints {
			id := e.GetEndpoint().Hostname
			weight[id] = e.LoadBalancingWeight.Value
			if (e.HealthStatus == core.HealthStatus_DRAINING) != (id == "s0") {
				t.Errorf("%s is %v", id, e.HealthStatus)
			}
		}
	}
	if len(weight) != 6 || weight["s4"] != 0 || weight["s6"] != 0 {
		t.Errorf("weights %v", weight)
	}
	if r := float64(weight["s2"]) / totalWeight; math.Abs(r-(0.125+0.05)) > 1e-4 {
		t.Errorf("s2 has %v of the ring", r)
	}
}

// TestSlowStart checks that a server in slow start gets a part of its arc that grows in steps, as a limit and as a weight.
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
	if w := endpointWeights(points); w[1] >= w[0]/2 || w[1] == 0 {
		t.Errorf("weights %v", w)
	}
	points[1].CapacityShare += 1e-4
	if again := slowStartLimits(points); again[1] != limits[1] {
		t.Error("each moment has a snapshot of its own while a server warms up")
	}
}

// TestAscendingPoints checks that a point before 0 becomes the last one.
func TestAscendingPoints(t *testing.T) {
	got := ascendingPoints([]fleet.RingPoint{{ID: 3, Position: -0.1}, {ID: 1, Position: 0.2}, {ID: 2, Position: 0.6}})
	if len(got) != 3 || got[0].ID != 1 || got[2].ID != 3 || math.Abs(got[2].Position-0.9) > 1e-9 {
		t.Errorf("%v", got)
	}
}

// TestVersion checks that versions are parsed as they are formatted, and their order.
func TestVersion(t *testing.T) {
	for text, want := range map[string]bool{"1.2": true, "18446744073709551615.0": true, "": false, "1": false, "1.x": false, "-1.2": false} {
		version, ok := ParseVersion(text)
		if ok != want || ok && version.String() != text {
			t.Errorf("%q: %v, %v", text, version, ok)
		}
	}
	if !(Version{1, 9}).Before(Version{2, 1}) || (Version{2, 1}).Before(Version{2, 1}) {
		t.Error("order")
	}
}
