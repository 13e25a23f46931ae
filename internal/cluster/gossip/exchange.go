package gossip

import (
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// New evidence is pushed to a few random nodes at once, which forward it in the same way, so that it reaches all nodes within a few hops
// rather than a few probe intervals.
const (
	pushFanout      = 3
	pushesPerPeriod = 10 // limit per probe interval
)

// Limits of the member updates and of the evidence in a datagram, which leave room for other sections.
const (
	maxUpdates  = 5
	maxEvidence = 8
)

// checksPerLease is how many times, during one lease, a node checks for leases that it needs and for leases that have expired.
const checksPerLease = 10

// Tick runs what is due in each protocol and returns the messages to be sent.
func (n *Node) Tick(now float64) []*wire.Message {
	out := n.membership.Tick(now)
	n.collectEvents()
	if n.config.ShareEvidence {
		out = n.pushEvidence(now, out)
	}
	if n.config.ShareQuotas && now >= n.nextLeaseCheckAt {
		n.nextLeaseCheckAt = now + n.config.LeaseMs/checksPerLease
		out = n.requestLeases(now, out)
		n.detectExpiredLeases(now)
	}
	return n.fill(now, out)
}

// pushEvidence updates the evidence. If some of it is new, it adds messages to random nodes; fill later puts the evidence into them.
func (n *Node) pushEvidence(now float64, out []*wire.Message) []*wire.Message {
	n.outlierChanges = append(n.outlierChanges, n.outliers.Tick(now, n.membership.MemberCount())...)
	if now < n.nextPushAt || !n.outliers.TakeNewEvidenceFlag() {
		return out
	}
	n.nextPushAt = now + n.config.ProbeIntervalMs/pushesPerPeriod
	for _, to := range n.membership.Sample(pushFanout) {
		out = append(out, &wire.Message{Kind: wire.Gossip, To: to})
	}
	return out
}

// requestLeases adds the requests for leases to the messages. Requests to the same lender share datagrams as far as they fit.
func (n *Node) requestLeases(now float64, out []*wire.Message) []*wire.Message {
	for _, request := range n.quotas.Tick(now, n.membership.IsMember) {
		i := slices.IndexFunc(out, func(m *wire.Message) bool { return m.To == request.To && m.QuotaRequestCapacity() > 0 })
		if i < 0 {
			i = len(out)
			out = append(out, &wire.Message{Kind: wire.Gossip, To: request.To})
		}
		m := out[i]
		if request.FromTraffic {
			m.TrafficQuotaRequests = append(m.TrafficQuotaRequests, request.QuotaRequest)
		} else {
			m.QuotaRequests = append(m.QuotaRequests, request.QuotaRequest)
		}
	}
	return out
}

// detectExpiredLeases marks the budgets for which this node may spend a different number of its own units because leases have expired.
func (n *Node) detectExpiredLeases(now float64) {
	for _, status := range n.quotas.Status(now) {
		if status.OwnUnits != n.ownUnits[status.Budget] {
			n.markChanged(status.Budget)
		}
	}
}

func (n *Node) markChanged(budget uint32) {
	if !slices.Contains(n.changedBudgets, budget) {
		n.changedBudgets = append(n.changedBudgets, budget)
	}
}

// HandleDatagram processes a datagram from the address of a node and returns the messages to be sent in response. A datagram that is
// malformed or not meant for this node is counted and dropped.
func (n *Node) HandleDatagram(now float64, from cluster.NodeID, b []byte) []*wire.Message {
	m, err := wire.Parse(b)
	if err != nil {
		n.received.Malformed++
		return nil
	}
	if m.From != from {
		n.received.Foreign++
		return nil
	}
	return n.Handle(now, m)
}

// Handle processes a message and returns the messages to be sent in response.
func (n *Node) Handle(now float64, m *wire.Message) []*wire.Message {
	if m.Fleet != n.fleet || m.To != n.config.Self || int(m.From) >= n.config.MaxNodes {
		n.received.Foreign++
		return nil
	}
	n.received.Datagrams++
	out := n.membership.Handle(now, m)
	n.collectEvents()
	if n.config.ShareEvidence {
		n.outliers.MergeEvidence(now, m)
	}
	if n.config.ShareCounters {
		n.counters.MergeCounters(now, m)
	}
	if n.config.ShareQuotas && m.From != n.config.Self {
		out = n.handleQuotas(now, m, out)
	}
	return n.fill(now, out)
}

// handleQuotas processes the lease grants in a message and adds the answers to its lease requests.
func (n *Node) handleQuotas(now float64, m *wire.Message, out []*wire.Message) []*wire.Message {
	for _, grant := range m.QuotaGrants {
		n.quotas.HandleGrant(now, m.From, grant)
		n.markChanged(grant.Budget)
	}
	var answer *wire.Message
	for i, request := range slices.Concat(m.QuotaRequests, m.TrafficQuotaRequests) {
		fromTraffic := i >= len(m.QuotaRequests)
		grant := n.quotas.HandleRequest(now, m.From, m.Incarnation, fromTraffic, request)
		n.markChanged(request.Budget)
		if answer == nil || answer.QuotaGrantCapacity() == 0 {
			answer = &wire.Message{Kind: wire.Gossip, To: m.From}
			out = append(out, answer)
		}
		answer.QuotaGrants = append(answer.QuotaGrants, grant)
	}
	return out
}

// fill sets the sender of each message and adds as much gossip as there is room for.
func (n *Node) fill(now float64, out []*wire.Message) []*wire.Message {
	for _, m := range out {
		m.Fleet, m.From, m.Incarnation = n.fleet, n.config.Self, n.membership.Incarnation()
		n.membership.AppendUpdates(m, min(maxUpdates, m.UpdateCapacity()))
		if n.config.ShareEvidence {
			n.outliers.AppendEvidence(now, m, min(maxEvidence, m.EvidenceCapacity()), n.membership.MemberCount())
		}
		if n.config.ShareCounters {
			n.counters.AppendCounters(now, m)
		}
	}
	return out
}
