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

// conn is one connection. It has one goroutine that writes and one that reads, so that a server that closes it is noticed
// at once. Both end when the connection is closed.
type conn struct {
	connpool.Conn
	endpoint *Endpoint
	net      net.Conn
	attempts chan *Attempt // assigned by the pool, at most one at a time; closed with the connection

	discarding atomic.Bool // the rest of an unsized response is read and dropped

	// Guarded by the endpoint's mutex.
	current        *Attempt
	writing        bool
	readingUnsized bool  // the response is read to its end even if its attempt times out
	readErr        error // why the reader failed while the writer was writing
}

// startConn starts the goroutines of a connection.
func (e *Endpoint) startConn(addr string, netConn net.Conn) *conn {
	c := &conn{
		Conn:     connpool.Conn{Addr: addr, Jitter: e.group.random()},
		endpoint: e, net: netConn, attempts: make(chan *Attempt, 1),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// setReadTimeout sets how long reading may take from now on, in ms; 0: for ever.
func (c *conn) setReadTimeout(ms float64) {
	deadline := time.Time{}
	if ms > 0 {
		deadline = time.Now().Add(clock.Duration(ms))
	}
	_ = c.net.SetReadDeadline(deadline) // fails only on a closed connection, and then reading fails too
}

// fail ends the connection and the attempt on it. The attempt's progress tells how far that had come. Only the writer knows
// whether the last byte was sent, so a reader that fails meanwhile leaves the attempt to it.
func (c *conn) fail(cause error) {
	c.endpoint.mu.Lock()
	c.failAndUnlock(cause)
}

// failAndUnlock is fail with the endpoint's mutex held, which it unlocks.
func (c *conn) failAndUnlock(cause error) {
	e := c.endpoint
	e.pool.RemoveUnused(c)
	a := c.current
	if c.Responded && a != nil && a.progress == exchange.NotConnected {
		e.requeue(c) // the server closed the connection while it was idle, which says nothing about the attempt
		e.mu.Unlock()
		return
	}
	e.pool.CloseConn(c)
	if c.writing {
		c.readErr = cause
		if a != nil && a.Request.Body != nil {
			a.Request.Body.CloseReader(cause) // the writer may be waiting for more of it
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
	a.staleConn = e.forgottenByServer(c, a)
	e.mu.Unlock()
	e.fail(a, fleet.Reset, cause)
}

// recoverPanic ends the connection after a panic in one of its goroutines. The attempt on it may have run.
func (c *conn) recoverPanic() {
	if p := recover(); p != nil {
		c.fail(fmt.Errorf("panic: %v", p))
		c.endpoint.group.OnPanic(p)
	}
}

// staleIdleDivisor divides the connect timeout into the time that a connection must have been idle to count as forgotten.
const staleIdleDivisor = 5

// forgottenByServer reports whether a connection broke because its server, or a middlebox, had forgotten it while it was
// idle, as some do without closing it. Connections idle for as long are closed, since the next attempts would fail alike. Called
// with the mutex held.
func (e *Endpoint) forgottenByServer(c *conn, a *Attempt) bool {
	if a.progress == exchange.ResponseStarted || c.IdleDuration < e.group.ConnectTimeout/staleIdleDivisor {
		return false
	}
	e.pool.CloseIdleBefore(e.group.Clock.Now() - c.IdleDuration)
	return true
}

// requeue closes a connection on which nothing of its attempt was sent, and has the attempt wait for another. Called with
// the mutex held.
func (e *Endpoint) requeue(c *conn) {
	a := c.current
	e.detach(c)
	e.pool.CloseConn(c)
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
	e.pool.CloseConn(c)
}
