package participant

import (
	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// Host is the node that a Participant belongs to. A server is identified by its slot in the node's server table. All methods are called on the
// goroutine that owns the Participant.
type Host interface {
	// Demand returns how much of the fleet's budget of connection openings at a server this node could use, as a share; 0: there is no limit.
	Demand(now float64, server fleet.ServerID) float64
	// SetAllowance sets how much of that budget this node may use.
	SetAllowance(now float64, server fleet.ServerID, allowance quota.Allowance)
	// SlowStartQuota returns this node's own quota of work for a server in slow start, which follows from its traffic, and its demand there.
	// Both are work per ms, and 0 for a warm server.
	SlowStartQuota(now float64, server fleet.ServerID) (own, demand float64)
	// SetSlowStartLeases sets the parts of slow-start quotas that this node has lent to other nodes and borrowed from them.
	SetSlowStartLeases(server fleet.ServerID, leases slowstart.Leases)
	// SetIndirectEvidence sets the effect of other nodes' evidence of a server.
	SetIndirectEvidence(server fleet.ServerID, evidence IndirectEvidence)
	// MarkDuplicating records that other nodes have received duplicate responses from a server.
	MarkDuplicating(now float64, server fleet.ServerID)
	// NodeCounters returns the counters of the node as a whole, by kind.
	NodeCounters() [counters.NodeKindCount]int
	// Connections returns the number of open connections to a server, and of those in use.
	Connections(server fleet.ServerID) (open, inUse int)
	// TenantName returns the name of a tenant.
	TenantName(tenant fleet.TenantID) string
}

// IndirectEvidence is the effect of other nodes' evidence of a server on this node's decisions.
type IndirectEvidence struct {
	Bias            float64 // added to the failure rate that this node has observed
	TrialIntervalMs float64 // between this node's trial requests while other nodes make some too; 0: the node's own interval
	TrialBy         float64 // latest time of the next trial request to a server that fails here; +Inf: no change
}

// DecisionAdapter implements the methods of Host that concern decisions by calling the decision module. A module without support for them, such
// as a baseline of experiments, is not called. Hosts embed it.
type DecisionAdapter struct{ Module any }

// decisionModule is a decision module that supports evidence from other nodes and leases of slow-start quotas.
type decisionModule interface {
	SetIndirectEvidence(server fleet.ServerID, bias, trialIntervalMs, trialBy float64)
	SlowStartQuota(now float64, server fleet.ServerID) (own, demand float64)
	SetLeases(server fleet.ServerID, leases slowstart.Leases)
}

// SetIndirectEvidence implements Host.
func (a DecisionAdapter) SetIndirectEvidence(server fleet.ServerID, evidence IndirectEvidence) {
	if module, ok := a.Module.(decisionModule); ok {
		module.SetIndirectEvidence(server, evidence.Bias, evidence.TrialIntervalMs, evidence.TrialBy)
	}
}

// SlowStartQuota implements Host.
func (a DecisionAdapter) SlowStartQuota(now float64, server fleet.ServerID) (own, demand float64) {
	if module, ok := a.Module.(decisionModule); ok {
		return module.SlowStartQuota(now, server)
	}
	return 0, 0
}

// SetSlowStartLeases implements Host.
func (a DecisionAdapter) SetSlowStartLeases(server fleet.ServerID, leases slowstart.Leases) {
	if module, ok := a.Module.(decisionModule); ok {
		module.SetLeases(server, leases)
	}
}
