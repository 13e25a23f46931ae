package membership

import (
	"testing"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/simnet"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// process implements simnet.Process with a List.
type process struct{ *List }

func (p process) fill(messages []*wire.Message) []*wire.Message {
	for _, m := range messages {
		p.AppendUpdates(m, m.UpdateCapacity())
	}
	return messages
}

func (p process) Tick(now float64) []*wire.Message { return p.fill(p.List.Tick(now)) }

func (p process) Handle(now float64, m *wire.Message) []*wire.Message {
	return p.fill(p.List.Handle(now, m))
}

// testFleet is a simulated network of nodes that run this package's protocol.
type testFleet struct {
	*simnet.Network
	t     *testing.T
	lists []*List // by node
}

const probeIntervalMs = 500

func newFleet(t *testing.T, nodes int, seed uint64) *testFleet {
	f := &testFleet{Network: simnet.New(nodes, seed), t: t, lists: make([]*List, nodes)}
	for i := range nodes {
		f.start(i)
	}
	return f
}

// start starts a node as a new incarnation that knows no other node.
func (f *testFleet) start(i int) {
	now := f.Nodes[i].LocalTime(f.Now)
	config := Config{
		Self:            cluster.NodeID(i),
		MaxNodes:        len(f.Nodes),
		ProbeIntervalMs: probeIntervalMs,
		ProbeTimeoutMs:  probeIntervalMs / 5,
		Seed:            f.Rng.Uint64(),
	}
	f.lists[i] = New(now, config, cluster.NewIncarnation(now, f.Rng.Float64()))
	f.Start(i, process{f.lists[i]}, f.lists[i].Incarnation)
}

// runPeriods advances the time by a number of probe intervals.
func (f *testFleet) runPeriods(n float64) { f.Run(n * probeIntervalMs) }

// countObservers returns how many running nodes see a node in a state.
func (f *testFleet) countObservers(id int, state wire.State) int {
	n := 0
	for i, l := range f.lists {
		if !f.Nodes[i].Up || f.Nodes[i].Suspended || i == id {
			continue
		}
		if update, _ := l.Lookup(0, cluster.NodeID(id)); update.State == state {
			n++
		}
	}
	return n
}

// waitForState runs the network until a number of nodes see a node in a state.
func (f *testFleet) waitForState(id int, state wire.State, want int, periods float64) {
	f.t.Helper()
	deadline := f.Now + periods*probeIntervalMs
	for f.countObservers(id, state) < want {
		if f.Now > deadline {
			f.t.Fatalf("after %.0f probe intervals %d of %d nodes see node %d as %v", periods, f.countObservers(id, state), want, id, state)
		}
		f.Run(50)
	}
}

// drainDeathCount returns how often a member has been declared dead since the last call.
func (f *testFleet) drainDeathCount() (n int) {
	for _, l := range f.lists {
		for _, event := range l.DrainEvents() {
			if event.To == wire.Dead {
				n++
			}
		}
	}
	return n
}

// expectNoDeathsBy fails the test if a node has declared another dead since its events were last drained.
func (f *testFleet) expectNoDeathsBy(i int) {
	f.t.Helper()
	for _, event := range f.lists[i].DrainEvents() {
		if event.To == wire.Dead {
			f.t.Errorf("node %d declares node %d dead", i, event.Node)
		}
	}
}

// newConvergedFleet returns a fleet whose nodes have discovered one another.
func newConvergedFleet(t *testing.T, nodes int, seed uint64) *testFleet {
	f := newFleet(t, nodes, seed)
	f.runPeriods(40)
	f.drainDeathCount()
	return f
}

// Nodes that know only the range of node ids discover one another. A node that dies is declared dead by all others within the longest
// suspicion plus the time of the gossip. A node that restarts is a member in its new incarnation, regardless of claims about the old one.
func TestDiscoveryDeathAndRestart(t *testing.T) {
	for _, n := range []int{3, 10, 60} {
		f := newFleet(t, n, uint64(n))
		for i := range n {
			f.waitForState(i, wire.Alive, n-1, 60)
		}
		old := f.lists[1].Incarnation()
		f.Kill(1)
		f.waitForState(1, wire.Dead, n-1, 60)
		f.start(1)
		f.waitForState(1, wire.Alive, n-1, 60)
		for i, l := range f.lists {
			if update, _ := l.Lookup(0, 1); i != 1 && update.Incarnation <= old {
				t.Errorf("%d nodes: node %d sees the old incarnation", n, i)
			}
		}
		f.runPeriods(20)
		if f.countObservers(1, wire.Alive) != n-1 {
			t.Errorf("%d nodes: gossip about the old incarnation affects the new one", n)
		}
	}
}

// When a fifth of all datagrams is lost, no live node is declared dead.
func TestNoFalseDeathsUnderLoss(t *testing.T) {
	f := newFleet(t, 20, 4)
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) { link.LossRate, link.JitterMs = 0.2, 30 })
	f.runPeriods(600)
	if deaths := f.drainDeathCount(); deaths > 0 {
		t.Errorf("%d false deaths in %d probe intervals", deaths, 600)
	}
	if f.countObservers(0, wire.Alive)+f.countObservers(0, wire.Suspect) != 19 {
		t.Error("not all nodes have discovered node 0")
	}
}

