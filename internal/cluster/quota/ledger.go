package quota

import (
	"slices"

	"mintspring/internal/cluster"
)

// leaseholder is the process that has borrowed units.
type leaseholder struct {
	node        cluster.NodeID
	incarnation cluster.Incarnation
}

// grantedLease is a lease that this node has granted.
type grantedLease struct {
	holder    leaseholder
	seq       uint32 // of the request
	units     uint32
	expiresAt float64
}

// heldLease is a lease that this node has borrowed.
type heldLease struct {
	lender    cluster.NodeID
	seq       uint32 // of the request
	units     uint32
	expiresAt float64
}

// pendingRequest is a request that has not been answered.
type pendingRequest struct {
	lender cluster.NodeID
	seq    uint32
	sentAt float64
}

// budgetState is the state of one budget.
type budgetState struct {
	id           uint32
	fromTraffic  bool   // the quota follows from traffic
	trafficUnits uint32 // that quota
	demand       uint32
	demandAt     float64 // when the demand, and the quota that follows from traffic, was set

	granted      []grantedLease
	held         []heldLease
	pending      []pendingRequest
	nextLender   int
	refusedUntil map[cluster.NodeID]float64 // lenders that had nothing to lease out
}

// Ledger is what one node owns, lends and borrows of all budgets.
type Ledger struct {
	config         Config
	incarnationTag uint16 // of this process
	startedAt      float64
	seq            uint32
	budgets        map[uint32]*budgetState
	budgetOrder    []uint32 // keys of budgets in the order of their creation, so that nothing depends on the order of a map
}

// New returns the ledger of a node that has just started.
func New(now float64, config Config, incarnation cluster.Incarnation) *Ledger {
	config.QuotaOwners = max(1, min(config.QuotaOwners, config.MaxNodes))
	return &Ledger{
		config:         config,
		incarnationTag: incarnation.Tag(),
		seq:            uint32(incarnation),
		startedAt:      now,
		budgets:        map[uint32]*budgetState{},
	}
}

// SetDemand sets how much of a budget this node could spend, as a share of the whole.
func (l *Ledger) SetDemand(now float64, budget uint32, share float64) {
	b := l.budget(budget)
	b.demand = uint32(TotalUnits * max(0, min(1, share)))
	b.demandAt = now
	b.fromTraffic = false
}

// SetTrafficQuota sets this node's quota of a budget, which follows from its own traffic, and how much it could spend. Both are in multiples of
// TotalUnits.
func (l *Ledger) SetTrafficQuota(now float64, budget uint32, own, demand float64) {
	b := l.budget(budget)
	b.trafficUnits = trafficUnits(own)
	b.demand = trafficUnits(demand)
	b.demandAt = now
	b.fromTraffic = true
}

func trafficUnits(wholes float64) uint32 {
	return uint32(TotalUnits * max(0, min(wholes, maxTrafficWholes)))
}

// Allowance returns what this node may spend of a budget from now on.
func (l *Ledger) Allowance(now float64, budget uint32) Allowance {
	b := l.budgets[budget]
	if b == nil {
		b = &budgetState{}
	}
	allowance := Allowance{MaxNodes: l.config.MaxNodes, OwnUnits: l.availableUnits(now, b)}
	if b.fromTraffic {
		allowance.LentUnits = l.missingTrafficUnits(now, b)
	}
	for _, lease := range b.held {
		if now < lease.expiresAt {
			allowance.addLease(Lease{Units: lease.units, ExpiresAt: lease.expiresAt})
		}
	}
	return allowance
}

// missingTrafficUnits returns the units of a quota that follows from traffic which are, or may be, leased out.
func (l *Ledger) missingTrafficUnits(now float64, b *budgetState) uint32 {
	if now < l.lendsFrom() {
		return l.ownedUnits(now, b) - l.retainedUnits(now, b)
	}
	return l.lentUnits(now, b)
}

// BudgetStatus is the state of one budget as its operators see it. Amounts are in units.
type BudgetStatus struct {
	Budget        uint32 `json:"Budget"`
	Name          string `json:"Text"`    // empty where this node does not know it
	FromTraffic   bool   `json:"ByTrade"` // the quota follows from traffic: TotalUnits stand for one unit of work per ms
	OwnUnits      uint32 `json:"Own"`     // may be spent of this node's own units
	BorrowedUnits uint32 `json:"Borrowed"`
	LentUnits     uint32 `json:"Lent"`
	DemandUnits   uint32 `json:"Need"` // including headroom
}

