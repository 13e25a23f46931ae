// Package snapshot encodes the rings of the decision module as the resources that proxies receive over xDS. It does no I/O.
//
// A Snapshot is complete and immutable. A resource whose content has not changed since the previous snapshot is reused byte for byte, so
// that a proxy which holds it does not fetch it again.
package snapshot

import (
	"sort"
	"strconv"
	"strings"

	"google.golang.org/protobuf/types/known/anypb"

	"mintspring/internal/fleet"
)

// TypeURL is the xDS type URL of a resource.
type TypeURL string

// Resource types. The first two are Envoy's own.
const (
	ClusterType  TypeURL = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	RingPartType TypeURL = "type.googleapis.com/mintspring.control.v1.Part"
	LeaseType    TypeURL = "type.googleapis.com/mintspring.control.v1.Lease"
)

// TypeOrder is the order in which types are sent: a cluster before its endpoints (xDS, "Eventual consistency considerations").
var TypeOrder = []TypeURL{ClusterType, EndpointType, RingPartType, LeaseType}

// Server is one server of the endpoint list.
type Server struct {
	Slot        fleet.ServerID // index in the server table; points refer to the server by it
	ID          string
	Addr        string // host:port, the host an IP address
	Zone        string
	State       fleet.State
	StartedAtMs float64 // start of the server's process, Unix ms; 0: long ago
}

// Input is the data that a snapshot is built from.
type Input struct {
	Cluster   string            // name of the cluster resource, and prefix of the names of ring parts
	Zone      string            // zone of the proxies that the snapshot is for; empty: proxies of unknown zones
	Zones     []string          // configured zones
	Servers   []Server          // in slot order
	Ring      []fleet.RingPoint // of all servers
	ZoneRing  []fleet.RingPoint // of the servers in Zone
	ZoneShare float64           // fraction of the keys that are routed by ZoneRing

	ConnectTimeoutMs float64 // sent to proxies
}

// Version identifies a snapshot. Versions of one zone are ordered.
type Version struct {
	Epoch    uint64 // of the control-plane process; higher than the epochs of earlier processes
	Sequence uint64 // number of the snapshot within the epoch
}

// String formats a version as the version of the head resource.
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Sequence, 10)
}

// Before reports whether a version is older than another.
func (v Version) Before(other Version) bool {
	return v.Epoch < other.Epoch || v.Epoch == other.Epoch && v.Sequence < other.Sequence
}

// ParseVersion parses the result of Version.String.
func ParseVersion(text string) (version Version, ok bool) {
	epoch, sequence, ok := strings.Cut(text, ".")
	if !ok {
		return Version{}, false
	}
	var epochErr, sequenceErr error
	version.Epoch, epochErr = strconv.ParseUint(epoch, 10, 64)
	version.Sequence, sequenceErr = strconv.ParseUint(sequence, 10, 64)
	return version, epochErr == nil && sequenceErr == nil
}

// Resource is one xDS resource.
type Resource struct {
	Name    string
	Version string // hash of the content, the same in every process; the head has the snapshot's version instead
	Body    *anypb.Any
	Digest  uint64 // XXH64 of the body's value
}

// ResourceSet holds all resources of one type, ordered by name.
type ResourceSet struct {
	Version string // version of the snapshot in which the set last changed
	Items   []Resource
}

// Find returns the resource with the given name.
func (s *ResourceSet) Find(name string) (resource *Resource, ok bool) {
	i := sort.Search(len(s.Items), func(i int) bool { return s.Items[i].Name >= name })
	if i < len(s.Items) && s.Items[i].Name == name {
		return &s.Items[i], true
	}
	return nil, false
}

// Snapshot holds all resources for the proxies of one zone.
type Snapshot struct {
	Version Version
	// MinSequence is the oldest sequence of the epoch that proxies may still use: the sequence of the last snapshot in which a server was
	// taken out of service.
	MinSequence uint64
	Digest      uint64 // hash of the digests of all ring parts except the head, and of the zone share

	resources map[TypeURL]*ResourceSet
}

// Resources returns the resources of a type, or nil for LeaseType and unknown types.
func (s *Snapshot) Resources(typeURL TypeURL) *ResourceSet { return s.resources[typeURL] }
