package membership

import (
	"math"
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// Tick runs the probes and timeouts that are due and returns the messages to be sent.
func (l *List) Tick(now float64) (out []*wire.Message) {
	l.detectIsolation(now)
	l.expireIndirect(now)
	out = l.probeIndirectly(now, out)
	out = l.startProbe(now, out)
	return l.checkSuspects(now, out)
}

func (l *List) detectIsolation(now float64) {
	if l.otherMembers > 0 && now-l.lastContactAt > isolationPeriods*l.config.ProbeIntervalMs {
		l.isolated = true
	}
}

func (l *List) expireIndirect(now float64) {
	for seq, request := range l.indirect {
		if now-request.receivedAt > indirectExpiryPeriods*l.config.ProbeIntervalMs {
			delete(l.indirect, seq)
		}
	}
}

// probeIndirectly repeats the unanswered probe of this interval, directly and through other nodes, until the interval ends. With a single
// direct and a single indirect attempt, one probe in fourteen failed when a fifth of all datagrams was lost, and suspicions filled the
// gossip.
func (l *List) probeIndirectly(now float64, out []*wire.Message) []*wire.Message {
	p := l.probe
	if p == nil || now < p.nextIndirectAt || now >= l.nextProbeAt {
		return out
	}
	p.nextIndirectAt = now + l.config.ProbeTimeoutMs*l.timeMultiplier()
	p.indirectRounds++
	if p.indirectRounds > 1 {
		out = append(out, ping(p.target, p.seq))
	}
	return l.appendIndirectPings(out, indirectProbes, p.target, p.seq)
}

// startProbe ends the probe of the last interval and starts the next one.
func (l *List) startProbe(now float64, out []*wire.Message) []*wire.Message {
	if now < l.nextProbeAt {
		return out
	}
	l.nextProbeAt += l.probeIntervalMs()
	if l.nextProbeAt < now { // the process was suspended
		l.nextProbeAt = now + l.probeIntervalMs()*l.random()
	}
	if p := l.probe; p != nil {
		l.probe = nil
		l.probeFailed(now, p)
	}
	target, found := l.nextProbeTarget()
	if !found {
		return out
	}
	l.seq++
	l.probe = &pendingProbe{target: target, seq: l.seq, nextIndirectAt: now + l.config.ProbeTimeoutMs*l.timeMultiplier()}
	l.members[target].lastProbedAt = now
	return append(out, ping(target, l.seq))
}

// probeFailed handles a probe that was not answered, directly or through others.
func (l *List) probeFailed(now float64, p *pendingProbe) {
	m := &l.members[p.target]
	if !isMember(m.update.State) {
		return // only a member becomes a suspect
	}
	l.raiseHealthScore()
	if m.update.State == wire.Alive {
		update := m.update
		update.State, update.SuspectedBy = wire.Suspect, l.config.Self
		l.apply(now, update, "no answer, direct or indirect")
	}
	l.confirmSuspicion(now, m, l.config.Self)
}

// checkSuspects probes the suspects and declares dead those whose suspicion has timed out. Each ping also carries the suspicion, so that
// its target can refute it.
func (l *List) checkSuspects(now float64, out []*wire.Message) []*wire.Message {
	for i := range l.members {
		if l.suspectCount == 0 {
			break
		}
		m := &l.members[i]
		if m.update.State != wire.Suspect {
			continue
		}
		intervalMs, viaCount := l.suspectProbeSchedule(now, m)
		if now-m.lastProbedAt >= intervalMs {
			m.lastProbedAt = now
			l.seq++
			out = append(out, ping(m.update.Node, l.seq))
			out = l.appendIndirectPings(out, viaCount, m.update.Node, l.seq)
		}
		if !l.isolated && now >= l.noDeathsBefore && now >= m.declareDeadAt {
			update := m.update
			update.State = wire.Dead
			l.apply(now, update, "suspicion timed out")
		}
	}
	return out
}

// suspectProbeSchedule returns the time between probes of a suspect and the number of nodes through which each probe is also sent. A node
// whose own probe of the suspect failed probes it once per interval, because a suspicion and its refutation take longer to spread by gossip
// than a short suspicion lasts. Shortly before the suspect is declared dead every node probes it, more often and through more nodes.
func (l *List) suspectProbeSchedule(now float64, m *member) (intervalMs float64, viaCount int) {
	switch {
	case now >= m.declareDeadAt-deathVerificationPeriods*l.config.ProbeIntervalMs:
		return l.config.ProbeIntervalMs / deathVerificationProbesPerPeriod, indirectProbes
	case m.suspectedBy[l.config.Self]:
		return l.config.ProbeIntervalMs, 1
	default:
		return math.Inf(1), 1 // a suspect that was never probed is probed once
	}
}

func ping(target cluster.NodeID, seq uint32) *wire.Message {
	return &wire.Message{Kind: wire.Ping, To: target, Seq: seq, Target: target}
}

// appendIndirectPings adds requests to up to n random members to ping a target.
func (l *List) appendIndirectPings(out []*wire.Message, n int, target cluster.NodeID, seq uint32) []*wire.Message {
	for _, via := range l.sampleExcept(n, target) {
		out = append(out, &wire.Message{Kind: wire.IndirectPing, To: via, Seq: seq, Target: target})
	}
	return out
}

// nextProbeTarget returns the next node to probe: a member, in an order that is shuffled for each round, or every few probes a node that
// is not a member.
func (l *List) nextProbeTarget() (id cluster.NodeID, found bool) {
	if l.otherMembers == 0 || l.seq%probesPerDiscoveryProbe == probesPerDiscoveryProbe-1 {
		if id, found = l.nextDiscoveryTarget(); found {
			return id, true
		}
	}
	for range 2 { // the rest of this round, then the next one
		for l.probeIndex < len(l.probeOrder) {
			id = l.probeOrder[l.probeIndex]
			l.probeIndex++
			if isMember(l.members[id].update.State) {
				return id, true
			}
		}
		l.shuffleProbeOrder()
	}
	return 0, false
}

// nextDiscoveryTarget returns the node that is not a member and whose last probe is the oldest; ties are broken at random.
func (l *List) nextDiscoveryTarget() (id cluster.NodeID, found bool) {
	best := -1
	start := int(l.random() * float64(len(l.members)))
	for offset := range l.members {
		i := (start + offset) % len(l.members)
		m := &l.members[i]
		if cluster.NodeID(i) == l.config.Self || isMember(m.update.State) {
			continue
		}
		if best < 0 || m.lastProbedAt < l.members[best].lastProbedAt {
			best = i
		}
	}
	return cluster.NodeID(max(best, 0)), best >= 0
}

func (l *List) shuffleProbeOrder() {
	l.probeOrder, l.probeIndex = l.probeOrder[:0], 0
	for i := range l.members {
		if cluster.NodeID(i) != l.config.Self && isMember(l.members[i].update.State) {
			l.probeOrder = append(l.probeOrder, cluster.NodeID(i))
		}
	}
	for i := len(l.probeOrder) - 1; i > 0; i-- {
		k := int(l.random() * float64(i+1))
		l.probeOrder[i], l.probeOrder[k] = l.probeOrder[k], l.probeOrder[i]
	}
}

// sampleExcept returns up to n alive nodes, chosen at random, without the excluded one.
func (l *List) sampleExcept(n int, excluded cluster.NodeID) (out []cluster.NodeID) {
	for range 4 * n {
		if len(l.probeOrder) == 0 || len(out) == n {
			break
		}
		id := l.probeOrder[int(l.random()*float64(len(l.probeOrder)))]
		if id != excluded && l.members[id].update.State == wire.Alive && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
