// Package simnet runs the protocol cores of many nodes against one another on a virtual clock, for tests and measurements. Each node has a
// clock of its own, datagrams pass through links with faults, and nodes can be suspended, killed and restarted. A run is determined by its
// seed. One goroutine must own a Network.
package simnet

import (
	"container/heap"
	"math/rand/v2"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/wire"
)

const (
	startTimeMs           = 1_700_000_000_000 // Unix ms at which a simulation starts
	defaultMinLatencyMs   = 1
	defaultTickIntervalMs = 20
	randomStreamID        = 29 // distinguishes the random numbers from those of the links
)

// Process is the protocol core that runs on a node. Both methods return the messages to be sent; now is the time of the node's clock.
type Process interface {
	Tick(now float64) []*wire.Message
	Handle(now float64, m *wire.Message) []*wire.Message
}

// Node is one node of the network.
type Node struct {
	Process     Process
	Incarnation func() cluster.Incarnation // of the process
	SkewMs      float64                    // time by which the node's clock is ahead
	Drift       float64                    // by how much the clock is too fast, as a share of the elapsed time
	Up          bool
	Suspended   bool // the process does not run, and its datagrams wait until it resumes

	starts int // number of starts; distinguishes the current process from earlier ones
}

// LocalTime returns what the node's clock shows at a true time.
func (n *Node) LocalTime(at float64) float64 { return at*(1+n.Drift) + n.SkewMs }

// Network is a set of nodes and the links between them.
type Network struct {
	Now            float64 // true time, Unix ms
	Nodes          []*Node
	Links          *faultrelay.Links
	Rng            *rand.Rand
	MinLatencyMs   float64 // minimal latency of a datagram; up to as much again is added at random
	TickIntervalMs float64 // between two ticks of a node
	OnEvent        func()  // called after each event; may be nil

	SentDatagrams      int
	SentBytes          int
	MalformedDatagrams int // received, but could not be parsed

	queue eventQueue
	seq   int
}

// New returns a network of nodes that are down.
func New(nodes int, seed uint64) *Network {
	n := &Network{
		Links:          faultrelay.NewLinks(seed),
		Rng:            rand.New(rand.NewPCG(seed, randomStreamID)),
		MinLatencyMs:   defaultMinLatencyMs,
		TickIntervalMs: defaultTickIntervalMs,
		Now:            startTimeMs,
	}
	for range nodes {
		n.Nodes = append(n.Nodes, &Node{})
	}
	return n
}

// schedule queues a function to run at a true time.
func (n *Network) schedule(at float64, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: at, seq: n.seq, run: run})
}

// Start starts a process on a node. It replaces the one that runs there, if any.
func (n *Network) Start(index int, process Process, incarnation func() cluster.Incarnation) {
	node := n.Nodes[index]
	node.Process, node.Incarnation = process, incarnation
	node.Up, node.Suspended = true, false
	node.starts++
	start := node.starts
	var tick func()
	tick = func() {
		if !node.Up || node.starts != start {
			return
		}
		if !node.Suspended {
			n.send(index, process.Tick(node.LocalTime(n.Now)))
		}
		n.schedule(n.Now+n.TickIntervalMs, tick)
	}
	n.schedule(n.Now+n.TickIntervalMs*n.Rng.Float64(), tick)
}

// Kill ends the process on a node without notice.
func (n *Network) Kill(index int) { n.Nodes[index].Up = false }

// send passes the messages of a node through the links.
func (n *Network) send(from int, messages []*wire.Message) {
	for _, m := range messages {
		m.From, m.Incarnation = cluster.NodeID(from), n.Nodes[from].Incarnation()
		to := int(m.To)
		if to >= len(n.Nodes) || to == from {
			continue
		}
		b := m.Append(nil)
		n.SentDatagrams++
		n.SentBytes += len(b)
		for _, delivery := range n.Links.Transmit(n.Now, from, to, b) {
			at := delivery.AtMs + n.MinLatencyMs*(1+n.Rng.Float64())
			n.schedule(at, func() { n.deliver(to, delivery.Data) })
		}
	}
}

// deliver hands a datagram to a node; a suspended one receives it when it resumes.
func (n *Network) deliver(to int, b []byte) {
	node := n.Nodes[to]
	switch {
	case !node.Up:
		return
	case node.Suspended:
		n.schedule(n.Now+n.TickIntervalMs, func() { n.deliver(to, b) })
		return
	}
	m, err := wire.Parse(b)
	if err != nil {
		n.MalformedDatagrams++
		return
	}
	n.send(to, node.Process.Handle(node.LocalTime(n.Now), m))
}

// Run advances the time by a number of ms.
func (n *Network) Run(ms float64) {
	end := n.Now + ms
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := heap.Pop(&n.queue).(event)
		n.Now = max(n.Now, next.at)
		next.run()
		if n.OnEvent != nil {
			n.OnEvent()
		}
	}
	n.Now = end
}

// NodeIndexes returns the indexes of all nodes.
func (n *Network) NodeIndexes() []int {
	indexes := make([]int, len(n.Nodes))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}
