package simulator

import (
	"time"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/participant"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/fleet"
)

const (
	// gossipInterval is the time between two ticks of the participant, as in the node on sockets.
	gossipInterval = 20 * time.Millisecond
	// maxInboxDatagrams approximates the capacity of a socket's receive buffer; more datagrams are lost.
	maxInboxDatagrams = 400
)

// clusterMember connects a process to its peers. It drives a participant as internal/node does on sockets.
type clusterMember struct {
	participant.DecisionAdapter
	process         *process
	participant     *participant.Participant
	inbox           []datagram // datagrams received while the process was frozen
	lastOpenedCount int64      // value of poolCounters.Opened at the last call of NodeCounters
}

// datagram is a datagram received from another node.
type datagram struct {
	from    cluster.NodeID
	payload []byte
}

// joinCluster starts the exchange of messages with peers if the operator's file configures it.
func (p *process) joinCluster() {
	file := p.node.operatorFile
	if file == nil || file.Fleet == nil {
		return
	}
	config := file.Fleet.GossipConfig(p.sim.experiment.Nodes.Count)
	config.Self, config.Seed = cluster.NodeID(p.node.index), p.node.deployment.Limits.Seed+p.drawCount+uint64(p.sim.now)
	now := p.localNow()
	m := &clusterMember{DecisionAdapter: participant.DecisionAdapter{Module: p.inflight.Policy}, process: p}
	m.participant = participant.New(now, config, cluster.NewIncarnation(now, p.uniform()), m)
	p.member = m
	if config.ShareEvidence {
		p.inflight.OnResult = m.participant.Observe
	}
	if config.ShareCounters {
		p.inflight.OnAdmit = m.participant.ObserveRequest
	}
	p.cachePool.LeasedRate, p.cachePool.InitialQuota = config.ShareQuotas, config.QuotaConfig().InitialAllowance()
	p.sim.scheduleAfter(time.Duration(p.uniform()*float64(gossipInterval)), actionFunc(m.tick))
}

// tick calls the participant periodically and sends its messages.
func (m *clusterMember) tick() {
	p := m.process
	if p.exited {
		return
	}
	if !p.node.frozen {
		m.send(m.participant.Tick(p.localNow()))
		m.participant.Gossip.DrainEvents()
		m.participant.DrainEvidenceChanges()
		p.runDueWork()
	}
	p.sim.scheduleAfter(gossipInterval, actionFunc(m.tick))
}

// send sends messages over the links between nodes.
func (m *clusterMember) send(messages []*wire.Message) {
	sim, self := m.process.sim, m.process.node.index
	for _, message := range messages {
		to := int(message.To)
		if to >= len(sim.nodes) {
			continue
		}
		for _, delivery := range sim.peerLinks.Transmit(sim.nowMs(), self, to, message.Append(nil)) {
			delay := serverHopDelay + durationOf(delivery.AtMs-sim.nowMs())
			sim.scheduleAfter(delay, actionFunc(func() { sim.nodes[to].receive(datagram{cluster.NodeID(self), delivery.Data}) }))
		}
	}
}

// receive handles a datagram, or queues it while the process is frozen.
func (m *clusterMember) receive(d datagram) {
	if m.process.node.frozen {
		if len(m.inbox) < maxInboxDatagrams {
			m.inbox = append(m.inbox, d)
		}
		return
	}
	m.send(m.participant.HandleDatagram(m.process.localNow(), d.from, d.payload))
}

// handleInbox handles the datagrams received while the process was frozen.
func (m *clusterMember) handleInbox() {
	inbox := m.inbox
	m.inbox = nil
	for _, d := range inbox {
		m.receive(d)
	}
}

// Demand implements participant.Host.
func (m *clusterMember) Demand(now float64, server fleet.ServerID) float64 {
	return m.process.links[server].pool.Policy.Demand(now)
}

// SetAllowance implements participant.Host.
func (m *clusterMember) SetAllowance(now float64, server fleet.ServerID, allowance quota.Allowance) {
	pool := m.process.links[server].pool
	pool.Policy.SetQuota(allowance)
	pool.Dispatch(now)
}

// MarkDuplicating implements participant.Host.
func (m *clusterMember) MarkDuplicating(_ float64, server fleet.ServerID) {
	l := m.process.links[server]
	l.failSuspectAttempts(l.pool.RecordDuplicateReport())
}

// NodeCounters implements participant.Host.
func (m *clusterMember) NodeCounters() (all [counters.NodeKindCount]int) {
	p := m.process
	opened := p.poolCounters.Opened.Load()
	all[counters.InFlight] = p.inflight.Len()
	all[counters.ClientConnections] = p.idleClients + len(p.clientAttempts)
	all[counters.ConnectionsOpened] = int(opened - m.lastOpenedCount)
	m.lastOpenedCount = opened
	return all
}

// Connections implements participant.Host.
func (m *clusterMember) Connections(server fleet.ServerID) (open, inUse int) {
	state := m.process.links[server].pool.State()
	return state.Open, state.InUse
}

// TenantName implements participant.Host.
func (m *clusterMember) TenantName(id fleet.TenantID) string {
	if tenants := m.process.node.deployment.Tenants; int(id) < len(tenants) {
		return tenants[id]
	}
	return ""
}
