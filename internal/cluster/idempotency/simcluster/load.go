package simcluster

import (
	"slices"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

// loadTimeoutMs is for how long a claim of the load may be executed.
const loadTimeoutMs = 500

const msPerSecond = 1000

// LoadReport is what SimulateLoad measured.
type LoadReport struct {
	Members        int
	Claims         int
	Granted        int
	Violations     []string
	GrantP50Ms     float64   // from a claim to its grant
	GrantP99Ms     float64   // likewise
	CatchUpMs      []float64 // of each member that lost its disk: until it had caught up
	CatchUpRecords []int     // that it had then
	DatagramRate   float64   // a second, of one member
	ByteRate       float64   // a second, of one member
	CPUMs          float64   // of this machine's processor, in a simulated second of one member
}

// SimulateLoad simulates members for so many seconds, with so many operations a second, a fifth of which are claimed again later. Links take 1 to 6 ms,
// syncs 2 ms. In the second half one member after another is lost with its disk, and another one takes its place.
func SimulateLoad(members int, rate float64, seconds int, seed uint64) LoadReport {
	c := newCluster(members, seed, func(config *idempotency.Config) { config.AntiEntropyIntervalMs, config.RepairsPerSecond = 30e3, 2000 })
	c.links.Set(c.allNodes(), c.allNodes(), func(l *faultrelay.Link) { *l = faultrelay.Link{JitterMs: 5} })
	for range 500 {
		c.step() // until all have acknowledged the others' storage
	}
	c.sentDatagrams, c.sentBytes = 0, 0
	report := LoadReport{Members: members}
	start := time.Now()
	replacement := diskReplacement{node: noNode}
	due := c.now
	for ms := range seconds * msPerSecond {
		for ; due <= c.now; due += msPerSecond * c.rng.ExpFloat64() / rate {
			c.claimSome()
		}
		replacement.observe(c, &report)
		if secondHalf := ms >= seconds*msPerSecond/2; secondHalf && ms%msPerSecond == 0 {
			replacement.start(c)
		}
		c.step()
	}
	report.summarize(c, members*seconds, time.Since(start))
	return report
}

// claimSome claims a new operation, and in one of five cases an earlier one again.
func (c *cluster) claimSome() {
	options := idempotency.ClaimOptions{TimeoutMs: loadTimeoutMs}
	latest := c.addOperation()
	c.claim(c.rng.IntN(len(c.nodes)), latest, options)
	if c.rng.IntN(5) == 0 && latest > 0 {
		c.claim(c.rng.IntN(len(c.nodes)), c.rng.IntN(latest), options)
	}
}

// addOperation returns the index of a new operation.
func (c *cluster) addOperation() int {
	c.operations = append(c.operations, operation{})
	return len(c.operations) - 1
}

// noNode is no node's number.
const noNode = -1

// diskReplacement is a node that has lost its disk and has not caught up.
type diskReplacement struct {
	node      int // noNode: none
	startedAt float64
}

func (d *diskReplacement) start(c *cluster) {
	if d.node == noNode {
		d.node, d.startedAt = c.rng.IntN(len(c.nodes)), c.now
		c.replace(d.node)
	}
}

// observe notes when the node has caught up.
func (d *diskReplacement) observe(c *cluster, report *LoadReport) {
	if d.node == noNode || !c.nodes[d.node].core.CaughtUp() {
		return
	}
	report.CatchUpMs = append(report.CatchUpMs, c.now-d.startedAt)
	report.CatchUpRecords = append(report.CatchUpRecords, c.nodes[d.node].core.Status(c.now).Records)
	d.node = noNode
}

// summarize takes in what the cluster has counted in so many seconds of single members.
func (r *LoadReport) summarize(c *cluster, memberSeconds int, cpu time.Duration) {
	for _, claims := range c.decisions {
		r.Claims += claims
	}
	r.Granted, r.Violations = c.decisions[idempotency.DecisionGranted], c.violations
	per := float64(memberSeconds)
	r.DatagramRate, r.ByteRate = float64(c.sentDatagrams)/per, float64(c.sentBytes)/per
	r.CPUMs = float64(cpu) / float64(time.Millisecond) / per
	slices.Sort(c.grantLatenciesMs)
	if n := len(c.grantLatenciesMs); n > 0 {
		r.GrantP50Ms, r.GrantP99Ms = c.grantLatenciesMs[n/2], c.grantLatenciesMs[n*99/100]
	}
}