// Status returns the state of all budgets in use.
func (l *Ledger) Status(now float64) (accounts []BudgetStatus) {
	for _, id := range l.budgetOrder {
		b := l.budgets[id]
		account := BudgetStatus{
			Budget:      id,
			FromTraffic: b.fromTraffic,
			OwnUnits:    l.availableUnits(now, b),
			LentUnits:   l.lentUnits(now, b),
			DemandUnits: l.targetUnits(now, b),
		}
		for _, lease := range b.held {
			if now < lease.expiresAt {
				account.BorrowedUnits += lease.units
			}
		}
		accounts = append(accounts, account)
	}
	return accounts
}

// budget returns the state of a budget, which it creates if necessary.
func (l *Ledger) budget(id uint32) *budgetState {
	b := l.budgets[id]
	if b == nil {
		b = &budgetState{id: id, refusedUntil: map[cluster.NodeID]float64{}, nextLender: int(l.config.Self) + 1}
		l.budgets[id] = b
		l.budgetOrder = append(l.budgetOrder, id)
	}
	return b
}

// lendsFrom returns the time at which everything that the previous incarnation may have leased out has expired.
func (l *Ledger) lendsFrom() float64 { return l.startedAt + l.config.lenderLeaseMs() }

// floorUnits returns the units that every node owns of a budget.
func (l *Ledger) floorUnits(b *budgetState) uint32 {
	if b.fromTraffic {
		return 0
	}
	return l.config.floor()
}

// ownedUnits returns the units that belong to this node besides its floor.
func (l *Ledger) ownedUnits(now float64, b *budgetState) uint32 {
	if !b.fromTraffic {
		return l.config.ownedUnits()
	}
	if l.demandExpired(now, b) {
		return 0
	}
	return b.trafficUnits
}

// retainedUnits returns how many of its owned units this node never leases out.
func (l *Ledger) retainedUnits(now float64, b *budgetState) uint32 {
	if b.fromTraffic {
		return uint32(retainedTrafficShare * float64(l.ownedUnits(now, b)))
	}
	return uint32(retainedShare * float64(l.config.ownedUnits()))
}

// availableUnits returns what this node may spend of its own units.
func (l *Ledger) availableUnits(now float64, b *budgetState) uint32 {
	if now < l.lendsFrom() {
		return l.floorUnits(b) + l.retainedUnits(now, b)
	}
	owned, lent := l.floorUnits(b)+l.ownedUnits(now, b), l.lentUnits(now, b)
	return owned - min(owned, lent) // a quota that follows from traffic may have shrunk since it was leased out
}

// targetUnits returns the demand of this node with its headroom.
func (l *Ledger) targetUnits(now float64, b *budgetState) uint32 {
	if l.demandExpired(now, b) {
		return 0
	}
	target := float64(b.demand) * (1 + headroom)
	if !b.fromTraffic {
		target = min(TotalUnits, target)
	}
	return uint32(target)
}

func (l *Ledger) demandExpired(now float64, b *budgetState) bool {
	return now-b.demandAt > demandTTL*l.config.LeaseMs
}

// lentUnits returns the units that are leased out.
func (l *Ledger) lentUnits(now float64, b *budgetState) uint32 {
	return b.lentUnits(now, leaseholder{node: l.config.Self}) // this node never leases to itself
}

// lentUnits returns the units that are leased out, except those of one holder. Where a lease has replaced another of the same holder, both
// have to expire, but the holder uses only one of them: the larger one counts.
func (b *budgetState) lentUnits(now float64, except leaseholder) (sum uint32) {
	for i, lease := range b.granted {
		if lease.expiresAt <= now || lease.holder == except {
			continue
		}
		counted := slices.ContainsFunc(b.granted[:i], func(earlier grantedLease) bool {
			return earlier.holder == lease.holder && earlier.expiresAt > now
		})
		if !counted {
			sum += b.largestGrant(now, lease.holder)
		}
	}
	return sum
}

// largestGrant returns the units of the largest lease of a holder.
func (b *budgetState) largestGrant(now float64, holder leaseholder) (units uint32) {
	for _, lease := range b.granted {
		if lease.holder == holder && lease.expiresAt > now {
			units = max(units, lease.units)
		}
	}
	return units
}
