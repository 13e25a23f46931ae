package server

import (
	"context"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
)

// proxyIdentity identifies the proxy at the other end of a stream.
type proxyIdentity struct {
	name      string // from the certificate if there is one: the node ID in a request is not authenticated
	zoneIndex int
}

// identify returns the identity of the proxy that sent a node. A proxy without a certificate and without a node ID is named by its address.
func (s *Server) identify(ctx context.Context, node *core.Node) proxyIdentity {
	identity := proxyIdentity{
		name:      node.GetId(),
		zoneIndex: s.controller.ZoneIndex(node.GetLocality().GetZone()),
	}
	from, ok := peer.FromContext(ctx)
	if !ok {
		return identity
	}
	if info, ok := from.AuthInfo.(credentials.TLSInfo); ok && len(info.State.PeerCertificates) > 0 {
		identity.name = certificateName(info.State.PeerCertificates[0])
	}
	if identity.name == "" {
		identity.name = from.Addr.String()
	}
	return identity
}
