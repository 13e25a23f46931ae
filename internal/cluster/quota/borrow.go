package quota

import (
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// LeaseRequest is a request for a lease and the node that it is sent to.
type LeaseRequest struct {
	To           cluster.NodeID
	FromTraffic  bool // for units of a quota that follows from the lender's traffic
	QuotaRequest wire.QuotaRequest
}

// Tick drops what has expired and returns the requests for the units that are missing. Only members are asked.
func (l *Ledger) Tick(now float64, isMember func(cluster.NodeID) bool) (out []LeaseRequest) {
	l.budgetOrder = slices.DeleteFunc(l.budgetOrder, func(id uint32) bool {
		b := l.budgets[id]
		b.dropExpired(now, l.config.LeaseMs)
		unused := len(b.granted)+len(b.held)+len(b.pending) == 0 && l.demandExpired(now, b)
		if unused {
			delete(l.budgets, id)
		}
		return unused
	})
	for _, id := range l.budgetOrder {
		out = append(out, l.requestLeases(now, l.budgets[id], isMember)...)
	}
	return out
}

func (b *budgetState) dropExpired(now, leaseMs float64) {
	b.granted = slices.DeleteFunc(b.granted, func(g grantedLease) bool { return g.expiresAt <= now })
	b.held = slices.DeleteFunc(b.held, func(h heldLease) bool { return h.expiresAt <= now })
	b.pending = slices.DeleteFunc(b.pending, func(p pendingRequest) bool { return now-p.sentAt > leaseMs })
	for lender, until := range b.refusedUntil {
		if now >= until {
			delete(b.refusedUntil, lender)
		}
	}
}

// requestLeases returns the requests for what is missing of a budget, and the renewals of leases that expire soon.
func (l *Ledger) requestLeases(now float64, b *budgetState, isMember func(cluster.NodeID) bool) []LeaseRequest {
	target, available := l.targetUnits(now, b), l.availableUnits(now, b)
	needed := target - min(target, available)
	held := uint32(0)
	for _, lease := range b.held {
		held += lease.units
	}
	missing := needed - min(needed, held)
	perLender := max(1, missing/lendersPerRound)
	out := l.renewLeases(now, b, isMember, needed, min(missing, perLender))
	return append(out, l.requestNewLeases(now, b, isMember, missing, perLender)...)
}

// renewLeases returns the requests that renew the leases that expire soon, as far as they are needed, each with an extra number of units.
func (l *Ledger) renewLeases(now float64, b *budgetState, isMember func(cluster.NodeID) bool, needed, extra uint32) (out []LeaseRequest) {
	for _, lease := range b.held {
		if needed == 0 {
			break
		}
		used := min(lease.units, needed)
		needed -= used
		expiresSoon := lease.expiresAt-now < renewBefore*l.config.LeaseMs
		if expiresSoon && isMember(lease.lender) && !l.askedRecently(now, b, lease.lender) {
			out = append(out, l.request(now, b, lease.lender, used+extra))
		}
	}
	return out
}

// requestNewLeases returns requests for the missing units to the next few lenders in turn.
func (l *Ledger) requestNewLeases(now float64, b *budgetState, isMember func(cluster.NodeID) bool, missing, perLender uint32) (out []LeaseRequest) {
	lenders := l.lenderCount(b)
	for range lenders {
		if len(out) >= lendersPerRound || missing == 0 {
			break
		}
		b.nextLender = (b.nextLender + 1) % lenders
		lender := cluster.NodeID(b.nextLender)
		if !isMember(lender) || !l.mayAsk(now, b, lender) {
			continue
		}
		out = append(out, l.request(now, b, lender, max(perLender, min(missing, l.config.floor()))))
		missing -= min(missing, perLender)
	}
	return out
}

// lenderCount returns the number of nodes that may own units to lease out: those with the lowest ids.
func (l *Ledger) lenderCount(b *budgetState) int {
	if b.fromTraffic {
		return l.config.MaxNodes
	}
	return l.config.QuotaOwners
}

// mayAsk reports whether a lender may be asked for a new lease.
func (l *Ledger) mayAsk(now float64, b *budgetState, lender cluster.NodeID) bool {
	if lender == l.config.Self || l.askedRecently(now, b, lender) || b.refusedUntil[lender] > now {
		return false
	}
	return !slices.ContainsFunc(b.held, func(h heldLease) bool { return h.lender == lender && h.expiresAt > now })
}

// askedRecently reports whether a lender was asked so recently that its answer may be on the way.
func (l *Ledger) askedRecently(now float64, b *budgetState, lender cluster.NodeID) bool {
	return slices.ContainsFunc(b.pending, func(p pendingRequest) bool {
		return p.lender == lender && now-p.sentAt < repeatAfter*l.config.LeaseMs
	})
}

// request records and returns a request.
func (l *Ledger) request(now float64, b *budgetState, lender cluster.NodeID, units uint32) LeaseRequest {
	l.seq++
	b.pending = append(b.pending, pendingRequest{lender: lender, seq: l.seq, sentAt: now})
	return LeaseRequest{
		To:           lender,
		FromTraffic:  b.fromTraffic,
		QuotaRequest: wire.QuotaRequest{Budget: b.id, Seq: l.seq, Units: units},
	}
}

// HandleGrant processes the answer to a request. An answer to a request that is not pending, or older than the lease held of that lender,
// is ignored.
func (l *Ledger) HandleGrant(now float64, from cluster.NodeID, grant wire.QuotaGrant) {
	b := l.budgets[grant.Budget]
	if b == nil || grant.IncarnationTag != l.incarnationTag {
		return // for an earlier incarnation, whose request with the same number was sent at another time
	}
	i := slices.IndexFunc(b.pending, func(p pendingRequest) bool { return p.lender == from && p.seq == grant.Seq })
	if i < 0 {
		return
	}
	lease := heldLease{
		lender:    from,
		seq:       grant.Seq,
		units:     min(grant.Units, TotalUnits),
		expiresAt: b.pending[i].sentAt + l.config.LeaseMs,
	}
	b.pending = slices.Delete(b.pending, i, i+1)
	b.hold(now, lease, l.config.LeaseMs)
}

// hold takes over a lease, in place of an earlier one of the same lender; one of no units is a refusal.
func (b *budgetState) hold(now float64, lease heldLease, leaseMs float64) {
	i := slices.IndexFunc(b.held, func(h heldLease) bool { return h.lender == lease.lender })
	switch {
	case i < 0 && lease.units == 0:
		b.refusedUntil[lease.lender] = now + refusalBackoff*leaseMs
	case i < 0:
		b.held = append(b.held, lease)
	case lease.units > 0 && lease.seq >= b.held[i].seq:
		b.held[i] = lease
	}
}
