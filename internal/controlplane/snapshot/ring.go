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
	// entriesPerPart is how many servers or points go into one part. An adjustment changes one point: an incremental proxy fetches one
	// part of this size, and a head that names one part for each so many entries.
	entriesPerPart = 64

	// slowStartSteps is in how many steps the share of a server in slow start grows: each is a new snapshot for every proxy.
	slowStartSteps = 32
)

// ServersPart is the kind, in part names, of parts with servers.
const ServersPart = "servers"

// PointsPart returns the kind, in part names, of parts with the points of a ring.
func PointsPart(circle wire.Circle) string { return strings.ToLower(circle.String()) }

// PartName returns the name of a part.
func PartName(cluster, kind string, index int) string {
	return fmt.Sprintf("%s/%s/%04d", cluster, kind, index)
}

// HeadName returns the name of the head: the part that lists all others of a snapshot, with their digests.
func HeadName(cluster string) string { return cluster + "/head" }

// ring holds the ring parts of a snapshot while they are built.
type ring struct {
	cluster string
	parts   []Resource
	head    *wire.Head
	hash    *xxhash.Digest
	digest  uint64
}

// newRing builds the ring parts of a snapshot, the head last.
func newRing(version Version, minSequence uint64, input *Input) (*ring, error) {
	r := &ring{
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
	if err := r.addServers(input.Servers); err != nil {
		return nil, err
	}
	if err := r.addPoints(wire.Circle_WHOLE, input.Ring); err != nil {
		return nil, err
	}
	if err := r.addPoints(wire.Circle_NEAR, input.ZoneRing); err != nil {
		return nil, err
	}
	fmt.Fprintf(r.hash, "%x\n", input.ZoneShare) //nolint:errcheck // a hash never fails to write
	r.digest = r.hash.Sum64()
	head, err := newResource(RingPartType, HeadName(input.Cluster), &wire.Part{Kind: &wire.Part_Head{Head: r.head}})
	if err != nil {
		return nil, err
	}
	head.Version = version.String()
	r.parts = append(r.parts, head)
	return r, nil
}

// add encodes a part and lists it in the head.
func (r *ring) add(kind string, index int, part *wire.Part) error {
	resource, err := newResource(RingPartType, PartName(r.cluster, kind, index), part)
	if err != nil {
		return err
	}
	r.parts = append(r.parts, resource)
	r.head.Parts = append(r.head.Parts, &wire.Digest{Name: resource.Name, Digest: resource.Digest})
	fmt.Fprintf(r.hash, "%s %016x\n", resource.Name, resource.Digest) //nolint:errcheck // a hash never fails to write
	return nil
}

func (r *ring) addServers(servers []Server) error {
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
		if err := r.add(ServersPart, index, &wire.Part{Kind: &wire.Part_Servers{Servers: part}}); err != nil {
			return err
		}
		index++
	}
	return nil
}

func (r *ring) addPoints(circle wire.Circle, points []fleet.RingPoint) error {
	points = ascendingPoints(points)
	limits := slowStartLimits(points)
	for start := 0; start < len(points); start += entriesPerPart {
		part := &wire.Points{Circle: circle}
		for i := start; i < min(start+entriesPerPart, len(points)); i++ {
			part.Points = append(part.Points, &wire.Point{Place: uint32(points[i].ID), At: points[i].Position, Part: limits[i]})
		}
		if err := r.add(PointsPart(circle), start/entriesPerPart, &wire.Part{Kind: &wire.Part_Points{Points: part}}); err != nil {
			return err
		}
	}
	return nil
}

// slowStartStep returns the capacity that proxies are sent: rounded down to a step, since it grows all the time.
func slowStartStep(capacity float64) float64 {
	if capacity >= 1 {
		return 1
	}
	return max(1, float64(int(capacity*slowStartSteps))) / slowStartSteps
}

// slowStartLimits returns, for each point, how far behind its predecessor the server takes keys while it is in slow start; 0 for a
// server that takes its entire arc.
func slowStartLimits(points []fleet.RingPoint) []float64 {
	sum, anyCold := 0.0, false
	for _, p := range points {
		sum += slowStartStep(p.CapacityShare)
		anyCold = anyCold || p.CapacityShare < 1
	}
	limits := make([]float64, len(points))
	if !anyCold || len(points) < 2 {
		return limits
	}
	for i, p := range points {
		if p.CapacityShare < 1 {
			limits[i] = min(arcLength(points, i), slowStartStep(p.CapacityShare)/sum)
		}
	}
	return limits
}

// ascendingPoints returns points in ascending order from 0 on. A first point that was adjusted back past 0 becomes the last one.
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
