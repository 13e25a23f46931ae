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

// fatal is what helpers of tests and of rapid's checks need.
type fatal interface {
	Helper()
	Fatal(args ...any)
}

// snapshotMaker makes snapshots of a number of servers, whose ring points are adjusted.
type snapshotMaker struct {
	builder  snapshot.Builder
	sequence uint64
}

func (m *snapshotMaker) next(t fatal, servers int, adjusted float64) *snapshot.Snapshot {
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

// handle lets a stream handle a request that it has to accept.
func handle(t fatal, s *Stream, r *Request) {
	t.Helper()
	if err := s.HandleRequest(r); err != nil {
		t.Fatal(err)
	}
}

// TestReconnectWithVersions checks that a proxy which reconnects and states what it holds gets what has changed since, nothing else, and
// is notified of what is gone.
func TestReconnectWithVersions(t *testing.T) {
	mk := &snapshotMaker{}
	current := mk.next(t, 150, 0)
	s := New(Incremental, testLimits, testSource{}, current)
	handle(t, s, &Request{TypeURL: snapshot.RingPartType})
	first, _ := s.Next(0)
	held := map[string]string{}
	for _, x := range first.Resources {
		held[x.Name] = x.Version
	}
	if len(held) != 1+3+3 {
		t.Fatalf("%d parts of 150 servers", len(held))
	}
	again := New(Incremental, testLimits, testSource{}, current)
	handle(t, again, &Request{TypeURL: snapshot.RingPartType, InitialVersions: held})
	if r, due := again.Next(0); !due || len(r.Resources) > 0 || len(r.Removed) > 0 {
		t.Errorf("a proxy that holds everything gets %d parts", len(r.Resources))
	}
	less := New(Incremental, testLimits, testSource{}, mk.next(t, 100, 0))
	handle(t, less, &Request{TypeURL: snapshot.RingPartType, InitialVersions: held})
	r, _ := less.Next(0)
	var got []string
	for _, x := range r.Resources {
		got = append(got, x.Name)
	}
	if fmt.Sprint(r.Removed) != "[boxes/servers/0002 boxes/whole/0002]" || slices.Contains(got, "boxes/servers/0000") || !slices.Contains(got, "boxes/head") {
		t.Errorf("removed %v, sent %v", r.Removed, got)
	}
}

// TestRemovalAfterResubscription checks that a proxy with a subscription to all is notified of the removal of a resource that it
// subscribes to by name, and unsubscribes from, before the next response, whether it accepts or rejects the response before.
func TestRemovalAfterResubscription(t *testing.T) {
	const removed = "boxes/servers/0000"
	for _, errorDetail := range []string{"", "no"} {
		mk := &snapshotMaker{}
		s := New(Incremental, testLimits, testSource{}, mk.next(t, 1, 0))
		handle(t, s, &Request{TypeURL: snapshot.RingPartType})
		first, _ := s.Next(0)
		handle(t, s, &Request{TypeURL: snapshot.RingPartType, ResponseNonce: first.Nonce})
		s.SetSnapshot(mk.next(t, 2, 0.5)) // it replaces the resource
		second, _ := s.Next(0)
		handle(t, s, &Request{TypeURL: snapshot.RingPartType, Subscribe: []string{removed}})
		handle(t, s, &Request{TypeURL: snapshot.RingPartType, Unsubscribe: []string{removed}})
		handle(t, s, &Request{TypeURL: snapshot.RingPartType, ResponseNonce: second.Nonce, ErrorDetail: errorDetail})
		s.SetSnapshot(mk.next(t, 0, 0))
		if third, due := s.Next(0); !due || !slices.Contains(third.Removed, removed) {
			t.Errorf("after an answer of %q: a response is due: %v, removed %v", errorDetail, due, third.Removed)
		}
	}
}

// TestResourceOfRejectedResponse checks that a resource which a proxy has rejected with a response is sent again with the next set,
// though it is the same there.
func TestResourceOfRejectedResponse(t *testing.T) {
	const name = "boxes/servers/0000"
	for _, variant := range []Variant{StateOfTheWorld, Incremental} {
		mk := &snapshotMaker{}
		s := New(variant, testLimits, testSource{}, mk.next(t, 0, 0))
		request := &Request{TypeURL: snapshot.RingPartType, ResourceNames: []string{name}, Subscribe: []string{name}}
		handle(t, s, request)
		first, _ := s.Next(0)
		request.ResponseNonce = first.Nonce
		handle(t, s, request)
		s.SetSnapshot(mk.next(t, 1, 0))
		rejected, due := s.Next(0)
		if !due || len(rejected.Resources) != 1 {
			t.Fatalf("variant %v: due: %v, %d resources", variant, due, len(rejected.Resources))
		}
		handle(t, s, &Request{TypeURL: snapshot.RingPartType, ResourceNames: []string{name}, ResponseNonce: rejected.Nonce, ErrorDetail: "no"})
		s.SetSnapshot(mk.next(t, 1, 0.5))
		next, due := s.Next(0)
		if !due || len(next.Resources) != 1 || next.Resources[0].Version != rejected.Resources[0].Version {
			t.Errorf("variant %v: a response is due: %v, resources %v", variant, due, next.Resources)
		}
	}
}

// TestSlowProxyGetsNewestSnapshot checks that a proxy gets the newest snapshot when it has acknowledged the one before, and none of
// those between.
func TestSlowProxyGetsNewestSnapshot(t *testing.T) {
	for _, variant := range []Variant{StateOfTheWorld, Incremental} {
		mk := &snapshotMaker{}
		s := New(variant, testLimits, testSource{}, mk.next(t, 10, 0))
		handle(t, s, &Request{TypeURL: snapshot.RingPartType})
		r, _ := s.Next(0)
		for i := range 50 {
			s.SetSnapshot(mk.next(t, 10, float64(i)/60))
			if _, due := s.Next(0); due {
				t.Fatal("a second response while the first is not acknowledged")
			}
		}
		handle(t, s, &Request{TypeURL: snapshot.RingPartType, ResponseNonce: r.Nonce, Version: r.Version})
		r, due := s.Next(0)
		if !due || r.Version != "5.51" {
			t.Errorf("after the acknowledgement it gets %q", r.Version)
		}
	}
}

// TestLeases checks that a lease answers the last request, names the oldest usable snapshot, and that its acknowledgement is not taken for
// a request.
func TestLeases(t *testing.T) {
	for _, variant := range []Variant{StateOfTheWorld, Incremental} {
		mk := &snapshotMaker{}
		s := New(variant, testLimits, testSource{}, nil)
		request := func(name string) {
			t.Helper()
			handle(t, s, &Request{TypeURL: snapshot.LeaseType, ResourceNames: []string{name}, Subscribe: []string{name}})
		}
		request("q1")
		if _, due := s.Next(0); due {
			t.Error("a lease without a snapshot")
		}
		s.SetSnapshot(mk.next(t, 3, 0))
		request("q2")
		r, due := s.Next(0)
		var l wire.Lease
		if !due || r.TypeURL != snapshot.LeaseType || proto.Unmarshal(r.Resources[0].Body.Value, &l) != nil || l.Asked != "q2" || l.Out != 1 || l.LengthMs != 400 || l.ListAgeMs != 7 {
			t.Errorf("%v %+v", due, &l)
		}
		handle(t, s, &Request{TypeURL: snapshot.LeaseType, ResponseNonce: r.Nonce, ResourceNames: []string{"q2"}})
		if _, due := s.Next(0); due {
			t.Error("an acknowledgement is taken for a request")
		}
	}
}

// TestTimeToLive checks that endpoints have a TTL and that heartbeats without bodies renew it.
func TestTimeToLive(t *testing.T) {
	limits := testLimits
	limits.TTLMs = 300
	mk := &snapshotMaker{}
	s := New(StateOfTheWorld, limits, testSource{}, mk.next(t, 3, 0))
	handle(t, s, &Request{TypeURL: snapshot.EndpointType, ResourceNames: []string{"boxes"}})
	r, _ := s.Next(0)
	if r.TTLMs != 300 || r.Heartbeat || r.Resources[0].Body == nil {
		t.Errorf("%+v", r)
	}
	handle(t, s, &Request{TypeURL: snapshot.EndpointType, ResourceNames: []string{"boxes"}, ResponseNonce: r.Nonce})
	if w := s.WaitMs(40); w != 60 {
		t.Errorf("wait of %v ms", w)
	}
	if _, due := s.Next(99); due {
		t.Error("a heartbeat too early")
	}
	if r, due := s.Next(100); !due || !r.Heartbeat || r.Resources[0].Body != nil || r.Resources[0].Name != "boxes" {
		t.Errorf("%v %+v", due, r)
	}
}

// TestLimits checks that what a stream holds for a proxy is bounded.
func TestLimits(t *testing.T) {
	many := make([]string, 1001)
	for i := range many {
		many[i] = fmt.Sprint("n", i)
	}
	for _, variant := range []Variant{StateOfTheWorld, Incremental} {
		for _, r := range []*Request{
			{TypeURL: snapshot.RingPartType, ResourceNames: many, Subscribe: many},
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
	for _, n := range many {
		initial[n] = "1"
	}
	if err := New(Incremental, testLimits, testSource{}, nil).HandleRequest(&Request{TypeURL: snapshot.RingPartType, InitialVersions: initial}); !errors.Is(err, ErrNameLimit) {
		t.Errorf("%d versions: %v", len(initial), err)
	}
}
