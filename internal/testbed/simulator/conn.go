package simulator

import (
	"mintspring/internal/fleet"
	"mintspring/internal/node"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/inflight"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// conn is one connection of a node to a server. Each message on it arrives after serverHopDelay.
type conn struct {
	connpool.Conn
	link         *serverLink
	server       *server
	current      *attempt // nil while it is idle
	overLimit    bool     // opened above the server's connection limit; its requests are rejected
	serverClosed bool     // the server's side is closed
	index        int      // in server.conns
}

// closeServerSide closes the server's side of the connection.
func (c *conn) closeServerSide() {
	if c.serverClosed {
		return
	}
	c.serverClosed = true
	c.server.removeConn(c)
	if !c.overLimit {
		c.server.sim.cluster.CloseConnection(c.server.model.ID)
	}
}

// reset closes the connection from the server's side. The node receives the reset after serverHopDelay.
func (c *conn) reset() {
	c.closeServerSide()
	c.server.sim.scheduleAfter(serverHopDelay, actionFunc(func() {
		c.connectionLost()
		c.link.process.runDueWork()
	}))
}

// respond sends the response to an attempt, subject to the faults that are active at the server.
func (c *conn) respond(a *attempt) {
	sim := c.server.sim
	if c.serverClosed || c.server.isBlackholed(c.link.process.node.index) {
		return
	}
	fault := c.server.faults.DrawResponseFault(sim.rng)
	if fault == fakes.DroppedResponse || fault == fakes.StalledResponse {
		return
	}
	if fault == fakes.LateDuplicateResponse || fault == fakes.CrossingDuplicateResponse {
		sim.scheduleAfter(serverHopDelay+durationOf(c.server.faults.DuplicateDelay()), &duplicateArrival{a, c})
	}
	sim.scheduleAfter(serverHopDelay, &responseArrival{a, c, fault})
}

// The methods and events below belong to the node's side.

// connectionLost handles a reset by the server, or data on the connection that is not a valid response.
func (c *conn) connectionLost() {
	l := c.link
	if l.process.exited || c.Closed || l.process.deferIfStalled(actionFunc(c.connectionLost)) {
		return
	}
	l.pool.RemoveUnused(c)
	a := c.current
	c.current = nil
	l.pool.CloseConn(c, connpool.ClosedBroken)
	l.pool.Detach(c)
	now := l.process.localNow()
	if a == nil {
		l.pool.Dispatch(now)
		return
	}
	if a.progress != exchange.ResponseStarted && c.IdleDuration >= node.ConnectTimeout(&l.process.node.deployment)/5 {
		l.pool.CloseIdleBefore(now - c.IdleDuration) // the server probably closed it while it was idle
		a.stale = true
	}
	l.endAttempt(a, fleet.Reset)
}

// responseArrival is the arrival of a response at its node.
type responseArrival struct {
	attempt *attempt
	conn    *conn
	fault   fakes.ResponseFault
}

func (r *responseArrival) fire() {
	a, c := r.attempt, r.conn
	if c.Closed || c.link.process.exited || c.link.process.deferIfStalled(r) {
		return
	}
	if c.current != a {
		c.closeAfterUnsolicited()
		return
	}
	p := c.link.process
	if r.fault == fakes.TruncatedResponse {
		a.progress = exchange.ResponseStarted
		p.sim.scheduleAfter(durationOf(p.stallTimeoutMs), actionFunc(func() { c.responseStalled(a) }))
		return
	}
	if r.fault == fakes.CorruptResponse {
		c.connectionLost()
		p.runDueWork()
		return
	}
	a.progress = exchange.ResponseStarted
	isDuplicated := r.fault == fakes.DuplicateResponse
	if isDuplicated {
		c.IdleSince = p.localNow()
		c.link.recordUnsolicited(p.localNow(), c)
	}
	c.acceptResponse(a, a.execution, isDuplicated)
	p.runDueWork()
}

// responseStalled handles the stall timeout of a response that was received in part.
func (c *conn) responseStalled(a *attempt) {
	if c.current == a {
		c.connectionLost()
		c.link.process.runDueWork()
	}
}

// acceptResponse processes a response as that of an attempt. closesConn reports that the connection is not used again.
func (c *conn) acceptResponse(a *attempt, execution *servermodel.Execution, closesConn bool) {
	l, now := c.link, c.link.process.localNow()
	completion := c.server.parseCompletion(execution)
	completion.Took = now - a.sentAt
	c.current = nil
	attemptEnded := a.done
	a.done = true
	l.pool.Responded(now, c, connpool.Response{
		Rejected: completion.Result == fleet.Declined, Last: closesConn, CloseReason: connpool.ClosedDuplicate, Digest: completionDigest(&completion), Recognition: l.recognitionOf(now, a, &completion),
	})
	if !attemptEnded {
		l.process.inflight.AttemptDone(now, a.exchange, a.index, completion)
	}
}

// recognitionOf returns how a duplicate of the response to an attempt is recognized.
func (l *serverLink) recognitionOf(now float64, a *attempt, completion *inflight.Completion) connpool.Recognition {
	if l.pool.Policy.FenceState(now) != connpool.FenceUnsupported {
		return connpool.ByFence
	}
	return connpool.RecognitionOf(completion.Result, completion.Value, a.exchange.Write)
}

// completionDigest returns the digest of a response.
func completionDigest(completion *inflight.Completion) connpool.Digest {
	return connpool.DigestOf(completion.Result, completion.Value, completion.Cache, &completion.Report)
}

// parseCompletion returns the result that the node reads from the response of an execution.
func (s *server) parseCompletion(e *servermodel.Execution) inflight.Completion {
	completion := inflight.Completion{Result: fleet.Completed, Report: s.parseReport(e.Report)}
	switch e.Outcome {
	case servermodel.Rejected, servermodel.Expired:
		completion.Result = fleet.Declined
	case servermodel.Failed:
		completion.Result = fleet.Failed
	case servermodel.CacheMiss:
		completion.Result = fleet.Missed
	default:
		completion.Value = []byte(e.Value)
	}
	if !s.Origin {
		switch e.Note {
		case servermodel.NoteHit:
			completion.Cache = fleet.CacheHit
		case servermodel.NoteMiss:
			completion.Cache = fleet.CacheMiss
		}
	}
	return completion
}

// duplicateArrival is the arrival of a late duplicate response. The node detects the duplicate if no attempt is in flight on the connection,
// as while the connection cools down, or if it compares the duplicate with the response before it. Otherwise the duplicate is accepted as
// the response to the attempt.
type duplicateArrival struct {
	attempt *attempt
	conn    *conn
}

func (d *duplicateArrival) fire() {
	c, p := d.conn, d.conn.link.process
	if c.Closed || c.serverClosed || p.exited || p.deferIfStalled(d) {
		return
	}
	completion := c.server.parseCompletion(d.attempt.execution)
	originality := c.link.pool.Compare(p.localNow(), c, completionDigest(&completion))
	if originality == connpool.PossibleDuplicate && c.link.pool.Policy.FenceState(p.localNow()) != connpool.FenceUnsupported {
		originality = connpool.Duplicate // a fence tells
	}
	switch {
	case c.current != nil && originality == connpool.Duplicate:
		c.link.recordUnsolicited(p.localNow(), c)
	case c.current != nil:
		c.acceptResponse(c.current, d.attempt.execution, originality == connpool.PossibleDuplicate)
	default:
		p.sim.result.DuplicateDetections = append(p.sim.result.DuplicateDetections, fakes.DuplicateDetection{
			AtMs: p.sim.nowMs(), Server: c.server.model.ID, Node: servermodel.NodeID(p.node.index),
		})
		c.closeAfterUnsolicited()
	}
	p.runDueWork()
}

// closeAfterUnsolicited closes a connection that received unsolicited bytes.
func (c *conn) closeAfterUnsolicited() {
	l, now := c.link, c.link.process.localNow()
	l.recordUnsolicited(now, c)
	l.pool.CloseConn(c, connpool.ClosedUnsolicited)
	l.pool.RemoveUnused(c)
	l.pool.Dispatch(now)
}
