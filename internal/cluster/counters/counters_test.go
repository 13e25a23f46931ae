package counters

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func allMembers(cluster.NodeID) bool { return true }

// randomFleet is a fleet whose counters are gossiped with messages that are lost, delayed, duplicated and reordered at random. Each node
// increments one counter, and continues with its value after a restart.
type randomFleet struct {
	key          Key
	now          float64
	stores       []*Store
	incarnations []cluster.Incarnation
	sent         []*wire.Message

	latest           []int   // by node: the value of its counter
	minInIncarnation []int   // by node: the least value in its current incarnation
	lastObserved     [][]int // by observer and node: the value that the observer knew last
}

func newRandomFleet(nodes int, key Key) *randomFleet {
	f := &randomFleet{
		key:              key,
		now:              1e6,
		stores:           make([]*Store, nodes),
		incarnations:     make([]cluster.Incarnation, nodes),
		latest:           make([]int, nodes),
		minInIncarnation: make([]int, nodes),
		lastObserved:     make([][]int, nodes),
	}
	for i := range nodes {
		f.lastObserved[i] = make([]int, nodes)
	}
	for i := range nodes {
		f.start(i)
	}
	return f
}

// start starts a node as a new incarnation, which all running nodes learn of.
func (f *randomFleet) start(i int) {
	f.incarnations[i] = f.incarnations[i].Next()
	f.stores[i] = New(cluster.NodeID(i), len(f.stores), 30_000)
	f.minInIncarnation[i] = f.latest[i] + 1
	clear(f.lastObserved[i])
	for k, other := range f.stores {
		if other == nil {
			continue
		}
		other.SetIncarnation(cluster.NodeID(i), f.incarnations[i])
		f.stores[i].SetIncarnation(cluster.NodeID(k), f.incarnations[k])
		f.lastObserved[k][i] = 0
	}
}

func (f *randomFleet) increment(i int) {
	f.latest[i]++
	f.stores[i].Set(f.now, f.key, f.latest[i])
}

func (f *randomFleet) send(t *rapid.T, i int) {
	m := &wire.Message{}
	f.stores[i].AppendCounters(f.now, m)
	parsed, err := wire.Parse(m.Append(nil))
	if err != nil {
		t.Fatal(err)
	}
	f.sent = append(f.sent, parsed)
}

// deliverRandom delivers one of the sent messages to a node, which may have received it before.
func (f *randomFleet) deliverRandom(t *rapid.T, i int) {
	if len(f.sent) > 0 {
		f.stores[i].MergeCounters(f.now, f.sent[rapid.IntRange(0, len(f.sent)-1).Draw(t, "message")])
	}
}

// checkValues fails the test if the value that a node knows of another is not from the other's current incarnation, or is less than before.
func (f *randomFleet) checkValues(t *rapid.T) {
	for observer, store := range f.stores {
		for i := range f.stores {
			sample := store.nodes[i].samples[f.key]
			if sample == nil || i == observer {
				continue
			}
			value, before := int(sample.value), f.lastObserved[observer][i]
			if value < f.minInIncarnation[i] || value > f.latest[i] || value < before {
				t.Fatalf("node %d knows %d of node %d, which has had %d to %d in this incarnation; it knew %d before",
					observer, value, i, f.minInIncarnation[i], f.latest[i], before)
			}
			f.lastObserved[observer][i] = value
		}
	}
}

// Messages are lost, duplicated, delayed and reordered, and nodes restart. Still each value that a node knows of another node is one that
// the other's current incarnation has had, and it is never replaced by an earlier one.
func TestValuesNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		f := newRandomFleet(nodes, rapid.SampledFrom([]Key{{InFlight, 0}, {OpenConnections, 7}}).Draw(t, "key"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now += rapid.SampledFrom([]float64{1, 30, 99, 1000}).Draw(t, "ms")
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				f.increment(i)
			case 2, 3:
				f.send(t, i)
			case 4:
				f.start(i)
			default:
				f.deliverRandom(t, i)
			}
			f.checkValues(t)
		}
	})
}

// Values of an earlier incarnation, earlier values of the same incarnation and expired values are not included in a sum.
func TestSumOfCurrentIncarnations(t *testing.T) {
	s := New(0, 3, 5000)
	s.MergeCounters(1000, &wire.Message{Counters: []wire.Counter{
		{Node: 1, Kind: InFlight, Value: 5, AgeMs: 100, Seq: 2},
		{Node: 2, Kind: InFlight, Value: 7, Seq: 1},
		{Node: 9, Kind: InFlight, Value: 1},
	}})
	s.Set(1000, Key{}, 2)
	if sum := s.Sum(1000, Key{}, allMembers); sum != (Sum{14, 3, 100}) {
		t.Errorf("%+v", sum)
	}
	s.MergeCounters(1300, &wire.Message{Counters: []wire.Counter{{Node: 1, Kind: InFlight, Value: 4, Seq: 1}}})
	if sum := s.Sum(1300, Key{}, allMembers); sum.Value != 14 {
		t.Errorf("an earlier value is included: %+v", sum)
	}
	s.SetIncarnation(2, 77)
	if sum := s.Sum(1300, Key{}, allMembers); sum.Value != 7 || sum.Nodes != 2 {
		t.Errorf("%+v", sum)
	}
	if sum := s.Sum(7000, Key{}, allMembers); sum.Nodes != 0 {
		t.Errorf("expired values are included: %+v", sum)
	}
}

