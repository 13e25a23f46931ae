package slowstart

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

const (
	capacityFactor = 0.5
	warmServers    = 10.0
	burst          = 1000.0 // ms
	period         = 200.0  // ms
)

// However the traffic is divided among the nodes, in any window all nodes together send a server in slow start no more than its capacity
// and the saved tokens.
func TestAllNodesKeepToCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 30).Draw(t, "nodes")
		intervals := make([]float64, nodes)
		totalRate := 0.0
		for i := range intervals {
			intervals[i] = rapid.Float64Range(5, 400).Draw(t, "ms between requests")
			totalRate += 1 / intervals[i]
		}
		sent := sendTimes(intervals)
		// The factor of 1.35 below allows for the inexact rate that nodes with little traffic measure.
		capacity := capacityFactor * totalRate / warmServers
		for i := range sent {
			for k := i; k < len(sent); k++ {
				window := sent[k] - sent[i]
				if n := float64(k - i + 1); n > 1.35*capacity*(window+burst)+float64(nodes) {
					t.Fatalf("%.0f requests in %.0f ms, with a capacity of %.2f and one request for each of %d nodes", n, window, capacity*(window+burst), nodes)
				}
			}
		}
	})
}

// The operators bound what a server in slow start is sent in any window in which it may fail: with N requests of mean work allowed, it may
// get N + 2*sqrt(N) + 2, or N + 3*sqrt(N) + 3 if N is below 30. The bound holds for one node, for a few, and for hundreds, however unevenly
// they are loaded. Each node starts with a fraction of a token, as in the decision module, which draws it at random.
func TestRequestsInSlowStartAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 2, 3, 5, 12, 30, 100, 300}).Draw(t, "nodes")
		mean := rapid.Float64Range(5, 2000).Draw(t, "mean ms between requests of a node")
		intervals := make([]float64, nodes)
		totalRate := 0.0
		for i := range intervals {
			intervals[i] = mean * rapid.Float64Range(0.2, 5).Draw(t, "share")
			totalRate += 1 / intervals[i]
		}
		const window = 2 * burst
		allowed := 2 * capacityFactor * totalRate / warmServers * window
		bound := allowed + 2*math.Sqrt(allowed) + 2
		if allowed < 30 {
			bound = allowed + 3*math.Sqrt(allowed) + 3
		}
		sent := sendTimes(intervals)
		first := 0
		for last, at := range sent {
			for at-sent[first] > window {
				first++
			}
			if n := float64(last - first + 1); n > bound {
				t.Fatalf("%.0f requests within %.0f ms by %d nodes; %.1f allowed, bound %.1f", n, window, nodes, allowed, bound)
			}
		}
	})
}

// sendTimes returns the times at which nodes send requests to a server that starts at 2000 ms. Node i has a request every intervals[i] ms,
// and sends it to that server if it may, otherwise to another one.
func sendTimes(intervals []float64) (sent []float64) {
	const startsAt, end = 2000, 6000
	meters, buckets := make([]Meter, len(intervals)), make([]Bucket, len(intervals))
	nextRequestAt := make([]float64, len(intervals))
	const goldenRatio = 0.618 // its multiples spread the nodes' first fractions of a token evenly
	for i := range buckets {
		_, buckets[i].Tokens = math.Modf(goldenRatio * float64(i+1))
	}
	for now := 1.0; now < end; now++ {
		for i := range intervals {
			if now < nextRequestAt[i] {
				continue
			}
			nextRequestAt[i] = now + intervals[i]
			bucket := &Bucket{} // placeholder for a request to a warm server
			if now <= startsAt {
				buckets[i].UpdatedAt = now
			} else if meters[i].Allow(now, &buckets[i], capacityFactor, warmServers, burst, 0) {
				bucket = &buckets[i]
				sent = append(sent, now)
			}
			meters[i].Spend(now, bucket, period, 0)
		}
	}
	return sent
}

// Twice the mean work costs two tokens, unknown work costs one, and the cost has a lower bound.
func TestRequestCost(t *testing.T) {
	var m Meter
	var b Bucket
	for at := range 100 {
		m.Spend(float64(at), &b, 50, 10)
	}
	for _, c := range []struct{ work, want float64 }{{10, 1}, {20, 2}, {0, 1}, {0.1, 0.25}} {
		if got := m.cost(c.work); got < 0.99*c.want || got > 1.01*c.want {
			t.Errorf("work of %v costs %v, want %v", c.work, got, c.want)
		}
	}
}

