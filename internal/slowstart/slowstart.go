// Package slowstart meters the work that a node sends to servers which have just started. Each node keeps to its quota: the share of the
// server's capacity that corresponds to the node's share of the traffic, so that all nodes together keep to the capacity without exchanging
// messages. Nodes that do exchange messages may lease parts of their quotas to one another (Leases).
//
// The bound: a server in slow start bears twice what is taken as its capacity here (the caller's multiple is half of the one at which it
// fails), measured over twice the burst. By traffic alone, all nodes send it in such a window the capacity of the window and what they had saved
// up, which is half of that: one and a half times the capacity. A node leases out at most half of its quota, its borrower stops before it
// resumes, and nothing is saved up of what is borrowed. Only where lenders lose their traffic after they leased is there more, at most half
// the capacity for the duration of a lease: two times.
//
// The package does no I/O and reads no clock; times are float64 ms. One goroutine must own a Meter and its buckets.
package slowstart

import "math"

const (
	rateSmoothing   = 0.3  // weight of the latest period in the rate
	workSmoothing   = 0.02 // weight of the latest request in the mean work
	demandSmoothing = 0.5  // weight of the latest period in the demand
	minCost         = 0.25 // of a request whose work is known
	maxLeases       = 8    // leases that Leases holds
)

// Meter measures the work that this node sends to all cache servers.
type Meter struct {
	Rate float64 // per ms, in units of the mean request

	windowStart float64 // 0: before the first request
	windowCost  float64
	meanWork    float64 // of requests, in the unit in which work is reported
}

// Bucket is the token bucket of one server in slow start. A token is the work of a mean request.
type Bucket struct {
	Tokens    float64
	UpdatedAt float64 // time at which Tokens was computed
	Leases    Leases

	wantedCost  float64 // of requests since lastQuotaAt
	demand      float64 // per ms
	lastAllowAt float64
	lastQuotaAt float64
}

// Leases are the parts of quotas that nodes have leased to one another for one server, as work per ms.
type Leases struct {
	Lent     float64 // of this node's quota, to other nodes
	Borrowed [maxLeases]Lease
	Count    int // of Borrowed that are in use
}

// Lease is a borrowed rate and the time at which it expires.
type Lease struct{ Rate, Until float64 }

// borrowedAt returns the rate borrowed at a time. A process that was suspended has only what has not expired.
func (l *Leases) borrowedAt(now float64) (rate float64) {
	for _, lease := range l.Borrowed[:l.Count] {
		if now < lease.Until {
			rate += lease.Rate
		}
	}
	return rate
}

// Quota returns this node's quota of a server by its traffic, and its demand there since the last call, as work per ms. A node without demand has a
// quota all the same, which it can lease out. The server's capacity is a multiple of what each of the warm servers carries.
func (m *Meter) Quota(now float64, b *Bucket, multiple, warm float64) (own, demand float64) {
	if elapsed := now - b.lastQuotaAt; elapsed > 0 {
		b.demand += demandSmoothing * (b.wantedCost/elapsed - b.demand)
		b.wantedCost, b.lastQuotaAt = 0, now
	}
	return multiple * m.Rate / warm, b.demand
}

// cost returns the tokens for a request of so much work; 0 stands for work that is not known.
func (m *Meter) cost(work float64) float64 {
	if work > 0 && m.meanWork > 0 {
		return max(work/m.meanWork, minCost)
	}
	return 1
}

// Allow reports whether a server in slow start may be sent a request. Its capacity is a multiple of what each of the warm servers carries,
// and burst is the time in ms whose capacity may be used at once. Spend takes the tokens.
func (m *Meter) Allow(now float64, b *Bucket, multiple, warm, burst, work float64) bool {
	own := multiple * m.Rate / warm
	rate, limit := max(0, own-b.Leases.Lent)+b.Leases.borrowedAt(now), own*burst
	if b.lastAllowAt != now { // a request may be considered more than once
		b.lastAllowAt = now
		b.wantedCost += m.cost(work)
	}
	b.Tokens += rate * (now - b.UpdatedAt)
	b.UpdatedAt = now
	b.Tokens -= math.Floor(max(0, b.Tokens-limit)) // hundreds of nodes must not save up one request each
	return b.Tokens >= max(1, min(m.cost(work), limit))
}

// Spend records a request that is sent to a cache server: its tokens, and the rate measured over periods in ms. The tokens matter only
// while the server is in slow start.
func (m *Meter) Spend(now float64, b *Bucket, period, work float64) {
	if m.meanWork == 0 {
		m.meanWork = work
	}
	m.meanWork += workSmoothing * (work - m.meanWork)
	cost := m.cost(work)
	b.Tokens -= cost
	m.windowCost += cost
	if m.windowStart == 0 {
		m.windowStart = now // the time before the first request says nothing of the rate
	}
	if elapsed := now - m.windowStart; elapsed >= period {
		m.Rate += rateSmoothing * (m.windowCost/elapsed - m.Rate)
		m.windowCost, m.windowStart = 0, now
	}
}
