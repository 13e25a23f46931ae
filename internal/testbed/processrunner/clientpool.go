package processrunner

import (
	"errors"
	"net"
	"sync"
	"time"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
)

// probeInterval is the time between two looks at a dead node.
const probeInterval = 50 * time.Millisecond

// descriptorShare is the share of a node's descriptors that clients hold for requests at most, by the operators' service page.
const descriptorShare = 1.0 / 3

// errNoNode says that clients may use no connection more: they hold all that they may hold for requests, or nodes are on standby.
var errNoNode = errors.New("each node is on standby, or clients hold a third of its descriptors for requests")

// clientPool keeps the clients' connections to nodes, as a load balancer in front of the nodes would. It may be used from any
// goroutine.
type clientPool struct {
	addrs    []string // by node
	maxInUse int      // connections to one node that are in use at a time; 0: no limit

	mu       sync.Mutex // guards the fields below
	inUse    []int      // by node
	balancer *experiment.NodeBalancer
	idle     [][]*client // by node
}

func newClientPool(addrs []string, failureNotice time.Duration, weights []int) *clientPool {
	noticeMs := float64(failureNotice) / float64(time.Millisecond)
	return &clientPool{
		addrs: addrs, balancer: experiment.NewNodeBalancer(len(addrs), noticeMs, weights),
		idle: make([][]*client, len(addrs)), inUse: make([]int, len(addrs)),
	}
}

// limitInUse keeps clients to their share of the nodes' descriptors, of which some are in use by others.
func (p *clientPool) limitInUse(descriptors, others int) {
	p.maxInUse = max(1, int(descriptorShare*float64(descriptors))-others)
}

// get returns a connection to the node that is picked next; a new one is never one that was used before. The caller has to release it.
func (p *clientPool) get(fresh bool) (node int, c *client, err error) {
	node, c, err = p.pick(fresh)
	if c != nil || err != nil {
		return node, c, err
	}
	if c, err = dial(p.addrs[node]); err != nil {
		p.release(node)
		p.markFailed(node)
	}
	return node, c, err
}

// release ends the use of a connection.
func (p *clientPool) release(node int) {
	p.mu.Lock()
	p.inUse[node]--
	p.mu.Unlock()
}

// pick picks a node on which clients may use one connection more, with an idle connection to it if there is one and it need not be a fresh
// one.
func (p *clientPool) pick(fresh bool) (node int, c *client, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.addrs {
		node = p.pickNode(fresh)
		isFull := p.maxInUse > 0 && p.inUse[node] >= p.maxInUse
		if isFull || p.balancer.OnStandby(node) && (fresh || len(p.idle[node]) == 0) {
			continue
		}
		p.inUse[node]++
		if last := len(p.idle[node]) - 1; last >= 0 && !fresh {
			c, p.idle[node] = p.idle[node][last], p.idle[node][:last]
		}
		return node, c, nil
	}
	return node, nil, errNoNode
}

// pickNode picks a node and has dead ones probed. Called with the mutex held.
func (p *clientPool) pickNode(fresh bool) int {
	node, probe := p.balancer.Pick(fakes.NowMs(), func(node int) bool { return !fresh && len(p.idle[node]) > 0 })
	for _, dead := range probe {
		go p.probe(dead) // ends within the timeouts of a probe
	}
	return node
}

// setStandby has a node take no new connections, or take them again.
func (p *clientPool) setStandby(node int, standby bool) {
	p.mu.Lock()
	p.balancer.SetStandby(node, standby)
	p.mu.Unlock()
}

// onStandby reports whether a node takes no new connections.
func (p *clientPool) onStandby(node int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.OnStandby(node)
}

// probe checks whether a dead node is back.
func (p *clientPool) probe(node int) {
	isBack := isServing(p.addrs[node])
	if !isBack {
		time.Sleep(probeInterval)
	}
	p.mu.Lock()
	p.balancer.RecordProbe(node, isBack)
	p.mu.Unlock()
}

// markFailed records that a node could not be reached, and closes the connections to it.
func (p *clientPool) markFailed(node int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.MarkFailed(fakes.NowMs(), node)
	for _, c := range p.idle[node] {
		c.close()
	}
	p.idle[node] = nil
}

// put takes a connection back on which a response came, or closes it.
func (p *clientPool) put(node int, c *client, drop bool) {
	c.reused = true
	p.mu.Lock()
	p.balancer.MarkHealthy(node)
	if !drop {
		p.idle[node] = append(p.idle[node], c)
	}
	p.mu.Unlock()
	if !drop {
		return
	}
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a port in TIME_WAIT for each request would use them up; fails only if it is closed
	}
	c.close()
}

// close closes the idle connections.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		for _, c := range idle {
			c.close()
		}
	}
}
