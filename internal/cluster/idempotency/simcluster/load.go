package simcluster

import (
	"slices"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

// loadTimeoutMs is the execution timeout of the claims of SimulateLoad.
const loadTimeoutMs = 500

const msPerSecond = 1000

// LoadReport has the measurements of SimulateLoad.
type LoadReport struct {
	Members        int
	Claims         int
	Granted        int
	Violations     []string
	GrantP50Ms     float64   // median time from a claim to its grant
	GrantP99Ms     float64   // 99th percentile of the same
	CatchUpMs      []float64 // time that each member with a lost disk took to catch up
	CatchUpRecords []int     // records that it had then, in the same order
	DatagramRate   float64   // datagrams sent per member and second
	ByteRate       float64   // bytes sent per member and second
	CPUMs          float64   // elapsed time on this machine per member and simulated second
}

// SimulateLoad simulates a group of members for a number of seconds. rate is the number of new operations a second; a fifth as many claims
// are made of earlier operations. Links have a latency of 1 to 6 ms, and syncs take 2 ms. In the second half members lose their disks, one
// at a time.
func SimulateLoad(members int, rate float64, seconds int, seed uint64) LoadReport {
	c := newCluster(members, seed, func(config *idempotency.Config) { config.AntiEntropyIntervalMs, config.RepairsPerSecond = 30e3, 2000 })
	c.links.Set(c.allNodes(), c.allNodes(), func(l *faultrelay.Link) { *l = faultrelay.Link{JitterMs: 5} })
	for range 500 {
		c.step() // until all members have acknowledged each other's storage
	}
	c.sentDatagrams, c.sentBytes = 0, 0
	report := LoadReport{Members: members}
	start := time.Now()
	replacement := diskReplacement{node: noNode}
	nextClaimAt := c.now
	for ms := range seconds * msPerSecond {
		for ; nextClaimAt <= c.now; nextClaimAt += msPerSecond * c.rng.ExpFloat64() / rate {
			c.claimNewAndEarlier()
		}
		replacement.recordCatchUp(c, &report)
		if secondHalf := ms >= seconds*msPerSecond/2; secondHalf && ms%msPerSecond == 0 {
			replacement.startIfIdle(c)
		}
		c.step()
	}
	report.summarize(c, members*seconds, time.Since(start))
	return report
}

// claimNewAndEarlier claims a new operation, and with a probability of 1/5 also an earlier one.
func (c *cluster) claimNewAndEarlier() {
	options := idempotency.ClaimOptions{TimeoutMs: loadTimeoutMs}
	latest := c.addOperation()
	c.claim(c.rng.IntN(len(c.nodes)), latest, options)
	if c.rng.IntN(5) == 0 && latest > 0 {
		c.claim(c.rng.IntN(len(c.nodes)), c.rng.IntN(latest), options)
	}
}

// addOperation adds an operation and returns its index.
func (c *cluster) addOperation() int {
	c.operations = append(c.operations, operation{})
	return len(c.operations) - 1
}

// noNode is a number that no node has.
const noNode = -1

// diskReplacement tracks the node that has lost its disk and is catching up.
type diskReplacement struct {
	node      int // noNode: none
	startedAt float64
}

func (d *diskReplacement) startIfIdle(c *cluster) {
	if d.node == noNode {
		d.node, d.startedAt = c.rng.IntN(len(c.nodes)), c.now
		c.replace(d.node)
	}
}

// recordCatchUp adds the catch-up time to the report once the node has caught up.
func (d *diskReplacement) recordCatchUp(c *cluster, report *LoadReport) {
	if d.node == noNode || !c.nodes[d.node].core.CaughtUp() {
		return
	}
	report.CatchUpMs = append(report.CatchUpMs, c.now-d.startedAt)
	report.CatchUpRecords = append(report.CatchUpRecords, c.nodes[d.node].core.Status(c.now).Records)
	d.node = noNode
}

// summarize fills in the report from the cluster's counters. memberSeconds is the number of members times the simulated seconds.
func (r *LoadReport) summarize(c *cluster, memberSeconds int, elapsed time.Duration) {
	for _, claims := range c.decisions {
		r.Claims += claims
	}
	r.Granted, r.Violations = c.decisions[idempotency.DecisionGranted], c.violations
	seconds := float64(memberSeconds)
	r.DatagramRate, r.ByteRate = float64(c.sentDatagrams)/seconds, float64(c.sentBytes)/seconds
	r.CPUMs = float64(elapsed) / float64(time.Millisecond) / seconds
	slices.Sort(c.grantLatenciesMs)
	if n := len(c.grantLatenciesMs); n > 0 {
		r.GrantP50Ms, r.GrantP99Ms = c.grantLatenciesMs[n/2], c.grantLatenciesMs[n*99/100]
	}
}
