package upstream

import (
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
)

// Send starts an attempt of a request, which times out after limit ms. It is not sent any more after sendBy: its
// connection may be opened so late that the server would not recognize a repeated request any more.
func (e *Endpoint) Send(request *exchange.Exchange, number int, limit, sendBy float64) *Attempt {
	now := e.group.Clock.Now()
	a := &Attempt{Request: request, Number: number, SentAt: now, Deadline: now + limit, SendBy: sendBy}
	e.mu.Lock()
	defer e.mu.Unlock()
	a.timer = time.AfterFunc(clock.Duration(limit), func() { e.fail(a, fleet.TimedOut, errTimeout) })
	if sendBy < a.Deadline {
		time.AfterFunc(clock.Duration(max(0, sendBy-now)), func() { e.CancelUnsent(a) })
	}
	e.handleAdmission(a, e.pool.Acquire(now, a))
	return a
}

// handleAdmission fails an attempt that was not admitted to the pool. Called with the mutex held.
func (e *Endpoint) handleAdmission(a *Attempt, admission connpool.Admission) {
	switch admission {
	case connpool.Admitted:
	case connpool.Unavailable:
		go e.fail(a, fleet.NotSent, errUnavailable)
	case connpool.Rejected:
		go e.fail(a, fleet.Declined, errQueueFull)
	}
}

// BodyComplete records that the body of an attempt's request has arrived completely from the client: the attempt counts as
// sent now, and times out at the deadline.
func (e *Endpoint) BodyComplete(a *Attempt, deadline float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.group.Clock.Now(); !a.ended {
		a.SentAt, a.Deadline = now, deadline
		a.timer.Reset(clock.Duration(max(0, deadline-now)))
	}
}

// deadline returns when an attempt times out, which BodyComplete may change.
func (e *Endpoint) deadline(a *Attempt) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return a.Deadline
}

// Cancel ends an attempt. Its connection is closed.
func (e *Endpoint) Cancel(a *Attempt) { e.fail(a, fleet.Cancelled, errCancelled) }

// CancelUnsent ends an attempt unless its last byte has been sent, since its server would run it for nobody. One that has
// been sent goes on: a new connection costs more than the rest of its response.
func (e *Endpoint) CancelUnsent(a *Attempt) {
	e.mu.Lock()
	written := a.written
	e.mu.Unlock()
	if !written {
		e.fail(a, fleet.Cancelled, errWithdrawn)
	}
}

// markEnded marks an attempt as ended and reports whether it was not before. Called with the mutex held.
func (e *Endpoint) markEnded(a *Attempt) bool {
	if a.ended {
		return false
	}
	a.ended = true
	a.timer.Stop()
	return true
}

// fail ends an attempt without a response, unless it has ended already. Its connection is closed: as long as that is open the
// attempt counts as in flight, and its late response would be read as that of the next attempt.
func (e *Endpoint) fail(a *Attempt, result fleet.Result, cause error) {
	e.mu.Lock()
	if !e.markEnded(a) {
		e.mu.Unlock()
		return
	}
	if a.Request.Body != nil && a.progress >= exchange.PartiallyWritten {
		a.Request.Body.CloseReader(cause)
	}
	if a.conn != nil {
		e.abandon(a.conn, result)
	}
	e.pool.CancelWait(a)
	if a.conn != nil {
		e.pool.Dispatch(e.group.Clock.Now()) // another connection may be opened now
	}
	failure := &exchange.AttemptError{Progress: a.progress, Result: result, Stale: a.staleConn, Cause: cause}
	e.mu.Unlock()
	e.group.OnDone(a, Completion{EndedAt: e.group.Clock.Now(), Failure: failure})
}

// abandon detaches a failed attempt from its connection and closes that, except that an unsized response is read to its end
// after a timeout. Called with the mutex held.
func (e *Endpoint) abandon(c *conn, result fleet.Result) {
	e.detach(c)
	if !c.readingUnsized || result != fleet.TimedOut {
		// Also while a response arrives: the request may be attempted again, and must not be in flight twice.
		e.pool.CloseConn(c)
		return
	}
	c.discarding.Store(true)
	if limit := e.group.StreamStallTimeout; limit > 0 { // the response may never end
		time.AfterFunc(clock.Duration(limit), func() { e.closeConn(c) })
	}
}
