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

// process runs a List on a simulated network.
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

// start starts a node as a new incarnation without memory.
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

// count returns how many running nodes see a node in a state.
func (f *testFleet) count(id int, state wire.State) int {
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

// waitFor runs the network until a number of nodes see a node in a state.
func (f *testFleet) waitFor(id int, state wire.State, want int, periods float64) {
	f.t.Helper()
	deadline := f.Now + periods*probeIntervalMs
	for f.count(id, state) < want {
		if f.Now > deadline {
			f.t.Fatalf("after %.0f probe intervals %d of %d nodes see node %d as %v", periods, f.count(id, state), want, id, state)
		}
		f.Run(50)
	}
}

// drainDeaths returns how often a member has been declared dead since the last call.
func (f *testFleet) drainDeaths() (n int) {
	for _, l := range f.lists {
		for _, event := range l.DrainEvents() {
			if event.To == wire.Dead {
				n++
			}
		}
	}
	return n
}

// expectNoDeathsBy expects that a member has declared nobody dead since its events were taken last.
func (f *testFleet) expectNoDeathsBy(i int) {
	f.t.Helper()
	for _, event := range f.lists[i].DrainEvents() {
		if event.To == wire.Dead {
			f.t.Errorf("node %d declares node %d dead", i, event.Node)
		}
	}
}

// newSettledFleet returns a fleet whose nodes have discovered one another.
func newSettledFleet(t *testing.T, nodes int, seed uint64) *testFleet {
	f := newFleet(t, nodes, seed)
	f.runPeriods(40)
	f.drainDeaths()
	return f
}

// Nodes that know only their number of ids discover one another. A node that dies is declared dead by all within the longest suspicion and the
// time of the gossip, and a node that restarts is a member in its new incarnation, whatever is said of the old one.
func TestDiscoveryDeathAndRestart(t *testing.T) {
	for _, n := range []int{3, 10, 60} {
		f := newFleet(t, n, uint64(n))
		for i := range n {
			f.waitFor(i, wire.Alive, n-1, 60)
		}
		old := f.lists[1].Incarnation()
		f.Kill(1)
		f.waitFor(1, wire.Dead, n-1, 60)
		f.start(1)
		f.waitFor(1, wire.Alive, n-1, 60)
		for i, l := range f.lists {
			if update, _ := l.Lookup(0, 1); i != 1 && update.Incarnation <= old {
				t.Errorf("%d nodes: node %d sees the old incarnation", n, i)
			}
		}
		f.runPeriods(20)
		if f.count(1, wire.Alive) != n-1 {
			t.Errorf("%d nodes: gossip about the old incarnation affects the new one", n)
		}
	}
}

// With a fifth of all datagrams lost no living node is declared dead.
func TestNoFalseDeathsUnderLoss(t *testing.T) {
	f := newFleet(t, 20, 4)
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) { link.LossRate, link.JitterMs = 0.2, 30 })
	f.runPeriods(600)
	if d := f.drainDeaths(); d > 0 {
		t.Errorf("%d false deaths in %d probe intervals", d, 600)
	}
	if f.count(0, wire.Alive)+f.count(0, wire.Suspect) != 19 {
		t.Error("not all nodes have discovered node 0")
	}
}

// With two fifths of all datagrams lost in a larger fleet suspicions spread all the time; one that is passed on must not count as a confirmation.
func TestNoFalseDeathsUnderHeavyLoss(t *testing.T) {
	f := newFleet(t, 60, 4)
	f.runPeriods(60)
	f.drainDeaths()
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) { link.LossRate = 0.4 })
	f.runPeriods(200)
	if d := f.drainDeaths(); d > 0 {
		t.Errorf("%d false deaths", d)
	}
}

// An isolated node declares nobody dead and knows that it is isolated; the others declare it dead. Afterwards all nodes are members for all.
func TestIsolatedNode(t *testing.T) {
	f := newSettledFleet(t, 12, 9)
	f.Links.Set([]int{3}, f.NodeIndexes(), func(link *faultrelay.Link) { link.Cut = true })
	f.Links.Set(f.NodeIndexes(), []int{3}, func(link *faultrelay.Link) { link.Cut = true })
	f.runPeriods(100)
	if !f.lists[3].Isolated() {
		t.Error("a node that hears nobody does not consider itself isolated")
	}
	f.expectNoDeathsBy(3)
	if got := f.count(3, wire.Dead); got != 11 {
		t.Errorf("declared dead by %d of 11", got)
	}
	f.Links.Heal()
	f.waitFor(3, wire.Alive, 11, 60)
	for i := range 12 {
		f.waitFor(i, wire.Alive, 11, 60)
	}
}

// Where links are cut in one direction around a ring, nodes that can be reached through others are not declared dead, and duplicates that are
// five seconds late change nothing.
func TestOneWayLinks(t *testing.T) {
	f := newFleet(t, 9, 2)
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(link *faultrelay.Link) { link.Duplicates, link.DuplicateDelayMs = 3, 5000 })
	f.runPeriods(40)
	f.drainDeaths()
	for i := range 9 { // in a ring: i is not heard by its successor
		f.Links.Set([]int{i}, []int{(i + 1) % 9}, func(link *faultrelay.Link) { link.Cut = true })
	}
	f.runPeriods(200)
	if d := f.drainDeaths(); d > 0 {
		t.Errorf("%d deaths of nodes that others reach", d)
	}
}

