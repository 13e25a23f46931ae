package quota

import (
	"slices"

	"mintspring/internal/cluster"
)

// leaseholder identifies a process that has borrowed units.
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

// heldLease is a lease that another node has granted to this one.
type heldLease struct {
	lender    cluster.NodeID
	seq       uint32 // of the request
	units     uint32
	expiresAt float64
}

// pendingRequest is a lease request that has not been answered.
type pendingRequest struct {
	lender cluster.NodeID
	seq    uint32
	sentAt float64
}

// budgetState is the state of one budget.
type budgetState struct {
	id                uint32
	fromTraffic       bool   // the quota follows from traffic
	trafficQuotaUnits uint32 // the quota that follows from traffic
	demand            uint32
	updatedAt         float64 // when demand and trafficQuotaUnits were last set

	granted      []grantedLease
	held         []heldLease
	pending      []pendingRequest
	lenderCursor int
	refusedUntil map[cluster.NodeID]float64 // by lender that refused a lease
}

// Ledger records the units of all budgets that one node owns, lends and borrows.
type Ledger struct {
	config         Config
	incarnationTag uint16 // of this process
	startedAt      float64
	seq            uint32
	budgets        map[uint32]*budgetState
	budgetOrder    []uint32 // keys of budgets in the order of their creation, because the iteration order of a map is random
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

// SetDemand sets how much of a budget this node could spend, as a share of the whole budget.
func (l *Ledger) SetDemand(now float64, budget uint32, share float64) {
	b := l.budget(budget)
	b.demand = uint32(TotalUnits * max(0, min(1, share)))
	b.updatedAt = now
	b.fromTraffic = false
}

// SetTrafficQuota sets this node's quota of a budget, which follows from its own traffic, and its demand. Both are in multiples of TotalUnits.
func (l *Ledger) SetTrafficQuota(now float64, budget uint32, quota, demand float64) {
	b := l.budget(budget)
	b.trafficQuotaUnits = toTrafficUnits(quota)
	b.demand = toTrafficUnits(demand)
	b.updatedAt = now
	b.fromTraffic = true
}

// toTrafficUnits converts a quota or demand of a budget that follows from traffic from multiples of TotalUnits to units.
func toTrafficUnits(amount float64) uint32 {
	return uint32(TotalUnits * max(0, min(amount, maxTrafficQuota)))
}

// Allowance returns the part of a budget that this node may spend from now on.
func (l *Ledger) Allowance(now float64, budget uint32) Allowance {
	b := l.budgets[budget]
	if b == nil {
		b = &budgetState{}
	}
	allowance := Allowance{MaxNodes: l.config.MaxNodes, OwnUnits: l.availableUnits(now, b)}
	if b.fromTraffic {
		allowance.LentUnits = l.possiblyLentUnits(now, b)
	}
	for _, lease := range b.held {
		if now < lease.expiresAt {
			allowance.addLease(Lease{Units: lease.units, ExpiresAt: lease.expiresAt})
		}
	}
	return allowance
}

// possiblyLentUnits returns the units of a quota that follows from traffic that are leased out, or may have been leased out by the previous
// incarnation.
func (l *Ledger) possiblyLentUnits(now float64, b *budgetState) uint32 {
	if now < l.lendingStartsAt() {
		return l.ownedUnits(now, b) - l.retainedUnits(now, b)
	}
	return l.lentUnits(now, b)
}

// BudgetStatus is the state of one budget as shown to operators.
type BudgetStatus struct {
	Budget        uint32 `json:"Budget"`
	Name          string `json:"Text"`    // empty if this node does not know it
	FromTraffic   bool   `json:"ByTrade"` // the quota follows from traffic: TotalUnits stand for one unit of work per ms
	OwnUnits      uint32 `json:"Own"`     // this node's own units that it may spend
	BorrowedUnits uint32 `json:"Borrowed"`
	LentUnits     uint32 `json:"Lent"`
	DemandUnits   uint32 `json:"Need"` // including headroom
}

// Status returns the state of all budgets in use.
func (l *Ledger) Status(now float64) (statuses []BudgetStatus) {
	for _, id := range l.budgetOrder {
		b := l.budgets[id]
		status := BudgetStatus{
			Budget:      id,
			FromTraffic: b.fromTraffic,
			OwnUnits:    l.availableUnits(now, b),
			LentUnits:   l.lentUnits(now, b),
			DemandUnits: l.demandWithHeadroom(now, b),
		}
		for _, lease := range b.held {
			if now < lease.expiresAt {
				status.BorrowedUnits += lease.units
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// budget returns the state of a budget, which it creates if necessary.
func (l *Ledger) budget(id uint32) *budgetState {
	b := l.budgets[id]
	if b == nil {
		b = &budgetState{id: id, refusedUntil: map[cluster.NodeID]float64{}, lenderCursor: int(l.config.Self) + 1}
		l.budgets[id] = b
		l.budgetOrder = append(l.budgetOrder, id)
	}
	return b
}

// lendingStartsAt returns the time at which all leases that the previous incarnation may have granted have expired.
func (l *Ledger) lendingStartsAt() float64 { return l.startedAt + l.config.lenderLeaseMs() }

// floorUnits returns the floor of a budget in units.
func (l *Ledger) floorUnits(b *budgetState) uint32 {
	if b.fromTraffic {
		return 0
	}
	return l.config.floorUnits()
}

// ownedUnits returns the units that belong to this node above its floor.
func (l *Ledger) ownedUnits(now float64, b *budgetState) uint32 {
	if !b.fromTraffic {
		return l.config.ownedUnits()
	}
	if l.demandExpired(now, b) {
		return 0
	}
	return b.trafficQuotaUnits
}

// retainedUnits returns how many of the units above its floor this node never leases out.
func (l *Ledger) retainedUnits(now float64, b *budgetState) uint32 {
	if b.fromTraffic {
		return uint32(retainedTrafficShare * float64(l.ownedUnits(now, b)))
	}
	return uint32(retainedShare * float64(l.config.ownedUnits()))
}

// availableUnits returns how many of its own units this node may spend.
func (l *Ledger) availableUnits(now float64, b *budgetState) uint32 {
	if now < l.lendingStartsAt() {
		return l.floorUnits(b) + l.retainedUnits(now, b)
	}
	owned, lent := l.floorUnits(b)+l.ownedUnits(now, b), l.lentUnits(now, b)
	return owned - min(owned, lent) // a quota that follows from traffic may have shrunk since it was leased out
}

// demandWithHeadroom returns the demand of this node plus headroom, in units.
func (l *Ledger) demandWithHeadroom(now float64, b *budgetState) uint32 {
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
	return now-b.updatedAt > demandTTL*l.config.LeaseMs
}

// lentUnits returns the units that are leased out.
func (l *Ledger) lentUnits(now float64, b *budgetState) uint32 {
	return b.lentUnitsExcept(now, leaseholder{node: l.config.Self}) // this node never leases to itself
}

// lentUnitsExcept returns the units that are leased out to all holders but one. If a holder has several leases that have not expired, only the
// largest counts: the lender cannot know which of them the holder uses, but it uses only one at a time.
func (b *budgetState) lentUnitsExcept(now float64, excluded leaseholder) (sum uint32) {
	for i, lease := range b.granted {
		if lease.expiresAt <= now || lease.holder == excluded {
			continue
		}
		alreadyCounted := slices.ContainsFunc(b.granted[:i], func(earlier grantedLease) bool {
			return earlier.holder == lease.holder && earlier.expiresAt > now
		})
		if !alreadyCounted {
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
