package quota

import (
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// message is a request or a grant that was sent. It may be delivered at any time and more than once.
type message struct {
	from, to    int
	incarnation cluster.Incarnation // of the sender
	request     *wire.QuotaRequest  // nil: a grant
	grant       *wire.QuotaGrant    // nil: a request
}

// randomFleet is a fleet whose messages are lost, delayed, duplicated and reordered at random, with clocks that differ.
type randomFleet struct {
	config      Config
	fromTraffic bool
	ledgers     []*Ledger

	incarnations    []cluster.Incarnation
	lastIncarnation cluster.Incarnation

	up          []bool
	skew, drift []float64
	sent        []message
	now         float64 // true time, ms
}

func newRandomFleet(config Config, fromTraffic bool) *randomFleet {
	nodes := config.MaxNodes
	return &randomFleet{
		config:       config,
		fromTraffic:  fromTraffic,
		ledgers:      make([]*Ledger, nodes),
		incarnations: make([]cluster.Incarnation, nodes),
		up:           make([]bool, nodes),
		skew:         make([]float64, nodes),
		drift:        make([]float64, nodes),
		now:          1e6,
	}
}

// clock returns the time on a node's clock.
func (f *randomFleet) clock(i int) float64 { return f.now*(1+f.drift[i]) + f.skew[i] }

// start starts a node as a new incarnation without state.
func (f *randomFleet) start(i int) {
	config := f.config
	config.Self = cluster.NodeID(i)
	f.lastIncarnation++
	f.ledgers[i] = New(f.clock(i), config, f.lastIncarnation)
	f.incarnations[i], f.up[i] = f.lastIncarnation, true
}

// tick sends the requests of a node. All nodes count as members, so that as many units as possible are leased out.
func (f *randomFleet) tick(t *rapid.T, i int) {
	for _, r := range f.ledgers[i].Tick(f.clock(i), allMembers) {
		if r.FromTraffic != f.fromTraffic {
			t.Fatalf("a request has the wrong FromTraffic: %+v", r)
		}
		f.sent = append(f.sent, message{from: i, to: int(r.To), incarnation: f.incarnations[i], request: &r.QuotaRequest})
	}
}

func (f *randomFleet) deliver(m message) {
	if !f.up[m.to] {
		return
	}
	receiver, now, from := f.ledgers[m.to], f.clock(m.to), cluster.NodeID(m.from)
	if m.request != nil {
		grant := receiver.HandleRequest(now, from, m.incarnation, f.fromTraffic, *m.request)
		f.sent = append(f.sent, message{from: m.to, to: m.from, grant: &grant})
	}
	if m.grant != nil {
		receiver.HandleGrant(now, from, *m.grant)
	}
}

// deliverAny delivers a random message, which may be old or a duplicate.
func (f *randomFleet) deliverAny(t *rapid.T) {
	if len(f.sent) > 0 {
		f.deliver(f.sent[rapid.IntRange(0, len(f.sent)-1).Draw(t, "message")])
	}
}

// deliverLatest delivers the latest n messages in order, and the answers to them.
func (f *randomFleet) deliverLatest(n int) {
	for i := max(0, len(f.sent)-n); i < len(f.sent); i++ {
		f.deliver(f.sent[i])
	}
}

var (
	drawDrift  = rapid.SampledFrom([]float64{-0.024, 0, 0.024})
	drawDemand = rapid.SampledFrom([]float64{0.02, 0.5, 1})
)

// At no moment may all nodes together spend more than the whole budget, while messages are lost, delayed, duplicated and reordered, nodes crash,
// restart and are suspended, and clocks differ and run up to 2.4% fast or slow.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 4).Draw(t, "nodes")
		f := newRandomFleet(Config{QuotaOwners: rapid.IntRange(1, nodes).Draw(t, "quota owners"), MaxNodes: nodes, LeaseMs: leaseMs}, false)
		demand := make([]float64, nodes)
		for i := range nodes {
			f.drift[i] = drawDrift.Draw(t, "drift")
			f.skew[i] = rapid.Float64Range(-10_000, 10_000).Draw(t, "skew")
			demand[i] = drawDemand.Draw(t, "demand")
			f.start(i)
		}
		f.now += 2 * leaseMs
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0:
				f.up[i] = false
			case 1:
				f.start(i)
			case 2:
				demand[i] = drawDemand.Draw(t, "demand")
			case 3:
				f.now += rapid.SampledFrom([]float64{1, 300, 0.97 * leaseMs, 1.02 * leaseMs, 1.06 * leaseMs}).Draw(t, "ms")
			case 4, 5, 6:
				f.deliverAny(t)
			case 7, 8, 9:
				f.deliverLatest(6)
			default:
				if f.up[i] {
					f.ledgers[i].SetDemand(f.clock(i), budget, demand[i])
					f.tick(t, i)
				}
			}
			f.checkBudget(t)
		}
	})
}

