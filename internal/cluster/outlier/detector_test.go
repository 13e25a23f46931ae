package outlier

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/simnet"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

const (
	ttlMs      = 10_000
	fleetNodes = 12 // number of nodes that a testNode assumes
)

// testNode is a node that receives its evidence from other nodes from the test.
type testNode struct {
	*Detector
	now     float64
	changes map[uint32]Change // latest change, by server
}

func newNode(servers int) *testNode {
	n := &testNode{Detector: New(Config{Self: 0, MaxNodes: 100, TTLMs: ttlMs}), now: 1e6, changes: map[uint32]Change{}}
	n.SetServerCount(servers)
	return n
}

// receive merges evidence of a source into the node.
func (n *testNode) receive(source cluster.NodeID, server uint32, verdict wire.Verdict) {
	n.MergeEvidence(n.now, &wire.Message{Evidence: []wire.Evidence{{Source: source, Server: server, Verdict: verdict, Attempts: 9}}})
}

// tick advances the time and calls Tick.
func (n *testNode) tick(ms float64) {
	n.now += ms
	for _, change := range n.Tick(n.now, fleetNodes) {
		n.changes[change.Server] = change
	}
}

// Evidence from two sources lowers the threshold, evidence from one does not. It expires unless it is renewed. Responses that other nodes
// received raise the threshold only if the node itself observes failures of the server.
func TestEvidenceBiasesThreshold(t *testing.T) {
	n := newNode(12)
	n.receive(1, 7, wire.Failing)
	n.tick(200)
	if n.changes[7].Bias != 0 {
		t.Error("a single source has an effect")
	}
	n.receive(1, 7, wire.Failing)
	n.receive(2, 7, wire.Failing)
	n.tick(200)
	if n.changes[7].Bias != maxBias {
		t.Errorf("two sources cause a bias of %v, want %v", n.changes[7].Bias, maxBias)
	}
	for range 4 {
		n.Observe(n.now, 7, true)
	}
	n.receive(1, 7, wire.Healthy)
	n.tick(300)
	n.receive(1, 7, wire.Healthy)
	n.receive(2, 7, wire.Healthy)
	n.tick(300)
	if n.changes[7].Bias != minBias {
		t.Errorf("other nodes' responses cause a bias of %v, want %v", n.changes[7].Bias, minBias)
	}
	n.receive(3, 8, wire.Failing)
	n.receive(4, 8, wire.Failing)
	n.receive(3, 9, wire.Duplicating)
	n.receive(4, 9, wire.Duplicating)
	n.tick(200)
	if n.changes[8].Bias != maxBias || !n.changes[9].Duplicating {
		t.Errorf("changes %+v, want a bias of server 8 and server 9 duplicating", n.changes)
	}
	n.tick(ttlMs)
	if n.changes[8].Bias != 0 || n.changes[9].Duplicating {
		t.Error("evidence that is not renewed does not expire")
	}
	n.receive(3, 8, wire.Healthy)
	n.receive(4, 8, wire.Healthy)
	n.tick(200)
	if n.changes[8].Bias != 0 {
		t.Error("other nodes' responses cause a bias for a server that this node has no evidence of")
	}
}

// While several sources report a server as failing, all nodes together send just enough trial requests to renew the evidence. As soon as one
// node receives a response, each sends trial requests as if it were alone. A node that sends few trial requests publishes its first response.
func TestTrialInterval(t *testing.T) {
	n := newNode(12)
	n.receive(1, 7, wire.Failing)
	n.tick(200)
	if n.changes[7].TrialIntervalMs != 0 {
		t.Error("a single source lengthens the trial interval")
	}
	n.receive(2, 7, wire.Failing)
	n.tick(200)
	if want := float64(fleetNodes) * ttlMs / trialsPerSource / 2; n.changes[7].TrialIntervalMs != want {
		t.Errorf("with %d nodes the trial interval is %.0f ms, want %.0f", fleetNodes, n.changes[7].TrialIntervalMs, want)
	}
	for range 6 {
		n.Observe(n.now, 7, true)
	}
	n.tick(ttlMs / 2)
	for _, source := range []cluster.NodeID{1, 2, 3} {
		n.receive(source, 7, wire.Failing)
	}
	n.tick(0.9 * ttlMs)
	if n.changes[7].TrialIntervalMs == 0 {
		t.Error("renewed evidence has no effect")
	}
	n.Observe(n.now, 7, false)
	m := &wire.Message{}
	n.AppendEvidence(n.now, m, 9, fleetNodes)
	if !slices.ContainsFunc(m.Evidence, func(e wire.Evidence) bool { return e.Source == 0 && e.Verdict == wire.Healthy }) {
		t.Errorf("the first response after a long time is not published: %+v", m.Evidence)
	}
	n.receive(3, 7, wire.Healthy)
	n.tick(200)
	if n.changes[7].TrialIntervalMs != 0 || n.changes[7].Bias != maxBias {
		t.Errorf("after one node received a response the change is %+v, want the full bias and no trial interval", n.changes[7])
	}
	n.tick(ttlMs)
	if n.changes[7].TrialIntervalMs != 0 || n.changes[7].Bias != 0 {
		t.Error("evidence that is not renewed does not expire")
	}
}

