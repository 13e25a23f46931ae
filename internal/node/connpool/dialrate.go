package connpool

import (
	"math"

	"mintspring/internal/cluster/quota"
)

const (
	slotMargin      = 0.5  // fraction of a dial slot in which a dial may begin
	demandSmoothing = 0.3  // weight of the latest interval in the smoothed demand
	minDemand       = 0.01 // fraction of the dial rate below which demand counts as none
)

// dials returns how many connections to begin opening now. Where the rate defers some that are wanted, retryAt is when to
// call again; +Inf: only after something has changed.
func (p *Policy) dials(now float64, s State) (n int, retryAt float64) {
	want := p.wanted(now, s)
	for ; want > 0; want-- {
		at, slotEnd := p.nextDial(now)
		if at > now {
			p.dialed, p.deferred = p.dialed+n, want
			return n, at
		}
		p.slotEnd = slotEnd
		n++
	}
	p.dialed, p.deferred = p.dialed+n, 0
	if n > 0 {
		p.waitSinceDial = 0
	}
	if p.prewarms() && now < p.prewarmPausedUntil {
		return n, p.prewarmPausedUntil
	}
	return n, math.Inf(1)
}

// wanted returns how many connections to open if the rate allowed all.
func (p *Policy) wanted(now float64, s State) int {
	want := s.Waiting - s.Dialing
	if want > 0 && s.CoolingDown > 0 && p.waitSinceDial < p.config.DialAfterWait && !p.Suspected() {
		// Cooling connections are ready before a new one would be, at no cost to the server.
		want = max(0, want-s.CoolingDown)
	}
	if now >= p.prewarmPausedUntil {
		want = max(want, p.target(now, s)-s.Open-s.Dialing)
	}
	return min(want, p.limit()-s.Open-s.Dialing)
}

// nextDial returns when the next dial may begin, and the end of the slot that it uses up. Where the rate of all nodes
// together is bounded, time is divided into slots of one dial each, which the nodes use in rotation by their common clock: no two
// nodes dial in one slot, and no messages are needed.
func (p *Policy) nextDial(now float64) (at, slotEnd float64) {
	rate := p.dialRate(now)
	if rate <= 0 {
		return now, p.slotEnd
	}
	if p.config.LeasedRate {
		_, retryAt := p.bucket.Take(now, rate, &p.quota)
		return retryAt, p.slotEnd
	}
	// Slots are a little longer than 1/rate, so that the bound holds in any second, wherever that begins.
	nodes, length := int64(max(1, p.config.Nodes)), 1000/(max(1, math.Floor(rate))-slotMargin)
	// The slot that was used last may have had another length, so its end counts and not its number.
	slot := int64(math.Ceil(max(now/length-slotMargin, p.slotEnd/length)))
	slot += ((p.slotOffset-slot)%nodes + nodes) % nodes
	return max(now, float64(slot)*length), float64(slot+1) * length
}

// dialRate returns how many connections all nodes together may open per second now; 0: any number.
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

// Demand returns the fraction of the dials of all nodes that this one could use, measured since the last call.
func (p *Policy) Demand(now float64) float64 {
	rate, interval := p.dialRate(now), now-p.demandAt
	if rate <= 0 || !p.config.LeasedRate || interval <= 0 {
		return 0
	}
	p.demand += demandSmoothing * (float64(p.dialed+p.deferred)/interval*1000 - p.demand)
	p.dialed, p.demandAt = 0, now
	if p.demand < minDemand*rate {
		return 0
	}
	return min(1, p.demand/rate)
}
