package client

import (
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/anypb"

	"mintspring/internal/controlplane/snapshot"
)

// messageStream is a stream of either variant. Only one goroutine may receive; sending is safe for concurrent use.
type messageStream interface {
	// subscribe subscribes to resources of a type; without names, to all of them. The incremental variant sends the held versions by
	// name, the state-of-the-world variant sends a single version.
	subscribe(typeURL snapshot.TypeURL, names []string, held map[string]string, version string) error
	// acknowledge acknowledges a response, or rejects it with an error.
	acknowledge(typeURL snapshot.TypeURL, version, nonce string, rejection error) error
	// requestLease requests a lease with a new name, which replaces the previous name.
	requestLease(name, previous string) error
	recv() (*response, error)
}

// response is a response of either variant.
type response struct {
	typeURL   snapshot.TypeURL
	version   string
	nonce     string
	complete  bool         // holds all resources of the type, not only changes
	resources []*anypb.Any // nil for a heartbeat
	byName    map[string]*anypb.Any
	removed   []string
}

// errorDetail returns the error detail of a rejection, or nil for an acknowledgement.
func errorDetail(rejection error) *rpc.Status {
	if rejection == nil {
		return nil
	}
	return &rpc.Status{Code: int32(codes.InvalidArgument), Message: rejection.Error()}
}
