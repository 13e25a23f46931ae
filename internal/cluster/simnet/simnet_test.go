package simnet

import (
	"fmt"
	"testing"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/wire"
)

// pinger is a process that pings the next node at each tick and records what it receives.
type pinger struct {
	next     cluster.NodeID
	received []string
}

func (p *pinger) Tick(float64) []*wire.Message {
	return []*wire.Message{{Kind: wire.Ping, To: p.next}}
}

func (p *pinger) Handle(now float64, m *wire.Message) []*wire.Message {
	p.received = append(p.received, fmt.Sprintf("%.3f: %d from %d", now, m.Kind, m.From))
	if m.Kind == wire.Ping {
		return []*wire.Message{{Kind: wire.Ack, To: m.From}}
	}
	return nil
}

// newPingers returns a running network in which each node pings the next one.
func newPingers(nodes int, seed uint64) (*Network, []*pinger) {
	network := New(nodes, seed)
	var pingers []*pinger
	for i := range nodes {
		p := &pinger{next: cluster.NodeID((i + 1) % nodes)}
		pingers = append(pingers, p)
		network.Start(i, p, func() cluster.Incarnation { return 1 })
	}
	return network, pingers
}

// Two runs with the same seed are the same, also with faults; runs with different seeds differ.
func TestSeedDeterminesRun(t *testing.T) {
	run := func(seed uint64) string {
		network, pingers := newPingers(3, seed)
		allNodes := network.NodeIndexes()
		network.Links.Set(allNodes, allNodes, func(link *faultrelay.Link) { link.LossRate, link.JitterMs, link.CorruptRate = 0.2, 30, 0.1 })
		network.Run(2000)
		if network.MalformedDatagrams == 0 || network.SentDatagrams == 0 || network.SentBytes <= network.SentDatagrams {
			t.Errorf("%d datagrams of %d bytes sent, %d malformed", network.SentDatagrams, network.SentBytes, network.MalformedDatagrams)
		}
		return fmt.Sprint(pingers[0].received, pingers[1].received, pingers[2].received)
	}
	first := run(1)
	if again := run(1); again != first {
		t.Error("one seed gives two runs")
	}
	if run(2) == first {
		t.Error("two seeds give the same run")
	}
}

// A suspended node receives what was sent to it when it resumes; a killed one does not, and its process never runs again.
func TestSuspendedAndKilledNodes(t *testing.T) {
	network, pingers := newPingers(3, 1)
	network.Run(500)
	network.Nodes[1].Suspended = true
	network.Kill(2)
	before := [3]int{len(pingers[0].received), len(pingers[1].received), len(pingers[2].received)}
	network.Run(500)
	if got := len(pingers[1].received); got != before[1] {
		t.Errorf("a suspended node has received %d datagrams", got-before[1])
	}
	network.Nodes[1].Suspended = false
	network.Run(2 * defaultTickIntervalMs)
	if got := len(pingers[1].received) - before[1]; got < 20 {
		t.Errorf("a node that resumes has received %d datagrams, of 25 that were sent", got)
	}
	if got := len(pingers[2].received); got != before[2] {
		t.Errorf("a killed node has received %d datagrams", got-before[2])
	}
}

// A node's clock shows its skew and gains its drift.
func TestLocalTime(t *testing.T) {
	node := Node{SkewMs: 500, Drift: 0.01}
	if got := node.LocalTime(10_000); got != 10_600 {
		t.Errorf("the clock shows %v, want 10600", got)
	}
}
