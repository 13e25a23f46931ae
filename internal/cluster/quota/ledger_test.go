package quota

import (
	"fmt"
	"testing"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/simnet"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

const (
	budget  = 7
	leaseMs = 2000
)

// allMembers reports every node as a member, so that as many units as possible are leased out.
func allMembers(cluster.NodeID) bool { return true }

// ledgerProcess runs a Ledger on a simulated network.
type ledgerProcess struct {
	*Ledger
	demand *float64
}

func (p ledgerProcess) Tick(now float64) (out []*wire.Message) {
	if *p.demand > 0 {
		p.SetDemand(now, budget, *p.demand)
	}
	for _, r := range p.Ledger.Tick(now, allMembers) {
		out = append(out, &wire.Message{Kind: wire.Gossip, To: r.To, QuotaRequests: []wire.QuotaRequest{r.QuotaRequest}})
	}
	return out
}

func (p ledgerProcess) Handle(now float64, m *wire.Message) (out []*wire.Message) {
	for _, r := range m.QuotaRequests {
		grant := p.HandleRequest(now, m.From, m.Incarnation, false, r)
		out = append(out, &wire.Message{Kind: wire.Gossip, To: m.From, QuotaGrants: []wire.QuotaGrant{grant}})
	}
	for _, grant := range m.QuotaGrants {
		p.HandleGrant(now, m.From, grant)
	}
	return out
}

// testFleet is a simulated network of nodes that share a budget.
type testFleet struct {
	*simnet.Network
	config         Config
	ledgers        []*Ledger // by node
	demands        []float64 // by node
	maxSpendable   float64   // largest share of the budget that all nodes together could spend at any moment
	maxSpendableAt string
}

func newFleet(nodes, quotaOwners, maxNodes int, seed uint64) *testFleet {
	f := &testFleet{
		Network: simnet.New(nodes, seed),
		config:  Config{QuotaOwners: quotaOwners, MaxNodes: maxNodes, LeaseMs: leaseMs},
		ledgers: make([]*Ledger, nodes),
		demands: make([]float64, nodes),
	}
	f.OnEvent = func() {
		if sum := f.spendableShare(); sum > f.maxSpendable {
			f.maxSpendable = sum
			f.maxSpendableAt = fmt.Sprintf("%.0f ms", f.Now)
		}
	}
	return f
}

// start starts a node as a new incarnation without state.
func (f *testFleet) start(i int) {
	config := f.config
	config.Self = cluster.NodeID(i)
	now := f.Nodes[i].LocalTime(f.Now)
	incarnation := cluster.NewIncarnation(now, f.Rng.Float64())
	f.ledgers[i] = New(now, config, incarnation)
	f.Start(i, ledgerProcess{f.ledgers[i], &f.demands[i]}, func() cluster.Incarnation { return incarnation })
}

// allowedShare returns the share of the budget that a node may spend now.
func (f *testFleet) allowedShare(i int) float64 {
	now := f.Nodes[i].LocalTime(f.Now)
	allowance := f.ledgers[i].Allowance(now, budget)
	return allowance.ShareAt(now)
}

// spendableShare returns the share of the budget that all running processes may spend, including suspended ones.
func (f *testFleet) spendableShare() (sum float64) {
	for i, node := range f.Nodes {
		if node.Up {
			sum += f.allowedShare(i)
		}
	}
	return sum
}

// usableShare returns the share of the budget that the nodes can use: of each running node, its demand up to its allowance.
func (f *testFleet) usableShare() (sum float64) {
	for i, node := range f.Nodes {
		if node.Up {
			sum += min(f.demands[i], f.allowedShare(i))
		}
	}
	return sum
}

// The budget must not be exceeded in a long run with frequent faults of nodes and links.
func TestBudgetIsNeverExceededForLong(t *testing.T) {
	const nodes = 6
	for seed := range uint64(6) {
		f := newFleet(nodes, nodes, nodes, seed+1)
		for i, node := range f.Nodes {
			node.SkewMs, node.Drift = 20_000*f.Rng.Float64()-10_000, 0.046*f.Rng.Float64()-0.023
			f.start(i)
		}
		for range 200 {
			f.injectFault(f.Rng.IntN(nodes))
			f.Run(1.5 * leaseMs * f.Rng.Float64())
		}
		if f.maxSpendable > 1 {
			t.Errorf("seed %d: all nodes together may spend %.4f of the budget at %s, want at most 1", seed+1, f.maxSpendable, f.maxSpendableAt)
		}
		if f.MalformedDatagrams == 0 {
			t.Errorf("seed %d: no datagram was corrupted", seed+1)
		}
	}
}

// injectFault injects a random fault into a node or all links, or changes the node's demand.
func (f *testFleet) injectFault(i int) {
	all := f.NodeIndexes()
	switch node := f.Nodes[i]; f.Rng.IntN(8) {
	case 0:
		f.Kill(i)
	case 1:
		f.start(i)
	case 2:
		node.Suspended = !node.Suspended
	case 3:
		f.Links.Set([]int{i}, all, func(link *faultrelay.Link) { link.Cut = !link.Cut })
	case 4:
		f.Links.Set(all, all, func(link *faultrelay.Link) {
			*link = faultrelay.Link{
				LossRate:         0.1,
				DelayMs:          1900 * f.Rng.Float64(),
				JitterMs:         900,
				Duplicates:       f.Rng.IntN(4),
				DuplicateDelayMs: 1700,
				CorruptRate:      0.05,
			}
		})
	case 5:
		f.Links.Heal()
	default:
		f.demands[i] = []float64{0, 0.01, 0.3, 0.9}[f.Rng.IntN(4)]
	}
}

// Nodes with much traffic borrow from nodes with little. Isolated nodes may spend their own units. An isolated
// node that restarts may spend at least a part of its own units.
func TestBusyNodesBorrow(t *testing.T) {
	f := newFleet(9, 9, 9, 3)
	usableEvenShares := 0.0
	for i := range f.demands {
		f.demands[i] = []float64{1, 5, 20}[i%3] / 26 / 3 * 0.8
		if i == 8 {
			f.demands[i] += 0.1
		}
		usableEvenShares += min(f.demands[i], 1.0/9)
		f.start(i)
	}
	f.Run(6 * leaseMs)
	if used := f.usableShare(); used < 0.86 || usableEvenShares > 0.55 {
		t.Errorf("%.3f of a demand of 0.9 can be used, want at least 0.86; %.3f with even shares, want at most 0.55", used, usableEvenShares)
	}
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) { link.Cut = true })
	f.Run(3 * leaseMs)
	for i := range f.ledgers {
		if got := f.allowedShare(i); got < 0.99/9 || got > 1.01/9 {
			t.Errorf("isolated node %d may spend %.4f, want 1/9", i, got)
		}
	}
	f.start(0) // the new incarnation does not know what the previous one leased out
	if got := f.allowedShare(0); got < 0.01 || got > 0.5/9 {
		t.Errorf("isolated node that has just restarted may spend %.4f, want 0.01 to 0.5/9", got)
	}
}

