package simulator

import (
	"cmp"
	"slices"
	"time"

	"mintspring/internal/testbed/experiment"
)

const (
	// maxRetryWaitFactor is the longest randomized wait of a client before a retry, as a multiple of the configured wait.
	maxRetryWaitFactor = 1.5
	// runEndMargin is the time between the latest possible end of a request and the failure of a run that is still incomplete.
	runEndMargin = time.Second
	// nodeProbeInterval is the time between two probes of a node that was marked failed.
	nodeProbeInterval = 50 * time.Millisecond
)

// clientPopulation generates the requests of all clients and distributes them over the nodes.
type clientPopulation struct {
	sim                *Simulation
	traffic            *experiment.TrafficGenerator
	balancer           *experiment.NodeBalancer
	loadStart, loadEnd simTime // bounds of the load
	nextArrivalAt      simTime
	rateFactor         float64
	arrivalsEnded      bool
	openRequests       int // requests that have not ended
	requests           []experiment.Request
	unchecked          map[*clientAttempt]bool // attempts whose rules are not checked yet
	attemptCount       uint64
}

func newClientPopulation(s *Simulation, loadStart, loadEnd simTime) *clientPopulation {
	nodes := &s.experiment.Nodes
	return &clientPopulation{
		sim: s, traffic: experiment.NewTrafficGenerator(s.experiment, s.seed),
		balancer:  experiment.NewNodeBalancer(nodes.Count, nodes.FailureDetectionDelay.Milliseconds(), nodes.TrafficWeights),
		loadStart: loadStart, loadEnd: loadEnd, nextArrivalAt: loadStart, rateFactor: 1, unchecked: map[*clientAttempt]bool{},
	}
}

// latestEnd returns the time by which every request must have ended, plus a margin.
func (c *clientPopulation) latestEnd() simTime {
	x := c.sim.experiment
	waitMs := max(maxRetryWaitFactor*x.Load.RetryWait.Milliseconds(), x.Rules.MaxRetryAfter.Milliseconds())
	attemptMs := 0.0
	for i := range x.Classes {
		attemptMs = max(attemptMs, x.AttemptTimeoutMs(i)+experiment.ClientGraceMs+waitMs)
	}
	return c.loadEnd + simTime(durationOf(float64(x.Load.Retries+1)*attemptMs)) + simTime(runEndMargin)
}

// scheduleNextArrival schedules the next request. Arrivals do not wait for responses.
func (c *clientPopulation) scheduleNextArrival() {
	c.nextArrivalAt += simTime(c.traffic.NextGap(c.rateFactor))
	if c.nextArrivalAt > c.loadEnd {
		c.arrivalsEnded = true
		return
	}
	c.sim.schedule(c.nextArrivalAt, (*nextArrival)(c))
}

// nextArrival is the arrival of the next request at its client.
type nextArrival clientPopulation

func (a *nextArrival) fire() {
	c := (*clientPopulation)(a)
	request := c.traffic.NextRequest(c.sim.nowMs())
	c.openRequests++
	c.startAttempt(request)
	c.scheduleNextArrival()
}

// startAttempt starts the next attempt of a request.
func (c *clientPopulation) startAttempt(request *experiment.GeneratedRequest) {
	c.attemptCount++
	a := &clientAttempt{
		ClientAttempt: c.traffic.NewAttempt(request, c.sim.nowMs()), sim: c.sim, sequence: c.attemptCount, request: request,
	}
	a.send()
}

// probeNode checks whether a node that was marked failed accepts clients again.
func (c *clientPopulation) probeNode(index int) {
	n := c.sim.nodes[index]
	if p := n.process; !p.exited && p.serving && !p.draining && !n.frozen {
		c.sim.scheduleAfter(2*clientHopDelay, actionFunc(func() { c.balancer.RecordProbe(index, true) }))
		return
	}
	c.sim.scheduleAfter(nodeProbeInterval, actionFunc(func() { c.balancer.RecordProbe(index, false) }))
}

// checkUncheckedAttempts checks the rules for attempts that were not checked during the run.
func (c *clientPopulation) checkUncheckedAttempts() {
	for _, a := range sortedAttempts(c.unchecked) {
		c.sim.checker.AttemptEnded(a.ClientAttempt, a.executions)
	}
}

// sortedAttempts returns attempts in the order in which they were started.
func sortedAttempts(set map[*clientAttempt]bool) []*clientAttempt {
	attempts := make([]*clientAttempt, 0, len(set))
	for a := range set {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *clientAttempt) int { return cmp.Compare(a.sequence, b.sequence) })
	return attempts
}
