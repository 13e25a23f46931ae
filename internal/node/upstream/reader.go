package upstream

import (
	"errors"

	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/ringbuf"
)

// reader is the state of a connection's reading goroutine.
type reader struct {
	conn        *conn
	in          ringbuf.Ring
	unparsed    bool                 // the ring has bytes that were read behind a response that was dropped
	deadlineSet bool                 // a read deadline is set, because a fence was sent
	closeReason connpool.CloseReason // if the response completes the use of the connection
	digest      connpool.Digest      // of the response that completes the attempt
	recognition connpool.Recognition // of a duplicate of that response
}

// readLoop reads responses until the connection ends. It closes the connection if bytes arrive while no attempt is in flight.
func (c *conn) readLoop() {
	r := &reader{conn: c}
	defer r.in.Release()
	defer c.recoverPanic()
	for r.readOnce() {
	}
}

// readOnce reads once, unless bytes behind a dropped response are left, completes the attempt if its response is complete, and reports whether
// to read on.
func (r *reader) readOnce() bool {
	c, e := r.conn, r.conn.endpoint
	var err error
	if !r.unparsed {
		_, err = r.in.ReadOnce(c.net)
	}
	r.unparsed = false
	at := e.group.Clock.Now()
	if err != nil {
		c.fail(err)
		return false
	}
	if n := r.fenceReply(); n > 0 {
		return r.handleFenceReply(n, at)
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
		return r.closeUnsolicited(at)
	case response.Informational && a.progress > exchange.NotConnected:
		e.mu.Unlock()
		r.discard(n)
		return true
	case a.Request.Body != nil && a.progress == exchange.PartiallyWritten:
		e.mu.Unlock()
		e.fail(a, fleet.Declined, errEarlyResponse) // whatever the response says: a request is not executed before its last byte is sent
		return false
	case c.Responded && a.progress < exchange.FullyWritten:
		e.recordUnsolicited(at, c)
		e.requeue(c, connpool.ClosedUnsolicited) // the bytes arrived before the attempt was sent, so they are not its response
		e.mu.Unlock()
		return false
	}
	a.progress = exchange.ResponseStarted
	switch {
	case unsized:
		var ok bool
		if response, ok = r.readUnsizedResponse(a); !ok {
			return false
		}
		at, n = e.group.Clock.Now(), 0
	case n == 0, response.LargeValueSize > 0 && n == r.in.Len(): // the client has nothing of it yet, so that the time of the attempt runs on
		e.reportResponding(a)
		r.clearDeadline() // a server that responds may pause, also before the reply to a fence
		return true
	}
	return r.acceptResponse(a, n, response, at)
}

// reportResponding reports, once, that the response to an attempt has begun. It is called with the mutex held, and unlocks it.
func (e *Endpoint) reportResponding(a *Attempt) {
	first := a.respondingAt == 0 && !a.ended
	if first {
		a.respondingAt = e.group.Clock.Now()
	}
	e.mu.Unlock()
	if first && e.group.OnResponding != nil {
		e.group.OnResponding(a)
	}
}

// acceptResponse completes an attempt with a response of n bytes, unless that is, or may be, a duplicate of an earlier one on the connection.
// It reports whether to read on. It is called with the endpoint's mutex held, and unlocks it.
func (r *reader) acceptResponse(a *Attempt, n int, response Response, at float64) bool {
	c, e := r.conn, r.conn.endpoint
	r.closeReason = connpool.ClosedByServer
	digest := digestOf(&response)
	if c.verification != nil {
		return r.resolveVerification(a, n, response, digest, at)
	}
	switch e.pool.Compare(at, c, digest) {
	case connpool.Duplicate:
		a.progress = exchange.FullyWritten
		a.discarded++
		e.recordUnsolicited(at, c)
		e.mu.Unlock()
		r.discard(n)
		return true // the response is still to come, or has been read already
	case connpool.PossibleDuplicate:
		if e.pool.Policy.FenceState(at) != connpool.FenceUnsupported {
			r.beginVerification(n, response, digest, at)
			return true
		}
		response.Close, r.closeReason = true, connpool.ClosedDuplicate // which ends the attempt if it is still in flight
	case connpool.Original:
	}
	return r.acceptOriginal(a, n, response, digest, at)
}

// acceptOriginal completes an attempt with its own response. It discards the first n bytes in the ring. It is called with the endpoint's
// mutex held, and unlocks it.
func (r *reader) acceptOriginal(a *Attempt, n int, response Response, digest connpool.Digest, at float64) bool {
	r.digest, r.recognition = digest, r.conn.endpoint.recognition(r.conn, a, &response, digest, at)
	return r.completeAttempt(a, n, response, at)
}

