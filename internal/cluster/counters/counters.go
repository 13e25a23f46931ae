// Package counters makes the counters of each node known to all others, with their age. Of each node only the latest value of its present
// incarnation counts, so that nothing is counted twice or goes back when messages are duplicated, a node restarts, or two halves of a fleet
// meet again. A sum comes with the number of nodes it includes and the age of the oldest value.
//
// Some counters belong to a node as a whole. Labeled ones belong to one server, tenant or key at a node, which publishes the greatest few of
// each kind. They fill the room that other sections leave in datagrams, so that their cost does not depend on the size of the fleet. A node
// knows all counters of a small fleet, and of a large one a sample, which the number of nodes in a sum shows.
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
	ConnectionsOpened        // connections opened to servers lately
	NodeKindCount            // the number of these kinds
)

// Kinds of labeled counters.
const (
	OpenConnections  = NodeKindCount + iota // to one server
	ConnectionsInUse                        // to one server
	TenantRate                              // requests of one tenant per minute
	KeyRate                                 // requests for one key per minute
	allKinds                                // the number of all kinds
)

// KindNames are the names of the kinds, as operators see them.
var KindNames = [allKinds]string{
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
	publishedSamples = NodeKindCount + (allKinds-NodeKindCount)*TopN // counters that a node publishes at a time
	expirySamples    = 2 * publishedSamples                          // samples of a node from which expired ones are dropped
	maxSamples       = 8 * publishedSamples                          // samples of a node; bounds the memory that a faulty node can take
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
	order          []Key // keys of samples in the order of their arrival, so that nothing depends on the order of a map
	samples        map[Key]*sample
	cursor         int // index into order of the sample that was passed on last
}

// Store holds the counters of all nodes as far as one node knows them.
type Store struct {
	self       cluster.NodeID
	nodes      []nodeSamples // by node id
	seq        uint16
	nodeCursor int // the node whose samples were passed on last
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

// SetIncarnation sets the present incarnation of a node; the samples of another node's earlier incarnation are dropped.
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
	if known := n.samples[key]; known != nil {
		*known = added
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
