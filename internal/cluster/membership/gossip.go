package membership

import (
	"math"
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// retransmitLimit returns how often an update is passed on.
func (l *List) retransmitLimit() int {
	return int(retransmitMultiplier * math.Ceil(math.Log10(float64(l.MemberCount()+1))))
}

// enqueue schedules the update of a member for gossip. Changes take precedence over members that were only discovered: behind the updates
// of a whole fleet that has just been discovered, a suspicion took ten seconds per hop among a hundred nodes, and died out among a thousand.
func (l *List) enqueue(id cluster.NodeID, discovered bool) {
	l.members[id].transmits = 0
	isID := func(other cluster.NodeID) bool { return other == id }
	l.changed = slices.DeleteFunc(l.changed, isID)
	l.discovered = slices.DeleteFunc(l.discovered, isID)
	if discovered {
		l.discovered = append(l.discovered, id)
	} else {
		l.changed = slices.Insert(l.changed, 0, id)
	}
}

// AppendUpdates adds up to limit member updates to a message: what is said against its receiver, this node's own update, the queued
// updates, and then unchanged members in turn, so that all nodes know all members eventually.
func (l *List) AppendUpdates(m *wire.Message, limit int) {
	add := func(update wire.MemberUpdate) {
		if len(m.Updates) < limit {
			m.Updates = append(m.Updates, update)
		}
	}
	if accusation, accused := l.accusationOf(m.To); accused {
		add(accusation)
	}
	add(l.self)
	l.appendQueued(m, limit, &l.changed)
	l.appendQueued(m, limit, &l.discovered)
	for range l.members {
		if len(m.Updates) >= min(limit, maxFillUpdates) {
			return
		}
		l.syncCursor = (l.syncCursor + 1) % len(l.members)
		update := l.members[l.syncCursor].update
		if update.State != wire.Unknown && update.Node != l.config.Self && update.Node != m.To {
			add(update)
		}
	}
}

// accusationOf returns the update that a node has to refute, if there is one.
func (l *List) accusationOf(id cluster.NodeID) (update wire.MemberUpdate, accused bool) {
	if id == l.config.Self {
		return wire.MemberUpdate{}, false
	}
	m := &l.members[id]
	if m.update.State >= wire.Suspect {
		return m.update, true
	}
	a := m.accusation
	return a, a.State >= wire.Suspect && a.Incarnation == m.update.Incarnation && a.Refutation >= m.update.Refutation
}

// appendQueued adds the updates at the head of a queue to a message. Those that were not passed on often enough go back to its end.
func (l *List) appendQueued(m *wire.Message, limit int, queue *[]cluster.NodeID) {
	transmitLimit := l.retransmitLimit()
	for range len(*queue) {
		if len(m.Updates) >= limit {
			return
		}
		id := (*queue)[0]
		*queue = (*queue)[1:]
		member := &l.members[id]
		if id != m.To {
			member.transmits++
			m.Updates = append(m.Updates, member.update)
		}
		if member.transmits < transmitLimit {
			*queue = append(*queue, id)
		}
	}
}
