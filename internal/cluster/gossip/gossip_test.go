package gossip

import (
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

// testFleet is a simulated network of nodes that share everything.
type testFleet struct {
	*simnet.Network
	nodes             []*SimulatedNode
	config            Config
	maxSpendableShare float64 // the greatest share of the budget that all nodes together could spend at any moment
}

func newFleet(nodes int, seed uint64) *testFleet {
	f := &testFleet{
		Network: simnet.New(nodes, seed),
		nodes:   make([]*SimulatedNode, nodes),
		config: Config{
			Fleet:           "north",
			MaxNodes:        nodes,
			QuotaOwners:     nodes,
			ProbeIntervalMs: 500,
			ProbeTimeoutMs:  100,
			LeaseMs:         leaseMs,
			EvidenceTTLMs:   10_000,
			ShareQuotas:     true,
			ShareEvidence:   true,
			ShareCounters:   true,
		},
	}
	f.OnEvent = func() {
		sum := 0.0
		for i, node := range f.nodes {
			if f.Nodes[i].Up {
				sum += node.AllowedShare(f.Nodes[i].LocalTime(f.Now), budget)
			}
		}
		f.maxSpendableShare = max(f.maxSpendableShare, sum)
	}
	return f
}

// start starts a node as a new incarnation, which keeps only the demands of the earlier one.
func (f *testFleet) start(i int) {
	config := f.config
	config.Self, config.Seed = cluster.NodeID(i), f.Rng.Uint64()
	now := f.Nodes[i].LocalTime(f.Now)
	demands := map[uint32]float64{}
	if previous := f.nodes[i]; previous != nil {
		demands = previous.Demands
	}
	f.nodes[i] = NewSimulatedNode(New(now, config, cluster.NewIncarnation(now, f.Rng.Float64())))
	f.nodes[i].Demands = demands
	f.Start(i, f.nodes[i], f.nodes[i].Incarnation)
}

// cutLinks cuts the links from some nodes to others.
func (f *testFleet) cutLinks(from, to []int) {
	f.Links.Set(from, to, func(link *faultrelay.Link) { link.Cut = true })
}

// faultScenarios are the cases in which a shared budget is most likely to be exceeded. Each injects faults into a fleet.
var faultScenarios = map[string]func(f *testFleet){
	"all isolated": func(f *testFleet) {
		f.cutLinks(f.NodeIndexes(), f.NodeIndexes())
		f.Run(10_000)
		f.Links.Heal()
	},
	"a third hears and is not heard": func(f *testFleet) {
		f.cutLinks(f.NodeIndexes()[:3], f.NodeIndexes())
		f.Run(30_000)
		f.Links.Heal()
	},
	"one way around a ring": func(f *testFleet) {
		for i := range f.nodes {
			f.cutLinks([]int{i}, []int{(i + 1) % len(f.nodes)})
		}
		f.Run(30_000)
		f.Links.Heal()
	},
	"a partition that opens and heals during leases": func(f *testFleet) {
		a, b := f.NodeIndexes()[:4], f.NodeIndexes()[4:]
		for range 40 {
			f.cutLinks(a, b)
			f.cutLinks(b, a)
			f.Run(150 + 300*f.Rng.Float64())
			f.Links.Heal()
			f.Run(150 + 300*f.Rng.Float64())
		}
	},
	"late duplicates": func(f *testFleet) {
		f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) { link.Duplicates, link.DuplicateDelayMs = 3, 5000 })
		f.Run(30_000)
	},
	"suspended with leases": func(f *testFleet) {
		f.Nodes[0].Suspended = true
		f.Run(30_000)
		f.Nodes[0].Suspended = false
		f.Run(100)
	},
	"restarted many times without memory": func(f *testFleet) {
		for range 30 {
			f.start(f.Rng.IntN(len(f.nodes)))
			f.Run(700)
		}
	},
	"half killed during a shortage": func(f *testFleet) {
		for i := range 4 {
			f.Kill(i + 4)
		}
		f.Run(20_000)
		for i := range 4 {
			f.start(i + 4)
		}
	},
	corruptionCase: func(f *testFleet) {
		f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) {
			link.CorruptRate, link.TruncateRate, link.LossRate, link.JitterMs = 0.1, 0.1, 0.1, 700
		})
		f.Run(20_000)
		f.Links.Heal()
	},
}

