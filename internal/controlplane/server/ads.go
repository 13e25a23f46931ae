package server

import (
	"fmt"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/stream"
)

// adsService is Envoy's aggregated discovery service.
type adsService struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	server *Server
}

// StreamAggregatedResources serves a state-of-the-world stream.
func (a adsService) StreamAggregatedResources(grpcStream discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return a.server.serveStream(stream.StateOfTheWorld, sotwStream{grpcStream, a.server})
}

// DeltaAggregatedResources serves an incremental stream.
func (a adsService) DeltaAggregatedResources(grpcStream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return a.server.serveStream(stream.Incremental, deltaStream{grpcStream, a.server})
}

// sotwStream is a messageStream of the state-of-the-world variant.
type sotwStream struct {
	discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer
	server *Server
}

func (s sotwStream) recv() (*stream.Request, *core.Node, error) {
	message, err := s.Recv()
	if err != nil {
		return nil, nil, err
	}
	return &stream.Request{
		TypeURL:       snapshot.TypeURL(message.TypeUrl),
		ResourceNames: message.ResourceNames,
		Version:       message.VersionInfo,
		ResponseNonce: message.ResponseNonce,
		ErrorDetail:   formatErrorDetail(message.ErrorDetail),
	}, message.Node, nil
}

func (s sotwStream) send(r *stream.Response) error {
	message := &discovery.DiscoveryResponse{TypeUrl: string(r.TypeURL), VersionInfo: r.Version, Nonce: r.Nonce}
	for i := range r.Resources {
		resource := &r.Resources[i]
		body := resource.Body
		if r.TTLMs > 0 {
			// A resource with a TTL is sent in a wrapper; a heartbeat omits the body of the resource (xDS, "TTL").
			wrapped, err := anypb.New(wrapResource(resource, r))
			if err != nil {
				return fmt.Errorf("encoding resource %q: %w", resource.Name, err)
			}
			body = wrapped
		}
		message.Resources = append(message.Resources, body)
	}
	s.server.countResponse(message, r.TypeURL)
	return s.Send(message)
}

// deltaStream is a messageStream of the incremental variant.
type deltaStream struct {
	discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	server *Server
}

func (s deltaStream) recv() (*stream.Request, *core.Node, error) {
	message, err := s.Recv()
	if err != nil {
		return nil, nil, err
	}
	return &stream.Request{
		TypeURL:         snapshot.TypeURL(message.TypeUrl),
		Subscribe:       message.ResourceNamesSubscribe,
		Unsubscribe:     message.ResourceNamesUnsubscribe,
		InitialVersions: message.InitialResourceVersions,
		ResponseNonce:   message.ResponseNonce,
		ErrorDetail:     formatErrorDetail(message.ErrorDetail),
	}, message.Node, nil
}

func (s deltaStream) send(r *stream.Response) error {
	message := &discovery.DeltaDiscoveryResponse{
		TypeUrl:           string(r.TypeURL),
		SystemVersionInfo: r.Version,
		Nonce:             r.Nonce,
		RemovedResources:  r.Removed,
	}
	for i := range r.Resources {
		message.Resources = append(message.Resources, wrapResource(&r.Resources[i], r))
	}
	s.server.countResponse(message, r.TypeURL)
	return s.Send(message)
}

// formatErrorDetail formats an error detail as "code: message". It returns an empty string for nil.
func formatErrorDetail(detail *rpc.Status) string {
	if detail == nil {
		return ""
	}
	return fmt.Sprintf("%d: %s", detail.Code, detail.Message)
}

// wrapResource adds the name, the version and the TTL to a resource. A heartbeat omits the body.
func wrapResource(resource *snapshot.Resource, r *stream.Response) *discovery.Resource {
	wrapped := &discovery.Resource{Name: resource.Name, Version: resource.Version}
	if !r.Heartbeat {
		wrapped.Resource = resource.Body
	}
	if r.TTLMs > 0 {
		wrapped.Ttl = durationpb.New(time.Duration(r.TTLMs * float64(time.Millisecond)))
	}
	return wrapped
}

// countResponse updates the counters for a response.
func (s *Server) countResponse(message proto.Message, typeURL snapshot.TypeURL) {
	s.counters.Responses.Add(1)
	s.counters.ResponseBytes.Add(int64(proto.Size(message)))
	if typeURL == snapshot.LeaseType {
		s.counters.Leases.Add(1)
	}
}
