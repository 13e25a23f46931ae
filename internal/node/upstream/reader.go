package upstream

import (
	"errors"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/ringbuf"
)

// reader is the state of a connection's reading goroutine.
type reader struct {
	conn       *conn
	in         ringbuf.Ring
	stallTimer bool // a read deadline is set, since a response has begun
}

// readLoop reads responses. Bytes that arrive without an attempt in flight end the connection.
func (c *conn) readLoop() {
	r := &reader{conn: c}
	defer r.in.Release()
	defer c.recoverPanic()
	for r.readOnce() {
	}
}

// readOnce reads once, completes the attempt if its response is complete, and reports whether to read on.
func (r *reader) readOnce() bool {
	c, e := r.conn, r.conn.endpoint
	_, err := r.in.ReadOnce(c.net)
	at := e.group.Clock.Now()
	if err != nil {
		c.fail(err)
		return false
	}
	n, response, err := e.protocol.ParseResponse(r.in.Peek())
	unsized := errors.Is(err, ErrUnsized)
	if err != nil && !unsized {
		c.fail(err)
		return false
	}
	e.mu.Lock()
	a := c.current
	switch {
	case a == nil || c.Closed:
		e.unsolicited(at, c)
		e.pool.CloseConn(c)
		e.pool.RemoveUnused(c)
		e.pool.Dispatch(at)
		e.mu.Unlock()
		return false
	case a.Request.Body != nil && a.progress == exchange.PartiallyWritten:
		e.mu.Unlock()
		e.fail(a, fleet.Declined, errEarlyResponse) // whatever it says: without its last byte the attempt has not run
		return false
	case c.Responded && a.progress < exchange.FullyWritten:
		e.unsolicited(at, c)
		e.requeue(c) // the bytes arrived before the attempt was sent, so they are no response to it
		e.mu.Unlock()
		return false
	}
	a.progress = exchange.ResponseStarted
	switch {
	case unsized:
		var ok bool
		if response, ok = r.readUnsizedOf(a); !ok {
			return false
		}
		at, n = e.group.Clock.Now(), 0
	case n == 0:
		e.mu.Unlock()
		r.startStallTimer()
		return true
	}
	return r.finish(a, n, response, at)
}

// startStallTimer bounds the next read: a response that has begun and then stalls would cost the request all its time.
func (r *reader) startStallTimer() {
	r.stallTimer = r.conn.endpoint.group.StallTimeout > 0
	if r.stallTimer {
		r.conn.setReadTimeout(r.conn.endpoint.group.StallTimeout)
	}
}

// readUnsizedOf reads an unsized response. It is called with the endpoint's mutex held, which it holds again when it
// returns true; otherwise the connection is closed.
func (r *reader) readUnsizedOf(a *Attempt) (Response, bool) {
	c, e := r.conn, r.conn.endpoint
	c.readingUnsized = true
	e.mu.Unlock()
	response, err := c.readUnsized(&r.in)
	if err != nil {
		c.fail(err)
		return Response{}, false
	}
	e.mu.Lock()
	if c.current != a { // the attempt has ended meanwhile
		e.pool.CloseConn(c)
		e.mu.Unlock()
		if response.Stream != nil {
			response.Stream.Close()
		}
		return Response{}, false
	}
	c.readingUnsized = false
	return response, true
}

// finish completes an attempt with its response, of which n bytes are in the ring, and releases the connection. It reports
// whether to read on. It is called with the endpoint's mutex held, and unlocks it.
func (r *reader) finish(a *Attempt, n int, response Response, at float64) bool {
	c, e := r.conn, r.conn.endpoint
	if r.stallTimer {
		r.stallTimer = false
		c.setReadTimeout(0)
	}
	r.in.Discard(n)
	if response.LargeSize > 0 {
		s := r.handOver(a, response, at)
		at = e.group.Clock.Now()
		e.mu.Lock()
		if s.err != nil {
			e.pool.CloseConn(c)
			e.detach(c)
			e.pool.Dispatch(at)
			e.mu.Unlock()
			return false
		}
		response = s.tail
	}
	excess := r.in.Len() > 0
	if excess {
		c.IdleSince = at
		e.unsolicited(at, c)
	}
	r.in.ReleaseIfEmpty()
	c.current = nil
	first := e.markEnded(a)
	e.pool.Responded(at, c, response.Result == fleet.Declined, response.Close || excess)
	e.mu.Unlock()
	if first {
		e.group.OnDone(a, Completion{At: at, Response: response})
	}
	return true
}

// handOver completes an attempt with a large value as a stream, whose user reads from the connection until it is done. It is
// called with the endpoint's mutex held, and unlocks it.
func (r *reader) handOver(a *Attempt, response Response, at float64) *stream {
	c, e := r.conn, r.conn.endpoint
	s := newStream(c, &r.in, response)
	response.Stream = s
	first := e.markEnded(a)
	e.mu.Unlock()
	if first {
		e.group.OnDone(a, Completion{At: at, Response: response})
	} else {
		s.Close()
	}
	<-s.done
	c.setReadTimeout(0)
	return s
}