// corruptionCase names the scenario in which some datagrams must be corrupted.
const corruptionCase = "corruption, loss and jitter"

// The allowances in effect at all nodes together never exceed the budget in any fault scenario, and afterwards the nodes can use most of it
// again.
func TestBudgetIsNeverExceeded(t *testing.T) {
	for name, injectFaults := range faultScenarios {
		t.Run(name, func(t *testing.T) {
			f := startSkewedFleet(8)
			f.Run(8000)
			injectFaults(f)
			if f.maxSpendableShare > 1 {
				t.Errorf("%.4f of the budget could be spent", f.maxSpendableShare)
			}
			if name == corruptionCase && f.MalformedDatagrams == 0 {
				t.Error("no datagram was corrupted")
			}
			f.Run(60_000)
			usable := f.usableShare()
			if usable < 0.8 || f.nodes[2].MemberCount() != 8 {
				t.Errorf("long afterwards %.3f of the budget can be used, and node 2 knows %d nodes", usable, f.nodes[2].MemberCount())
			}
			if f.maxSpendableShare > 1 {
				t.Errorf("%.4f of the budget could be spent afterwards", f.maxSpendableShare)
			}
		})
	}
}

// startSkewedFleet starts nodes whose clocks differ, with different demands for the budget.
func startSkewedFleet(nodes int) *testFleet {
	f := newFleet(nodes, 11)
	for i, node := range f.Nodes {
		node.SkewMs, node.Drift = float64(i%3-1)*10_000, float64(i%3-1)*0.01
		f.start(i)
		f.nodes[i].Demands[budget] = []float64{0.02, 0.05, 0.45}[i%3]
	}
	return f
}

// usableShare returns the share of the budget that all nodes together both demand and may spend.
func (f *testFleet) usableShare() float64 {
	share := 0.0
	for i, node := range f.nodes {
		share += min(node.Demands[budget], node.AllowedShare(f.Nodes[i].LocalTime(f.Now), budget))
	}
	return share
}

// Datagrams of another fleet, for another node, from the address of another node, or malformed are counted and change nothing.
func TestForeignDatagrams(t *testing.T) {
	f := newFleet(3, 1)
	for i := range 3 {
		f.start(i)
	}
	f.Run(5000)
	node := f.nodes[0]
	before := node.Received()
	m := &wire.Message{Kind: wire.Ping, Fleet: wire.HashFleet("south"), From: 1, To: 0, Incarnation: 99}
	for i, b := range [][]byte{m.Append(nil), {1, 2, 3}} {
		if out := node.HandleDatagram(f.Now, 1, b); out != nil {
			t.Errorf("foreign datagram %d is answered", i)
		}
	}
	m.Fleet, m.To = wire.HashFleet("north"), 2
	node.HandleDatagram(f.Now, 1, m.Append(nil))
	m.To = 0
	node.HandleDatagram(f.Now, 2, m.Append(nil))
	got := node.Received()
	if got.Foreign != before.Foreign+3 || got.Malformed != before.Malformed+1 || got.Datagrams != before.Datagrams {
		t.Errorf("%+v, before %+v", got, before)
	}
}

// The traffic of a node does not grow with the fleet.
func TestTrafficDoesNotGrow(t *testing.T) {
	perSecond := func(nodes int) (datagrams, bytes float64) {
		f := newFleet(nodes, 2)
		f.TickIntervalMs = 50
		f.OnEvent = nil
		for i := range nodes {
			f.start(i)
		}
		f.Run(15_000)
		f.SentDatagrams, f.SentBytes = 0, 0
		f.Run(20_000)
		return float64(f.SentDatagrams) / 20 / float64(nodes), float64(f.SentBytes) / 20 / float64(nodes)
	}
	datagrams10, bytes10 := perSecond(10)
	datagrams100, bytes100 := perSecond(100)
	if datagrams100 > 1.3*datagrams10 || bytes100 > 1.5*bytes10 || datagrams100 > 8 {
		t.Errorf("10 nodes: %.1f datagrams and %.0f bytes per second each; 100 nodes: %.1f and %.0f", datagrams10, bytes10, datagrams100, bytes100)
	}
}
