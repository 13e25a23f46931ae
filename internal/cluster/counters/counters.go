// Package counters makes the counters of each node known to all others, with their age. Only the latest value from the current incarnation
// of a node counts, so that no value is counted twice or replaced by an earlier one when messages are duplicated, a node restarts or a
// partition heals. A sum comes with the number of nodes that it includes and the age of the oldest value.
//
// Some counters belong to a node as a whole. Labeled ones belong to one server, tenant or key at a node, which publishes the greatest few
// of each kind. Counters fill the room that other sections leave in datagrams, so that their cost does not depend on the size of the fleet.
// In a small fleet a node knows all counters, in a large one only a sample; the number of nodes in a sum shows how complete it is.
//
// The package does no I/O and reads no clock; times are float64 ms. One goroutine must own a Store.
package counters

import (
	"math"
	"slices"

	"mintspring/internal/cluster"
)

// Kinds of counters of a node as a whole.
const (
	InFlight          = iota // requests in flight
	ClientConnections        // open connections of clients
	ConnectionsOpened        // connections opened to servers since the last publication
	NodeKindCount            // the number of kinds above
)

// Kinds of labeled counters.
const (
	OpenConnections  = NodeKindCount + iota // to one server
	ConnectionsInUse                        // to one server
	TenantRate                              // requests of one tenant per minute
	KeyRate                                 // requests for one key per minute
	kindCount                               // the number of all kinds
)

// KindNames are the names of the kinds in the status that operators see.
var KindNames = [kindCount]string{
	InFlight:          "in_hand",
	ClientConnections: "clients",
	ConnectionsOpened: "connections_opened",
	OpenConnections:   "connections_open",
	ConnectionsInUse:  "connections_in_use",
	TenantRate:        "queries_a_minute_of_tenants",
	KeyRate:           "queries_a_minute_of_keys",
}

// TopN is the number of labeled counters of each kind that a node publishes: those with the greatest values.
const TopN = 8

const (
	publishedSamples = NodeKindCount + (kindCount-NodeKindCount)*TopN // counters that a node publishes at a time
	expirySamples    = 2 * publishedSamples                           // number of samples of a node at which expired ones are dropped
	maxSamples       = 8 * publishedSamples                           // maximum per node; bounds the memory that a faulty node can take
)

// Key identifies a counter of a node.
type Key struct {
	Kind  uint8
	Label uint32 // hash of the name of the server, tenant or key; 0: the node as a whole
}

// sample is the latest value of a counter of a node.
type sample struct {
	value      uint32
	seq        uint16
	observedAt float64 // by this node's clock
}

// nodeSamples are the samples of one node.
type nodeSamples struct {
	incarnationTag uint16
	order          []Key // keys of samples in the order of their arrival, so that iteration is deterministic
	samples        map[Key]*sample
	cursor         int // index into order of the sample that was sent last
}

// Store holds the counters of all nodes as far as one node knows them.
type Store struct {
	self       cluster.NodeID
	nodes      []nodeSamples // by node id
	seq        uint16
	nodeCursor int // the node whose samples were sent last
	ttlMs      float64
}

// New returns an empty store of the node self, for node ids below maxNodes. Values expire after ttlMs.
func New(self cluster.NodeID, maxNodes int, ttlMs float64) *Store {
	s := &Store{self: self, nodes: make([]nodeSamples, maxNodes), ttlMs: ttlMs}
	for i := range s.nodes {
		s.nodes[i].samples = map[Key]*sample{}
	}
	return s
}

// Set sets one of this node's own counters.
func (s *Store) Set(now float64, key Key, value int) {
	s.seq++
	clamped := uint32(min(max(value, 0), math.MaxUint32))
	s.put(&s.nodes[s.self], key, sample{value: clamped, seq: s.seq, observedAt: now})
}

// SetIncarnation sets the current incarnation of a node. For another node it drops the samples of the earlier incarnation.
func (s *Store) SetIncarnation(id cluster.NodeID, incarnation cluster.Incarnation) {
	tag := incarnation.Tag()
	if int(id) >= len(s.nodes) || s.nodes[id].incarnationTag == tag {
		return
	}
	if id == s.self {
		s.nodes[id].incarnationTag = tag
		return
	}
	s.nodes[id] = nodeSamples{incarnationTag: tag, samples: map[Key]*sample{}}
}

// put stores a sample of a node, unless there are too many already.
func (s *Store) put(n *nodeSamples, key Key, added sample) {
	if stored := n.samples[key]; stored != nil {
		*stored = added
		return
	}
	if len(n.order) >= expirySamples {
		n.dropExpired(added.observedAt, s.ttlMs)
	}
	if len(n.order) < maxSamples {
		n.order = append(n.order, key)
		n.samples[key] = &added
	}
}

func (n *nodeSamples) dropExpired(now, ttlMs float64) {
	n.order = slices.DeleteFunc(n.order, func(key Key) bool {
		expired := now-n.samples[key].observedAt >= ttlMs
		if expired {
			delete(n.samples, key)
		}
		return expired
	})
}
