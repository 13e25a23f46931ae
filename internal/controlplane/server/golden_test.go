package server

import (
	"context"
	"io"
	"reflect"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/stream"
	"mintspring/internal/testbed/goldentest"
)

// goldenStream is a fake gRPC stream of any of the services. It returns the request once and records the sent message.
type goldenStream[Req, Resp any] struct {
	grpc.ServerStream
	request *Req
	sent    *Resp
}

func (s *goldenStream[Req, Resp]) Context() context.Context { return context.Background() }

func (s *goldenStream[Req, Resp]) Send(m *Resp) error { s.sent = m; return nil }

func (s *goldenStream[Req, Resp]) Recv() (*Req, error) {
	if s.request == nil {
		return nil, io.EOF
	}
	r := s.request
	s.request = nil
	return r, nil
}

func goldenResponses() map[string]*stream.Response {
	parts := []snapshot.Resource{
		{Name: "boxes/head", Version: "17.42", Body: &anypb.Any{TypeUrl: string(snapshot.RingPartType), Value: []byte{1, 2, 3}}},
		{Name: "boxes/whole/0000", Version: "0123456789abcdef", Body: &anypb.Any{TypeUrl: string(snapshot.RingPartType), Value: []byte{4}}},
	}
	return map[string]*stream.Response{
		"plain":   {TypeURL: snapshot.RingPartType, Version: "17.42", Nonce: "3", Resources: parts},
		"ttl":     {TypeURL: snapshot.EndpointType, Version: "17.42", Nonce: "4", Resources: parts, TTLMs: 1500},
		"beat":    {TypeURL: snapshot.EndpointType, Version: "17.42", Nonce: "5", Resources: parts, TTLMs: 1500, Heartbeat: true},
		"removed": {TypeURL: snapshot.RingPartType, Version: "17.43", Nonce: "6", Removed: []string{"boxes/whole/0001"}},
	}
}

// TestGoldenResponses compares the responses of both variants with bytes written by an earlier build.
func TestGoldenResponses(t *testing.T) {
	s := &Server{}
	for name, r := range goldenResponses() {
		sotw := &goldenStream[discovery.DiscoveryRequest, discovery.DiscoveryResponse]{}
		if err := (sotwStream{sotw, s}).send(r); err != nil {
			t.Fatal(err)
		}
		goldentest.CheckProto(t, "response-"+name+".pb", sotw.sent)
		delta := &goldenStream[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]{}
		if err := (deltaStream{delta, s}).send(r); err != nil {
			t.Fatal(err)
		}
		goldentest.CheckProto(t, "delta-response-"+name+".pb", delta.sent)
	}
}

// TestGoldenRequests decodes requests of both variants that an earlier build wrote.
func TestGoldenRequests(t *testing.T) {
	node := &core.Node{Id: "p1", Cluster: "boxes", Locality: &core.Locality{Zone: "b"}, UserAgentName: "mintspring-follow"}
	read := func(name string, m proto.Message) {
		t.Helper()
		if err := proto.Unmarshal(goldentest.Read(t, name+".pb"), m); err != nil {
			t.Fatal(err)
		}
	}
	sotw := &goldenStream[discovery.DiscoveryRequest, discovery.DiscoveryResponse]{request: &discovery.DiscoveryRequest{}}
	read("request", sotw.request)
	r, sentBy, err := sotwStream{sotw, nil}.recv()
	if want := (&stream.Request{TypeURL: snapshot.RingPartType, ResourceNames: []string{"x", "y"}, Version: "17.42", ResponseNonce: "3", ErrorDetail: "3: no part of a ring"}); err != nil ||
		!reflect.DeepEqual(r, want) || !proto.Equal(sentBy, node) {
		t.Errorf("read as %+v of %v (%v), want %+v", r, sentBy, err, want)
	}
	delta := &goldenStream[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]{request: &discovery.DeltaDiscoveryRequest{}}
	read("delta-request", delta.request)
	r, sentBy, err = deltaStream{delta, nil}.recv()
	if want := (&stream.Request{TypeURL: snapshot.RingPartType, Subscribe: []string{"x"}, Unsubscribe: []string{"y"}, InitialVersions: map[string]string{
		"boxes/head":       "17.42",
		"boxes/whole/0000": "0123456789abcdef",
	}, ResponseNonce: "3", ErrorDetail: "3: no part of a ring"}); err != nil || !reflect.DeepEqual(r, want) || !proto.Equal(sentBy, node) {
		t.Errorf("read as %+v of %v (%v), want %+v", r, sentBy, err, want)
	}
}

// recordingController records the load reports that it receives.
type recordingController struct {
	Controller
	proxy   string
	reports map[string]loadreport.Report
}

func (c *recordingController) ZoneIndex(string) int { return 0 }

func (c *recordingController) AddLoadReports(proxy string, reports map[string]loadreport.Report) {
	c.proxy, c.reports = proxy, reports
}

// TestGoldenLoadReport decodes a load report that an earlier build wrote, and compares the response that requests load reports.
func TestGoldenLoadReport(t *testing.T) {
	encoded := goldentest.Read(t, "load-stats-request.pb")
	grpcStream := &goldenStream[lrs.LoadStatsRequest, lrs.LoadStatsResponse]{request: &lrs.LoadStatsRequest{}}
	if err := proto.Unmarshal(encoded, grpcStream.request); err != nil {
		t.Fatal(err)
	}
	controller := &recordingController{}
	s := New(logrus.New(), controller, Config{MaxStreams: 1, MaxConnections: 1, MaxStreamsPerConnection: 1, MaxRequestBytes: 1 << 20, LoadReportInterval: 1500 * time.Millisecond}, nil)
	if err := (loadReportService{server: s}).StreamLoadStats(grpcStream); err != nil {
		t.Fatal(err)
	}
	goldentest.CheckProto(t, "load-stats-response.pb", grpcStream.sent)
	if want := map[string]loadreport.Report{"127.0.0.1:1000": {Utilization: 0.5, QueueLength: 2, HitRate: 0.75, Responses: 8}}; controller.proxy != "p1" || !reflect.DeepEqual(controller.reports, want) {
		t.Errorf("%q reports %v, want %v", controller.proxy, controller.reports, want)
	}
}
