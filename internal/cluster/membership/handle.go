package membership

import "mintspring/internal/cluster/wire"

// Handle processes the header and the member updates of a message and returns the messages to be sent in response. Other sections are
// ignored.
func (l *List) Handle(now float64, m *wire.Message) []*wire.Message {
	if int(m.From) >= len(l.members) {
		return nil
	}
	if m.From == l.config.Self {
		l.resolveIDConflict(now, m.Incarnation)
		return nil
	}
	l.recordContact(now)
	l.recordSender(now, m)
	for _, update := range m.Updates {
		l.handleUpdate(now, update)
	}
	switch m.Kind {
	case wire.Ping:
		return l.handlePing(m)
	case wire.IndirectPing:
		return l.handleIndirectPing(now, m)
	case wire.Ack:
		return l.handleAck(m)
	}
	return nil
}

// recordSender takes a message as proof that its sender is alive.
func (l *List) recordSender(now float64, m *wire.Message) {
	sender := &l.members[m.From]
	if m.Incarnation < sender.update.Incarnation {
		return // from a process that has been replaced
	}
	sender.lastHeardAt = now
	if m.Incarnation == sender.update.Incarnation && isMember(sender.update.State) {
		return
	}
	update := wire.MemberUpdate{Node: m.From, Incarnation: m.Incarnation, State: wire.Alive}
	if m.Incarnation == sender.update.Incarnation {
		update.Refutation = sender.update.Refutation // only the sender itself raises its refutation, once it learns that others consider it dead
	}
	l.apply(now, update, "a datagram was received")
}

func (l *List) handlePing(m *wire.Message) []*wire.Message {
	if m.Target != l.config.Self {
		return nil // meant for a node that had this address before
	}
	return []*wire.Message{{Kind: wire.Ack, To: m.From, Seq: m.Seq, Target: l.config.Self}}
}

func (l *List) handleIndirectPing(now float64, m *wire.Message) []*wire.Message {
	if int(m.Target) >= len(l.members) || m.Target == l.config.Self || len(l.indirect) > maxIndirectPings {
		return nil
	}
	l.seq++
	l.indirect[l.seq] = indirectRequest{requester: m.From, seq: m.Seq, receivedAt: now}
	return []*wire.Message{{Kind: wire.Ping, To: m.Target, Seq: l.seq, Target: m.Target}}
}

func (l *List) handleAck(m *wire.Message) []*wire.Message {
	if p := l.probe; p != nil && p.seq == m.Seq && p.target == m.Target {
		l.probe = nil
		l.healthScore = max(0, l.healthScore-1)
		return nil
	}
	request, known := l.indirect[m.Seq]
	if !known || m.From != m.Target {
		return nil
	}
	delete(l.indirect, m.Seq)
	return []*wire.Message{{Kind: wire.Ack, To: request.requester, Seq: request.seq, Target: m.Target}}
}

// handleUpdate processes a member update from another node.
func (l *List) handleUpdate(now float64, update wire.MemberUpdate) {
	if int(update.Node) >= len(l.members) || update.State == wire.Unknown || update.State > wire.Dead {
		return
	}
	if update.Node == l.config.Self {
		l.handleClaimAboutSelf(now, update)
		return
	}
	m := &l.members[update.Node]
	if sameClaim(update, m.update) {
		if update.State == wire.Suspect { // confirmed by the node that suspects, not by the one that forwards the update
			l.confirmSuspicion(now, m, update.SuspectedBy)
		}
		return
	}
	if !supersedes(update, m.update) {
		return
	}
	sameIncarnation := update.Incarnation == m.update.Incarnation
	if sameIncarnation && update.State != wire.Alive && now-m.lastHeardAt < l.config.ProbeIntervalMs {
		m.disputedUpdate = update // this node has just heard the member: the claim may come from the other side of a partition
		return
	}
	if update.State == wire.Dead {
		l.handleDeathClaim(now, m, update)
		return
	}
	l.apply(now, update, "reported by another node")
	if update.State == wire.Suspect {
		l.confirmSuspicion(now, m, update.SuspectedBy)
	}
}

// handleClaimAboutSelf processes an update of this node from another node: it refutes a claim that this node is suspected or dead, and
// detects another process with the same node id.
func (l *List) handleClaimAboutSelf(now float64, update wire.MemberUpdate) {
	if update.Incarnation > l.self.Incarnation {
		l.resolveIDConflict(now, update.Incarnation)
		return
	}
	if update.Incarnation == l.self.Incarnation && update.State != wire.Alive && update.Refutation >= l.self.Refutation {
		l.self.Refutation = update.Refutation + 1
		l.raiseHealthScore() // other nodes do not receive the answers of this one in time
	}
}

// handleDeathClaim processes another node's claim that a node is dead. A member becomes a suspect first, so that this node probes it
// itself.
func (l *List) handleDeathClaim(now float64, m *member, update wire.MemberUpdate) {
	if l.isolated {
		return
	}
	if update.Incarnation != m.update.Incarnation || !isMember(m.update.State) {
		l.apply(now, update, "reported by another node")
		return
	}
	if m.update.State == wire.Alive || update.Refutation > m.update.Refutation {
		update.State = wire.Suspect
		l.apply(now, update, "declared dead by another node")
	}
	l.shortenSuspicion(now, m, now)
}

func (l *List) raiseHealthScore() { l.healthScore = min(maxHealthScore, l.healthScore+1) }

// sameClaim reports whether two updates of a node state the same incarnation, refutation and state.
func sameClaim(a, b wire.MemberUpdate) bool {
	return a.Incarnation == b.Incarnation && a.Refutation == b.Refutation && a.State == b.State
}

// supersedes reports whether an update of a node overrides the current one. The greater incarnation wins, then the greater refutation, then
// the greater state.
func supersedes(update, current wire.MemberUpdate) bool {
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	if update.Refutation != current.Refutation {
		return update.Refutation > current.Refutation
	}
	return update.State > current.State
}
