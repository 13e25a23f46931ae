package upstream

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
)

// conn is one connection. It has one goroutine that writes and one that reads, so that a close by the server is noticed at
// once. Both goroutines end when the connection is closed.
type conn struct {
	connpool.Conn
	endpoint *Endpoint
	number   int64 // among the endpoint's connections, from 1
	net      net.Conn
	outgoing chan message // what to send, at most one attempt and a fence behind it; closed with the connection

	discarding atomic.Bool // the rest of an unsized response is read and dropped

	// Guarded by the endpoint's mutex.
	current        *Attempt
	writing        bool
	readingUnsized bool          // the response is read to its end even if its attempt times out
	verification   *verification // a response that is held until the reply to a fence; nil: none
	readErr        error         // error of the reader if it failed while the writer was writing
}

// maxOutgoing is how many messages may wait for the writer of a connection.
const maxOutgoing = 2

// message is what the writer of a connection sends: an attempt or a fence.
type message struct {
	attempt *Attempt
	fence   bool
}

// startConn starts the goroutines of a connection.
func (e *Endpoint) startConn(addr string, netConn net.Conn) *conn {
	e.group.connOpened(e)
	c := &conn{
		Conn:     connpool.Conn{Addr: addr, Jitter: e.group.random()},
		endpoint: e, number: e.connCount.Add(1), net: netConn, outgoing: make(chan message, maxOutgoing),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// setReadTimeout sets the read deadline to ms from now; 0 removes it.
func (c *conn) setReadTimeout(ms float64) {
	deadline := time.Time{}
	if ms > 0 {
		deadline = time.Now().Add(clock.Duration(ms))
	}
	_ = c.net.SetReadDeadline(deadline) // fails only on a closed connection, and then reading fails too
}

// setStreamReadTimeout sets the read deadline to the time for which a large or unsized value may stall, if there is one.
func (c *conn) setStreamReadTimeout() {
	if timeout := c.endpoint.group.StreamStallTimeout; timeout > 0 {
		c.setReadTimeout(timeout)
	}
}

// fail ends the connection and the attempt on it. The attempt's progress determines whether it may have been executed. Only the
// writer knows whether the last byte was sent: if the reader fails during a write, the writer ends the attempt.
func (c *conn) fail(cause error) {
	c.endpoint.mu.Lock()
	c.failAndUnlock(cause)
}

// failAndUnlock does the work of fail. It is called with the endpoint's mutex held, and unlocks it.
func (c *conn) failAndUnlock(cause error) {
	e := c.endpoint
	e.pool.RemoveUnused(c)
	a := c.current
	if c.Responded && a != nil && a.progress == exchange.NotConnected {
		e.requeue(c, connpool.ClosedBroken) // the server closed the idle connection before the attempt was sent
		e.mu.Unlock()
		return
	}
	e.pool.CloseConn(c, connpool.ClosedBroken)
	if c.writing {
		c.readErr = cause
		if a != nil && a.Request.Body != nil {
			a.Request.Body.CloseReader(cause) // the writer may be waiting for more of the body
		}
		e.mu.Unlock()
		return
	}
	e.detach(c)
	if a == nil {
		e.pool.Dispatch(e.group.Clock.Now()) // an attempt may have waited for this connection
		e.mu.Unlock()
		return
	}
	a.staleConn = e.handleStale(c, a)
	now := e.group.Clock.Now()
	response, verified := c.abandonVerification(a, now)
	if verified && e.markEnded(a) {
		trace := a.trace(now)
		e.pool.Dispatch(now)
		e.mu.Unlock()
		e.group.OnDone(a, Completion{EndedAt: now, Response: response, Trace: trace})
		return
	}
	e.mu.Unlock()
	e.fail(a, fleet.Reset, cause)
}

// recoverPanic ends the connection after a panic in one of its goroutines. The attempt on it may have been executed.
func (c *conn) recoverPanic() {
	if p := recover(); p != nil {
		c.fail(fmt.Errorf("panic: %v", p))
		c.endpoint.group.OnPanic(p)
	}
}

// staleIdleDivisor defines stale connections: those idle for at least ConnectTimeout/staleIdleDivisor before they broke.
const staleIdleDivisor = 5

// handleStale reports whether a connection probably broke because the server or a middlebox dropped it while it was idle,
// without closing it. If so, it also closes the other connections that have been idle for as long, on which the next attempts
// would fail in the same way. Called with the mutex held.
func (e *Endpoint) handleStale(c *conn, a *Attempt) bool {
	if a.progress == exchange.ResponseStarted || c.IdleDuration < e.group.ConnectTimeout/staleIdleDivisor {
		return false
	}
	e.pool.CloseIdleBefore(e.group.Clock.Now() - c.IdleDuration)
	return true
}

// requeue closes a connection on which no byte of its attempt was sent, and enqueues the attempt for another connection.
// Called with the mutex held.
func (e *Endpoint) requeue(c *conn, reason connpool.CloseReason) {
	a := c.current
	e.detach(c)
	e.pool.CloseConn(c, reason)
	if a != nil && !a.ended {
		a.conn = nil
		e.handleAdmission(a, e.pool.Enqueue(e.group.Clock.Now(), a))
	}
}

// detach removes the attempt from a connection. Called with the mutex held.
func (e *Endpoint) detach(c *conn) {
	c.current = nil
	e.pool.Detach(c)
}

// closeConn closes a connection if it is still open.
func (e *Endpoint) closeConn(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.CloseConn(c, connpool.ClosedAbandoned)
}
