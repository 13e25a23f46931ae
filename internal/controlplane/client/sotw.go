package client

import (
	"sync"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
)

// resourceWrapperType is the type of the wrapper in which a resource with a TTL is sent.
const resourceWrapperType = "type.googleapis.com/envoy.service.discovery.v3.Resource"

// sotwStream is a messageStream of the state-of-the-world variant.
type sotwStream struct {
	stream  discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	cluster string

	mu              sync.Mutex // guards the fields below; held while sending on the stream
	node            *core.Node // sent in the first request only, nil after it
	appliedVersions map[snapshot.TypeURL]string
	subscribedNames map[snapshot.TypeURL][]string
}

func newSotwStream(stream discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient, node *core.Node, cluster string) *sotwStream {
	return &sotwStream{
		stream:          stream,
		cluster:         cluster,
		node:            node,
		appliedVersions: map[snapshot.TypeURL]string{},
		subscribedNames: map[snapshot.TypeURL][]string{},
	}
}

// send sends a request. The caller holds the lock.
func (s *sotwStream) send(message *discovery.DiscoveryRequest) error {
	message.Node, s.node = s.node, nil
	return s.stream.Send(message)
}

func (s *sotwStream) subscribe(typeURL snapshot.TypeURL, names []string, _ map[string]string, version string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribedNames[typeURL], s.appliedVersions[typeURL] = names, version
	return s.send(&discovery.DiscoveryRequest{TypeUrl: string(typeURL), ResourceNames: names, VersionInfo: version})
}

func (s *sotwStream) acknowledge(typeURL snapshot.TypeURL, version, nonce string, rejection error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rejection == nil {
		s.appliedVersions[typeURL] = version
	}
	return s.send(&discovery.DiscoveryRequest{
		TypeUrl:       string(typeURL),
		ResourceNames: s.subscribedNames[typeURL],
		VersionInfo:   s.appliedVersions[typeURL],
		ResponseNonce: nonce,
		ErrorDetail:   errorDetail(rejection),
	})
}

func (s *sotwStream) requestLease(name, _ string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.send(&discovery.DiscoveryRequest{TypeUrl: string(snapshot.LeaseType), ResourceNames: []string{name}})
}

func (s *sotwStream) recv() (*response, error) {
	message, err := s.stream.Recv()
	if err != nil {
		return nil, err
	}
	r := &response{
		typeURL:  snapshot.TypeURL(message.TypeUrl),
		version:  message.VersionInfo,
		nonce:    message.Nonce,
		complete: true,
		byName:   map[string]*anypb.Any{},
	}
	for _, body := range message.Resources {
		body = unwrap(body)
		r.resources = append(r.resources, body)
		if r.typeURL == snapshot.RingPartType {
			// Resources have no names in this variant. The name of a part is derived from its kind and its index among parts of that
			// kind, since the server sends parts in the order of their names.
			r.byName[partName(s.cluster, body, r.byName)] = body
		}
	}
	return r, nil
}

// unwrap returns the resource in a wrapper, or nil for a heartbeat. It returns a resource without a wrapper unchanged.
func unwrap(body *anypb.Any) *anypb.Any {
	if body.TypeUrl != resourceWrapperType {
		return body
	}
	var wrapper discovery.Resource
	if proto.Unmarshal(body.Value, &wrapper) != nil {
		return body
	}
	return wrapper.Resource
}

// partName returns the name of a part: the first name of its kind that is not taken. It returns an empty name for a body that does not
// decode as a part.
func partName(cluster string, body *anypb.Any, taken map[string]*anypb.Any) string {
	var part wire.Part
	if proto.Unmarshal(body.GetValue(), &part) != nil {
		return ""
	}
	kind := ""
	switch p := part.Kind.(type) {
	case *wire.Part_Head:
		return snapshot.HeadName(cluster)
	case *wire.Part_Servers:
		kind = snapshot.ServersPart
	case *wire.Part_Points:
		kind = snapshot.PointsPart(p.Points.Circle)
	}
	for i := 0; ; i++ {
		name := snapshot.PartName(cluster, kind, i)
		if _, exists := taken[name]; !exists {
			return name
		}
	}
}