// A fleet grows from its quota owners to the maximum number of nodes and shrinks again. A node that joins late has its floor and borrows.
func TestGrowingFleet(t *testing.T) {
	f := newFleet(30, 3, 20, 5)
	for i := range 3 {
		f.start(i)
	}
	f.Run(3 * leaseMs)
	for i := 3; i < 20; i++ {
		f.start(i)
	}
	f.demands[15] = 0.3
	f.Run(3 * leaseMs)
	if got := f.allowedShare(15); got < 0.29 {
		t.Errorf("a node that joined late may spend %.3f with a demand of 0.3, want at least 0.29", got)
	}
	if f.allowedShare(16) <= 0 {
		t.Error("a node that joined late may spend nothing")
	}
	for i := 3; i < 30; i++ {
		f.Kill(i)
	}
	f.Run(3 * leaseMs)
	f.demands[0] = 0.8
	f.Run(6 * leaseMs)
	if got := f.allowedShare(0); got < 0.6 {
		t.Errorf("after the other nodes have left, a quota owner may spend %.3f, want at least 0.6", got)
	}
	if f.maxSpendable > 1 {
		t.Errorf("all nodes together may spend %.4f of the budget at %s, want at most 1", f.maxSpendable, f.maxSpendableAt)
	}
}

// A borrower that is suspended and resumes after its leases have expired may spend only its own units and a bounded number of saved tokens.
func TestSuspendedBorrower(t *testing.T) {
	f := newFleet(3, 3, 3, 8)
	for i := range 3 {
		f.start(i)
	}
	f.demands[0] = 0.9
	f.Run(3 * leaseMs)
	now := f.Nodes[0].LocalTime(f.Now)
	allowance := f.ledgers[0].Allowance(now, budget)
	if allowance.ShareAt(now) < 0.6 {
		t.Fatalf("it may spend %.2f with its leases, want at least 0.6", allowance.ShareAt(now))
	}
	if remaining := allowance.ShareAt(now + 30_000); remaining > 0.34 {
		t.Errorf("30 s later it may spend %.2f with the same allowance, want at most 0.34", remaining)
	}
	var bucket Bucket
	spent := 0
	for at := now; at < now+1000; at += 10 {
		if ok, _ := bucket.Take(at, 100, &allowance); ok {
			spent++
		}
	}
	if spent < 55 || spent > 100 {
		t.Errorf("%d spent in a second of a budget of 100, want 55 to 100", spent)
	}
	spent = 0
	for ok := true; ok; spent++ {
		ok, _ = bucket.Take(now+30_000, 100, &allowance)
	}
	if spent > 1+100*bucketDepthMs/1000 {
		t.Errorf("%d spent at once after the suspension, want at most the bucket depth", spent)
	}
}

