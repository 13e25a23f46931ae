package processrunner

import (
	"errors"
	"net"
	"sync"
	"time"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
)

// probeInterval is the delay before a dead node that failed a probe can be probed again.
const probeInterval = 50 * time.Millisecond

// maxDescriptorShare is the largest share of a node's file descriptors that clients may use for requests, as the operators' service page
// states.
const maxDescriptorShare = 1.0 / 3

// errNoConnectionAllowed reports that no node accepts another client connection: each is on standby or has reached its connection limit.
var errNoConnectionAllowed = errors.New("every node is on standby or has reached its limit of client connections")

// clientPool keeps the clients' connections to nodes, as a load balancer in front of the nodes would. It is safe for concurrent use.
type clientPool struct {
	addrs    []string // by node
	maxInUse int      // limit of connections in use per node; 0 for no limit

	mu       sync.Mutex // guards the fields below
	inUse    []int      // by node
	balancer *experiment.NodeBalancer
	idle     [][]*client // by node
}

func newClientPool(addrs []string, failureNotice time.Duration, weights []int) *clientPool {
	failureNoticeMs := float64(failureNotice) / float64(time.Millisecond)
	return &clientPool{
		addrs: addrs, balancer: experiment.NewNodeBalancer(len(addrs), failureNoticeMs, weights),
		idle: make([][]*client, len(addrs)), inUse: make([]int, len(addrs)),
	}
}

// limitInUse limits the pool's connections to each node to the clients' share of its descriptors, less those reserved for other clients.
func (p *clientPool) limitInUse(descriptors, reserved int) {
	p.maxInUse = max(1, int(maxDescriptorShare*float64(descriptors))-reserved)
}

// get returns a connection to the next node picked by the balancer. With requireNew it opens a connection instead of reusing an idle one.
// The caller must call release, unless get returns an error.
func (p *clientPool) get(requireNew bool) (node int, c *client, err error) {
	node, c, err = p.pick(requireNew)
	if c != nil || err != nil {
		return node, c, err
	}
	if c, err = dial(p.addrs[node]); err != nil {
		p.release(node)
		p.markFailed(node)
	}
	return node, c, err
}

// release decrements the number of connections in use to a node.
func (p *clientPool) release(node int) {
	p.mu.Lock()
	p.inUse[node]--
	p.mu.Unlock()
}

// pick picks a node that is below its connection limit and counts a connection to it as in use. Unless requireNew is set, it also returns
// an idle connection to the node if there is one.
func (p *clientPool) pick(requireNew bool) (node int, c *client, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.addrs {
		node = p.pickNode(requireNew)
		isFull := p.maxInUse > 0 && p.inUse[node] >= p.maxInUse
		if isFull || p.balancer.OnStandby(node) && (requireNew || len(p.idle[node]) == 0) {
			continue
		}
		p.inUse[node]++
		if last := len(p.idle[node]) - 1; last >= 0 && !requireNew {
			c, p.idle[node] = p.idle[node][last], p.idle[node][:last]
		}
		return node, c, nil
	}
	return node, nil, errNoConnectionAllowed
}

// pickNode picks a node and starts probes of the dead nodes that the balancer wants probed. Called with the mutex held.
func (p *clientPool) pickNode(requireNew bool) int {
	node, toProbe := p.balancer.Pick(fakes.NowMs(), func(node int) bool { return !requireNew && len(p.idle[node]) > 0 })
	for _, dead := range toProbe {
		go p.probe(dead) // bounded by the timeouts of a ping
	}
	return node
}

// setStandby sets whether a node is on standby and so accepts no new connections.
func (p *clientPool) setStandby(node int, standby bool) {
	p.mu.Lock()
	p.balancer.SetStandby(node, standby)
	p.mu.Unlock()
}

// onStandby reports whether a node is on standby and so accepts no new connections.
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

// markFailed records that a node could not be reached, and closes the idle connections to it.
func (p *clientPool) markFailed(node int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.MarkFailed(fakes.NowMs(), node)
	for _, c := range p.idle[node] {
		c.close()
	}
	p.idle[node] = nil
}

// put returns a connection to the pool after a response, or closes it if closeConn is set.
func (p *clientPool) put(node int, c *client, closeConn bool) {
	c.reused = true
	p.mu.Lock()
	p.balancer.MarkHealthy(node)
	if !closeConn {
		p.idle[node] = append(p.idle[node], c)
	}
	p.mu.Unlock()
	if !closeConn {
		return
	}
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // avoids TIME_WAIT, which would exhaust the local ports; fails only on a closed connection
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
