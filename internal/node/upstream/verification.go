package upstream

import (
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
)

// Fencer is implemented by a Protocol whose servers respond in the order of the commands on a connection, and that has a command whose reply
// differs from all responses to requests. When that reply arrives, the responses to all requests before it have arrived.
type Fencer interface {
	// AppendFence appends the command to b.
	AppendFence(b []byte) []byte
	// ParseFenceReply returns the length of the reply if b begins with it, and 0 otherwise.
	ParseFenceReply(b []byte) int
}

// firstFenceTimeout is how long the reply to the first fence of a server may take, in ms. A server that does not support fences may not
// answer at all.
const firstFenceTimeout = 100

// verification is a response that equals an earlier one on its connection, and waits for the reply to a fence. If another response arrives
// first, the held one may be a duplicate.
type verification struct {
	response Response
	digest   connpool.Digest
}

// beginVerification holds a response of n bytes until the reply to a fence. It is called with the endpoint's mutex held, and unlocks it.
func (r *reader) beginVerification(n int, response Response, digest connpool.Digest, at float64) {
	c, e := r.conn, r.conn.endpoint
	c.verification = &verification{response, digest}
	c.outgoing <- message{fence: true}
	e.group.counters.Fences.Add(1)
	untried := e.pool.Policy.FenceState(at) == connpool.FenceUntried
	e.mu.Unlock()
	r.discard(n)
	if untried {
		r.setDeadline(firstFenceTimeout)
	}
}

// resolveVerification handles a response of n bytes that arrives while another one is held. One of them is a duplicate: the new one, if both
// are the same; the held one, if the new one equals no earlier response. Otherwise nothing tells. It reports whether to read on. It is
// called with the endpoint's mutex held, and unlocks it.
func (r *reader) resolveVerification(a *Attempt, n int, response Response, digest connpool.Digest, at float64) bool {
	c, e := r.conn, r.conn.endpoint
	a.discarded++
	e.recordUnsolicited(at, c)
	held := c.verification
	if digest == held.digest {
		e.mu.Unlock()
		r.discard(n)
		return true
	}
	c.verification = nil
	refused := response.Result == fleet.Failed && e.pool.Policy.FenceState(at) == connpool.FenceUntried // it may be the reply to the fence
	if refused {
		e.pool.Policy.RecordUnansweredFence(at)
	}
	ambiguous := e.pool.Compare(at, c, digest) != connpool.Original
	switch {
	case (refused || ambiguous) && held.isHarmless(a):
		response, digest = held.response, held.digest
	case ambiguous && !isHarmless(a, &response):
		e.mu.Unlock()
		e.fail(a, fleet.Reset, errAmbiguousResponses)
		return false
	}
	response.Close, r.closeReason = true, connpool.ClosedDuplicate // the reply to the fence may still come
	return r.acceptOriginal(a, n, response, digest, at)
}

// isHarmless reports whether the held response may complete an attempt that is no longer in flight.
func (v *verification) isHarmless(a *Attempt) bool { return isHarmless(a, &v.response) }

// isHarmless reports whether a response may complete an attempt that is no longer in flight even if it is a duplicate: it has no value, and the
// request may be executed again.
func isHarmless(a *Attempt, response *Response) bool {
	return response.Result != fleet.Completed && !a.ExecuteOnce
}

// fenceReply returns the length of the reply to a fence at the beginning of the ring; 0 if there is none.
func (r *reader) fenceReply() int {
	fencer, ok := r.conn.endpoint.protocol.(Fencer)
	if !ok {
		return 0
	}
	return fencer.ParseFenceReply(r.in.Peek())
}

// handleFenceReply handles the reply to a fence, of n bytes: the held response is the attempt's own. It reports whether to read on.
func (r *reader) handleFenceReply(n int, at float64) bool {
	c, e := r.conn, r.conn.endpoint
	e.mu.Lock()
	a, held := c.current, c.verification
	if a == nil || c.Closed {
		return r.closeUnsolicited(at)
	}
	if held == nil { // a duplicate of the reply
		e.recordUnsolicited(at, c)
		e.mu.Unlock()
		r.discard(n)
		return true
	}
	c.verification = nil
	e.pool.Policy.RecordFenceReply()
	r.closeReason = connpool.ClosedByServer
	return r.acceptOriginal(a, n, held.response, held.digest, at)
}

// abandonVerification decides what becomes of a held response when its connection has ended without the reply to the fence. The attempt is
// not in flight any more. It reports whether the attempt is to be completed with the response. Called with the endpoint's mutex held.
func (c *conn) abandonVerification(a *Attempt, now float64) (Response, bool) {
	held := c.verification
	if held == nil {
		return Response{}, false
	}
	c.endpoint.recordUnansweredFence(c, now)
	return held.response, held.isHarmless(a)
}

// recordUnansweredFence records that a connection or its attempt has ended before the reply to its fence. Called with the mutex held.
func (e *Endpoint) recordUnansweredFence(c *conn, now float64) {
	if c.verification != nil {
		c.verification = nil
		e.group.counters.FencesUnanswered.Add(1)
		e.pool.Policy.RecordUnansweredFence(now)
	}
}

// writeFence sends a fence. It reports whether the connection can still be used.
func (c *conn) writeFence() bool {
	fencer := c.endpoint.protocol.(Fencer)
	_, err := c.net.Write(fencer.AppendFence(nil))
	if err != nil {
		c.fail(err)
	}
	return err == nil
}
