package ringcache

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
)

// point is a server's position on a ring. The server's arc reaches from the preceding point to this one.
type point struct {
	position       float64 // on the ring, in [0, 1)
	slowStartLimit float64 // length of the part of its arc, from the preceding point on, that a server in slow start serves; 0: the entire arc
	server         *Server
}

// ring holds the points of one ring in ascending order.
type ring []point

// assembledSnapshot is a snapshot whose parts have all arrived, decoded for lookups.
type assembledSnapshot struct {
	version   snapshot.Version
	digest    uint64 // equals snapshot.Snapshot.Digest
	zone      string
	zoneShare float64 // fraction of the keys that are routed by the ring of the zone
	servers   map[fleet.ServerID]*Server
	rings     [2]ring // by wire.Circle
}

// assemble decodes the parts of a snapshot. It reports the snapshot as incomplete if the head is missing, or if a part that the head
// lists is missing or belongs to another snapshot.
func assemble(cluster string, parts map[string][]byte) (s *assembledSnapshot, complete bool, err error) {
	body, ok := parts[snapshot.HeadName(cluster)]
	if !ok {
		return nil, false, nil
	}
	var part wire.Part
	if err := proto.Unmarshal(body, &part); err != nil || part.GetHead() == nil {
		return nil, false, fmt.Errorf("%w: the head", ErrMalformed)
	}
	head := part.GetHead()
	s = &assembledSnapshot{
		version:   snapshot.Version{Epoch: head.Epoch, Sequence: head.Number},
		zone:      head.Zone,
		zoneShare: head.NearShare,
		servers:   map[fleet.ServerID]*Server{},
	}
	hash := xxhash.New()
	var pointParts []*wire.Points // added after the loop, since a later part may hold their servers
	for _, listed := range head.Parts {
		body, ok := parts[listed.Name]
		if !ok || xxhash.Sum64(body) != listed.Digest {
			return nil, false, nil
		}
		fmt.Fprintf(hash, "%s %016x\n", listed.Name, listed.Digest) //nolint:errcheck // a hash never fails to write
		var part wire.Part
		if err := proto.Unmarshal(body, &part); err != nil {
			return nil, false, fmt.Errorf("%w: %s: %w", ErrMalformed, listed.Name, err)
		}
		switch kind := part.Kind.(type) {
		case *wire.Part_Servers:
			s.addServers(kind.Servers)
		case *wire.Part_Points:
			pointParts = append(pointParts, kind.Points)
		default:
			return nil, false, fmt.Errorf("%w: %s", ErrMalformed, listed.Name)
		}
	}
	fmt.Fprintf(hash, "%x\n", s.zoneShare) //nolint:errcheck // a hash never fails to write
	s.digest = hash.Sum64()
	for _, part := range pointParts {
		if err := s.addPoints(part); err != nil {
			return nil, false, err
		}
	}
	return s, true, nil
}

func (s *assembledSnapshot) addServers(part *wire.Servers) {
	for _, server := range part.Servers {
		slot := fleet.ServerID(server.Place)
		s.servers[slot] = &Server{
			ID:          server.Id,
			Addr:        server.Address,
			Zone:        server.Zone,
			State:       fleet.State(server.State),
			StartedAtMs: float64(server.Started),
			Slot:        slot,
		}
	}
}

// addPoints appends the points of a part to their ring. The points have to be in ascending order and belong to servers in service.
func (s *assembledSnapshot) addPoints(part *wire.Points) error {
	if part.Circle < 0 || int(part.Circle) >= len(s.rings) {
		return fmt.Errorf("%w: a ring of number %d", ErrMalformed, part.Circle)
	}
	points := &s.rings[part.Circle]
	for _, p := range part.Points {
		server := s.servers[fleet.ServerID(p.Place)]
		valid := server != nil && server.State == fleet.Ready &&
			p.At >= 0 && p.At < 1 && p.Part >= 0 && p.Part <= 1 &&
			len(*points) < maxPoints && (len(*points) == 0 || p.At >= (*points)[len(*points)-1].position)
		if !valid {
			return fmt.Errorf("%w: the point of place %d at %v", ErrMalformed, p.Place, p.At)
		}
		*points = append(*points, point{position: p.At, slowStartLimit: p.Part, server: server})
	}
	return nil
}

// owner returns the server that owns a key. Of the keys that a server in another zone owns, the fraction zoneShare is routed by the ring
// of the proxy's zone.
func (s *assembledSnapshot) owner(key fleet.Key) *Server {
	position := key.Point()
	owner := s.rings[wire.Circle_WHOLE].owner(position)
	zonePoints := s.rings[wire.Circle_NEAR]
	if len(zonePoints) == 0 || owner != nil && owner.Zone == s.zone || key.Sample() >= s.zoneShare {
		return owner
	}
	if zoneOwner := zonePoints.owner(position); zoneOwner != nil {
		return zoneOwner
	}
	return owner
}

// owner returns the server that serves the keys at a position. That is the server whose arc contains the position. If that server is in
// slow start and the position is outside the part of the arc that it serves, it is the next server that is not in slow start.
func (r ring) owner(position float64) *Server {
	first := sort.Search(len(r), func(i int) bool { return r[i].position >= position })
	for offset := range r {
		i := (first + offset) % len(r)
		if r[i].slowStartLimit == 0 || len(r) < 2 {
			return r[i].server
		}
		if fleet.ArcLength(r.precedingPoint(i).position, position) <= min(r.arcLength(i), r[i].slowStartLimit) {
			return r[i].server
		}
	}
	return nil
}

func (r ring) precedingPoint(i int) *point { return &r[(i+len(r)-1)%len(r)] }

// arcLength returns the length of the arc that ends at a point.
func (r ring) arcLength(i int) float64 {
	if len(r) == 1 {
		return 1
	}
	return fleet.ArcLength(r.precedingPoint(i).position, r[i].position)
}
