package simcluster

import (
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

// Maximum durations of injected faults, in ms.
const (
	maxPauseMs          = 3000
	maxJitterMs         = 400
	maxDuplicateDelayMs = 1500
)

// faultOptions selects the faults that runWithFaults injects.
type faultOptions struct {
	loseDisks bool // nodes lose their disks, one at a time
}

// runWithFaults runs the cluster for durationMs, while it adds operations, claims new and old operations repeatedly at random nodes, and
// injects faults.
func (c *cluster) runWithFaults(durationMs float64, options faultOptions) {
	for end := c.now + durationMs; c.now < end; c.step() {
		if c.rng.IntN(40) == 0 {
			c.addOperation()
		}
		if c.hasOperations() && c.rng.IntN(10) == 0 {
			c.claimAtSeveralNodes()
		}
		if c.rng.IntN(150) == 0 {
			c.injectFault(options)
		}
		if c.rng.IntN(400) == 0 {
			c.links.Heal()
			c.startDown(c.allNodes())
		}
	}
}

func (c *cluster) hasOperations() bool { return len(c.operations) > 0 }

// claimAtSeveralNodes claims one operation, usually a recent one, at up to three nodes in the same ms.
func (c *cluster) claimAtSeveralNodes() {
	n := len(c.operations)
	operation := max(0, n-1-c.rng.IntN(8))
	if c.rng.IntN(4) == 0 {
		operation = c.rng.IntN(n)
	}
	for range 1 + c.rng.IntN(3) {
		c.claim(c.rng.IntN(len(c.nodes)), operation, idempotency.ClaimOptions{TimeoutMs: 500})
	}
}

// injectFault injects a random fault at one or all nodes, or ends faults: it starts nodes that are down, or heals the links.
func (c *cluster) injectFault(options faultOptions) {
	shuffledNodes := c.rng.Perm(len(c.nodes))
	node := shuffledNodes[0]
	switch c.rng.IntN(11) {
	case 0:
		c.kill(node)
	case 1:
		c.startDown(shuffledNodes)
	case 2, 10:
		if options.loseDisks && c.caughtUpExcept(node) {
			c.replace(node)
		}
	case 3:
		c.nodes[node].pausedUntil = c.now + maxPauseMs*c.rng.Float64()
	case 4:
		c.partition(shuffledNodes)
	case 5:
		c.links.Set(shuffledNodes, shuffledNodes, c.degrade)
	case 6:
		c.nodes[node].syncDurationMs = []float64{0, 2, 20, 200}[c.rng.IntN(4)]
	case 7: // a power cut
		c.restartNodes(shuffledNodes)
	case 9:
		c.restart(node)
	default:
		c.links.Heal()
	}
}

// partition cuts the links from some nodes to all others, and in half of the cases also the links in the opposite direction.
func (c *cluster) partition(all []int) {
	shuffled := c.rng.Perm(len(c.nodes))
	isolated := shuffled[:1+c.rng.IntN(len(shuffled)-1)]
	cut := func(l *faultrelay.Link) { l.Cut = true }
	c.links.Set(isolated, all, cut)
	if c.rng.IntN(2) == 0 {
		c.links.Set(all, isolated, cut)
	}
}

// degrade makes a link lose, delay, duplicate, reorder and damage datagrams.
func (c *cluster) degrade(l *faultrelay.Link) {
	*l = faultrelay.Link{
		LossRate:         0.3 * c.rng.Float64(),
		JitterMs:         maxJitterMs * c.rng.Float64(),
		Duplicates:       c.rng.IntN(3),
		DuplicateDelayMs: maxDuplicateDelayMs * c.rng.Float64(),
		CorruptRate:      0.05,
		TruncateRate:     0.02,
	}
}

// runWithRecentClaims runs the cluster for durationMs and claims recent operations, on average once in claimIntervalMs. It calls onEachMs,
// which may be nil, in each ms.
func (c *cluster) runWithRecentClaims(durationMs, claimIntervalMs int, onEachMs func(elapsedMs int)) {
	for elapsedMs := range durationMs {
		if c.rng.IntN(30) == 0 {
			c.addOperation()
		}
		if c.hasOperations() && c.rng.IntN(claimIntervalMs) == 0 {
			for range 1 + c.rng.IntN(2) {
				c.claim(c.rng.IntN(len(c.nodes)), c.recentOperation(20), idempotency.ClaimOptions{TimeoutMs: 300})
			}
		}
		if onEachMs != nil {
			onEachMs(elapsedMs)
		}
		c.step()
	}
}

// recentOperation returns a random one of the latest operations; window is how many count as such.
func (c *cluster) recentOperation(window int) int {
	return max(0, len(c.operations)-1-c.rng.IntN(window))
}

// restartNodes restarts nodes in the same ms.
func (c *cluster) restartNodes(nodes []int) {
	for _, i := range nodes {
		c.restart(i)
	}
}

// startDown starts the given nodes that are down.
func (c *cluster) startDown(nodes []int) {
	for _, i := range nodes {
		if c.nodes[i].down {
			c.start(i)
		}
	}
}

// caughtUpExcept reports whether all nodes other than the exempt one are running and have caught up.
func (c *cluster) caughtUpExcept(exempt int) bool {
	for i, n := range c.nodes {
		if i != exempt && (!c.running(n) || !n.core.CaughtUp()) {
			return false
		}
	}
	return true
}