// checkBudget fails if all nodes together may spend more than the whole budget.
func (f *randomFleet) checkBudget(t *rapid.T) {
	sum := 0.0
	for i, ledger := range f.ledgers {
		if f.up[i] {
			allowance := ledger.Allowance(f.clock(i), budget)
			sum += allowance.ShareAt(f.clock(i))
		}
	}
	if sum > 1 {
		t.Fatalf("all nodes together may spend %.4f of the budget, want at most 1", sum)
	}
}

// trafficFleet is a random fleet in which each node's quota follows from its own traffic.
type trafficFleet struct {
	*randomFleet
	quotas, demands []float64
	pastQuotas      [][]pastQuota // by node
}

// pastQuota is an earlier quota of a node and the time when it ended.
type pastQuota struct{ until, quota float64 }

func (f *trafficFleet) drawQuota(t *rapid.T, i int) {
	f.pastQuotas[i] = append(f.pastQuotas[i], pastQuota{f.now, f.quotas[i]})
	f.quotas[i] = rapid.SampledFrom([]float64{0, 0.001, 0.02, 0.3}).Draw(t, "quota")
}

func (f *trafficFleet) applyQuota(i int) {
	f.ledgers[i].SetTrafficQuota(f.clock(i), budget, f.quotas[i], f.demands[i])
}

// start starts a node and sets its quota.
func (f *trafficFleet) start(i int) {
	f.randomFleet.start(i)
	f.applyQuota(i)
}

// maxRecentQuota returns the largest quota that a node had within the duration of a lease.
func (f *trafficFleet) maxRecentQuota(i int) float64 {
	largest := f.quotas[i]
	for _, past := range f.pastQuotas[i] {
		if f.now-past.until < 1.08*leaseMs {
			largest = max(largest, past.quota)
		}
	}
	return largest
}

// checkQuotas fails if all nodes together may spend more than the sum of their quotas. Unless their traffic is steady, half of the largest
// recent quota of each node is allowed in addition.
func (f *trafficFleet) checkQuotas(t *rapid.T, steady bool) {
	const tolerance = 1e-5
	spendable, quotas, allowedExcess := 0.0, 0.0, 0.0
	for i, ledger := range f.ledgers {
		allowedExcess += retainedTrafficShare * f.maxRecentQuota(i)
		if f.up[i] {
			allowance := ledger.Allowance(f.clock(i), budget)
			spendable += max(0, f.quotas[i]-float64(allowance.LentUnits)/TotalUnits) + allowance.borrowedShare(f.clock(i))
			quotas += f.quotas[i]
		}
	}
	if spendable > quotas+allowedExcess+tolerance {
		t.Fatalf("all nodes together may spend %.5f, the sum of quotas is %.5f and that of the largest recent ones %.5f",
			spendable, quotas, allowedExcess/retainedTrafficShare)
	}
	if steady && spendable > quotas+tolerance {
		t.Fatalf("all nodes together may spend %.5f with steady traffic, the sum of quotas is %.5f", spendable, quotas)
	}
}

// Nodes whose quotas follow from traffic must not spend more than the sum of their quotas and half of the largest quota that each had within
// the duration of a lease, while messages are lost, delayed and duplicated, nodes crash and restart, and their traffic changes.
func TestTrafficQuotasAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 5).Draw(t, "nodes")
		f := &trafficFleet{
			randomFleet: newRandomFleet(Config{QuotaOwners: 1, MaxNodes: nodes, LeaseMs: leaseMs}, true),
			quotas:      make([]float64, nodes),
			demands:     make([]float64, nodes),
			pastQuotas:  make([][]pastQuota, nodes),
		}
		steady := rapid.Bool().Draw(t, "steady traffic") // in which case nodes restart but do not stay down
		for i := range nodes {
			f.drift[i] = drawDrift.Draw(t, "drift")
			f.drawQuota(t, i)
			f.demands[i] = rapid.SampledFrom([]float64{0, 0.01, 0.5}).Draw(t, "demand")
			f.start(i)
		}
		f.now += 2 * leaseMs
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0:
				f.up[i] = steady
			case 1:
				f.start(i)
			case 2:
				if !steady {
					f.drawQuota(t, i)
				}
			case 3:
				f.now += rapid.SampledFrom([]float64{1, 300, 0.97 * leaseMs, 1.06 * leaseMs}).Draw(t, "ms")
			case 4, 5:
				f.deliverAny(t)
			case 6, 7, 8:
				f.deliverLatest(8)
			default:
				if f.up[i] {
					f.applyQuota(i)
					f.tick(t, i)
				}
			}
			f.checkQuotas(t, steady)
		}
	})
}
