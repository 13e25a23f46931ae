// Package ringcache keeps a proxy's copy of the ring. It assembles the ring parts received over xDS, applies a snapshot once all of its
// parts have arrived, tracks the lease, and looks up the owner of a key with the same result as the decision module of a node.
//
// It does no I/O. docs/operators/control.md specifies the same for proxies that are not written in Go.
package ringcache

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
)

// Errors with which a proxy rejects a response. Their texts are sent to the control plane.
var (
	ErrOlderSnapshot = errors.New("older than what is held")
	ErrMalformed     = errors.New("no part of a ring")
)

const (
	// maxPoints limits the points of each ring. A server has one point, and fleets have at most some thousands of servers.
	maxPoints = 1 << 16

	// maxParts limits the number of parts of a snapshot.
	maxParts = 4 + 4*maxPoints/64
)

// Server is one server of the applied snapshot.
type Server struct {
	ID          string
	Addr        string // host:port
	Zone        string
	State       fleet.State
	StartedAtMs float64 // start of the server's process, Unix ms; 0: long ago
	Slot        fleet.ServerID
}

// Update is the content of one response with ring parts, encoded as they arrived.
type Update struct {
	Complete bool              // Parts holds all parts of the snapshot, not only the changed ones
	Parts    map[string][]byte // by name
	Removed  []string          // names of removed parts
}

// Cache holds the ring of one proxy. It is not safe for concurrent use.
type Cache struct {
	cluster    string
	parts      map[string][]byte  // encoded as received, by name
	current    *assembledSnapshot // the applied snapshot; nil: none yet
	minVersion snapshot.Version   // older snapshots are rejected
	lease      lease
}

// New returns an empty Cache for the resources of a cluster.
func New(cluster string) *Cache { return &Cache{cluster: cluster, parts: map[string][]byte{}} }

// Apply merges the parts of a response, and applies the snapshot if it is now complete. It returns false while parts of that snapshot
// are missing; the previously applied snapshot then stays in use. On an error the Cache is unchanged, and the proxy has to reject the
// response.
func (c *Cache) Apply(update Update) (applied bool, err error) {
	parts := map[string][]byte{}
	if !update.Complete {
		maps.Copy(parts, c.parts)
	}
	for _, name := range update.Removed {
		delete(parts, name)
	}
	maps.Copy(parts, update.Parts)
	if len(parts) > maxParts {
		return false, fmt.Errorf("%w: %d parts", ErrMalformed, len(parts))
	}
	next, complete, err := assemble(c.cluster, parts)
	if err != nil {
		return false, err
	}
	if complete && next.version.Before(c.minVersion) {
		return false, fmt.Errorf("view %v: %w, %v", next.version, ErrOlderSnapshot, c.minVersion)
	}
	c.parts = parts
	if !complete {
		return false, nil
	}
	c.current, c.minVersion = next, next.version
	return true, nil
}

// Version returns the version of the applied snapshot. It returns false if no snapshot has been applied.
func (c *Cache) Version() (version snapshot.Version, ok bool) {
	if c.current == nil {
		return snapshot.Version{}, false
	}
	return c.current.version, true
}

// Digest returns the digest of the applied snapshot, or 0 if no snapshot has been applied.
func (c *Cache) Digest() uint64 {
	if c.current == nil {
		return 0
	}
	return c.current.digest
}

// ForgetVersion drops all parts and lets the Cache apply any version next. A proxy that reconnects without sending the version it holds
// must call it: the control plane treats the proxy as empty, does not raise its epoch above the version held, and may send an older
// version. The applied snapshot stays in use until its lease ends.
func (c *Cache) ForgetVersion() {
	c.parts, c.minVersion = map[string][]byte{}, snapshot.Version{}
}

// Versions returns the versions of all parts held, by name. A proxy sends them when it reconnects.
func (c *Cache) Versions() map[string]string {
	versions := map[string]string{}
	for name, body := range c.parts {
		versions[name] = fmt.Sprintf("%016x", xxhash.Sum64(body))
	}
	headName := snapshot.HeadName(c.cluster)
	delete(versions, headName)
	var part wire.Part
	if body, ok := c.parts[headName]; ok && proto.Unmarshal(body, &part) == nil {
		version := snapshot.Version{Epoch: part.GetHead().GetEpoch(), Sequence: part.GetHead().GetNumber()}
		versions[headName] = version.String()
	}
	return versions
}

// Usable reports whether the applied snapshot may be used for new requests: the lease has not ended, and the snapshot is not older than
// the oldest one that the lease covers.
func (c *Cache) Usable(now float64) bool {
	return c.current != nil && c.lease.covers(now, c.current.version)
}

// Servers returns the servers of the applied snapshot in slot order.
func (c *Cache) Servers() []Server {
	if c.current == nil {
		return nil
	}
	var servers []Server
	for _, slot := range slices.Sorted(maps.Keys(c.current.servers)) {
		servers = append(servers, *c.current.servers[slot])
	}
	return servers
}

// Arcs returns the arc length of each server on the ring of all servers, as a fraction of the ring.
func (c *Cache) Arcs() map[fleet.ServerID]float64 { return c.arcs(wire.Circle_WHOLE) }

// ZoneArcs returns the arc length of each server on the ring of the proxy's zone, as a fraction of the ring.
func (c *Cache) ZoneArcs() map[fleet.ServerID]float64 { return c.arcs(wire.Circle_NEAR) }

func (c *Cache) arcs(circle wire.Circle) map[fleet.ServerID]float64 {
	arcs := map[fleet.ServerID]float64{}
	if c.current == nil {
		return arcs
	}
	points := c.current.rings[circle]
	for i := range points {
		arcs[points[i].server.Slot] = points.arcLength(i)
	}
	return arcs
}

// Owner returns the server that owns a key, or nil if there is none. The result is the server that the decision module selects for a key
// that is not hot, based on the endpoint list and the ring points alone. A proxy may take its own observations of servers into account
// in addition.
func (c *Cache) Owner(key fleet.Key) *Server {
	if c.current == nil {
		return nil
	}
	return c.current.owner(key)
}
