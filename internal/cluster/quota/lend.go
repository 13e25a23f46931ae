package quota

import (
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// HandleRequest answers a request for a lease. The granted units count as leased out from now on, whether or not the answer arrives. A request
// whose fromTraffic differs from that of the budget is refused, and so is one for a traffic quota that this node has not set: a message from
// another node must neither change the kind of a budget nor make this node lease out units that it does not own.
func (l *Ledger) HandleRequest(
	now float64, from cluster.NodeID, incarnation cluster.Incarnation, fromTraffic bool, request wire.QuotaRequest,
) wire.QuotaGrant {
	grant := wire.QuotaGrant{IncarnationTag: incarnation.Tag(), Budget: request.Budget, Seq: request.Seq}
	if !l.mayLend(now, from, fromTraffic, l.budgets[request.Budget]) {
		return grant
	}
	b := l.budget(request.Budget)
	holder := leaseholder{node: from, incarnation: incarnation}
	for _, lease := range b.granted {
		if lease.holder != holder || lease.seq < request.Seq {
			continue
		}
		if lease.seq == request.Seq {
			grant.Units = lease.units // a duplicate of the request
		}
		return grant
	}
	grant.Units = min(request.Units, l.leasableUnits(now, b, holder))
	if grant.Units > 0 {
		b.granted = append(b.granted, grantedLease{
			holder: holder, seq: request.Seq, units: grant.Units, expiresAt: now + l.config.lenderLeaseMs(),
		})
	}
	return grant
}

// mayLend reports whether this node may lease out units of a budget. b is nil for an unknown budget.
func (l *Ledger) mayLend(now float64, to cluster.NodeID, fromTraffic bool, b *budgetState) bool {
	switch {
	case now < l.lendingStartsAt() || to == l.config.Self:
		return false
	case b != nil && b.fromTraffic != fromTraffic:
		return false
	case fromTraffic:
		return b != nil
	default:
		return int(l.config.Self) < l.config.QuotaOwners
	}
}

// leasableUnits returns how many units a holder may have in total, including its current lease. A larger lease is limited to three quarters of
// the free units, because other nodes may need as much.
func (l *Ledger) leasableUnits(now float64, b *budgetState, holder leaseholder) uint32 {
	owned, demand := l.ownedUnits(now, b), l.demandWithHeadroom(now, b)
	needed := max(l.retainedUnits(now, b), min(owned, demand-min(demand, l.floorUnits(b))))
	free := int64(owned) - int64(needed) - int64(b.lentUnitsExcept(now, holder))
	if free <= 0 {
		return 0
	}
	return max(uint32(free-free/reservedFreeDivisor), min(b.largestGrant(now, holder), uint32(free)))
}
