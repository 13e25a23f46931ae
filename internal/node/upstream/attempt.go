package upstream

import (
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
)

// Send starts an attempt of a request, which times out after timeout ms. The attempt is cancelled if it is not sent by sendBy, because
// the server may not recognize a repeated request after that time. An attempt may be late because its connection was opened late.
func (e *Endpoint) Send(request *exchange.Exchange, number int, timeout, sendBy float64) *Attempt {
	now := e.group.Clock.Now()
	a := &Attempt{Request: request, Number: number, SentAt: now, Deadline: now + timeout, SendBy: sendBy}
	a.Key, a.ExecuteOnce = connpool.HashKey(request.Key), request.ExecuteOnce
	a.LimitLocalWait(timeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	a.timer = time.AfterFunc(clock.Duration(timeout), func() { e.fail(a, fleet.TimedOut, errTimeout) })
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

// BodyComplete records that the client has sent the whole body of an attempt's request. It sets the attempt's SentAt to the
// present time and moves its timeout to the deadline.
func (e *Endpoint) BodyComplete(a *Attempt, deadline float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.group.Clock.Now(); !a.ended {
		a.SentAt, a.Deadline = now, deadline
		a.timer.Reset(clock.Duration(max(0, deadline-now)))
	}
}

// deadline returns when an attempt times out. BodyComplete may change this time concurrently.
func (e *Endpoint) deadline(a *Attempt) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return a.Deadline
}

// Cancel ends an attempt and closes its connection.
func (e *Endpoint) Cancel(a *Attempt) { e.fail(a, fleet.Cancelled, errCancelled) }

// CancelUnsent ends an attempt whose last byte has not been sent, so that the server does not execute a request that no client
// waits for. An attempt that has been sent continues: opening a new connection costs more than reading the rest of the response.
func (e *Endpoint) CancelUnsent(a *Attempt) {
	if !e.lastByteSent(a) {
		e.fail(a, fleet.Cancelled, errWithdrawn)
	}
}

func (e *Endpoint) lastByteSent(a *Attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return a.lastByteSent
}

// markEnded marks an attempt as ended, and reports false if it had already ended. Called with the mutex held.
func (e *Endpoint) markEnded(a *Attempt) bool {
	if a.ended {
		return false
	}
	a.ended = true
	a.timer.Stop()
	return true
}

// fail ends an attempt without a response, unless it has already ended, and closes its connection. On an open connection the
// attempt would still be in flight, and its late response would be read as the response to the next attempt.
func (e *Endpoint) fail(a *Attempt, result fleet.Result, cause error) {
	if completion, ended := e.endFailed(a, result, cause); ended {
		e.group.OnDone(a, completion)
	}
}

// endFailed does the work of fail, except that it does not report the completion. It returns false if the attempt had already ended.
func (e *Endpoint) endFailed(a *Attempt, result fleet.Result, cause error) (completion Completion, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock() // also after a panic, from which the node's loop recovers
	if !e.markEnded(a) {
		return Completion{}, false
	}
	if a.Request.Body != nil && a.progress >= exchange.PartiallyWritten {
		a.Request.Body.CloseReader(cause)
	}
	if a.discarded > 0 {
		e.pool.Policy.RecordRepeatedValue(e.group.Clock.Now()) // what was dropped may have been the response
	}
	if a.conn != nil {
		e.recordUnansweredFence(a.conn, e.group.Clock.Now())
		e.abandon(a.conn, result)
	}
	e.pool.CancelWait(a)
	if a.conn != nil {
		e.pool.Dispatch(e.group.Clock.Now()) // another connection may be opened now
	}
	endedAt := e.group.Clock.Now()
	failure := &exchange.AttemptError{Progress: a.progress, Result: result, Stale: a.staleConn, Cause: cause}
	return Completion{EndedAt: endedAt, Failure: failure, Trace: a.trace(endedAt)}, true
}

// abandon detaches a failed attempt from its connection and closes the connection. Exception: if the attempt timed out while an
// unsized response was being read, the response is read to its end and dropped. Called with the mutex held.
func (e *Endpoint) abandon(c *conn, result fleet.Result) {
	e.detach(c)
	if !c.readingUnsized || result != fleet.TimedOut {
		// A connection on which a response is arriving is closed too: the request may be retried, and must not be in flight twice.
		e.pool.CloseConn(c, connpool.ClosedAbandoned)
		return
	}
	c.discarding.Store(true)
	if timeout := e.group.DiscardTimeout; timeout > 0 { // the response may never end
		time.AfterFunc(clock.Duration(timeout), func() { e.closeConn(c) })
	}
}
