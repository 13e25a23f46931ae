package membership

import (
	"math"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// apply puts an update into effect, records the change and queues it for gossip.
func (l *List) apply(now float64, update wire.MemberUpdate, reason string) {
	m := &l.members[update.Node]
	previous := m.update
	if previous.State != update.State || previous.Incarnation != update.Incarnation {
		l.recordEvent(now, m, update, reason)
		m.stateSince = now
	}
	l.countState(previous.State, -1)
	l.countState(update.State, 1)
	m.update = update
	m.suspectedBy = nil
	if update.State == wire.Suspect {
		m.suspectedBy = map[cluster.NodeID]bool{}
		m.declareDeadAt = now + l.maxSuspicionMs()
	}
	l.enqueue(update.Node, previous.State == wire.Unknown && update.State == wire.Alive)
}

// countState adjusts the numbers of members and suspects.
func (l *List) countState(s wire.State, delta int) {
	if isMember(s) {
		l.otherMembers += delta
	}
	if s == wire.Suspect {
		l.suspectCount += delta
	}
}

func (l *List) recordEvent(now float64, m *member, update wire.MemberUpdate, reason string) {
	sinceHeard := now - m.lastHeardAt
	if math.IsInf(sinceHeard, 1) {
		sinceHeard = -1
	}
	l.events = append(l.events, Event{
		At: now, Node: update.Node, From: m.update.State, To: update.State,
		Incarnation: update.Incarnation, Reason: reason, SinceHeardMs: sinceHeard,
	})
}

// confirmSuspicion records one more node that suspects a member, which shortens the suspicion.
func (l *List) confirmSuspicion(now float64, m *member, by cluster.NodeID) {
	if m.suspectedBy[by] || len(m.suspectedBy) > suspicionConfirmations {
		return
	}
	m.suspectedBy[by] = true
	if m.update.SuspectedBy != by { // gossip each suspecting node: other nodes count the suspecting nodes to shorten the suspicion
		m.update.SuspectedBy = by
		l.enqueue(m.update.Node, false)
	}
	confirmations := float64(len(m.suspectedBy) - 1)
	shortest, longest := l.minSuspicionMs(), l.maxSuspicionMs()
	timeout := longest - (longest-shortest)*math.Log(confirmations+1)/math.Log(suspicionConfirmations+1)
	l.shortenSuspicion(now, m, m.stateSince+max(shortest, timeout))
}

// shortenSuspicion moves the timeout of a suspicion to deadAt if deadAt is earlier, but leaves this node the time to probe the suspect itself. When
// two fifths of all datagrams are lost among hundreds of nodes, refutations spread more slowly than suspicions. Without that time, a node
// that received a suspicion, or learned that another node's suspicion had timed out, declared live nodes dead, and the rest of the fleet
// did the same.
func (l *List) shortenSuspicion(now float64, m *member, deadAt float64) {
	m.declareDeadAt = min(m.declareDeadAt, max(deadAt, now+deathVerificationPeriods*l.config.ProbeIntervalMs))
}

// resolveIDConflict handles another process with this node's id: the greater incarnation wins, so this node chooses one that is greater
// still. The usual cause is a clock that is behind that of an earlier process. Two live processes would raise their incarnations without
// end, so this node raises its own at most once per probe interval.
func (l *List) resolveIDConflict(now float64, other cluster.Incarnation) {
	if other <= l.self.Incarnation {
		return
	}
	if l.idConflicts > 0 && now-l.lastConflictAt < l.config.ProbeIntervalMs {
		return
	}
	l.lastConflictAt = now
	l.idConflicts++
	l.self.Incarnation = other.Next() | cluster.Incarnation(l.random()*(1<<16))
	l.self.Refutation = 0
}

// recordContact records that a datagram was received, which ends an isolation.
func (l *List) recordContact(now float64) {
	l.lastContactAt = now
	if !l.isolated {
		return
	}
	l.isolated = false
	l.noDeathsBefore = now + isolationRecoveryMultiplier*l.maxSuspicionMs()
	for i := range l.members { // suspicions from the time of the isolation are extended
		if m := &l.members[i]; m.update.State == wire.Suspect {
			m.declareDeadAt = max(m.declareDeadAt, l.noDeathsBefore)
		}
	}
}