// A node that is suspended and resumes is a member for all again, and declares nobody dead because of its own absence.
func TestSuspendedNode(t *testing.T) {
	f := newSettledFleet(t, 10, 6)
	f.Nodes[4].Suspended = true
	f.runPeriods(60)
	f.Nodes[4].Suspended = false
	f.runPeriods(20)
	f.expectNoDeathsBy(4)
	f.waitFor(4, wire.Alive, 9, 60)
}

// Clocks that differ and run at different rates do no harm, and a process whose clock is behind that of its predecessor is believed all the
// same.
func TestClockSkewAndDrift(t *testing.T) {
	f := newFleet(t, 8, 3)
	for i, node := range f.Nodes {
		node.SkewMs, node.Drift = float64(i%3-1)*10_000, float64(i%3-1)*0.01
	}
	for i := range 8 {
		f.start(i)
	}
	f.runPeriods(60)
	f.drainDeaths()
	f.Kill(2)
	f.Nodes[2].SkewMs -= 40_000
	f.runPeriods(5)
	f.start(2)
	f.waitFor(2, wire.Alive, 7, 60)
	f.runPeriods(100)
	if f.count(2, wire.Alive) != 7 || f.lists[2].IDConflicts() == 0 {
		t.Errorf("alive for %d of 7, %d id conflicts", f.count(2, wire.Alive), f.lists[2].IDConflicts())
	}
}

// When half of a fleet is killed at once, the other half declares it dead and its own nodes stay members.
func TestHalfOfFleetKilled(t *testing.T) {
	f := newFleet(t, 40, 8)
	f.runPeriods(60)
	f.drainDeaths()
	for i := range 20 {
		f.Kill(i)
	}
	for i := range 20 {
		f.waitFor(i, wire.Dead, 20, 200)
	}
	for i := 20; i < 40; i++ {
		if f.count(i, wire.Dead) > 0 {
			t.Errorf("node %d is alive and declared dead by %d", i, f.count(i, wire.Dead))
		}
	}
}

// Messages with impossible ids, states and incarnations do no lasting harm.
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
		f.waitFor(i, wire.Alive, 4, 60)
	}
}

// A node that another has declared dead is probed before that is believed: a living node answers and stays a member, a dead one is declared
// dead soon. Otherwise, with two fifths of all datagrams lost among hundreds of nodes, one mistake made a node dead for all.
func TestDeathClaimIsVerified(t *testing.T) {
	for _, killed := range []bool{false, true} {
		f := newFleet(t, 5, 3)
		f.runPeriods(40)
		if killed {
			f.Kill(2)
		}
		f.Links.Set([]int{2}, []int{0}, func(link *faultrelay.Link) { link.Cut = true }) // otherwise it is known to be alive
		f.runPeriods(1.2)
		f.Links.Heal()
		f.drainDeaths()
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
		f.runPeriods(verifyPeriods + 1)
		declared := false
		for _, event := range f.lists[0].DrainEvents() {
			declared = declared || event.Node == 2 && event.To == wire.Dead
		}
		if declared != killed {
			t.Errorf("killed %v: declared dead %v", killed, declared)
		}
	}
}

// newMember returns the list of node 0 that has heard node 1 in an incarnation.
func newMember(incarnation cluster.Incarnation) *List {
	l := New(0, Config{Self: 0, MaxNodes: 4, ProbeIntervalMs: probeIntervalMs, ProbeTimeoutMs: probeIntervalMs / 5}, 1)
	l.Handle(0, &wire.Message{Kind: wire.Gossip, From: 1, Incarnation: incarnation})
	return l
}

// A delayed datagram of an earlier incarnation is no sign of life.
func TestEarlierIncarnationIsNoSignOfLife(t *testing.T) {
	l := newMember(7)
	l.Handle(100, &wire.Message{Kind: wire.Gossip, From: 1, Incarnation: 5})
	if update, sinceHeardMs := l.Lookup(100, 1); update.Incarnation != 7 || sinceHeardMs != 100 {
		t.Errorf("after %v ms, heard in incarnation %d", sinceHeardMs, update.Incarnation)
	}
	l.Handle(100, &wire.Message{Kind: wire.Gossip, From: 1, Incarnation: 7})
	if _, sinceHeardMs := l.Lookup(100, 1); sinceHeardMs != 0 {
		t.Errorf("the present incarnation was heard %v ms ago", sinceHeardMs)
	}
}

// A suspicion is shortened by each node that suspects, and by each only once however often its suspicion is passed on.
func TestSuspicionIsShortenedOncePerNode(t *testing.T) {
	l := newMember(7)
	const now = 2 * probeIntervalMs // the accusation is not contradicted by a recent datagram
	suspect := func(passedOnBy, suspectedBy cluster.NodeID) float64 {
		update := wire.MemberUpdate{Node: 1, Incarnation: 7, State: wire.Suspect, SuspectedBy: suspectedBy}
		l.Handle(now, &wire.Message{Kind: wire.Gossip, From: passedOnBy, Incarnation: 1, Updates: []wire.MemberUpdate{update}})
		return l.members[1].deadAt
	}
	first := suspect(2, 2)
	if again := suspect(3, 2); again != first || len(l.members[1].suspectedBy) != 1 {
		t.Errorf("passed on, a suspicion ends at %v in place of %v", again, first)
	}
	if second := suspect(3, 3); second >= first {
		t.Errorf("suspected by two nodes, a suspicion ends at %v, not before %v", second, first)
	}
}
