// Package slowstart limits the work that a node sends to servers that have just started. Each node keeps within its quota: the share of the
// server's capacity that corresponds to the node's share of the traffic. All nodes together thus keep within the capacity without exchanging
// messages. Nodes that do exchange messages may lease parts of their quotas to one another (Leases).
//
// A server in slow start fails at twice the capacity that is assumed here (callers pass half of the factor at which it fails), measured
// over a window of twice the burst. Without leases, all nodes together send at most 1.5 times the capacity in such a window: the capacity
// of the window, and the saved tokens, which are worth half of that. A node leases out at most half of its quota, the borrower stops before
// the lender resumes, and borrowed rates save up no tokens. All nodes together send more only if lenders lose their traffic after they
// leased: at most half the capacity more for the duration of a lease, which makes twice the capacity in all.
//
// The package does no I/O and reads no clock; times are float64 ms. A Meter and its buckets are not safe for concurrent use.
package slowstart

import "math"

const (
	rateSmoothing   = 0.3  // weight of the latest period in the rate
	workSmoothing   = 0.02 // weight of the latest request in the mean work
	demandSmoothing = 0.5  // weight of the latest period in the demand
	minCost         = 0.25 // least cost of a request whose work is known
	maxLeases       = 8    // leases that a node may borrow for one server
)

// Meter measures the work that this node sends to all cache servers.
type Meter struct {
	Rate float64 // per ms, in units of the mean work of a request

	windowStart float64 // 0: before the first request
	windowCost  float64
	meanWork    float64 // of requests, in the unit of the callers
}

// Bucket is the token bucket of one server in slow start. A token is worth the mean work of a request.
type Bucket struct {
	Tokens    float64
	UpdatedAt float64 // time at which Tokens was computed
	Leases    Leases

	demandCost  float64 // of requests that were considered since lastQuotaAt
	demand      float64 // smoothed demandCost per ms
	lastAllowAt float64
	lastQuotaAt float64
}

// Leases are the parts of quotas for one server that this node has lent and borrowed, as work per ms.
type Leases struct {
	Lent     float64 // part of this node's quota that other nodes have
	Borrowed [maxLeases]Lease
	Count    int // used entries of Borrowed
}

// Lease is a borrowed rate and the time at which it expires.
type Lease struct{ Rate, Until float64 }

// borrowedAt returns the sum of the borrowed rates that have not expired. Expiry is checked on each call, because a process that was
// suspended must not use leases that expired meanwhile.
func (l *Leases) borrowedAt(now float64) (rate float64) {
	for _, lease := range l.Borrowed[:l.Count] {
		if now < lease.Until {
			rate += lease.Rate
		}
	}
	return rate
}

// Quota returns this node's quota for a server and this node's demand for the server, both as work per ms. The quota follows from the
// node's traffic; the demand is smoothed over the calls. A node without demand has a quota too, which it can lease out. The server's capacity is
// capacityFactor times the work that each of the warm servers gets.
func (m *Meter) Quota(now float64, b *Bucket, capacityFactor, warmServers float64) (own, demand float64) {
	if elapsed := now - b.lastQuotaAt; elapsed > 0 {
		b.demand += demandSmoothing * (b.demandCost/elapsed - b.demand)
		b.demandCost, b.lastQuotaAt = 0, now
	}
	return capacityFactor * m.Rate / warmServers, b.demand
}

// cost returns the number of tokens that a request costs; work of 0 is unknown.
func (m *Meter) cost(work float64) float64 {
	if work > 0 && m.meanWork > 0 {
		return max(work/m.meanWork, minCost)
	}
	return 1
}

// Allow reports whether a request may be sent to a server in slow start. The server's capacity is capacityFactor times the work that each
// of the warm servers gets, and burst is the time in ms whose quota may be used at once. Spend takes the tokens.
func (m *Meter) Allow(now float64, b *Bucket, capacityFactor, warmServers, burst, work float64) bool {
	own := capacityFactor * m.Rate / warmServers
	rate, limit := max(0, own-b.Leases.Lent)+b.Leases.borrowedAt(now), own*burst
	if b.lastAllowAt != now { // Allow may be called more than once for a request
		b.lastAllowAt = now
		b.demandCost += m.cost(work)
	}
	b.Tokens += rate * (now - b.UpdatedAt)
	b.UpdatedAt = now
	// Tokens above the limit are dropped in whole tokens, so that a node whose limit is below one token reaches one from time to time. If
	// each node's limit were at least one token, hundreds of nodes could together save up hundreds of requests.
	b.Tokens -= math.Floor(max(0, b.Tokens-limit))
	return b.Tokens >= max(1, min(m.cost(work), limit))
}

// Spend records a request that is sent to a cache server. It takes the request's tokens, which matter only while the server is in slow
// start, and updates the rate, which is measured over periods of the given length in ms.
func (m *Meter) Spend(now float64, b *Bucket, period, work float64) {
	if m.meanWork == 0 {
		m.meanWork = work
	}
	m.meanWork += workSmoothing * (work - m.meanWork)
	cost := m.cost(work)
	b.Tokens -= cost
	m.windowCost += cost
	if m.windowStart == 0 {
		m.windowStart = now // the time before the first request does not count
	}
	if elapsed := now - m.windowStart; elapsed >= period {
		m.Rate += rateSmoothing * (m.windowCost/elapsed - m.Rate)
		m.windowCost, m.windowStart = 0, now
	}
}
