package stream

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

var testLimits = Limits{MaxNames: 1000, MaxNameBytes: 100, LeaseMs: 400}

type testSource struct{}

func (testSource) ListAgeMs() float64 { return 7 }

// testingT is the part of *testing.T and *rapid.T that test helpers use.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// snapshotMaker builds successive snapshots of one zone.
type snapshotMaker struct {
	builder  snapshot.Builder
	sequence uint64
}

// next returns the next snapshot, with a number of servers whose ring points are moved by the adjustment, a fraction of their distance.
func (m *snapshotMaker) next(t testingT, servers int, adjusted float64) *snapshot.Snapshot {
	t.Helper()
	m.sequence++
	input := &snapshot.Input{Cluster: "boxes", Zones: []string{"a"}, Zone: "a"}
	for i := range servers {
		input.Servers = append(input.Servers, snapshot.Server{
			Slot:  fleet.ServerID(i),
			ID:    fmt.Sprint("s", i),
			Addr:  fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Zone:  "a",
			State: fleet.Ready,
		})
		input.Ring = append(input.Ring, fleet.RingPoint{ID: fleet.ServerID(i), Position: (float64(i) + adjusted) / float64(servers+1), CapacityShare: 1})
	}
	built, err := m.builder.Build(snapshot.Version{Epoch: 5, Sequence: m.sequence}, 1, input)
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// mustHandle passes a request to a stream, and fails the test if the stream returns an error.
func mustHandle(t testingT, s *Stream, r *Request) {
	t.Helper()
	if err := s.HandleRequest(r); err != nil {
		t.Fatal(err)
	}
}

// TestReconnectWithVersions checks that a proxy that reconnects with the versions it holds gets only the changed resources and the names
// of the removed ones.
func TestReconnectWithVersions(t *testing.T) {
	maker := &snapshotMaker{}
	current := maker.next(t, 150, 0)
	s := New(Incremental, testLimits, testSource{}, current)
	mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType})
	first, _ := s.Next(0)
	versions := map[string]string{}
	for _, resource := range first.Resources {
		versions[resource.Name] = resource.Version
	}
	if len(versions) != 1+3+3 {
		t.Fatalf("%d parts of 150 servers", len(versions))
	}
	unchanged := New(Incremental, testLimits, testSource{}, current)
	mustHandle(t, unchanged, &Request{TypeURL: snapshot.RingPartType, InitialVersions: versions})
	if r, due := unchanged.Next(0); !due || len(r.Resources) > 0 || len(r.Removed) > 0 {
		t.Errorf("a proxy that holds everything gets %d parts", len(r.Resources))
	}
	fewer := New(Incremental, testLimits, testSource{}, maker.next(t, 100, 0))
	mustHandle(t, fewer, &Request{TypeURL: snapshot.RingPartType, InitialVersions: versions})
	r, _ := fewer.Next(0)
	var got []string
	for _, resource := range r.Resources {
		got = append(got, resource.Name)
	}
	if fmt.Sprint(r.Removed) != "[boxes/servers/0002 boxes/whole/0002]" || slices.Contains(got, "boxes/servers/0000") || !slices.Contains(got, "boxes/head") {
		t.Errorf("removed %v, sent %v", r.Removed, got)
	}
}

// TestRemovalAfterResubscription checks that a proxy with a wildcard subscription is told about the removal of a resource after it has
// subscribed to the resource by name and unsubscribed again, whether it acknowledges or rejects the response sent before that.
func TestRemovalAfterResubscription(t *testing.T) {
	const removed = "boxes/servers/0000"
	for _, errorDetail := range []string{"", "no"} {
		maker := &snapshotMaker{}
		s := New(Incremental, testLimits, testSource{}, maker.next(t, 1, 0))
		mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType})
		first, _ := s.Next(0)
		mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType, ResponseNonce: first.Nonce})
		s.SetSnapshot(maker.next(t, 2, 0.5)) // a new version of the resource
		second, _ := s.Next(0)
		mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType, Subscribe: []string{removed}})
		mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType, Unsubscribe: []string{removed}})
		mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType, ResponseNonce: second.Nonce, ErrorDetail: errorDetail})
		s.SetSnapshot(maker.next(t, 0, 0))
		if third, due := s.Next(0); !due || !slices.Contains(third.Removed, removed) {
			t.Errorf("error detail %q: due: %v, removed %v", errorDetail, due, third.Removed)
		}
	}
}

// TestResourceOfRejectedResponse checks that a resource in a rejected response is sent again with the next set, even though it did not
// change.
func TestResourceOfRejectedResponse(t *testing.T) {
	const name = "boxes/servers/0000"
	for _, variant := range []Variant{StateOfTheWorld, Incremental} {
		maker := &snapshotMaker{}
		s := New(variant, testLimits, testSource{}, maker.next(t, 0, 0))
		request := &Request{TypeURL: snapshot.RingPartType, ResourceNames: []string{name}, Subscribe: []string{name}}
		mustHandle(t, s, request)
		first, _ := s.Next(0)
		request.ResponseNonce = first.Nonce
		mustHandle(t, s, request)
		s.SetSnapshot(maker.next(t, 1, 0))
		rejected, due := s.Next(0)
		if !due || len(rejected.Resources) != 1 {
			t.Fatalf("variant %v: due: %v, %d resources", variant, due, len(rejected.Resources))
		}
		mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType, ResourceNames: []string{name}, ResponseNonce: rejected.Nonce, ErrorDetail: "no"})
		s.SetSnapshot(maker.next(t, 1, 0.5))
		next, due := s.Next(0)
		if !due || len(next.Resources) != 1 || next.Resources[0].Version != rejected.Resources[0].Version {
			t.Errorf("variant %v: due: %v, resources %v", variant, due, next.Resources)
		}
	}
}