// When two fifths of all datagrams are lost in a larger fleet, suspicions spread all the time. A forwarded suspicion must not count as a
// confirmation.
func TestNoFalseDeathsUnderHeavyLoss(t *testing.T) {
	f := newFleet(t, 60, 4)
	f.runPeriods(60)
	f.drainDeathCount()
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) { link.LossRate = 0.4 })
	f.runPeriods(200)
	if deaths := f.drainDeathCount(); deaths > 0 {
		t.Errorf("%d false deaths", deaths)
	}
}

// An isolated node reports that it is isolated and declares nobody dead; the others declare it dead. After the links heal, every node sees
// all others as alive.
func TestIsolatedNode(t *testing.T) {
	f := newConvergedFleet(t, 12, 9)
	f.Links.Set([]int{3}, f.NodeIndexes(), func(link *faultrelay.Link) { link.Cut = true })
	f.Links.Set(f.NodeIndexes(), []int{3}, func(link *faultrelay.Link) { link.Cut = true })
	f.runPeriods(100)
	if !f.lists[3].Isolated() {
		t.Error("a node that hears nobody does not consider itself isolated")
	}
	f.expectNoDeathsBy(3)
	if got := f.countObservers(3, wire.Dead); got != 11 {
		t.Errorf("declared dead by %d of 11", got)
	}
	f.Links.Heal()
	f.waitForState(3, wire.Alive, 11, 60)
	for i := range 12 {
		f.waitForState(i, wire.Alive, 11, 60)
	}
}

// Each node's link to the next node of a ring is cut; all other links, including the one back, still work. No node may be declared dead,
// because each can be reached through others. The links also deliver three late duplicates of each datagram, five seconds apart, which must
// not cause a false death either.
func TestOneWayLinks(t *testing.T) {
	f := newFleet(t, 9, 2)
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) { link.Duplicates, link.DuplicateDelayMs = 3, 5000 })
	f.runPeriods(40)
	f.drainDeathCount()
	for i := range 9 { // the next node of the ring does not hear node i
		f.Links.Set([]int{i}, []int{(i + 1) % 9}, func(link *faultrelay.Link) { link.Cut = true })
	}
	f.runPeriods(200)
	if deaths := f.drainDeathCount(); deaths > 0 {
		t.Errorf("%d deaths of nodes that others reach", deaths)
	}
}

// After a suspended node resumes, all others see it as alive again, and it declares nobody dead because of its own pause.
func TestSuspendedNode(t *testing.T) {
	f := newConvergedFleet(t, 10, 6)
	f.Nodes[4].Suspended = true
	f.runPeriods(60)
	f.Nodes[4].Suspended = false
	f.runPeriods(20)
	f.expectNoDeathsBy(4)
	f.waitForState(4, wire.Alive, 9, 60)
}

// Nodes may have clocks that differ and run at different rates. A process whose clock is behind that of its predecessor detects an id
// conflict and becomes a member all the same.
func TestClockSkewAndDrift(t *testing.T) {
	f := newFleet(t, 8, 3)
	for i, node := range f.Nodes {
		node.SkewMs, node.Drift = float64(i%3-1)*10_000, float64(i%3-1)*0.01
	}
	for i := range 8 {
		f.start(i)
	}
	f.runPeriods(60)
	f.drainDeathCount()
	f.Kill(2)
	f.Nodes[2].SkewMs -= 40_000
	f.runPeriods(5)
	f.start(2)
	f.waitForState(2, wire.Alive, 7, 60)
	f.runPeriods(100)
	if f.countObservers(2, wire.Alive) != 7 || f.lists[2].IDConflicts() == 0 {
		t.Errorf("alive for %d of 7, %d id conflicts", f.countObservers(2, wire.Alive), f.lists[2].IDConflicts())
	}
}

// When half of a fleet is killed at once, the other nodes declare the killed ones dead and none of themselves.
func TestHalfOfFleetKilled(t *testing.T) {
	f := newFleet(t, 40, 8)
	f.runPeriods(60)
	f.drainDeathCount()
	for i := range 20 {
		f.Kill(i)
	}
	for i := range 20 {
		f.waitForState(i, wire.Dead, 20, 200)
	}
	for i := 20; i < 40; i++ {
		if f.countObservers(i, wire.Dead) > 0 {
			t.Errorf("node %d is alive and declared dead by %d", i, f.countObservers(i, wire.Dead))
		}
	}
}

