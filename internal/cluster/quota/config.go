// Package quota lets the nodes of a fleet share budgets, such as the number of connections that may be opened at a server per second. It
// uses escrow: a budget is divided into units, each unit belongs to one node at a time, and units that a node does not need are leased to
// others.
//
//   - Each of the nodes that the fleet may have owns a floor, which is never leased out. The remaining units belong to the founders, the
//     nodes with the lowest ids, in equal parts; later nodes have their floor and what they borrow.
//   - A lease expires by itself. The borrower counts from the time of its request, by its own clock; the lender from the time of its grant,
//     and adds a margin for clocks that run at different rates. Hence no unit is spent twice, whatever messages are lost, late or
//     duplicated, and whichever node is suspended or cut off. When a borrower dies, its leases return when they expire.
//   - A lender that restarts does not know what its previous incarnation leased out. Until all of that has expired it spends and leases
//     out only what the previous incarnation could not have leased out.
//
// At every moment the units that all processes may spend are at most the whole budget, provided that the rates of the clocks differ by no more
// than the margin and no two processes run under one node id. A second process with the same id adds its floor and, after the duration of a lease,
// its part of the founders' units. Within any window of w ms no more than b(w + bucketDepthMs) is spent of a budget of b per ms, plus one
// for each node that spends (Bucket).
//
// Some budgets are not given by a number: each node's quota follows from its own traffic (Ledger.SetTrafficQuota), such as the work
// that a server in slow start may be sent. They have neither floors nor founders. A node leases out what it does not need, but at most
// half of its quota, and keeps the rest whatever it receives. Hence the nodes together have no more than the sum of their quotas; where
// lenders lose their traffic after they leased units out, half as much more for the duration of a lease.
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
	QuotaOwners int     // the nodes below this number own the units above the floors
	MaxNodes    int     // node ids are below this number
	LeaseMs     float64 // duration of a lease
}

const (
	floorShare           = 0.1  // of the whole: the floors of all nodes together
	retainedShare        = 0.1  // of a founder's units that it never leases out
	retainedTrafficShare = 0.5  // of a quota that follows from traffic that is never leased out
	clockMargin          = 0.05 // of the duration of a lease, added by the lender: for clocks up to 2.4% fast or slow
	headroom             = 0.15 // of its demand that a node has in addition, because demand varies

	// Times relative to the duration of a lease.
	renewBefore    = 0.5       // before its expiry a lease is renewed
	repeatAfter    = 1.0 / 8.0 // after a request the lender may be asked again
	refusalBackoff = 1.0       // after a refusal the lender may be asked again
	demandTTL      = 2.0       // after which a demand that was not set again counts as none

	lendersPerRound    = 3    // lenders asked at once
	minFreeDivisor     = 4    // a lender holds this part of its free units back for other borrowers
	maxTrafficWholes   = 1000 // limit of a quota that follows from traffic, in multiples of TotalUnits
	maxAllowanceLeases = 8    // leases that an Allowance holds
)

// floor returns the units that every node owns, whatever it receives.
func (c Config) floor() uint32 { return uint32(floorShare * TotalUnits / float64(c.MaxNodes)) }

// InitialAllowance returns the allowance of a node that has not received anything yet: it may have replaced a process that still spends.
func (c Config) InitialAllowance() Allowance {
	return Allowance{MaxNodes: c.MaxNodes, OwnUnits: c.floor()}
}

// ownedUnits returns the units that belong to this node besides its floor.
func (c Config) ownedUnits() uint32 {
	if int(c.Self) >= c.QuotaOwners {
		return 0
	}
	return uint32((TotalUnits - float64(c.MaxNodes)*float64(c.floor())) / float64(c.QuotaOwners))
}

// lenderLeaseMs returns the time after which the lender considers a lease expired.
func (c Config) lenderLeaseMs() float64 { return c.LeaseMs * (1 + clockMargin) }