// All nodes learn of the labeled counters that each node publishes, and a sum includes the number of its nodes.
func TestLabeledCounters(t *testing.T) {
	const nodes = 5
	stores := make([]*Store, nodes)
	for i := range stores {
		stores[i] = New(cluster.NodeID(i), nodes, 10_000)
		stores[i].SetIncarnation(0, 9<<16)
	}
	stores[0].SetIncarnation(0, 9<<16)
	rng := rand.New(rand.NewPCG(1, 2))
	now := 0.0
	for range 200 {
		now += 100
		for i, store := range stores {
			setLabeledCounters(store, now, uint32(i))
			m := &wire.Message{}
			store.AppendCounters(now, m)
			if len(m.Append(nil)) > wire.MaxSize || len(m.Counters) < 8 {
				t.Fatalf("%d counters in %d bytes", len(m.Counters), m.Size())
			}
			stores[rng.IntN(nodes)].MergeCounters(now, m)
		}
	}
	for i, store := range stores {
		checkLabeledSums(t, store, now, i, nodes)
	}
}

// setLabeledCounters sets the counters of a node: all without a label, those of the servers that all nodes have, and those of its own
// tenants.
func setLabeledCounters(store *Store, now float64, node uint32) {
	for kind := range NodeKindCount {
		store.Set(now, Key{Kind: uint8(kind)}, 1)
	}
	for k := range uint32(TopN) {
		store.Set(now, Key{OpenConnections, 100 + k}, int(k))
		store.Set(now, Key{TenantRate, 500 + k + node}, 7)
	}
}

// checkLabeledSums checks that a node knows the counters that setLabeledCounters has set at all nodes.
func checkLabeledSums(t *testing.T, store *Store, now float64, node, nodes int) {
	t.Helper()
	got := store.Sums(now, OpenConnections, allMembers)
	want := LabeledSum{Label: 100 + TopN - 1, Sum: Sum{Value: nodes * (TopN - 1), Nodes: nodes}}
	if len(got) != TopN || got[0].Label != want.Label || got[0].Value != want.Value || got[0].Nodes != want.Nodes {
		t.Fatalf("node %d knows %+v", node, got)
	}
	if got[0].OldestAgeMs <= 0 || got[0].OldestAgeMs >= 10_000 {
		t.Errorf("node %d knows values of %.0f ms", node, got[0].OldestAgeMs)
	}
	if sum := store.Sum(now, Key{TenantRate, 500}, allMembers); sum.Nodes != 1 || sum.Value != 7 {
		t.Errorf("node %d knows %+v of a tenant of one node", node, sum)
	}
}

// A node that keeps sending new labels does not fill the memory of others.
func TestSamplesAreBounded(t *testing.T) {
	const incarnation cluster.Incarnation = 9 << 16
	s := New(1, 2, 10_000)
	s.SetIncarnation(0, incarnation)
	for k := range uint32(10_000) {
		s.MergeCounters(20_000, &wire.Message{Counters: []wire.Counter{
			{Node: 0, IncarnationTag: incarnation.Tag(), Kind: KeyRate, Label: k + 1, Seq: uint16(k), Value: 3},
		}})
	}
	if n := len(s.nodes[0].order); n > maxSamples || n < publishedSamples {
		t.Errorf("%d samples are kept of one node", n)
	}
}

// Counters of unknown nodes and kinds, of this node itself, with a label that is missing or not wanted, and expired ones are ignored.
func TestInvalidCountersAreIgnored(t *testing.T) {
	for name, c := range map[string]wire.Counter{
		"unknown node":      {Node: 3, Kind: InFlight},
		"this node":         {Node: 0, Kind: InFlight},
		"unknown kind":      {Node: 1, Kind: kindCount, Label: 1},
		"missing label":     {Node: 1, Kind: KeyRate},
		"unexpected label":  {Node: 1, Kind: InFlight, Label: 1},
		"expired":           {Node: 1, Kind: InFlight, AgeMs: 5000},
		"other incarnation": {Node: 1, Kind: InFlight, IncarnationTag: 9},
	} {
		s := New(0, 3, 5000)
		s.MergeCounters(10_000, &wire.Message{Counters: []wire.Counter{c}})
		for i := range s.nodes {
			if len(s.nodes[i].order) > 0 {
				t.Errorf("%s: accepted as %+v", name, s.nodes[i].order)
			}
		}
	}
}
