package snapshot

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// marshalOptions encodes equal messages as equal bytes.
var marshalOptions = proto.MarshalOptions{Deterministic: true}

// Builder builds the successive snapshots of one zone. The zero value is ready for use.
type Builder struct {
	previous map[TypeURL]*ResourceSet
}

// Build returns the next snapshot. It returns an error if a resource cannot be encoded; the Builder is then unchanged.
func (b *Builder) Build(version Version, minSequence uint64, input *Input) (*Snapshot, error) {
	parts, err := newRingParts(version, minSequence, input)
	if err != nil {
		return nil, err
	}
	cluster, err := newResource(ClusterType, input.Cluster, newCluster(input))
	if err != nil {
		return nil, err
	}
	endpoints, err := newResource(EndpointType, input.Cluster, newLoadAssignment(input))
	if err != nil {
		return nil, err
	}
	resources := map[TypeURL]*ResourceSet{
		ClusterType:  b.newResourceSet(ClusterType, version, []Resource{cluster}),
		EndpointType: b.newResourceSet(EndpointType, version, []Resource{endpoints}),
		RingPartType: b.newResourceSet(RingPartType, version, parts.resources),
	}
	b.previous = resources
	return &Snapshot{Version: version, MinSequence: minSequence, Digest: parts.digest, resources: resources}, nil
}

// newResourceSet sorts resources and returns them as a set. It replaces each resource that is equal to one of the previous set by that one.
// If all resources are equal, the set keeps the previous version.
func (b *Builder) newResourceSet(typeURL TypeURL, version Version, items []Resource) *ResourceSet {
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	set := &ResourceSet{Version: version.String(), Items: items}
	previous := b.previous[typeURL]
	if previous == nil {
		return set
	}
	unchanged := len(previous.Items) == len(items)
	for i := range items {
		if old, ok := previous.Find(items[i].Name); ok && old.Digest == items[i].Digest {
			items[i] = *old
		}
		unchanged = unchanged && previous.Items[i].Name == items[i].Name && previous.Items[i].Version == items[i].Version
	}
	if unchanged {
		set.Version = previous.Version
	}
	return set
}

// newResource encodes a resource. Its version is a hash of its content.
func newResource(typeURL TypeURL, name string, message proto.Message) (Resource, error) {
	body, err := marshalOptions.Marshal(message)
	if err != nil {
		return Resource{}, fmt.Errorf("encoding resource %q: %w", name, err)
	}
	digest := xxhash.Sum64(body)
	return Resource{
		Name:    name,
		Version: fmt.Sprintf("%016x", digest),
		Body:    &anypb.Any{TypeUrl: string(typeURL), Value: body},
		Digest:  digest,
	}, nil
}
