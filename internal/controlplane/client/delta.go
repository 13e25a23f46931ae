package client

import (
	"sync"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"mintspring/internal/controlplane/snapshot"
)

// deltaStream is a messageStream of the incremental variant.
type deltaStream struct {
	stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient

	mu   sync.Mutex // guards node; held while sending on the stream
	node *core.Node // sent in the first request only, nil after it
}

func newDeltaStream(stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient, node *core.Node) *deltaStream {
	return &deltaStream{stream: stream, node: node}
}

func (d *deltaStream) send(message *discovery.DeltaDiscoveryRequest) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	message.Node, d.node = d.node, nil
	return d.stream.Send(message)
}

func (d *deltaStream) subscribe(typeURL snapshot.TypeURL, names []string, held map[string]string, _ string) error {
	return d.send(&discovery.DeltaDiscoveryRequest{
		TypeUrl:                 string(typeURL),
		ResourceNamesSubscribe:  names,
		InitialResourceVersions: held,
	})
}

func (d *deltaStream) acknowledge(typeURL snapshot.TypeURL, _, nonce string, rejection error) error {
	return d.send(&discovery.DeltaDiscoveryRequest{
		TypeUrl:       string(typeURL),
		ResponseNonce: nonce,
		ErrorDetail:   errorDetail(rejection),
	})
}

func (d *deltaStream) requestLease(name, previous string) error {
	message := &discovery.DeltaDiscoveryRequest{TypeUrl: string(snapshot.LeaseType), ResourceNamesSubscribe: []string{name}}
	if previous != "" {
		message.ResourceNamesUnsubscribe = []string{previous}
	}
	return d.send(message)
}

func (d *deltaStream) recv() (*response, error) {
	message, err := d.stream.Recv()
	if err != nil {
		return nil, err
	}
	r := &response{
		typeURL: snapshot.TypeURL(message.TypeUrl),
		version: message.SystemVersionInfo,
		nonce:   message.Nonce,
		byName:  map[string]*anypb.Any{},
		removed: message.RemovedResources,
	}
	for _, resource := range message.Resources {
		r.byName[resource.Name] = resource.Resource
		r.resources = append(r.resources, resource.Resource)
	}
	return r, nil
}