// leaseFleet is a fleet in which half of the nodes, the lenders, lease half of their quotas to the others and then lose all their traffic,
// which is the worst case for the server in slow start.
type leaseFleet struct {
	leases  bool // if false, nothing is leased
	meters  [2 * lenders]Meter
	buckets [2 * lenders]Bucket
	sent    []float64 // times of requests to the server in slow start
}

// Times of a leaseFleet in ms.
const (
	lenders         = 8
	requestInterval = 2.0 // between the requests of a node

	serverStarts   = 5000.0
	leasesStart    = 9000.0
	trafficEnds    = 10_000.0 // of the lenders
	leasesEnd      = 11_000.0
	simulationEnds = 20_000.0

	capacity = capacityFactor * 2 * lenders / requestInterval / warmServers // requests per ms that the quotas of all nodes allow
)

func (f *leaseFleet) run() {
	for now := 1.0; now < simulationEnds; now++ {
		for i := range f.meters {
			isLender := i < lenders
			if math.Mod(now, requestInterval) != float64(i%2) || isLender && now > trafficEnds {
				continue
			}
			bucket := &Bucket{} // placeholder for a request to a warm server
			if now > serverStarts && f.allow(now, i, isLender) {
				bucket = &f.buckets[i]
				f.sent = append(f.sent, now)
			}
			f.meters[i].Spend(now, bucket, period, 0)
		}
	}
}

// allow reports whether a node may send a request to the server in slow start. It sets up the node's bucket and its leases when they start.
func (f *leaseFleet) allow(now float64, i int, isLender bool) bool {
	bucket := &f.buckets[i]
	if now <= serverStarts+1 {
		bucket.UpdatedAt = now
	}
	if f.leases && now >= leasesStart && now <= leasesStart+requestInterval {
		own, _ := f.meters[i].Quota(now, bucket, capacityFactor, warmServers)
		if isLender {
			bucket.Leases = Leases{Lent: own / 2}
		} else {
			bucket.Leases = Leases{Count: 1}
			bucket.Leases.Borrowed[0] = Lease{Rate: own / 2, Until: leasesEnd}
		}
	}
	return f.meters[i].Allow(now, bucket, capacityFactor, warmServers, burst, 0)
}

// sentIn returns the number of requests sent in an interval.
func (f *leaseFleet) sentIn(from, to float64) (n float64) {
	for _, at := range f.sent {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// shareIn returns the rate of requests in an interval, as a share of the capacity.
func (f *leaseFleet) shareIn(from, to float64) float64 {
	return f.sentIn(from, to) / (to - from) / capacity
}

// A borrower may use a lease until it expires, and the lender's quota is smaller meanwhile. In the worst case, all lenders lose their
// traffic right after leasing out half of their quotas: the server in slow start then gets at most twice its capacity in the window in which
// it fails.
func TestLeases(t *testing.T) {
	for _, leases := range []bool{false, true} {
		t.Run(fmt.Sprintf("leases=%v", leases), func(t *testing.T) {
			borrowersShare := 0.5
			if leases {
				borrowersShare = 0.75
			}
			f := &leaseFleet{leases: leases}
			f.run()
			for _, c := range []struct {
				name           string
				from, to, want float64
			}{
				{"before the leases", 6000, leasesStart, 1},
				{"while all nodes have traffic", 9100, 9900, 1},
				{"without the lenders' traffic", 10_100, 10_900, borrowersShare},
				{"after the leases have expired", 12_000, simulationEnds, 0.5},
			} {
				if got := f.shareIn(c.from, c.to); math.Abs(got-c.want) > 0.05 {
					t.Errorf("%s: the load is %.3f of the capacity, want %.2f", c.name, got, c.want)
				}
			}
			const window = 2 * burst
			for from := serverStarts + 1; from < 18_000; from += 50 {
				if got := f.sentIn(from, from+window); got > 2*capacity*window+2*lenders {
					t.Errorf("%.0f requests in the window from %.0f ms; the server fails at %.0f", got, from, 2*capacity*window)
				}
			}
		})
	}
}

// Borrowed rates save up no tokens.
func TestBorrowedRateIsNotSavedUp(t *testing.T) {
	m := Meter{Rate: 1e-6}
	b := Bucket{UpdatedAt: 1, Leases: Leases{Count: 1}}
	b.Leases.Borrowed[0] = Lease{Rate: 1, Until: 1e9}
	n := 0
	for m.Allow(1e6, &b, capacityFactor, warmServers, burst, 0) {
		b.Tokens--
		n++
	}
	if n > 1 {
		t.Errorf("%d requests are allowed at once after an idle time, want at most 1", n)
	}
}
