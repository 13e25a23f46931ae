package quota

import (
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// LeaseRequest is a request for a lease and the lender that it is sent to.
type LeaseRequest struct {
	To           cluster.NodeID
	FromTraffic  bool // for units of a quota that follows from the lender's traffic
	QuotaRequest wire.QuotaRequest
}

// Tick drops expired leases, requests and refusals, forgets unused budgets, and returns the lease requests for missing units. Requests go only
// to members.
func (l *Ledger) Tick(now float64, isMember func(cluster.NodeID) bool) (requests []LeaseRequest) {
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
		requests = append(requests, l.requestLeases(now, l.budgets[id], isMember)...)
	}
	return requests
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

// requestLeases returns the requests that renew leases of a budget that expire soon, and those for new leases of the missing units.
func (l *Ledger) requestLeases(now float64, b *budgetState, isMember func(cluster.NodeID) bool) []LeaseRequest {
	demand, available := l.demandWithHeadroom(now, b), l.availableUnits(now, b)
	needed := demand - min(demand, available)
	held := uint32(0)
	for _, lease := range b.held {
		held += lease.units
	}
	missing := needed - min(needed, held)
	perLender := max(1, missing/lendersPerRound)
	requests := l.renewLeases(now, b, isMember, needed, min(missing, perLender))
	return append(requests, l.requestNewLeases(now, b, isMember, missing, perLender)...)
}

// renewLeases returns requests that renew leases that expire soon. Each asks for the units of its lease that are still needed, plus extra.
func (l *Ledger) renewLeases(now float64, b *budgetState, isMember func(cluster.NodeID) bool, needed, extra uint32) (requests []LeaseRequest) {
	for _, lease := range b.held {
		if needed == 0 {
			break
		}
		used := min(lease.units, needed)
		needed -= used
		expiresSoon := lease.expiresAt-now < renewBefore*l.config.LeaseMs
		if expiresSoon && isMember(lease.lender) && !l.askedRecently(now, b, lease.lender) {
			requests = append(requests, l.newRequest(now, b, lease.lender, used+extra))
		}
	}
	return requests
}

// requestNewLeases returns requests for the missing units to the next few lenders in round-robin order.
func (l *Ledger) requestNewLeases(
	now float64, b *budgetState, isMember func(cluster.NodeID) bool, missing, perLender uint32,
) (requests []LeaseRequest) {
	lenders := l.lenderCount(b)
	for range lenders {
		if len(requests) >= lendersPerRound || missing == 0 {
			break
		}
		b.lenderCursor = (b.lenderCursor + 1) % lenders
		lender := cluster.NodeID(b.lenderCursor)
		if !isMember(lender) || !l.mayAsk(now, b, lender) {
			continue
		}
		requests = append(requests, l.newRequest(now, b, lender, max(perLender, min(missing, l.config.floorUnits()))))
		missing -= min(missing, perLender)
	}
	return requests
}

// lenderCount returns the number of nodes that may own units to lease out. They have the lowest ids.
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

// askedRecently reports whether a lender was asked so recently that its answer may still arrive.
func (l *Ledger) askedRecently(now float64, b *budgetState, lender cluster.NodeID) bool {
	return slices.ContainsFunc(b.pending, func(p pendingRequest) bool {
		return p.lender == lender && now-p.sentAt < minRequestInterval*l.config.LeaseMs
	})
}

// newRequest returns a new request and records it as pending.
func (l *Ledger) newRequest(now float64, b *budgetState, lender cluster.NodeID, units uint32) LeaseRequest {
	l.seq++
	b.pending = append(b.pending, pendingRequest{lender: lender, seq: l.seq, sentAt: now})
	return LeaseRequest{
		To:           lender,
		FromTraffic:  b.fromTraffic,
		QuotaRequest: wire.QuotaRequest{Budget: b.id, Seq: l.seq, Units: units},
	}
}

// HandleGrant processes the answer to a request. It ignores an answer to a request that is not pending or that is older than the request of
// the lease held from that lender.
func (l *Ledger) HandleGrant(now float64, from cluster.NodeID, grant wire.QuotaGrant) {
	b := l.budgets[grant.Budget]
	if b == nil || grant.IncarnationTag != l.incarnationTag {
		return // the grant is for an earlier incarnation, which may have sent a request with the same number at another time
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
	b.storeLease(now, lease, l.config.LeaseMs)
}

// storeLease stores a lease and replaces an earlier one from the same lender. A lease of 0 units is a refusal: an earlier lease stays
// unchanged, and without one the lender is not asked again for a time.
func (b *budgetState) storeLease(now float64, lease heldLease, leaseMs float64) {
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
