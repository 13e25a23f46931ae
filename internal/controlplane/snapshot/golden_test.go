package snapshot

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/testbed/goldentest"
)

// goldenInput is a ring of 66 servers in two zones and none, so that servers and points need a second part: one server drains, one is in
// slow start, one has an address that needs a lookup, and the first point lies before 0.
func goldenInput() *Input {
	f := &Input{Cluster: "boxes", Zone: "b", Zones: []string{"a", "b"}, ZoneShare: 0.375, ConnectTimeoutMs: 250}
	for i := range 66 {
		s := Server{
			Slot: fleet.ServerID(i), ID: fmt.Sprintf("s%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone: []string{"a", "b", ""}[i%3], State: fleet.Ready, StartedAtMs: float64(1_700_000_000_000 + i),
		}
		p := fleet.RingPoint{ID: s.Slot, Position: (float64(i) - 0.25) / 66, CapacityShare: 1}
		switch i {
		case 5:
			s.State = fleet.Draining
		case 7:
			p.CapacityShare = 0.2
		case 8:
			s.Addr = "cache.example:1"
		}
		f.Servers = append(f.Servers, s)
		if s.State != fleet.Ready {
			continue
		}
		if f.Ring = append(f.Ring, p); s.Zone == "b" {
			f.ZoneRing = append(f.ZoneRing, p)
		}
	}
	return f
}

// TestGolden compares every resource of a snapshot with bytes written by an earlier build, and the versions by which proxies know them.
func TestGolden(t *testing.T) {
	f := goldenInput()
	var b Builder
	v, err := b.Build(Version{Epoch: 1_700_000_000_123, Sequence: 42}, 40, f)
	if err != nil {
		t.Fatal(err)
	}
	index := fmt.Sprintf("view %v out %d digest %016x\n", v.Version, v.MinSequence, v.Digest)
	for _, kind := range []TypeURL{ClusterType, EndpointType, RingPartType} {
		set := v.Resources(kind)
		index += fmt.Sprintf("set %s %s\n", kind, set.Version)
		for i := range set.Items {
			r := &set.Items[i]
			index += fmt.Sprintf("resource %s %s %016x %s\n", r.Name, r.Version, r.Digest, r.Body.TypeUrl)
			want := goldentest.Read(t, goldenName(kind, r.Name))
			if !bytes.Equal(r.Body.Value, want) {
				t.Errorf("%s: encoded as %x, the file has %x", r.Name, r.Body.Value, want)
			}
		}
	}
	if want := goldentest.Read(t, "index.txt"); index != string(want) {
		t.Errorf("names and versions:\n%s\nwant:\n%s", index, want)
	}
}

func goldenName(kind TypeURL, name string) string {
	message := string(kind[strings.LastIndex(string(kind), ".")+1:])
	return message + "-" + strings.ReplaceAll(name, "/", "-") + ".pb"
}

// TestGoldenDecodes reads the files of an earlier build back to the values that they were made of.
func TestGoldenDecodes(t *testing.T) {
	f := goldenInput()
	var c cluster.Cluster
	var a endpoint.ClusterLoadAssignment
	for name, m := range map[string]proto.Message{"Cluster-boxes.pb": &c, "ClusterLoadAssignment-boxes.pb": &a} {
		if err := proto.Unmarshal(goldentest.Read(t, name), m); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	if !proto.Equal(&c, newCluster(f)) || !proto.Equal(&a, newLoadAssignment(f)) {
		t.Errorf("cluster %v, assignment %v", &c, &a)
	}
	h := goldenPart(t, "head").GetHead()
	if h.Epoch != 1_700_000_000_123 || h.Number != 42 || h.Out != 40 || h.NearShare != f.ZoneShare || h.Zone != "b" || len(h.Parts) != 5 {
		t.Errorf("head %v", h)
	}
	checkGoldenServers(t, f.Servers)
	for circle, points := range [][]fleet.RingPoint{ascendingPoints(f.Ring), ascendingPoints(f.ZoneRing)} {
		checkGoldenPoints(t, wire.Circle(circle), points)
	}
}

// goldenPart decodes the golden file of one part of the fleet.
func goldenPart(t *testing.T, name string) *wire.Part {
	t.Helper()
	var p wire.Part
	if err := proto.Unmarshal(goldentest.Read(t, "Part-boxes-"+name+".pb"), &p); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return &p
}

// checkGoldenServers compares the servers of the golden parts with those of the fleet.
func checkGoldenServers(t *testing.T, wanted []Server) {
	t.Helper()
	var servers []*wire.Server
	for i := range 2 {
		servers = append(servers, goldenPart(t, fmt.Sprintf("servers-%04d", i)).GetServers().Servers...)
	}
	if len(servers) != len(wanted) {
		t.Fatalf("%d servers", len(servers))
	}
	for i, s := range servers {
		want := &wanted[i]
		if s.Place != uint32(want.Slot) || s.Id != want.ID || s.Address != want.Addr || s.Zone != want.Zone ||
			s.State != wire.State(want.State) || s.Started != uint64(want.StartedAtMs) {
			t.Errorf("server %v, want %v", s, want)
		}
	}
}

// checkGoldenPoints compares the points of the golden parts of a circle with those of the fleet.
func checkGoldenPoints(t *testing.T, circle wire.Circle, points []fleet.RingPoint) {
	t.Helper()
	var decoded []*wire.Point
	for i := 0; i < len(points); i += entriesPerPart {
		p := goldenPart(t, fmt.Sprintf("%s-%04d", strings.ToLower(circle.String()), i/entriesPerPart)).GetPoints()
		if p.Circle != circle {
			t.Errorf("circle %v, want %v", p.Circle, circle)
		}
		decoded = append(decoded, p.Points...)
	}
	if len(decoded) != len(points) {
		t.Fatalf("%d points, want %d", len(decoded), len(points))
	}
	for i, x := range decoded {
		if x.Place != uint32(points[i].ID) || x.At != points[i].Position || (x.Part > 0) != (points[i].ID == 7) {
			t.Errorf("point %v, want %v", x, points[i])
		}
	}
}
