package stream

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/testbed/goldentest"
)

type goldenSource struct{}

func (goldenSource) ListAgeMs() float64 { return 1500 }

// TestGolden compares the response to a lease request with bytes written by an earlier build.
func TestGolden(t *testing.T) {
	var builder snapshot.Builder
	built, err := builder.Build(snapshot.Version{Epoch: 1_700_000_000_123, Sequence: 42}, 40, &snapshot.Input{Cluster: "boxes"})
	if err != nil {
		t.Fatal(err)
	}
	s := New(StateOfTheWorld, Limits{MaxNames: 8, MaxNameBytes: 64, LeaseMs: 400}, goldenSource{}, built)
	if err := s.HandleRequest(&Request{TypeURL: snapshot.LeaseType, ResourceNames: []string{"1abc-7"}}); err != nil {
		t.Fatal(err)
	}
	response, due := s.Next(0)
	if !due || response.TypeURL != snapshot.LeaseType || response.Version != "1abc-7" || response.Nonce != "1" || len(response.Resources) != 1 {
		t.Fatalf("%v, %v", response, due)
	}
	resource := response.Resources[0]
	if resource.Name != "1abc-7" || resource.Version != "1abc-7" || resource.Body.TypeUrl != "type.googleapis.com/mintspring.control.v1.Lease" {
		t.Errorf("%v", resource)
	}
	want := goldentest.Read(t, "lease.pb")
	if !bytes.Equal(resource.Body.Value, want) {
		t.Errorf("encoded as %x, the file has %x", resource.Body.Value, want)
	}
	var lease wire.Lease
	if err := proto.Unmarshal(want, &lease); err != nil || !proto.Equal(&lease, &wire.Lease{
		Asked: "1abc-7", Epoch: 1_700_000_000_123, Out: 40,
		LengthMs: 400, ListAgeMs: 1500,
	}) {
		t.Errorf("the file decodes as %v (%v)", &lease, err)
	}
}
