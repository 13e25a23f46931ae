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
	multiple = 0.5
	warm     = 10.0
	burst    = 1000.0
	period   = 200.0
)

// Whatever share of the traffic each of many nodes has, all nodes together send a server in slow start no more than its capacity in any second,
// and the part that is saved up.
func TestAllNodesKeepToCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 30).Draw(t, "nodes")
		gaps := make([]float64, nodes)
		total := 0.0
		for i := range gaps {
			gaps[i] = rapid.Float64Range(5, 400).Draw(t, "ms between requests")
			total += 1 / gaps[i]
		}
		sent := sendTo(gaps)
		// The measured rate of nodes with little traffic is a little off.
		capacity := multiple * total / warm
		for i := range sent {
			for k := i; k < len(sent); k++ {
				window := sent[k] - sent[i]
				if n := float64(k - i + 1); n > 1.35*capacity*(window+burst)+float64(nodes) {
					t.Fatalf("%.0f in %.0f ms, with a capacity of %.2f and one request for each of %d nodes", n, window, capacity*(window+burst), nodes)
				}
			}
		}
	})
}

// The operators' bound of a server in slow start, in any window in which it may fail: N requests of mean work, 2 roots of N and 2 more; 3 roots
// and 3 where N is under 30. It holds for one node alone, for a few, and for hundreds, however unevenly they are loaded. All of them
// begin with a random part of a token, as the decision module gives them.
func TestOperatorsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 2, 3, 5, 12, 30, 100, 300}).Draw(t, "nodes")
		mean := rapid.Float64Range(5, 2000).Draw(t, "mean ms between requests of a node")
		gaps := make([]float64, nodes)
		total := 0.0
		for i := range gaps {
			gaps[i] = mean * rapid.Float64Range(0.2, 5).Draw(t, "share")
			total += 1 / gaps[i]
		}
		const window = 2 * burst
		allowed := 2 * multiple * total / warm * window
		bound := allowed + 2*math.Sqrt(allowed) + 2
		if allowed < 30 {
			bound = allowed + 3*math.Sqrt(allowed) + 3
		}
		sent := sendTo(gaps)
		first := 0
		for last, at := range sent {
			for at-sent[first] > window {
				first++
			}
			if n := float64(last - first + 1); n > bound {
				t.Fatalf("%.0f within %.0f ms by %d nodes; %.1f allowed, bound %.1f", n, window, nodes, allowed, bound)
			}
		}
	})
}

// sendTo returns the times at which nodes send to a server that starts at 2 s and that all requests prefer; each node has a request per gap in ms.
func sendTo(gaps []float64) (sent []float64) {
	const startsAt, end = 2000, 6000
	meters, buckets := make([]Meter, len(gaps)), make([]Bucket, len(gaps))
	next := make([]float64, len(gaps))
	const spread = 0.618 // of the parts of a token with which nodes begin
	for i := range buckets {
		_, buckets[i].Tokens = math.Modf(spread * float64(i+1))
	}
	for now := 1.0; now < end; now++ {
		for i := range gaps {
			if now < next[i] {
				continue
			}
			next[i] = now + gaps[i]
			bucket := &Bucket{} // of another server
			if now <= startsAt {
				buckets[i].UpdatedAt = now
			} else if meters[i].Allow(now, &buckets[i], multiple, warm, burst, 0) {
				bucket = &buckets[i]
				sent = append(sent, now)
			}
			meters[i].Spend(now, bucket, period, 0)
		}
	}
	return sent
}

