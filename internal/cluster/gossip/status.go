package gossip

import (
	"math"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/outlier"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/cluster/wire"
)

// MemberStatus is the state of one node in the membership list.
type MemberStatus struct {
	Node        cluster.NodeID `json:"node"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"life"`
	HeardAgoMs  float64        `json:"heard_ms_ago"` // -1: never
}

// Status is the state of a node as it is shown to operators.
type Status struct {
	Self        cluster.NodeID          `json:"self"`
	Incarnation uint64                  `json:"life"`
	Fleet       string                  `json:"fleet"`
	MemberCount int                     `json:"alive"`
	Isolated    bool                    `json:"cut_off"`
	HealthScore int                     `json:"fares_badly"`
	IDConflicts int                     `json:"others_under_this_number"`
	Received    ReceiveStats            `json:"heard"`
	Members     []MemberStatus          `json:"members"`
	Budgets     []quota.BudgetStatus    `json:"budgets"`
	Servers     []outlier.ServerStatus  `json:"servers"`
	Counters    map[string]counters.Sum `json:"counts"`

	LabeledCounters map[string][]counters.LabeledSum `json:"figures"` // of servers, tenants and keys
}

// maxLabeledStatus is the number of labeled counters of each kind that the status lists.
const maxLabeledStatus = 2 * counters.TopN

// Status returns the current state.
func (n *Node) Status(now float64) Status {
	s := Status{
		Self:        n.config.Self,
		Incarnation: uint64(n.Incarnation()),
		Fleet:       n.config.Fleet,
		MemberCount: n.MemberCount(),
		Isolated:    n.Isolated(),
		HealthScore: n.membership.HealthScore(),
		IDConflicts: n.membership.IDConflicts(),
		Received:    n.received,
		Members:     n.memberStatuses(now),
		Budgets:     n.quotas.Status(now),
		Servers:     n.outliers.Status(now),

		Counters:        map[string]counters.Sum{},
		LabeledCounters: map[string][]counters.LabeledSum{},
	}
	if !n.config.ShareCounters {
		return s
	}
	for kind, name := range counters.KindNames {
		if kind < counters.NodeKindCount {
			s.Counters[name] = n.counters.Sum(now, counters.Key{Kind: uint8(kind)}, n.IsMember)
		} else if sums := n.counters.Sums(now, uint8(kind), n.IsMember); len(sums) > 0 {
			s.LabeledCounters[name] = sums[:min(len(sums), maxLabeledStatus)]
		}
	}
	return s
}

// memberStatuses returns the status of each node that this one knows of.
func (n *Node) memberStatuses(now float64) (members []MemberStatus) {
	for i := range n.config.MaxNodes {
		update, heardAgoMs := n.membership.Lookup(now, cluster.NodeID(i))
		if update.State == wire.Unknown {
			continue
		}
		if math.IsInf(heardAgoMs, 1) {
			heardAgoMs = -1
		}
		members = append(members, MemberStatus{
			Node:        update.Node,
			State:       update.State.String(),
			Incarnation: uint64(update.Incarnation),
			HeardAgoMs:  heardAgoMs,
		})
	}
	return members
}