// TestSlowProxyGetsNewestSnapshot checks that a proxy gets the newest snapshot after it acknowledges a response, and none of the
// snapshots in between.
func TestSlowProxyGetsNewestSnapshot(t *testing.T) {
	for _, variant := range []Variant{StateOfTheWorld, Incremental} {
		maker := &snapshotMaker{}
		s := New(variant, testLimits, testSource{}, maker.next(t, 10, 0))
		mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType})
		r, _ := s.Next(0)
		for i := range 50 {
			s.SetSnapshot(maker.next(t, 10, float64(i)/60))
			if _, due := s.Next(0); due {
				t.Fatal("a second response before the first was acknowledged")
			}
		}
		mustHandle(t, s, &Request{TypeURL: snapshot.RingPartType, ResponseNonce: r.Nonce, Version: r.Version})
		r, due := s.Next(0)
		if !due || r.Version != "5.51" {
			t.Errorf("after the acknowledgement: got version %q, want 5.51", r.Version)
		}
	}
}

// TestLeases checks that a lease answers the last request and names the oldest usable snapshot, and that its acknowledgement does not
// request another lease.
func TestLeases(t *testing.T) {
	for _, variant := range []Variant{StateOfTheWorld, Incremental} {
		maker := &snapshotMaker{}
		s := New(variant, testLimits, testSource{}, nil)
		request := func(name string) {
			t.Helper()
			mustHandle(t, s, &Request{TypeURL: snapshot.LeaseType, ResourceNames: []string{name}, Subscribe: []string{name}})
		}
		request("q1")
		if _, due := s.Next(0); due {
			t.Error("a lease without a snapshot")
		}
		s.SetSnapshot(maker.next(t, 3, 0))
		request("q2")
		r, due := s.Next(0)
		var lease wire.Lease
		if !due || r.TypeURL != snapshot.LeaseType || proto.Unmarshal(r.Resources[0].Body.Value, &lease) != nil || lease.Asked != "q2" || lease.Out != 1 || lease.LengthMs != 400 || lease.ListAgeMs != 7 {
			t.Errorf("%v %+v", due, &lease)
		}
		mustHandle(t, s, &Request{TypeURL: snapshot.LeaseType, ResponseNonce: r.Nonce, ResourceNames: []string{"q2"}})
		if _, due := s.Next(0); due {
			t.Error("an acknowledgement requested another lease")
		}
	}
}

// TestTimeToLive checks that endpoints have a TTL and that heartbeats without bodies renew it.
func TestTimeToLive(t *testing.T) {
	limits := testLimits
	limits.TTLMs = 300
	maker := &snapshotMaker{}
	s := New(StateOfTheWorld, limits, testSource{}, maker.next(t, 3, 0))
	mustHandle(t, s, &Request{TypeURL: snapshot.EndpointType, ResourceNames: []string{"boxes"}})
	r, _ := s.Next(0)
	if r.TTLMs != 300 || r.Heartbeat || r.Resources[0].Body == nil {
		t.Errorf("%+v", r)
	}
	mustHandle(t, s, &Request{TypeURL: snapshot.EndpointType, ResourceNames: []string{"boxes"}, ResponseNonce: r.Nonce})
	if waitMs := s.WaitMs(40); waitMs != 60 {
		t.Errorf("wait of %v ms", waitMs)
	}
	if _, due := s.Next(99); due {
		t.Error("a heartbeat too early")
	}
	if r, due := s.Next(100); !due || !r.Heartbeat || r.Resources[0].Body != nil || r.Resources[0].Name != "boxes" {
		t.Errorf("%v %+v", due, r)
	}
}

// TestLimits checks that a stream rejects requests that exceed the limits on names.
func TestLimits(t *testing.T) {
	names := make([]string, 1001)
	for i := range names {
		names[i] = fmt.Sprint("n", i)
	}
	for _, variant := range []Variant{StateOfTheWorld, Incremental} {
		for _, r := range []*Request{
			{TypeURL: snapshot.RingPartType, ResourceNames: names, Subscribe: names},
			{TypeURL: snapshot.RingPartType, ResourceNames: []string{strings.Repeat("x", 101)}, Subscribe: []string{strings.Repeat("x", 101)}},
			{TypeURL: snapshot.LeaseType, ResourceNames: []string{strings.Repeat("x", 101)}, Subscribe: []string{strings.Repeat("x", 101)}},
		} {
			if err := New(variant, testLimits, testSource{}, nil).HandleRequest(r); !errors.Is(err, ErrNameLimit) {
				t.Errorf("%d names of %d bytes: %v", len(r.ResourceNames), len(r.ResourceNames[0]), err)
			}
		}
		if err := New(variant, testLimits, testSource{}, nil).HandleRequest(&Request{TypeURL: "type.googleapis.com/other"}); !errors.Is(err, ErrUnknownType) {
			t.Errorf("another type: %v", err)
		}
	}
	initial := map[string]string{}
	for _, n := range names {
		initial[n] = "1"
	}
	if err := New(Incremental, testLimits, testSource{}, nil).HandleRequest(&Request{TypeURL: snapshot.RingPartType, InitialVersions: initial}); !errors.Is(err, ErrNameLimit) {
		t.Errorf("%d versions: %v", len(initial), err)
	}
}
