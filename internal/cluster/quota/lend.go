package quota

import (
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// HandleRequest answers a request for a lease. What is granted counts as leased out from now on, whether the answer arrives or not. A request
// for units of a quota that follows from traffic is granted only of such a quota: a message of another node neither changes the kind of a
// budget nor makes this node lease out what it does not know to own.
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
			grant.Units = lease.units // the request was sent twice, or duplicated
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

// mayLend reports whether this node may lease out units of a budget; b is nil for an unknown budget.
func (l *Ledger) mayLend(now float64, to cluster.NodeID, fromTraffic bool, b *budgetState) bool {
	switch {
	case now < l.lendsFrom() || to == l.config.Self:
		return false
	case b != nil && b.fromTraffic != fromTraffic:
		return false
	case fromTraffic:
		return b != nil
	default:
		return int(l.config.Self) < l.config.QuotaOwners
	}
}

// leasableUnits returns how many units a holder may have, with what it has already. No holder gets more than three quarters of the free
// units: others may need as much.
func (l *Ledger) leasableUnits(now float64, b *budgetState, holder leaseholder) uint32 {
	owned, target := l.ownedUnits(now, b), l.targetUnits(now, b)
	needed := max(l.retainedUnits(now, b), min(owned, target-min(target, l.floorUnits(b))))
	free := int64(owned) - int64(needed) - int64(b.lentUnits(now, holder))
	if free <= 0 {
		return 0
	}
	return max(uint32(free-free/minFreeDivisor), min(b.largestGrant(now, holder), uint32(free)))
}