// False evidence from any number of sources must not bias more than a fixed share of the servers, nor exceed the bounds of the bias. A single
// source has no effect.
func TestFalseEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 40).Draw(t, "servers")
		n := newNode(servers)
		sources := rapid.IntRange(1, 30).Draw(t, "false sources")
		for range rapid.IntRange(1, 150).Draw(t, "messages") {
			source := cluster.NodeID(1 + rapid.IntRange(0, sources-1).Draw(t, "source"))
			server := uint32(rapid.IntRange(0, servers-1).Draw(t, "server"))
			n.receive(source, server, wire.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")))
			if rapid.Bool().Draw(t, "tick") {
				n.tick(rapid.SampledFrom([]float64{110, 500, 6000}).Draw(t, "ms"))
			}
			biased := n.checkChanges(t)
			if limit := max(1, servers/4); biased > limit || sources == 1 && biased > 0 {
				t.Fatalf("%d false sources bias %d of %d servers", sources, biased, servers)
			}
		}
	})
}

// checkChanges checks the bounds of the reported changes. It returns the number of servers with a positive bias or that count as duplicating.
func (n *testNode) checkChanges(t *rapid.T) (biased int) {
	for server, change := range n.changes {
		if change.Bias < minBias || change.Bias > maxBias {
			t.Fatalf("bias of %v is out of bounds", change.Bias)
		}
		if change.Bias < 0 && n.servers[server] != nil && n.servers[server].local.failureRate < failingThreshold {
			t.Fatal("the threshold is raised for a server of which this node observes few failures")
		}
		if change.TrialIntervalMs > 0 && change.Bias <= 0 {
			t.Fatal("the trial interval is set for a server without a positive bias")
		}
		if change.Bias > 0 || change.Duplicating {
			biased++
		}
	}
	return biased
}

// gossiper is a node that sends evidence to one other node every 100 ms.
type gossiper struct {
	*Detector
	nodes   int
	nextAt  float64
	to      int
	observe func(now float64)
}

func (g *gossiper) Tick(now float64) []*wire.Message {
	g.observe(now)
	g.Detector.Tick(now, g.nodes)
	if now < g.nextAt {
		return nil
	}
	g.nextAt = now + 100
	g.to = (g.to + 1) % g.nodes
	m := &wire.Message{Kind: wire.Gossip, To: cluster.NodeID(g.to)}
	g.AppendEvidence(now, m, m.EvidenceCapacity(), g.nodes)
	return []*wire.Message{m}
}

func (g *gossiper) Handle(now float64, m *wire.Message) []*wire.Message {
	g.MergeEvidence(now, m)
	return nil
}

// Evidence from a few nodes reaches all nodes, with a fifth of all datagrams lost and clocks that differ. Once the server is healthy, the bias
// ends at all nodes.
func TestEvidenceSpreads(t *testing.T) {
	const nodes, server = 60, 5
	network := simnet.New(nodes, 4)
	all := network.NodeIndexes()
	network.Links.Set(all, all, func(link *faultrelay.Link) { link.LossRate, link.JitterMs = 0.2, 60 })
	var gossipers []*gossiper
	failing := true
	for i := range nodes {
		network.Nodes[i].SkewMs = float64(i-30) * 1000
		g := &gossiper{Detector: New(Config{Self: cluster.NodeID(i), MaxNodes: nodes, TTLMs: ttlMs}), nodes: nodes, to: i}
		g.SetServerCount(20)
		nextObservation := 0.0
		g.observe = func(now float64) {
			if i < 6 && now >= nextObservation { // only a few nodes have traffic there
				nextObservation = now + 200
				g.Observe(now, server, failing)
			}
		}
		gossipers = append(gossipers, g)
		network.Start(i, g, func() cluster.Incarnation { return 1 })
	}
	biasedNodes := func() (n int) {
		for _, g := range gossipers {
			if s := g.servers[server]; s != nil && s.bias > 0 {
				n++
			}
		}
		return n
	}
	network.Run(10_000)
	if got := biasedNodes(); got < 54 {
		t.Errorf("after 10 s %d of %d nodes have a bias, want at least 54", got, nodes)
	}
	failing = false
	network.Run(3 * ttlMs)
	if got := biasedNodes(); got > 0 {
		t.Errorf("%d of %d nodes have a bias long after the server is healthy", got, nodes)
	}
}

// Failing reports do not count if their source reports half of all servers, as a node that is partitioned from them does.
func TestReportsOnHalfOfServersAreIgnored(t *testing.T) {
	n := newNode(40)
	for server := range uint32(20) {
		for source := cluster.NodeID(1); source <= 6; source++ {
			n.receive(source, server, wire.Failing)
		}
	}
	n.tick(200)
	for server, change := range n.changes {
		if change.Bias != 0 {
			t.Errorf("server %d has a bias of %v, want 0", server, change.Bias)
		}
	}
}
