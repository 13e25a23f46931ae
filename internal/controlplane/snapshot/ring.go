package snapshot

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
)

const (
	// entriesPerPart is the number of servers or points in one part. After an adjustment of one point, an incremental proxy fetches one
	// part of this size and the head. Smaller parts make the head longer, since it lists all of them.
	entriesPerPart = 64

	// slowStartSteps is the number of steps in which the ring share of a server in slow start grows. Each step is a new snapshot for every
	// proxy.
	slowStartSteps = 32
)

// ServersPart is the kind of the parts that hold servers, as it appears in part names.
const ServersPart = "servers"

// PointsPart returns the kind of the parts that hold the points of a ring, as it appears in part names.
func PointsPart(circle wire.Circle) string { return strings.ToLower(circle.String()) }

// PartName returns the name of a part.
func PartName(cluster, kind string, index int) string {
	return fmt.Sprintf("%s/%s/%04d", cluster, kind, index)
}

// HeadName returns the name of the head, the part that lists all other parts of a snapshot with their digests.
func HeadName(cluster string) string { return cluster + "/head" }

// ringParts collects the ring parts of a snapshot while it is built.
type ringParts struct {
	cluster   string
	resources []Resource
	head      *wire.Head
	hash      *xxhash.Digest
	digest    uint64
}

// newRingParts builds the ring parts of a snapshot, the head last.
func newRingParts(version Version, minSequence uint64, input *Input) (*ringParts, error) {
	p := &ringParts{
		cluster: input.Cluster,
		hash:    xxhash.New(),
		head: &wire.Head{
			Epoch:     version.Epoch,
			Number:    version.Sequence,
			Out:       minSequence,
			NearShare: input.ZoneShare,
			Zone:      input.Zone,
		},
	}
	if err := p.addServers(input.Servers); err != nil {
		return nil, err
	}
	if err := p.addPoints(wire.Circle_WHOLE, input.Ring); err != nil {
		return nil, err
	}
	if err := p.addPoints(wire.Circle_NEAR, input.ZoneRing); err != nil {
		return nil, err
	}
	fmt.Fprintf(p.hash, "%x\n", input.ZoneShare) //nolint:errcheck // a hash never fails to write
	p.digest = p.hash.Sum64()
	head, err := newResource(RingPartType, HeadName(input.Cluster), &wire.Part{Kind: &wire.Part_Head{Head: p.head}})
	if err != nil {
		return nil, err
	}
	head.Version = version.String()
	p.resources = append(p.resources, head)
	return p, nil
}

// addPart encodes a part and lists it in the head.
func (p *ringParts) addPart(kind string, index int, part *wire.Part) error {
	resource, err := newResource(RingPartType, PartName(p.cluster, kind, index), part)
	if err != nil {
		return err
	}
	p.resources = append(p.resources, resource)
	p.head.Parts = append(p.head.Parts, &wire.Digest{Name: resource.Name, Digest: resource.Digest})
	fmt.Fprintf(p.hash, "%s %016x\n", resource.Name, resource.Digest) //nolint:errcheck // a hash never fails to write
	return nil
}

func (p *ringParts) addServers(servers []Server) error {
	index := 0
	for chunk := range slices.Chunk(servers, entriesPerPart) {
		part := &wire.Servers{}
		for i := range chunk {
			server := &chunk[i]
			part.Servers = append(part.Servers, &wire.Server{
				Place:   uint32(server.Slot),
				Id:      server.ID,
				Address: server.Addr,
				Zone:    server.Zone,
				State:   wire.State(server.State),
				Started: uint64(server.StartedAtMs),
			})
		}
		if err := p.addPart(ServersPart, index, &wire.Part{Kind: &wire.Part_Servers{Servers: part}}); err != nil {
			return err
		}
		index++
	}
	return nil
}

func (p *ringParts) addPoints(circle wire.Circle, points []fleet.RingPoint) error {
	points = ascendingPoints(points)
	limits := slowStartLimits(points)
	for start := 0; start < len(points); start += entriesPerPart {
		part := &wire.Points{Circle: circle}
		for i := start; i < min(start+entriesPerPart, len(points)); i++ {
			part.Points = append(part.Points, &wire.Point{Place: uint32(points[i].ID), At: points[i].Position, Part: limits[i]})
		}
		if err := p.addPart(PointsPart(circle), start/entriesPerPart, &wire.Part{Kind: &wire.Part_Points{Points: part}}); err != nil {
			return err
		}
	}
	return nil
}

// roundCapacityDown rounds the capacity of a server in slow start down to a step, but to no less than one step. Without it each snapshot
// would differ from the previous one, since the capacity grows continuously.
func roundCapacityDown(capacity float64) float64 {
	if capacity >= 1 {
		return 1
	}
	return max(1, float64(int(capacity*slowStartSteps))) / slowStartSteps
}

// slowStartLimits returns, for each point, the length of the part of its arc that the server serves while it is in slow start. The part
// begins at the preceding point. The limit is 0 for a server that serves its entire arc.
func slowStartLimits(points []fleet.RingPoint) []float64 {
	sum, anySlowStart := 0.0, false
	for _, p := range points {
		sum += roundCapacityDown(p.CapacityShare)
		anySlowStart = anySlowStart || p.CapacityShare < 1
	}
	limits := make([]float64, len(points))
	if !anySlowStart || len(points) < 2 {
		return limits
	}
	for i, p := range points {
		if p.CapacityShare < 1 {
			limits[i] = min(arcLength(points, i), roundCapacityDown(p.CapacityShare)/sum)
		}
	}
	return limits
}

// ascendingPoints returns points in ascending order of positions in [0, 1). A first point with a negative position, caused by an adjustment
// past 0, becomes the last point.
func ascendingPoints(points []fleet.RingPoint) []fleet.RingPoint {
	if len(points) == 0 || points[0].Position >= 0 {
		return points
	}
	first := points[0]
	first.Position++
	return append(slices.Clone(points[1:]), first)
}

// arcLength returns the length of the arc that ends at a point.
func arcLength(points []fleet.RingPoint, i int) float64 {
	if len(points) == 1 {
		return 1
	}
	predecessor := points[(i+len(points)-1)%len(points)]
	return fleet.ArcLength(predecessor.Position, points[i].Position)
}