// A request with twice the usual work costs twice as much, one of unknown work as much as the usual one, and none so little that it is free.
func TestCost(t *testing.T) {
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

// leaseFleet is a fleet in which half of the nodes, the lenders, lease half of their quotas to the others, and lose all traffic at the moment
// that is the worst for the server.
type leaseFleet struct {
	leases  bool // otherwise nothing is leased
	meters  [2 * lenders]Meter
	buckets [2 * lenders]Bucket
	sent    []float64 // times of requests to the server in slow start
}

// Times of a leaseFleet in ms.
const (
	lenders = 8
	gap     = 2.0 // between the requests of a node

	serverStarts = 5000.0
	leasesStart  = 9000.0
	trafficEnds  = 10_000.0 // of the lenders
	leasesEnd    = 11_000.0
	fleetEnds    = 20_000.0

	capacity = multiple * 2 * lenders / gap / warm // requests per ms that the quotas of all nodes allow
)

func (f *leaseFleet) run() {
	for now := 1.0; now < fleetEnds; now++ {
		for i := range f.meters {
			isLender := i < lenders
			if math.Mod(now, gap) != float64(i%2) || isLender && now > trafficEnds {
				continue
			}
			bucket := &Bucket{} // of another server
			if now > serverStarts && f.allowed(now, i, isLender) {
				bucket = &f.buckets[i]
				f.sent = append(f.sent, now)
			}
			f.meters[i].Spend(now, bucket, period, 0)
		}
	}
}

// allowed reports whether a node may send a request to the server in slow start.
func (f *leaseFleet) allowed(now float64, i int, isLender bool) bool {
	bucket := &f.buckets[i]
	if now <= serverStarts+1 {
		bucket.UpdatedAt = now
	}
	if f.leases && now >= leasesStart && now <= leasesStart+gap {
		own, _ := f.meters[i].Quota(now, bucket, multiple, warm)
		if isLender {
			bucket.Leases = Leases{Lent: own / 2}
		} else {
			bucket.Leases = Leases{Count: 1}
			bucket.Leases.Borrowed[0] = Lease{Rate: own / 2, Until: leasesEnd}
		}
	}
	return f.meters[i].Allow(now, bucket, multiple, warm, burst, 0)
}

// sentIn returns the number of requests sent in a time.
func (f *leaseFleet) sentIn(from, to float64) (n float64) {
	for _, at := range f.sent {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// shareIn returns the rate of requests in a time, as a share of the capacity.
func (f *leaseFleet) shareIn(from, to float64) float64 {
	return f.sentIn(from, to) / (to - from) / capacity
}

// What is borrowed is available until the lease expires, and what is lent is missing. At worst, when all lenders lose their traffic right after they leased
// out the half that they may, a server in slow start is sent no more than twice its capacity in the window in which it fails.
func TestLeases(t *testing.T) {
	for _, leases := range []bool{false, true} {
		t.Run(fmt.Sprintf("leases=%v", leases), func(t *testing.T) {
			withoutLenders := 0.5
			if leases {
				withoutLenders = 0.75
			}
			f := &leaseFleet{leases: leases}
			f.run()
			for _, c := range []struct {
				name           string
				from, to, want float64
			}{
				{"by traffic alone", 6000, leasesStart, 1},
				{"while all nodes have traffic", 9100, 9900, 1},
				{"without the lenders' traffic", 10_100, 10_900, withoutLenders},
				{"after the leases have expired", 12_000, fleetEnds, 0.5},
			} {
				if got := f.shareIn(c.from, c.to); math.Abs(got-c.want) > 0.05 {
					t.Errorf("%s: %.3f of the capacity is sent, want %.2f", c.name, got, c.want)
				}
			}
			const window = 2 * burst
			for from := serverStarts + 1; from < 18_000; from += 50 {
				if got := f.sentIn(from, from+window); got > 2*capacity*window+2*lenders {
					t.Errorf("%.0f are sent in the window from %.0f, and the server fails at %.0f", got, from, 2*capacity*window)
				}
			}
		})
	}
}

// Nothing that is borrowed is saved up.
func TestBorrowedIsNotSavedUp(t *testing.T) {
	m := Meter{Rate: 1e-6}
	b := Bucket{UpdatedAt: 1, Leases: Leases{Count: 1}}
	b.Leases.Borrowed[0] = Lease{Rate: 1, Until: 1e9}
	n := 0
	for m.Allow(1e6, &b, multiple, warm, burst, 0) {
		b.Tokens--
		n++
	}
	if n > 1 {
		t.Errorf("%d borrowed requests are sent at once after an idle time", n)
	}
}
