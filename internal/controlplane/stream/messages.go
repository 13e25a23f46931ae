package stream

import (
	"errors"
	"strings"

	"mintspring/internal/controlplane/snapshot"
)

// Variant is the variant of the xDS transport protocol that a stream uses.
type Variant uint8

// Variants.
const (
	StateOfTheWorld Variant = iota // each response holds all subscribed resources of its type
	Incremental                    // each response holds only changed resources ("delta")
)

// wildcard is the resource name that subscribes to all resources of a type.
const wildcard = "*"

// Errors that end a stream. The server sends their texts to the proxy.
var (
	ErrUnknownType = errors.New("a type that the control service does not have")
	ErrNameLimit   = errors.New("more, or longer, names than a stream may ask for")
)

// Request is a message from a proxy, of either variant.
type Request struct {
	TypeURL         snapshot.TypeURL
	ResourceNames   []string          // state of the world: all names subscribed to
	Version         string            // state of the world: version that the proxy holds
	Subscribe       []string          // incremental: names to add
	Unsubscribe     []string          // incremental: names to remove
	InitialVersions map[string]string // incremental: versions of the resources that the proxy holds, by name
	ResponseNonce   string            // of the response that the request acknowledges or rejects; empty if it does neither
	ErrorDetail     string            // reason for rejecting that response; empty for an acknowledgement
}

// HeldVersion returns the version of the snapshot that the proxy holds, if the request contains it.
func (r *Request) HeldVersion() (version snapshot.Version, ok bool) {
	if r.TypeURL != snapshot.RingPartType {
		return snapshot.Version{}, false
	}
	if version, ok = snapshot.ParseVersion(r.Version); ok {
		return version, true
	}
	for name, text := range r.InitialVersions {
		if strings.HasSuffix(name, snapshot.HeadName("")) {
			return snapshot.ParseVersion(text)
		}
	}
	return snapshot.Version{}, false
}

// Response is a message to a proxy, of either variant.
type Response struct {
	TypeURL   snapshot.TypeURL
	Version   string
	Nonce     string
	Resources []snapshot.Resource
	Removed   []string // incremental: names of removed or missing resources
	TTLMs     float64  // TTL of each resource; 0 means unlimited
	Heartbeat bool     // the response only renews the TTL; its resources have no bodies
}
