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

// goldenInput returns a ring of 66 servers, so that servers and points fill more than one part. A third of the servers is in each of two
// zones, the rest in none. One server is draining, one is in slow start, one has a host name as its address, and the first point has a
// negative position.
func goldenInput() *Input {
	input := &Input{Cluster: "boxes", Zone: "b", Zones: []string{"a", "b"}, ZoneShare: 0.375, ConnectTimeoutMs: 250}
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
		input.Servers = append(input.Servers, s)
		if s.State != fleet.Ready {
			continue
		}
		if input.Ring = append(input.Ring, p); s.Zone == "b" {
			input.ZoneRing = append(input.ZoneRing, p)
		}
	}
	return input
}

// TestGolden compares every resource of a snapshot, and the versions that proxies are sent, with golden files of an earlier build.
func TestGolden(t *testing.T) {
	input := goldenInput()
	var builder Builder
	built, err := builder.Build(Version{Epoch: 1_700_000_000_123, Sequence: 42}, 40, input)
	if err != nil {
		t.Fatal(err)
	}
	index := fmt.Sprintf("view %v out %d digest %016x\n", built.Version, built.MinSequence, built.Digest)
	for _, typeURL := range []TypeURL{ClusterType, EndpointType, RingPartType} {
		set := built.Resources(typeURL)
		index += fmt.Sprintf("set %s %s\n", typeURL, set.Version)
		for i := range set.Items {
			r := &set.Items[i]
			index += fmt.Sprintf("resource %s %s %016x %s\n", r.Name, r.Version, r.Digest, r.Body.TypeUrl)
			want := goldentest.Read(t, goldenName(typeURL, r.Name))
			if !bytes.Equal(r.Body.Value, want) {
				t.Errorf("%s: encoded as %x, the file has %x", r.Name, r.Body.Value, want)
			}
		}
	}
	if want := goldentest.Read(t, "index.txt"); index != string(want) {
		t.Errorf("names and versions:\n%s\nwant:\n%s", index, want)
	}
}

func goldenName(typeURL TypeURL, name string) string {
	message := string(typeURL[strings.LastIndex(string(typeURL), ".")+1:])
	return message + "-" + strings.ReplaceAll(name, "/", "-") + ".pb"
}

// TestGoldenFilesAreDecoded checks that the golden files are decoded to the values that they were encoded from.
func TestGoldenFilesAreDecoded(t *testing.T) {
	input := goldenInput()
	var c cluster.Cluster
	var a endpoint.ClusterLoadAssignment
	for name, m := range map[string]proto.Message{"Cluster-boxes.pb": &c, "ClusterLoadAssignment-boxes.pb": &a} {
		if err := proto.Unmarshal(goldentest.Read(t, name), m); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	if !proto.Equal(&c, newCluster(input)) || !proto.Equal(&a, newLoadAssignment(input)) {
		t.Errorf("cluster %v, assignment %v", &c, &a)
	}
	head := goldenPart(t, "head").GetHead()
	if head.Epoch != 1_700_000_000_123 || head.Number != 42 || head.Out != 40 || head.NearShare != input.ZoneShare || head.Zone != "b" || len(head.Parts) != 5 {
		t.Errorf("head %v", head)
	}
	checkGoldenServers(t, input.Servers)
	for circle, points := range [][]fleet.RingPoint{ascendingPoints(input.Ring), ascendingPoints(input.ZoneRing)} {
		checkGoldenPoints(t, wire.Circle(circle), points)
	}
}

// goldenPart decodes the golden file of one ring part.
func goldenPart(t *testing.T, name string) *wire.Part {
	t.Helper()
	var p wire.Part
	if err := proto.Unmarshal(goldentest.Read(t, "Part-boxes-"+name+".pb"), &p); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return &p
}

// checkGoldenServers compares the servers in the golden files with the given ones.
func checkGoldenServers(t *testing.T, wantServers []Server) {
	t.Helper()
	var servers []*wire.Server
	for i := range 2 {
		servers = append(servers, goldenPart(t, fmt.Sprintf("servers-%04d", i)).GetServers().Servers...)
	}
	if len(servers) != len(wantServers) {
		t.Fatalf("%d servers", len(servers))
	}
	for i, s := range servers {
		want := &wantServers[i]
		if s.Place != uint32(want.Slot) || s.Id != want.ID || s.Address != want.Addr || s.Zone != want.Zone ||
			s.State != wire.State(want.State) || s.Started != uint64(want.StartedAtMs) {
			t.Errorf("server %v, want %v", s, want)
		}
	}
}

// checkGoldenPoints compares the points of one ring in the golden files with the given ones.
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
	for i, point := range decoded {
		if point.Place != uint32(points[i].ID) || point.At != points[i].Position || (point.Part > 0) != (points[i].ID == 7) {
			t.Errorf("point %v, want %v", point, points[i])
		}
	}
}
