package counters

import (
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// MergeCounters stores the counters in a message that belong to the current incarnations of their nodes and are later than the stored ones.
// Sequence numbers decide which is later, not ages: by its age, a counter in a delayed datagram would seem recent and replace a later
// value.
func (s *Store) MergeCounters(now float64, m *wire.Message) {
	for _, c := range m.Counters {
		if !s.accepts(c) {
			continue
		}
		n, key := &s.nodes[c.Node], Key{Kind: c.Kind, Label: c.Label}
		if stored := n.samples[key]; stored == nil || isLater(c.Seq, stored.seq) {
			s.put(n, key, sample{value: c.Value, seq: c.Seq, observedAt: now - c.AgeMs})
		}
	}
}

// accepts reports whether a counter is valid, belongs to the current incarnation of another node, and has not expired.
func (s *Store) accepts(c wire.Counter) bool {
	if int(c.Node) >= len(s.nodes) || c.Node == s.self || c.Kind >= kindCount {
		return false
	}
	needsLabel := c.Kind >= NodeKindCount
	return needsLabel == (c.Label != 0) && c.AgeMs < s.ttlMs && c.IncarnationTag == s.nodes[c.Node].incarnationTag
}

// isLater reports whether a sequence number follows another; both wrap around.
func isLater(seq, than uint16) bool { return int16(seq-than) > 0 }

// AppendCounters fills a message with counters. This node's own come first: all that belong to the node as a whole, then labeled ones in
// turn. Counters of other nodes follow in turn.
func (s *Store) AppendCounters(now float64, m *wire.Message) {
	self := int(s.self)
	for kind := range uint8(NodeKindCount) {
		s.appendCounter(now, m, self, Key{Kind: kind})
	}
	s.appendInTurn(now, m, self, m.CounterCapacity()/2)
	for range s.nodes {
		if m.CounterCapacity() == 0 {
			return
		}
		s.nodeCursor = (s.nodeCursor + 1) % len(s.nodes)
		if s.nodeCursor != self {
			s.appendInTurn(now, m, s.nodeCursor, max(NodeKindCount, m.CounterCapacity()/2))
		}
	}
}

// appendInTurn adds up to limit counters of a node, starting behind the one that was sent last. If the node is this node itself, it adds only
// labeled counters.
func (s *Store) appendInTurn(now float64, m *wire.Message, id, limit int) {
	n := &s.nodes[id]
	for range n.order {
		if limit <= 0 || m.CounterCapacity() == 0 {
			return
		}
		n.cursor = (n.cursor + 1) % len(n.order)
		key := n.order[n.cursor]
		if id == int(s.self) && key.Kind < NodeKindCount {
			continue
		}
		if s.appendCounter(now, m, id, key) {
			limit--
		}
	}
}

// appendCounter adds a counter, if it is known and there is room for it.
func (s *Store) appendCounter(now float64, m *wire.Message, id int, key Key) (added bool) {
	n := &s.nodes[id]
	latest := n.samples[key]
	if latest == nil || now-latest.observedAt >= s.ttlMs || m.CounterCapacity() == 0 {
		return false
	}
	m.Counters = append(m.Counters, wire.Counter{
		Node:           cluster.NodeID(id),
		IncarnationTag: n.incarnationTag,
		Seq:            latest.seq,
		Kind:           key.Kind,
		Label:          key.Label,
		Value:          latest.value,
		AgeMs:          max(0, now-latest.observedAt),
	})
	return true
}