// closeUnsolicited closes a connection on which bytes have arrived without an attempt in flight. It reports that no more is read. It is called
// with the endpoint's mutex held, and unlocks it.
func (r *reader) closeUnsolicited(at float64) bool {
	c, e := r.conn, r.conn.endpoint
	e.recordUnsolicited(at, c)
	e.pool.CloseConn(c, connpool.ClosedUnsolicited)
	e.pool.RemoveUnused(c)
	e.pool.Dispatch(at)
	e.mu.Unlock()
	return false
}

// discard drops the first n bytes in the ring: a response that does not complete the attempt. What is behind them is parsed before more is read.
func (r *reader) discard(n int) {
	r.in.Discard(n)
	r.unparsed = r.in.Len() > 0
	r.clearDeadline()
}

// setDeadline limits how long the next read may take, in ms. The limit ends with the response.
func (r *reader) setDeadline(timeout float64) {
	r.deadlineSet = true
	r.conn.setReadTimeout(timeout)
}

// clearDeadline removes the limit of setDeadline.
func (r *reader) clearDeadline() {
	if r.deadlineSet {
		r.deadlineSet = false
		r.conn.setReadTimeout(0)
	}
}

// readUnsizedResponse reads an unsized response. It is called with the endpoint's mutex held. If it returns true, the mutex is held
// again; otherwise the mutex is unlocked and the connection closed.
func (r *reader) readUnsizedResponse(a *Attempt) (Response, bool) {
	c, e := r.conn, r.conn.endpoint
	c.readingUnsized = true
	e.reportResponding(a)
	response, err := c.readUnsized(&r.in)
	if err != nil {
		c.fail(err)
		return Response{}, false
	}
	e.mu.Lock()
	if c.current != a { // the attempt has ended in the meantime
		e.pool.CloseConn(c, connpool.ClosedAbandoned)
		e.mu.Unlock()
		if response.Stream != nil {
			response.Stream.Close()
		}
		return Response{}, false
	}
	c.readingUnsized = false
	return response, true
}

// completeAttempt completes an attempt with its response and releases the connection. It discards the first n bytes in the ring:
// the response, or its part before a large value. It reports whether to read on. It is called with the endpoint's mutex held, and
// unlocks it.
func (r *reader) completeAttempt(a *Attempt, n int, response Response, at float64) bool {
	c, e := r.conn, r.conn.endpoint
	r.clearDeadline()
	r.in.Discard(n)
	if response.LargeValueSize > 0 {
		var err error
		response, err = r.streamValue(a, response, at)
		at = e.group.Clock.Now()
		e.mu.Lock()
		if err != nil {
			e.pool.CloseConn(c, connpool.ClosedBroken)
			e.detach(c)
			e.pool.Dispatch(at)
			e.mu.Unlock()
			return false
		}
	}
	excess := r.in.Len() > 0
	if excess {
		c.IdleSince, r.closeReason = at, connpool.ClosedUnsolicited
		e.recordUnsolicited(at, c)
	}
	r.in.ReleaseIfEmpty()
	c.current = nil
	endedNow, trace := e.markEnded(a), a.trace(at)
	stillWriting := c.writing && isBufferedLargeValue(a.Request) // the server may not read the rest, which the next request would wait behind
	e.pool.Responded(at, c, connpool.Response{
		Rejected: response.Result == fleet.Declined, Last: response.Close || excess || stillWriting, CloseReason: r.closeReason, Digest: r.digest, Recognition: r.recognition,
	})
	e.mu.Unlock()
	if endedNow {
		e.group.OnDone(a, Completion{EndedAt: at, Response: response, Trace: trace})
	}
	return true
}

// streamValue completes an attempt with a stream of its large value, waits until the stream's consumer has read it from the connection or
// closed it, and returns the rest of the response. It is called with the endpoint's mutex held, and unlocks it.
func (r *reader) streamValue(a *Attempt, response Response, at float64) (Response, error) {
	c, e := r.conn, r.conn.endpoint
	s := newStream(c, &r.in, response, a.Request, at)
	response.Stream = s
	endedNow, trace := e.markEnded(a), a.trace(at)
	e.mu.Unlock()
	if endedNow {
		e.group.OnDone(a, Completion{EndedAt: at, Response: response, Trace: trace})
	} else {
		s.Close()
	}
	<-s.done
	defer c.setReadTimeout(0)
	if s.err != nil {
		return Response{}, s.err
	}
	return r.readTail(s.head)
}

// readTail reads what follows the value of a response with the given head, so that the connection can be reused.
func (r *reader) readTail(head Response) (Response, error) {
	for {
		tail, err := r.conn.endpoint.protocol.ParseTail(r.in.Peek(), head)
		switch {
		case err != nil:
			return Response{}, err
		case tail.Complete:
			r.in.Discard(tail.Length)
			return tail.Response, nil
		}
		r.conn.setStreamReadTimeout()
		if _, err := r.in.ReadOnce(r.conn.net); err != nil {
			return Response{}, err
		}
	}
}