// After messages with invalid ids, states and incarnations, all nodes see one another as alive again.
func TestInvalidMessages(t *testing.T) {
	f := newFleet(t, 5, 1)
	f.runPeriods(40)
	for range 200 {
		m := &wire.Message{Kind: wire.Kind(f.Rng.IntN(6)), From: cluster.NodeID(f.Rng.IntN(9)), Incarnation: cluster.Incarnation(f.Rng.Uint64N(1 << 20)), Seq: f.Rng.Uint32(), Target: cluster.NodeID(f.Rng.IntN(9))}
		for range 5 {
			m.Updates = append(m.Updates, wire.MemberUpdate{Node: cluster.NodeID(f.Rng.IntN(9)), Incarnation: cluster.Incarnation(f.Rng.Uint64N(1 << 20)), Refutation: uint16(f.Rng.Uint32()), State: wire.State(f.Rng.IntN(9))})
		}
		f.lists[0].Handle(f.Now, m)
		f.Run(20)
	}
	for i := range 5 {
		f.waitForState(i, wire.Alive, 4, 60)
	}
}

// A node probes a member that another node claims to be dead: a live one answers and stays a member, and a dead one is declared dead soon.
// Without the probe, when two fifths of all datagrams were lost among hundreds of nodes, one false claim made all of them declare a live
// node dead.
func TestDeathClaimIsVerified(t *testing.T) {
	for _, killed := range []bool{false, true} {
		f := newFleet(t, 5, 3)
		f.runPeriods(40)
		if killed {
			f.Kill(2)
		}
		f.Links.Set([]int{2}, []int{0}, func(link *faultrelay.Link) { link.Cut = true }) // otherwise node 0 hears node 2 and ignores the claim
		f.runPeriods(1.2)
		f.Links.Heal()
		f.drainDeathCount()
		update, _ := f.lists[0].Lookup(f.Now, 2)
		if update.State != wire.Alive {
			t.Fatalf("killed %v: node 2 is %v already", killed, update.State)
		}
		update.State, update.SuspectedBy = wire.Dead, 1
		sender, _ := f.lists[0].Lookup(f.Now, 1)
		f.lists[0].Handle(f.Nodes[0].LocalTime(f.Now), &wire.Message{Kind: wire.Ack, From: 1, Incarnation: sender.Incarnation, Updates: []wire.MemberUpdate{update}})
		if update, _ := f.lists[0].Lookup(f.Now, 2); update.State != wire.Suspect {
			t.Errorf("killed %v: node 2 is %v at once", killed, update.State)
		}
		f.runPeriods(deathVerificationPeriods + 1)
		declared := false
		for _, event := range f.lists[0].DrainEvents() {
			declared = declared || event.Node == 2 && event.To == wire.Dead
		}
		if declared != killed {
			t.Errorf("killed %v: declared dead %v", killed, declared)
		}
	}
}

// newListWithMember returns the list of node 0, which has received a datagram from an incarnation of node 1.
func newListWithMember(incarnation cluster.Incarnation) *List {
	l := New(0, Config{Self: 0, MaxNodes: 4, ProbeIntervalMs: probeIntervalMs, ProbeTimeoutMs: probeIntervalMs / 5}, 1)
	l.Handle(0, &wire.Message{Kind: wire.Gossip, From: 1, Incarnation: incarnation})
	return l
}

// A delayed datagram of an earlier incarnation does not count as contact with the node.
func TestDatagramOfEarlierIncarnationIsIgnored(t *testing.T) {
	l := newListWithMember(7)
	l.Handle(100, &wire.Message{Kind: wire.Gossip, From: 1, Incarnation: 5})
	if update, sinceHeardMs := l.Lookup(100, 1); update.Incarnation != 7 || sinceHeardMs != 100 {
		t.Errorf("after %v ms, heard in incarnation %d", sinceHeardMs, update.Incarnation)
	}
	l.Handle(100, &wire.Message{Kind: wire.Gossip, From: 1, Incarnation: 7})
	if _, sinceHeardMs := l.Lookup(100, 1); sinceHeardMs != 0 {
		t.Errorf("the current incarnation was heard %v ms ago", sinceHeardMs)
	}
}

// Each suspecting node shortens a suspicion once, however often its suspicion is forwarded.
func TestSuspicionIsShortenedOncePerNode(t *testing.T) {
	l := newListWithMember(7)
	const now = 2 * probeIntervalMs // late enough that no recent datagram contradicts the suspicion
	suspect := func(forwardedBy, suspectedBy cluster.NodeID) float64 {
		update := wire.MemberUpdate{Node: 1, Incarnation: 7, State: wire.Suspect, SuspectedBy: suspectedBy}
		l.Handle(now, &wire.Message{Kind: wire.Gossip, From: forwardedBy, Incarnation: 1, Updates: []wire.MemberUpdate{update}})
		return l.members[1].declareDeadAt
	}
	first := suspect(2, 2)
	if again := suspect(3, 2); again != first || len(l.members[1].suspectedBy) != 1 {
		t.Errorf("forwarded, a suspicion ends at %v, want %v", again, first)
	}
	if second := suspect(3, 3); second >= first {
		t.Errorf("suspected by two nodes, a suspicion ends at %v, not before %v", second, first)
	}
}
