package connpool

import (
	"math"

	"mintspring/internal/cluster/quota"
)

const (
	slotMargin      = 0.5  // fraction of a dial slot in which a dial may start
	demandSmoothing = 0.3  // weight of the latest interval in the smoothed demand
	minDemand       = 0.01 // fraction of the dial rate below which demand counts as none
)

// planDials returns how many connections to dial now. If the rate limit defers some of the wanted dials, retryAt is the time to call
// again; +Inf means not before the pool's state changes.
func (p *Policy) planDials(now float64, s State) (n int, retryAt float64) {
	dialsNeeded := p.wantedDials(now, s)
	for ; dialsNeeded > 0; dialsNeeded-- {
		at, slotEnd := p.nextDial(now)
		if at > now {
			p.recentDials, p.deferredDials = p.recentDials+n, dialsNeeded
			return n, at
		}
		p.lastSlotEnd = slotEnd
		n++
	}
	p.recentDials, p.deferredDials = p.recentDials+n, 0
	if n > 0 {
		p.waitSinceDial = 0
	}
	if p.prewarmEnabled() && now < p.prewarmPausedUntil {
		return n, p.prewarmPausedUntil
	}
	return n, math.Inf(1)
}

// wantedDials returns how many connections to dial, regardless of the rate limit.
func (p *Policy) wantedDials(now float64, s State) int {
	dialsNeeded := s.Waiting - s.Dialing
	if dialsNeeded > 0 && s.CoolingDown > 0 && p.waitSinceDial < p.config.DialAfterWait && !p.Suspected() {
		// Cooling connections become ready before a new one would, at no cost to the server.
		dialsNeeded = max(0, dialsNeeded-s.CoolingDown)
	}
	if now >= p.prewarmPausedUntil {
		dialsNeeded = max(dialsNeeded, p.targetOpen(now, s)-s.Open-s.Dialing)
	}
	return min(dialsNeeded, p.limit()-s.Open-s.Dialing)
}

// nextDial returns when the next dial may start, and the end of the dial slot that it uses. To bound the rate of all nodes together, time
// is divided into slots of one dial each, which the nodes use in rotation by their synchronized clocks: no two nodes dial in the same
// slot, and no messages are needed. With LeasedRate the node's quota bounds the rate instead, and there are no slots.
func (p *Policy) nextDial(now float64) (at, slotEnd float64) {
	rate := p.dialRate(now)
	if rate <= 0 {
		return now, p.lastSlotEnd
	}
	if p.config.LeasedRate {
		_, retryAt := p.bucket.Take(now, rate, &p.quota)
		return retryAt, p.lastSlotEnd
	}
	// Slots are a little longer than 1/rate, so that the bound holds in every interval of one second.
	nodes, slotLength := int64(max(1, p.config.Nodes)), 1000/(max(1, math.Floor(rate))-slotMargin)
	// The rate may have changed since the last dial and with it the slot length, so the last slot is identified by its end, not its number.
	slot := int64(math.Ceil(max(now/slotLength-slotMargin, p.lastSlotEnd/slotLength)))
	slot += ((p.slotOffset-slot)%nodes + nodes) % nodes
	return max(now, float64(slot)*slotLength), float64(slot+1) * slotLength
}

// dialRate returns how many connections per second all nodes together may currently open; 0: unlimited.
func (p *Policy) dialRate(now float64) float64 {
	if p.config.StartupDialRate <= 0 || now-p.serverStartedAt >= p.config.StartupWindow {
		return p.config.DialRate
	}
	if p.config.DialRate > 0 {
		return min(p.config.StartupDialRate, p.config.DialRate)
	}
	return p.config.StartupDialRate
}

// SetQuota sets this node's share of the dials of all nodes.
func (p *Policy) SetQuota(quota quota.Allowance) { p.quota = quota }

// Demand returns the fraction of the dials of all nodes that this node could use, measured since the last call.
func (p *Policy) Demand(now float64) float64 {
	rate, interval := p.dialRate(now), now-p.demandMeasuredAt
	if rate <= 0 || !p.config.LeasedRate || interval <= 0 {
		return 0
	}
	p.demandRate += demandSmoothing * (float64(p.recentDials+p.deferredDials)/interval*1000 - p.demandRate)
	p.recentDials, p.demandMeasuredAt = 0, now
	if p.demandRate < minDemand*rate {
		return 0
	}
	return min(1, p.demandRate/rate)
}
