// Package gossip is the protocol core of one node in its fleet: it combines membership, shared quotas, outlier evidence and counters in the
// same datagrams.
//
// The package does no I/O and reads no clock: its caller passes the time in milliseconds, the received datagrams and the node's own
// observations, and sends the messages that are returned. Changed allowances must be drained and applied before the returned messages are
// sent: a node must stop spending the units that it leases out before the borrower learns of the lease. One goroutine must own a Node.
package gossip

import (
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/membership"
	"mintspring/internal/cluster/outlier"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/cluster/wire"
)

// Config holds the parameters of a fleet and the id of this node in it.
type Config struct {
	Fleet           string // datagrams of other fleets are dropped
	Self            cluster.NodeID
	MaxNodes        int     // node ids are below this number
	QuotaOwners     int     // the nodes with ids below this number own the budgets
	ProbeIntervalMs float64 // see membership.Config
	ProbeTimeoutMs  float64 // see membership.Config
	LeaseMs         float64 // see quota.Config
	EvidenceTTLMs   float64 // lifetime of evidence and counters
	Seed            uint64  // seeds the random choices

	ShareQuotas, ShareEvidence, ShareCounters bool
}

// QuotaConfig returns the part of the configuration that concerns quotas.
func (c Config) QuotaConfig() quota.Config {
	return quota.Config{Self: c.Self, QuotaOwners: c.QuotaOwners, MaxNodes: c.MaxNodes, LeaseMs: c.LeaseMs}
}

// ReceiveStats counts received datagrams.
type ReceiveStats struct {
	Datagrams int `json:"Datagrams"` // accepted
	Foreign   int `json:"Foreign"`   // of another fleet, for another node, or from an address that is not the sender's
	Malformed int `json:"Spoilt"`
}

// Node is the protocol state of one node.
type Node struct {
	config     Config
	fleet      uint32
	membership *membership.List
	quotas     *quota.Ledger
	outliers   *outlier.Detector
	counters   *counters.Store

	received         ReceiveStats
	events           []membership.Event
	outlierChanges   []outlier.Change
	changedBudgets   []uint32
	ownUnits         map[uint32]uint32 // by budget: this node's own units in the allowance that was drained last
	nextLeaseCheckAt float64
	nextPushAt       float64
}

// New returns the state of a node that has just started.
func New(now float64, config Config, incarnation cluster.Incarnation) *Node {
	n := &Node{
		config: config,
		fleet:  wire.HashFleet(config.Fleet),
		membership: membership.New(now, membership.Config{
			Self:            config.Self,
			MaxNodes:        config.MaxNodes,
			ProbeIntervalMs: config.ProbeIntervalMs,
			ProbeTimeoutMs:  config.ProbeTimeoutMs,
			Seed:            config.Seed,
		}, incarnation),
		quotas:   quota.New(now, config.QuotaConfig(), incarnation),
		outliers: outlier.New(outlier.Config{Self: config.Self, MaxNodes: config.MaxNodes, TTLMs: config.EvidenceTTLMs}),
		counters: counters.New(config.Self, config.MaxNodes, config.EvidenceTTLMs),
		ownUnits: map[uint32]uint32{},
	}
	n.counters.SetIncarnation(config.Self, incarnation)
	return n
}

// Config returns the configuration that the node was created with.
func (n *Node) Config() Config { return n.config }

// Incarnation returns the current incarnation of this node.
func (n *Node) Incarnation() cluster.Incarnation { return n.membership.Incarnation() }

// Received returns the numbers of datagrams received so far.
func (n *Node) Received() ReceiveStats { return n.received }

// MemberCount returns the number of members, including this node and suspects.
func (n *Node) MemberCount() int { return n.membership.MemberCount() }

// Isolated reports whether this node considers itself cut off from all others.
func (n *Node) Isolated() bool { return n.membership.Isolated() }

// IsMember reports whether a node is alive or only suspected.
func (n *Node) IsMember(id cluster.NodeID) bool { return n.membership.IsMember(id) }

// SetDemand sets how much of a budget this node could spend, as a share of the whole.
func (n *Node) SetDemand(now float64, budget uint32, share float64) {
	if n.config.ShareQuotas {
		n.quotas.SetDemand(now, budget, share)
	}
}

// SetTrafficQuota sets this node's quota of a budget, which follows from its own traffic, and how much of the budget it could spend.
func (n *Node) SetTrafficQuota(now float64, budget uint32, own, demand float64) {
	if n.config.ShareQuotas {
		n.quotas.SetTrafficQuota(now, budget, own, demand)
	}
}

// Allowance returns what this node may spend of a budget.
func (n *Node) Allowance(now float64, budget uint32) quota.Allowance {
	return n.quotas.Allowance(now, budget)
}

// Observe records the outcome of one attempt at a server.
func (n *Node) Observe(now float64, server uint32, failed bool) {
	if n.config.ShareEvidence {
		n.outliers.Observe(now, server, failed)
	}
}

// ObserveDuplicate records that a server sent a duplicate response.
func (n *Node) ObserveDuplicate(now float64, server uint32) {
	if n.config.ShareEvidence {
		n.outliers.ObserveDuplicate(now, server)
	}
}

// SetServerCount sets the number of known servers.
func (n *Node) SetServerCount(count int) { n.outliers.SetServerCount(count) }

// ForgetServer drops all evidence of a server that was removed or restarted.
func (n *Node) ForgetServer(server uint32) { n.outliers.Forget(server) }

// SetCounter sets one of this node's own counters.
func (n *Node) SetCounter(now float64, key counters.Key, value int) {
	if n.config.ShareCounters {
		n.counters.Set(now, key, value)
	}
}

// DrainEvents returns the membership changes since the last call.
func (n *Node) DrainEvents() []membership.Event {
	n.collectEvents()
	events := n.events
	n.events = nil
	return events
}

// collectEvents appends the events of the membership list to n.events and drops the counters of earlier incarnations.
func (n *Node) collectEvents() {
	for _, event := range n.membership.DrainEvents() {
		n.counters.SetIncarnation(event.Node, event.Incarnation)
		n.events = append(n.events, event)
	}
}

// DrainOutlierChanges returns what has changed since the last call in the evidence from other nodes.
func (n *Node) DrainOutlierChanges() []outlier.Change {
	changes := n.outlierChanges
	n.outlierChanges = nil
	return changes
}

// DrainAllowances passes each allowance that has changed since the last call to apply.
func (n *Node) DrainAllowances(now float64, apply func(budget uint32, a quota.Allowance)) {
	for _, budget := range n.changedBudgets {
		allowance := n.quotas.Allowance(now, budget)
		n.ownUnits[budget] = allowance.OwnUnits
		apply(budget, allowance)
	}
	n.changedBudgets = n.changedBudgets[:0]
}
