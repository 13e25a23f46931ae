package simulator

import (
	"cmp"
	"slices"
	"time"

	"mintspring/internal/testbed/experiment"
)

const (
	// maxRetryWaitFactor is how much longer than the usual one a client's wait before a retry may be.
	maxRetryWaitFactor = 1.5
	// endMargin is how long after the end of all requests their run is given up.
	endMargin = time.Second
	// probeInterval is the time between two looks at a dead node.
	probeInterval = 50 * time.Millisecond
)

// clientPopulation is all clients, with what spreads them over nodes.
type clientPopulation struct {
	sim           *Simulation
	traffic       *experiment.TrafficGenerator
	balancer      *experiment.NodeBalancer
	from, to      simTime // of the load
	nextDue       simTime
	rateFactor    float64
	arrivalsEnded bool
	openRequests  int // those that have not ended
	requests      []experiment.Request
	unchecked     map[*clientAttempt]bool // attempts of which something is in flight
	attemptCount  uint64
}

func newClientPopulation(s *Simulation, from, to simTime) *clientPopulation {
	nodes := &s.experiment.Nodes
	return &clientPopulation{
		sim: s, traffic: experiment.NewTrafficGenerator(s.experiment, s.seed),
		balancer: experiment.NewNodeBalancer(nodes.Count, nodes.FailureDetectionDelay.Milliseconds(), nodes.TrafficWeights),
		from:     from, to: to, nextDue: from, rateFactor: 1, unchecked: map[*clientAttempt]bool{},
	}
}

// latestEnd returns when the last request has ended, whatever happens.
func (c *clientPopulation) latestEnd() simTime {
	x := c.sim.experiment
	waitMs := max(maxRetryWaitFactor*x.Load.RetryWait.Milliseconds(), x.Rules.MaxRetryAfter.Milliseconds())
	attemptMs := 0.0
	for i := range x.Classes {
		attemptMs = max(attemptMs, x.AttemptTimeoutMs(i)+experiment.ClientGraceMs+waitMs)
	}
	return c.to + simTime(durationOf(float64(x.Load.Retries+1)*attemptMs)) + simTime(endMargin)
}

// scheduleNext has the next request come at its time. Arrivals do not wait for responses.
func (c *clientPopulation) scheduleNext() {
	c.nextDue += simTime(c.traffic.NextGap(c.rateFactor))
	if c.nextDue > c.to {
		c.arrivalsEnded = true
		return
	}
	c.sim.schedule(c.nextDue, (*nextArrival)(c))
}

// nextArrival is a new request.
type nextArrival clientPopulation

func (a *nextArrival) fire() {
	c := (*clientPopulation)(a)
	request := c.traffic.NextRequest(c.sim.nowMs())
	c.openRequests++
	c.startAttempt(request)
	c.scheduleNext()
}

// startAttempt makes the next attempt of a request.
func (c *clientPopulation) startAttempt(request *experiment.GeneratedRequest) {
	c.attemptCount++
	a := &clientAttempt{
		ClientAttempt: c.traffic.NewAttempt(request, c.sim.nowMs()), sim: c.sim, sequence: c.attemptCount, request: request,
	}
	a.send()
}

// probeNode checks whether a dead node is back.
func (c *clientPopulation) probeNode(index int) {
	n := c.sim.nodes[index]
	if p := n.process; !p.exited && p.serving && !p.draining && !n.frozen {
		c.sim.scheduleAfter(2*clientHop, actionFunc(func() { c.balancer.RecordProbe(index, true) }))
		return
	}
	c.sim.scheduleAfter(probeInterval, actionFunc(func() { c.balancer.RecordProbe(index, false) }))
}

// checkRemaining checks the rules for attempts of which something is in flight.
func (c *clientPopulation) checkRemaining() {
	for _, a := range sortedAttempts(c.unchecked) {
		c.sim.checker.AttemptEnded(a.ClientAttempt, a.executions)
	}
}

// sortedAttempts returns attempts in the order in which they were made.
func sortedAttempts(set map[*clientAttempt]bool) []*clientAttempt {
	attempts := make([]*clientAttempt, 0, len(set))
	for a := range set {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *clientAttempt) int { return cmp.Compare(a.sequence, b.sequence) })
	return attempts
}
