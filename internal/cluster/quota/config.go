// Package quota lets the nodes of a fleet share budgets, such as the number of connections that may be opened to a server per second. It
// uses escrow: a budget is divided into units, each unit belongs to one node at a time, and units that a node does not need are leased to
// others.
//
//   - Each node id below Config.MaxNodes owns a floor, which is never leased out. The remaining units belong in equal parts to the quota
//     owners, the nodes with the lowest ids. The other nodes have their floor and the units that they borrow.
//   - A lease expires by itself. The borrower measures its duration from the request, the lender from the grant, each by its own clock, and
//     the lender adds a margin for clocks that run at different rates. Hence no unit is spent twice, even if messages are lost, delayed or
//     duplicated and nodes are suspended or partitioned. The units lent to a node that crashes return when their leases expire.
//   - A lender that restarts does not know what its previous incarnation leased out. Until those leases have expired, it grants none and
//     spends only units that the previous incarnation could not have leased out.
//
// At every moment the units that all processes may spend are at most the whole budget, provided that the rates of the clocks differ by no more
// than the margin and no two processes run under one node id. A second process with the same id adds its floor and, after the duration of a lease,
// its part of the quota owners' units. Within any window of w ms, the nodes spend at most b(w + bucketDepthMs) of a budget of b per ms, plus
// one token for each node that spends (see Bucket).
//
// Some budgets have no fixed size: each node's quota follows from its own traffic (Ledger.SetTrafficQuota), such as the work that may be
// sent to a server in slow start. They have neither floors nor quota owners. A node leases out the units that it does not need, but at most
// half of its quota, regardless of the requests of other nodes. Hence all nodes together may spend at most the sum of their quotas. If lenders lose their
// traffic after they have leased units out, the nodes may spend up to half as much more until the leases expire.
//
// The package does no I/O and reads no clock. Times are float64 ms of a clock that advances while the process is suspended. One goroutine
// must own a Ledger.
package quota

import "mintspring/internal/cluster"

// TotalUnits is the number of units of a whole budget.
const TotalUnits = 1 << 20

// Config holds the parameters of a Ledger. All nodes of a fleet use the same values, except for Self.
type Config struct {
	Self        cluster.NodeID
	QuotaOwners int     // nodes with ids below this number own the units above the floors
	MaxNodes    int     // node ids are below this number
	LeaseMs     float64 // duration of a lease
}

const (
	floorShare           = 0.1  // share of the whole budget: the floors of all nodes together
	retainedShare        = 0.1  // share of its units above the floor that a quota owner never leases out
	retainedTrafficShare = 0.5  // share of a quota that follows from traffic that is never leased out
	clockMargin          = 0.05 // share of the duration of a lease that the lender adds to it: covers clocks that run up to 2.4% fast or slow
	headroom             = 0.15 // added to the demand, as a share of the demand, because demand varies

	// Times as multiples of LeaseMs.
	renewBefore        = 0.5       // time before its expiry from which a lease is renewed
	minRequestInterval = 1.0 / 8.0 // time between two requests to the same lender
	refusalBackoff     = 1.0       // time after a refusal before the same lender is asked again
	demandTTL          = 2.0       // time after which a demand that was not set again counts as 0

	lendersPerRound     = 3    // new leases requested per budget and call of Tick, each from another lender
	reservedFreeDivisor = 4    // a lender reserves 1/reservedFreeDivisor of its free units for other borrowers
	maxTrafficQuota     = 1000 // upper bound of a quota that follows from traffic, in multiples of TotalUnits
	maxAllowanceLeases  = 8    // leases that an Allowance holds
)

// floorUnits returns the units that every node owns and never leases out.
func (c Config) floorUnits() uint32 { return uint32(floorShare * TotalUnits / float64(c.MaxNodes)) }

// InitialAllowance returns the allowance of a node that has not received any message yet. It is only the floor, because the node may have
// replaced a process that still spends its units.
func (c Config) InitialAllowance() Allowance {
	return Allowance{MaxNodes: c.MaxNodes, OwnUnits: c.floorUnits()}
}

// ownedUnits returns the units that belong to this node above its floor.
func (c Config) ownedUnits() uint32 {
	if int(c.Self) >= c.QuotaOwners {
		return 0
	}
	return uint32((TotalUnits - float64(c.MaxNodes)*float64(c.floorUnits())) / float64(c.QuotaOwners))
}

// lenderLeaseMs returns the time from the grant after which the lender considers a lease expired.
func (c Config) lenderLeaseMs() float64 { return c.LeaseMs * (1 + clockMargin) }