// A delayed grant for a request of the previous incarnation is ignored, even if a request of this one has the same number.
func TestGrantToPreviousIncarnation(t *testing.T) {
	config := Config{QuotaOwners: 2, MaxNodes: 2, LeaseMs: leaseMs}
	lender := New(0, config, 1)
	config.Self = 1
	previous, current := New(0, config, 1<<32+5), New(2*leaseMs, config, 7<<32+5)
	previous.SetDemand(3*leaseMs, budget, 0.9)
	request := previous.Tick(3*leaseMs, allMembers)[0].QuotaRequest
	grant := lender.HandleRequest(3*leaseMs, 1, 1<<32+5, false, request)
	current.SetDemand(3.9*leaseMs, budget, 0.9)
	if repeated := current.Tick(3.9*leaseMs, allMembers)[0].QuotaRequest; repeated.Seq != request.Seq || grant.Units == 0 {
		t.Fatalf("requests %+v and %+v, grant %+v; want equal sequence numbers and units granted", request, repeated, grant)
	}
	current.HandleGrant(3.9*leaseMs, 0, grant)
	if allowance := current.Allowance(4.5*leaseMs, budget); allowance.LeaseCount > 0 {
		t.Error("a grant for the previous incarnation is accepted")
	}
}

const trafficNodes = 6

// newTrafficLedgers returns the ledgers of nodes whose quotas of the budget follow from traffic, after they have leased units to the two nodes
// with demand.
func newTrafficLedgers(t *testing.T) (ledgers [trafficNodes]*Ledger, now float64) {
	t.Helper()
	for i := range ledgers {
		config := Config{Self: cluster.NodeID(i), QuotaOwners: trafficNodes, MaxNodes: trafficNodes, LeaseMs: leaseMs}
		ledgers[i] = New(0, config, cluster.Incarnation(i+1))
	}
	now = 3 * leaseMs
	for step := range 400 {
		now += leaseMs / 40
		for i, ledger := range ledgers {
			demand := 0.0
			if i < 2 {
				demand = 0.05
			}
			ledger.SetTrafficQuota(now, budget, 0.01, demand)
			for _, r := range ledger.Tick(now, allMembers) {
				grant := ledgers[r.To].HandleRequest(now, cluster.NodeID(i), cluster.Incarnation(i+1), r.FromTraffic, r.QuotaRequest)
				ledger.HandleGrant(now, r.To, grant)
			}
		}
		if step < 100 {
			continue
		}
		used := 0.0
		for _, ledger := range ledgers[:2] {
			allowance := ledger.Allowance(now, budget)
			used += 0.01 - float64(allowance.LentUnits)/TotalUnits + allowance.borrowedShare(now)
		}
		if used < 0.035 || used > 0.0401 { // the quotas of the two nodes and half of the other four
			t.Fatalf("the two nodes with demand may spend %.4f of 0.06, want 0.035 to 0.0401", used)
		}
	}
	return ledgers, now
}

// Nodes without demand lease parts of quotas that follow from traffic to nodes with demand. A request is refused if it is for the other kind of
// budget or if the quota was never set.
func TestTrafficQuotasAreLeased(t *testing.T) {
	ledgers, now := newTrafficLedgers(t)
	request := wire.QuotaRequest{Budget: budget, Seq: 1 << 30, Units: 9}
	if grant := ledgers[5].HandleRequest(now, 0, 1, false, request); grant.Units > 0 {
		t.Error("a request for a budget of fixed size is granted from a quota that follows from traffic")
	}
	unknown := request
	unknown.Budget++
	if grant := ledgers[5].HandleRequest(now, 0, 1, true, unknown); grant.Units > 0 {
		t.Error("units are leased out of a quota that was never set")
	}
}

// A node leases out no units of a quota that follows from traffic while leases of its previous incarnation may exist, or when the quota has
// not been set for a long time.
func TestTrafficQuotaExpires(t *testing.T) {
	const start = 13.0 * leaseMs
	request := wire.QuotaRequest{Budget: budget, Seq: 1 << 30, Units: 9}
	ledger := New(start, Config{Self: 5, QuotaOwners: trafficNodes, MaxNodes: trafficNodes, LeaseMs: leaseMs}, 99)
	ledger.SetTrafficQuota(start, budget, 0.01, 0)
	if grant := ledger.HandleRequest(start+leaseMs, 0, 1, true, request); grant.Units > 0 {
		t.Error("units are leased out before leases of the previous incarnation have expired")
	}
	ledger.SetTrafficQuota(start+leaseMs, budget, 0.01, 0)
	if grant := ledger.HandleRequest(start+2*leaseMs, 1, 2, true, request); grant.Units != 9 {
		t.Errorf("granted %d units, want 9", grant.Units)
	}
	if grant := ledger.HandleRequest(start+4*leaseMs, 2, 3, true, request); grant.Units > 0 {
		t.Error("units are leased out of a quota that has not been set for a long time")
	}
}
