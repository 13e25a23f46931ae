package simulator

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// clientAttempt is one attempt of a client's request. It implements exchange.Client for the exchange at the node.
type clientAttempt struct {
	invariants.ClientAttempt
	sim            *Simulation
	sequence       uint64
	request        *experiment.GeneratedRequest
	process        *process // the process that the attempt was sent to
	failedConnects int      // number of nodes that could not be reached
	retryAfterMs   float64  // from the response

	connected  bool // it holds a client connection at its node
	started    bool // its node has started to process it
	ended      bool // the client has a response or has given up
	inFlight   int  // number of executions running at servers
	executions []*servermodel.Execution
}

// send sends the attempt to the first node that accepts a connection.
func (a *clientAttempt) send() {
	s, c := a.sim, a.sim.clients
	for ; a.failedConnects < experiment.MaxConnectsPerAttempt; a.failedConnects++ {
		index, probe := c.balancer.Pick(s.nowMs(), func(int) bool { return false })
		for _, deadNode := range probe {
			c.probeNode(deadNode)
		}
		p := s.nodes[index].process
		if p.exited || p.draining {
			c.balancer.MarkFailed(s.nowMs(), index)
			continue
		}
		timeoutMs := s.experiment.AttemptTimeoutMs(a.request.Class)
		a.process, a.Node, a.Sent, a.Deadline = p, servermodel.NodeID(index), s.nowMs(), s.nowMs()+timeoutMs
		p.clientAttempts[a] = true
		c.unchecked[a] = true
		s.scheduleAfter(clientHopDelay, (*requestArrival)(a))
		s.scheduleAfter(durationOf(timeoutMs+experiment.ClientGraceMs), (*clientTimeout)(a))
		return
	}
	a.end() // no node could be reached
}

// requestArrival is the arrival of an attempt at its node.
type requestArrival clientAttempt

func (r *requestArrival) fire() {
	a := (*clientAttempt)(r)
	p := a.process
	if p.exited || p.deferIfStalled(r) {
		return // terminate has reset the connection, or the arrival is postponed
	}
	if a.ended { // the client gave up while the process was frozen or busy
		delete(p.clientAttempts, a)
		return
	}
	if p.cpu.chargeRequest(a) {
		return
	}
	if !p.acquireClientConnection() {
		delete(p.clientAttempts, a)
		a.sim.scheduleAfter(clientHopDelay, actionFunc(a.connectionReset)) // the node closes the connection at once
		return
	}
	a.connected = true
	now := p.localNow()
	p.inflight.Admit(now, a.newExchange(now))
	p.runDueWork()
}

// newExchange returns the exchange by which the node processes the attempt.
func (a *clientAttempt) newExchange(now float64) *exchange.Exchange {
	x, node := a.sim.experiment, a.process.node
	class := &x.Classes[a.request.Class]
	limits := &node.deployment.Limits.Classes[a.request.Class]
	return &exchange.Exchange{
		Key: []byte(a.request.Key), KeyHash: ringKey(a.request.Key), Class: node.clientConfig.Classes[class.Name].ID, Write: class.Write,
		ExecuteOnce: limits.Effect != fleet.Idempotent,
		Tenant:      node.clientConfig.Tenants[x.Tenants[a.request.Tenant].Name],
		ArrivedAt:   now, Deadline: node.clientConfig.Deadline(limits, now, math.Floor(x.AttemptTimeoutMs(a.request.Class))), Client: a,
	}
}

// ResponseReady implements exchange.Client.
func (a *clientAttempt) ResponseReady(x *exchange.Exchange) {
	a.process.releaseClientConnection(a, false)
	a.sim.scheduleAfter(clientHopDelay, &responseToClient{a, x.Response()})
}

// responseToClient is the arrival of a response at its client.
type responseToClient struct {
	attempt  *clientAttempt
	response *exchange.Response
}

func (r *responseToClient) fire() {
	a := r.attempt
	if a.ended {
		return
	}
	switch r.response.Kind {
	case exchange.Completed:
		a.Outcome = invariants.Completed
	case exchange.Rejected:
		a.Outcome = invariants.Rejected
	case exchange.Aborted:
		a.Outcome = invariants.Aborted
	}
	a.AnsweredAt = a.sim.nowMs()
	a.retryAfterMs = math.Floor(r.response.RetryAfter) // whole ms on the wire
	a.WrongKey = a.Outcome == invariants.Completed && !experiment.IsValueOf(string(r.response.Value), a.request.Key)
	a.sim.clients.balancer.MarkHealthy(int(a.Node))
	a.end()
}

// clientTimeout is the time at which a client without a response gives up.
type clientTimeout clientAttempt

func (t *clientTimeout) fire() {
	a := (*clientAttempt)(t)
	if a.ended {
		return
	}
	if a.connected {
		a.process.releaseClientConnection(a, true)
	}
	a.end()
}

// connectionReset handles a reset of the client's connection by its node.
func (a *clientAttempt) connectionReset() {
	if !a.ended {
		a.sim.clients.balancer.MarkFailed(a.sim.nowMs(), int(a.Node))
		a.end()
	}
}

// end ends the attempt for its client and schedules a retry if the client makes one.
func (a *clientAttempt) end() {
	c := a.sim.clients
	a.ended = true
	retry, waitMs := c.traffic.AttemptEnded(a.request, &a.ClientAttempt, a.sim.nowMs(), a.retryAfterMs)
	a.checkIfDone()
	if retry {
		a.sim.scheduleAfter(durationOf(waitMs), actionFunc(func() { c.startAttempt(a.request) }))
		return
	}
	c.openRequests--
	c.requests = append(c.requests, a.request.Request)
}

// executionStarted records the arrival of an execution at a server.
func (a *clientAttempt) executionStarted(nodeAttempt *attempt) {
	a.inFlight++
	a.executions = append(a.executions, nodeAttempt.execution)
	nodeAttempt.recordIndex = a.sim.recorder.Arrived(nodeAttempt.execution)
	a.sim.checker.ExecutionArrived(nodeAttempt.execution)
	a.sim.clients.unchecked[a] = true
}

// executionEnded records that an execution has ended at its server.
func (a *clientAttempt) executionEnded() {
	a.inFlight--
	a.checkIfDone()
}

// checkIfDone checks the rules once the attempt has ended and none of its executions is running. An execution that arrives later triggers
// another check.
func (a *clientAttempt) checkIfDone() {
	if !a.ended || a.inFlight > 0 || !a.sim.clients.unchecked[a] {
		return
	}
	a.sim.checker.AttemptEnded(a.ClientAttempt, a.executions)
	delete(a.sim.clients.unchecked, a)
}
