package simulator

import (
	"math"

	"mintspring/internal/node/exchange"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// clientAttempt is one attempt of a client's request. It is the exchange.Client of its exchange at the node.
type clientAttempt struct {
	invariants.ClientAttempt
	sim          *Simulation
	sequence     uint64
	request      *experiment.GeneratedRequest
	process      *process // that it was sent to
	connects     int      // nodes that could not be reached
	retryAfterMs float64  // as in the response

	connected  bool // it has a connection at its node
	started    bool // its node has begun to work on it
	ended      bool // for its client
	inFlight   int  // executions at servers
	executions []*servermodel.Execution
}

// send sends the attempt to the first node that can be reached.
func (a *clientAttempt) send() {
	s, c := a.sim, a.sim.clients
	for ; a.connects < experiment.MaxConnectsPerAttempt; a.connects++ {
		index, probe := c.balancer.Pick(s.nowMs(), func(int) bool { return false })
		for _, dead := range probe {
			c.probeNode(dead)
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
		s.scheduleAfter(clientHop, (*requestArrival)(a))
		s.scheduleAfter(durationOf(timeoutMs+experiment.ClientGraceMs), (*clientTimeout)(a))
		return
	}
	a.end() // nothing was sent
}

// requestArrival is an attempt that arrives at its node.
type requestArrival clientAttempt

func (r *requestArrival) fire() {
	a := (*clientAttempt)(r)
	p := a.process
	if p.exited || p.deferIfStalled(r) {
		return // the connection of a client to a process that has exited is reset
	}
	if a.ended { // its client has gone while the process stood still
		delete(p.clientAttempts, a)
		return
	}
	if p.cpu.startRequest(a) {
		return
	}
	if !p.acquireClientConn() {
		delete(p.clientAttempts, a)
		a.sim.scheduleAfter(clientHop, actionFunc(a.connectionReset)) // its connection is closed at once
		return
	}
	a.connected = true
	now := p.localNow()
	p.inflight.Admit(now, a.newExchange(now))
	p.runDueWork()
}

// newExchange returns the attempt as its node sees it.
func (a *clientAttempt) newExchange(now float64) *exchange.Exchange {
	x, node := a.sim.experiment, a.process.node
	class := &x.Classes[a.request.Class]
	limits := &node.deployment.Limits.Classes[a.request.Class]
	return &exchange.Exchange{
		Key: []byte(a.request.Key), KeyHash: ringKey(a.request.Key), Class: node.names.Classes[class.Name].ID, Write: class.Write,
		Tenant:    node.names.Tenants[x.Tenants[a.request.Tenant].Name],
		ArrivedAt: now, Deadline: node.names.Deadline(limits, now, math.Floor(x.AttemptTimeoutMs(a.request.Class))), Client: a,
	}
}

// ResponseReady implements exchange.Client.
func (a *clientAttempt) ResponseReady(x *exchange.Exchange) {
	a.process.releaseClientConn(a, false)
	a.sim.scheduleAfter(clientHop, &responseToClient{a, x.Response()})
}

// responseToClient is a response that arrives at its client.
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
	a.retryAfterMs = math.Floor(r.response.RetryAfter) // in whole ms on the wire
	a.WrongKey = a.Outcome == invariants.Completed && !experiment.IsValueOf(string(r.response.Value), a.request.Key)
	a.sim.clients.balancer.MarkHealthy(int(a.Node))
	a.end()
}

// clientTimeout is a client that goes away without a response.
type clientTimeout clientAttempt

func (t *clientTimeout) fire() {
	a := (*clientAttempt)(t)
	if a.ended {
		return
	}
	if a.connected {
		a.process.releaseClientConn(a, true)
	}
	a.end()
}

// connectionReset records that the connection of the client was reset: its node has died.
func (a *clientAttempt) connectionReset() {
	if !a.ended {
		a.sim.clients.balancer.MarkFailed(a.sim.nowMs(), int(a.Node))
		a.end()
	}
}

// end ends the attempt for its client, which may retry.
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

// executionStarted handles an execution that arrives at a server.
func (a *clientAttempt) executionStarted(of *attempt) {
	a.inFlight++
	a.executions = append(a.executions, of.execution)
	of.recordIndex = a.sim.recorder.Arrived(of.execution)
	a.sim.checker.ExecutionArrived(of.execution)
	a.sim.clients.unchecked[a] = true
}

// executionEnded records that an execution has ended at its server.
func (a *clientAttempt) executionEnded() {
	a.inFlight--
	a.checkIfDone()
}

// checkIfDone checks the rules once nothing of the attempt is in flight. Should more come, they are checked again.
func (a *clientAttempt) checkIfDone() {
	if !a.ended || a.inFlight > 0 || !a.sim.clients.unchecked[a] {
		return
	}
	a.sim.checker.AttemptEnded(a.ClientAttempt, a.executions)
	delete(a.sim.clients.unchecked, a)
}
