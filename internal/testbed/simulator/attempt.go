package simulator

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/inflight"
	"mintspring/internal/testbed/servermodel"
)

// attempt is one attempt of a node to execute a request at a server.
type attempt struct {
	connpool.Waiter
	link        *serverLink
	exchange    *exchange.Exchange
	client      *clientAttempt
	index       int // in the list of attempts of the request
	sentAt      float64
	deadline    float64
	remainingMs float64 // time to the deadline when the attempt was sent
	conn        *conn   // nil while the attempt waits for a connection
	progress    exchange.Progress
	stale       bool // it was sent on an idle connection that the server had already closed
	done        bool

	execution   *servermodel.Execution // nil until the attempt arrives at the server
	recordIndex int                    // index of the execution in the recorder
}

// startAttempt starts an attempt with a timeout in ms. The attempt is cancelled if it is not sent before the time sendBy.
func (l *serverLink) startAttempt(now float64, x *exchange.Exchange, index int, timeoutMs, sendBy float64) *attempt {
	a := &attempt{link: l, exchange: x, client: x.Client.(*clientAttempt), index: index, sentAt: now, deadline: now + timeoutMs}
	a.Key, a.ExecuteOnce = connpool.HashKey(x.Key), x.ExecuteOnce
	a.LimitLocalWait(timeoutMs)
	sim := l.process.sim
	sim.schedule(l.process.localToSimTime(a.deadline), (*attemptTimeout)(a))
	if sendBy < a.deadline {
		sim.schedule(l.process.localToSimTime(sendBy), actionFunc(func() {
			if !a.done && a.progress == exchange.NotConnected {
				l.endAttemptLater(a, fleet.Cancelled)
			}
		}))
	}
	switch l.pool.Acquire(now, a) {
	case connpool.Unavailable:
		l.endAttemptLater(a, fleet.NotSent)
	case connpool.Rejected:
		l.endAttemptLater(a, fleet.Declined)
	}
	return a
}

// Assign implements connpool.Owner. It sends an attempt on a connection.
func (l *serverLink) Assign(now float64, c *conn, a *attempt) {
	c.current, a.conn, a.progress, a.remainingMs = a, c, exchange.FullyWritten, a.deadline-now
	l.process.sim.scheduleAfter(serverHopDelay, (*attemptArrival)(a))
}

// attemptTimeout is the timer for the deadline of an attempt.
type attemptTimeout attempt

func (t *attemptTimeout) fire() {
	if a := (*attempt)(t); !a.done && !a.link.process.exited && !a.link.process.deferIfStalled(t) {
		a.link.endAttempt(a, fleet.TimedOut)
		a.link.process.runDueWork()
	}
}

// endAttempt ends an attempt on the node's side without a response and closes its connection, if it has one.
func (l *serverLink) endAttempt(a *attempt, result fleet.Result) {
	if a.done || l.process.exited {
		return
	}
	a.done = true
	now := l.process.localNow()
	if a.conn != nil {
		a.conn.current = nil
		l.pool.Detach(a.conn)
		l.pool.CloseConn(a.conn, connpool.ClosedAbandoned)
	}
	l.pool.CancelWait(a)
	if a.conn != nil {
		l.pool.Dispatch(now)
	}
	attemptErr := exchange.AttemptError{Progress: a.progress, Result: result}
	l.process.inflight.AttemptDone(now, a.exchange, a.index, inflight.Completion{
		Result: attemptErr.Outcome(), Took: now - a.sentAt, Stale: a.stale, Report: fleet.NewLoadReport(),
	})
}

// endAttemptLater ends an attempt in an event after the current one, as another goroutine of the node would.
func (l *serverLink) endAttemptLater(a *attempt, result fleet.Result) {
	l.process.sim.scheduleAfter(0, actionFunc(func() {
		l.endAttempt(a, result)
		l.process.runDueWork()
	}))
}

// attemptArrival is the arrival of an attempt at its server.
type attemptArrival attempt

func (t *attemptArrival) fire() {
	a := (*attempt)(t)
	c, s := a.conn, a.conn.server
	node := c.link.process.node.index
	if c.serverClosed || s.isBlackholed(node) {
		return // no response: packets are dropped, or the reset of the connection is on its way
	}
	sim := s.sim
	sim.deliverCompleted() // executions that have completed by now free their resources first
	now := sim.nowMs()
	request := a.request(now)
	if c.overLimit {
		a.execution = &servermodel.Execution{Request: request, Server: s.model.ID, Outcome: servermodel.Rejected, EndedAt: now}
		a.client.executionStarted(a)
		sim.recorder.Ended(a.recordIndex, a.execution)
		c.respond(a)
		a.client.executionEnded()
		return
	}
	isReset := s.faults.DrawReset(sim.rng)
	a.execution = sim.cluster.Submit(now, s.model.ID, request, a)
	a.client.executionStarted(a)
	if isReset {
		c.reset()
	}
	if s.model.Collapsed && !s.down {
		s.down = true
		s.ResetConnections()
	}
	sim.deliverCompleted()
}

// request returns the request that the server receives.
func (a *attempt) request(nowMs float64) servermodel.Request {
	s, node, client := a.conn.server, a.conn.link.process.node.index, a.client
	const minRemainingMs = 1
	return servermodel.Request{
		RequestID: client.ID, Key: client.request.Key, IdempotencyKey: client.IdempotencyKey,
		Class: s.sim.experiment.Classes[client.request.Class].Name, Write: a.exchange.Write,
		Node: servermodel.NodeID(node), FirstByte: nowMs, LastByte: nowMs,
		Deadline:     nowMs + max(minRemainingMs, math.Trunc(a.remainingMs)), // whole ms on the wire
		NodeNotified: s.notifiedOfStart(node, nowMs),
	}
}
