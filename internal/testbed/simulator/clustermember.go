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
	// gossipInterval is the time between two looks at what is due among nodes, as in the node on sockets.
	gossipInterval = 20 * time.Millisecond
	// maxInbox is about how many datagrams a socket's buffer holds; more are lost.
	maxInbox = 400
)

// clusterMember is a process's part in the cluster of nodes, as internal/node drives it on sockets.
type clusterMember struct {
	participant.DecisionAdapter
	process      *process
	participant  *participant.Participant
	inbox        []datagram // what came while the process was frozen
	openedBefore int64      // connections that were opened up to the last counters
}

// datagram is one that has come from another node.
type datagram struct {
	from    cluster.NodeID
	payload []byte
}

// joinCluster has a process that starts send messages to its peers, if the operator's file says so.
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

// tick does what is due, again and again.
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
			delay := serverHop + durationOf(delivery.AtMs-sim.nowMs())
			sim.scheduleAfter(delay, actionFunc(func() { sim.nodes[to].receive(datagram{cluster.NodeID(self), delivery.Data}) }))
		}
	}
}

// receive handles a datagram, or keeps it while the process is frozen.
func (m *clusterMember) receive(d datagram) {
	if m.process.node.frozen {
		if len(m.inbox) < maxInbox {
			m.inbox = append(m.inbox, d)
		}
		return
	}
	m.send(m.participant.HandleDatagram(m.process.localNow(), d.from, d.payload))
}

// handleInbox handles what came while the process was frozen.
func (m *clusterMember) handleInbox() {
	inbox := m.inbox
	m.inbox = nil
	for _, d := range inbox {
		m.receive(d)
	}
}

// Demand implements participant.Host.
func (m *clusterMember) Demand(now float64, at fleet.ServerID) float64 {
	return m.process.links[at].pool.Policy.Demand(now)
}

// SetAllowance implements participant.Host.
func (m *clusterMember) SetAllowance(now float64, at fleet.ServerID, allowance quota.Allowance) {
	pool := m.process.links[at].pool
	pool.Policy.SetQuota(allowance)
	pool.Dispatch(now)
}

// MarkDuplicating implements participant.Host.
func (m *clusterMember) MarkDuplicating(_ float64, at fleet.ServerID) {
	l := m.process.links[at]
	l.failSuspects(l.pool.DuplicatesReported())
}

// NodeCounters implements participant.Host.
func (m *clusterMember) NodeCounters() (all [counters.NodeKindCount]int) {
	p := m.process
	opened := p.poolCounters.Opened.Load()
	all[counters.InFlight] = p.inflight.Len()
	all[counters.ClientConnections] = p.idleClients + len(p.clientAttempts)
	all[counters.ConnectionsOpened] = int(opened - m.openedBefore)
	m.openedBefore = opened
	return all
}

// Connections implements participant.Host.
func (m *clusterMember) Connections(at fleet.ServerID) (open, inUse int) {
	state := m.process.links[at].pool.State()
	return state.Open, state.InUse
}

// TenantName implements participant.Host.
func (m *clusterMember) TenantName(id fleet.TenantID) string {
	if tenants := m.process.node.deployment.Tenants; int(id) < len(tenants) {
		return tenants[id]
	}
	return ""
}
