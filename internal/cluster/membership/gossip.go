package membership

import (
	"math"
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// retransmitLimit returns how many times an update is sent.
func (l *List) retransmitLimit() int {
	return int(retransmitMultiplier * math.Ceil(math.Log10(float64(l.MemberCount()+1))))
}

// enqueue queues the update of a member for gossip. Changes are sent before updates of newly discovered members: a suspicion that was
// queued behind the updates of a whole discovered fleet took ten seconds per hop among a hundred nodes, and stopped spreading among a
// thousand.
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

// AppendUpdates adds member updates to a message until it has limit of them: the claim that the receiver has to refute, this node's own
// update, the queued updates, and then unchanged members in turn, so that all nodes eventually know all members.
func (l *List) AppendUpdates(m *wire.Message, limit int) {
	add := func(update wire.MemberUpdate) {
		if len(m.Updates) < limit {
			m.Updates = append(m.Updates, update)
		}
	}
	if claim, found := l.claimToRefute(m.To); found {
		add(claim)
	}
	add(l.self)
	l.appendQueued(m, limit, &l.changed)
	l.appendQueued(m, limit, &l.discovered)
	for range l.members {
		if len(m.Updates) >= min(limit, maxFillUpdates) {
			return
		}
		l.fillCursor = (l.fillCursor + 1) % len(l.members)
		update := l.members[l.fillCursor].update
		if update.State != wire.Unknown && update.Node != l.config.Self && update.Node != m.To {
			add(update)
		}
	}
}

// claimToRefute returns the claim that a node is suspected or dead, if there is one that the node has not refuted yet.
func (l *List) claimToRefute(id cluster.NodeID) (claim wire.MemberUpdate, found bool) {
	if id == l.config.Self {
		return wire.MemberUpdate{}, false
	}
	m := &l.members[id]
	if m.update.State >= wire.Suspect {
		return m.update, true
	}
	disputed := m.disputedUpdate
	return disputed, disputed.State >= wire.Suspect && disputed.Incarnation == m.update.Incarnation && disputed.Refutation >= m.update.Refutation
}

// appendQueued moves updates from the head of a queue into a message. An update returns to the end of the queue until it has been sent as
// often as the retransmit limit says.
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
