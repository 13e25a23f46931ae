package client

import (
	"errors"
	"reflect"
	"testing"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/testbed/goldentest"
)

// goldenStream is a fake gRPC stream. It records the sent requests and returns a fixed response.
type goldenStream[Req, Resp any] struct {
	grpc.ClientStream
	sent     []*Req
	response *Resp
}

func (s *goldenStream[Req, Resp]) Send(m *Req) error { s.sent = append(s.sent, m); return nil }

func (s *goldenStream[Req, Resp]) Recv() (*Resp, error) { return s.response, nil }

func goldenNode() *core.Node {
	return &core.Node{Id: "p1", Cluster: "boxes", Locality: &core.Locality{Zone: "b"}, UserAgentName: "mintspring-follow"}
}

// sendRequests sends the requests in goldenRequests.
func sendRequests(t *testing.T, s messageStream) {
	t.Helper()
	held := map[string]string{"boxes/head": "17.42", "boxes/whole/0000": "0123456789abcdef"}
	for _, err := range []error{
		s.subscribe(snapshot.EndpointType, []string{"boxes"}, nil, ""),
		s.subscribe(snapshot.RingPartType, nil, held, "17.42"),
		s.acknowledge(snapshot.RingPartType, "17.43", "3", nil),
		s.acknowledge(snapshot.RingPartType, "17.44", "4", errors.New("no part of a ring")),
		s.requestLease("1abc-7", ""),
		s.requestLease("1abc-8", "1abc-7"),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
}

// goldenRequests are the names of the requests in their files, in the order in which they are sent.
var goldenRequests = []string{"want-endpoints", "want-parts", "ack", "nack", "lease-first", "lease-next"}

func newAny(t *testing.T, typeURL snapshot.TypeURL, m proto.Message) *anypb.Any {
	t.Helper()
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return &anypb.Any{TypeUrl: string(typeURL), Value: b}
}

// TestGoldenStateOfTheWorld compares the requests of the state-of-the-world variant with bytes written by an earlier build, and decodes
// a response.
func TestGoldenStateOfTheWorld(t *testing.T) {
	grpcStream := &goldenStream[discovery.DiscoveryRequest, discovery.DiscoveryResponse]{}
	sotw := newSotwStream(grpcStream, goldenNode(), "boxes")
	sendRequests(t, sotw)
	for i, name := range goldenRequests {
		goldentest.CheckProto(t, "request-"+name+".pb", grpcStream.sent[i])
	}
	head := newAny(t, snapshot.RingPartType, &wire.Part{Kind: &wire.Part_Head{Head: &wire.Head{Epoch: 17, Number: 42}}})
	points := newAny(t, snapshot.RingPartType, &wire.Part{Kind: &wire.Part_Points{Points: &wire.Points{Circle: wire.Circle_NEAR}}})
	grpcStream.response = &discovery.DiscoveryResponse{TypeUrl: string(snapshot.RingPartType), VersionInfo: "17.42", Nonce: "3", Resources: []*anypb.Any{head, points, points}}
	goldentest.CheckProto(t, "response.pb", grpcStream.response)
	r, err := sotw.recv()
	want := &response{
		typeURL: snapshot.RingPartType, version: "17.42", nonce: "3", complete: true, resources: []*anypb.Any{head, points, points},
		byName: map[string]*anypb.Any{"boxes/head": head, "boxes/near/0000": points, "boxes/near/0001": points},
	}
	if err != nil || !reflect.DeepEqual(r, want) {
		t.Errorf("read as %+v (%v), want %+v", r, err, want)
	}
}

// TestGoldenIncremental compares the requests of the incremental variant with bytes written by an earlier build, and decodes a response.
func TestGoldenIncremental(t *testing.T) {
	grpcStream := &goldenStream[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]{}
	delta := newDeltaStream(grpcStream, goldenNode())
	sendRequests(t, delta)
	for i, name := range goldenRequests {
		goldentest.CheckProto(t, "delta-request-"+name+".pb", grpcStream.sent[i])
	}
	points := newAny(t, snapshot.RingPartType, &wire.Part{Kind: &wire.Part_Points{Points: &wire.Points{Circle: wire.Circle_WHOLE}}})
	grpcStream.response = &discovery.DeltaDiscoveryResponse{
		TypeUrl: string(snapshot.RingPartType), SystemVersionInfo: "17.42", Nonce: "3",
		Resources: []*discovery.Resource{{Name: "boxes/whole/0001", Version: "0123456789abcdef", Resource: points}}, RemovedResources: []string{"boxes/whole/0002"},
	}
	goldentest.CheckProto(t, "delta-response.pb", grpcStream.response)
	r, err := delta.recv()
	want := &response{
		typeURL: snapshot.RingPartType, version: "17.42", nonce: "3", resources: []*anypb.Any{points}, byName: map[string]*anypb.Any{"boxes/whole/0001": points},
		removed: []string{"boxes/whole/0002"},
	}
	if err != nil || !reflect.DeepEqual(r, want) {
		t.Errorf("read as %+v (%v), want %+v", r, err, want)
	}
}
