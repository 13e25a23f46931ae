package membership_test

import (
	"fmt"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/membership"
	"mintspring/internal/cluster/wire"
)

const probeIntervalMs = 1000.0

// exampleFleet connects nodes with links that deliver immediately. A real caller sends the messages over UDP.
type exampleFleet struct {
	lists   []*membership.List
	stopped map[cluster.NodeID]bool
}

func newExampleFleet(nodes int) *exampleFleet {
	f := &exampleFleet{stopped: map[cluster.NodeID]bool{}}
	for i := range nodes {
		config := membership.Config{
			Self: cluster.NodeID(i), MaxNodes: nodes, ProbeIntervalMs: probeIntervalMs, ProbeTimeoutMs: 200, Seed: uint64(i),
		}
		f.lists = append(f.lists, membership.New(0, config, cluster.NewIncarnation(0, 0)))
	}
	return f
}

// deliver adds as many member updates as fit to the messages of a node, hands them to their receivers, and delivers the responses likewise.
func (f *exampleFleet) deliver(now float64, from cluster.NodeID, messages []*wire.Message) {
	for _, m := range messages {
		if f.stopped[m.To] {
			continue
		}
		f.lists[from].AppendUpdates(m, m.UpdateCapacity())
		// The caller of Tick and Handle sets the sender.
		m.From, m.Incarnation = from, f.lists[from].Incarnation()
		f.deliver(now, m.To, f.lists[m.To].Handle(now, m))
	}
}

// run calls Tick of each node every 100 ms.
func (f *exampleFleet) run(from, to float64) {
	for now := from; now < to; now += 100 {
		for i, list := range f.lists {
			if id := cluster.NodeID(i); !f.stopped[id] {
				f.deliver(now, id, list.Tick(now))
			}
		}
	}
}

// Three nodes find one another. One stops, and the others first suspect it and then declare it dead.
func Example() {
	f := newExampleFleet(3)
	f.run(0, 10*probeIntervalMs)
	observer := f.lists[0]
	fmt.Println("members:", observer.MemberCount())
	observer.DrainEvents()

	f.stopped[2] = true
	f.run(10*probeIntervalMs, 60*probeIntervalMs)
	for _, e := range observer.DrainEvents() {
		fmt.Printf("node %d: %v -> %v\n", e.Node, e.From, e.To)
	}
	fmt.Println("members:", observer.MemberCount(), "node 2 is one:", observer.IsMember(2))
	// Output:
	// members: 3
	// node 2: alive -> suspect
	// node 2: suspect -> gone
	// members: 2 node 2 is one: false
}
