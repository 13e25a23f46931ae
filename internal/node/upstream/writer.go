package upstream

import (
	"net"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/ringbuf"
	"mintspring/internal/node/sockstate"
)

// requestOverhead is a bound, in bytes, for what a protocol adds around the parts of a request.
const requestOverhead = 512

// writeLoop sends the attempts that the connection is assigned.
func (c *conn) writeLoop() {
	var out ringbuf.Ring
	defer out.Release()
	defer c.recoverPanic()
	for a := range c.attempts {
		if !c.writeAttempt(&out, a) {
			return
		}
		out.ReleaseIfEmpty()
	}
}

// writeAttempt sends one attempt and reports whether the connection may be used further.
func (c *conn) writeAttempt(out *ringbuf.Ring, a *Attempt) bool {
	encodeErr := c.encodeRequest(out, a)
	total := out.Len()
	if isBigValue(a.Request) {
		total += len(a.Request.Value) + len(c.endpoint.protocol.ValueTerminator())
	}
	if !c.beginWrite(a, encodeErr) {
		return false
	}
	written, err := c.writeRequest(out, a)
	return c.endWrite(a, err, written < total)
}

// isBigValue reports whether the value of a request is buffered, and written by itself behind the encoded request.
func isBigValue(request *exchange.Exchange) bool { return request.IsLarge() && request.Body == nil }

// encodeRequest encodes the request of an attempt into out; of a big one, what precedes the value.
func (c *conn) encodeRequest(out *ringbuf.Ring, a *Attempt) error {
	request := a.Request
	limit := c.endpoint.deadline(a) - c.endpoint.group.Clock.Now()
	if request.Body != nil {
		limit = min(limit, request.Timeout) // the time in which the client may send the body is none to respond in
	}
	size := 2*len(request.Extra) + len(request.Key) + len(request.ID) + requestOverhead
	if !request.IsLarge() {
		size += len(request.Value)
	}
	b, err := out.Writable(size)
	if err != nil {
		return err
	}
	b = c.endpoint.protocol.AppendRequest(b[:0], request, limit)
	out.Commit(len(b))
	return nil
}

// beginWrite checks whether an attempt may be sent on the connection and marks it as being sent. Otherwise the attempt has
// been requeued or failed, and the connection closed.
func (c *conn) beginWrite(a *Attempt, encodeErr error) bool {
	// Whatever has arrived on an idle connection is its end, or bytes without a request. What is written now would be lost with the
	// connection, or be taken for answered by those bytes.
	unsolicited, ended := false, false
	if c.Responded {
		unsolicited, ended = sockstate.Peek(c.net)
	}
	e := c.endpoint
	e.mu.Lock()
	switch {
	case c.Closed: // by the reader, which has requeued or failed the attempt
		e.mu.Unlock()
		return false
	case unsolicited || ended:
		if unsolicited {
			e.unsolicited(e.group.Clock.Now(), c)
		}
		e.requeue(c)
		e.mu.Unlock()
		return false
	case a.ended || !e.pool.Usable(c) || encodeErr != nil || e.group.Clock.Now() > a.SendBy:
		e.mu.Unlock()
		e.fail(a, fleet.NotSent, errUnavailable)
		return false
	}
	// Set before the bytes are sent: if the attempt ends meanwhile, it may have run.
	a.progress, c.writing = exchange.FullyWritten, true
	if a.Request.Body != nil {
		a.progress = exchange.PartiallyWritten
	}
	e.mu.Unlock()
	return true
}

// writeRequest writes the encoded request and its value. It returns how many bytes were written; 0 if a body was not
// written completely.
func (c *conn) writeRequest(out *ringbuf.Ring, a *Attempt) (written int, err error) {
	if written, err = out.FlushTo(c.net); err != nil {
		return written, err
	}
	if isBigValue(a.Request) {
		buffers := net.Buffers{a.Request.Value, []byte(c.endpoint.protocol.ValueTerminator())}
		n, err := buffers.WriteTo(c.net)
		return written + int(n), err
	}
	if a.Request.Body != nil {
		if err := c.writeBody(a); err != nil {
			return 0, err
		}
	}
	return written, nil
}

// endWrite marks an attempt as sent, or ends the connection if writing has failed, or the reader meanwhile. It reports whether
// the connection may be used further. All of it happens under one hold of the mutex: a reader that fails in between would take the
// attempt for fully written.
func (c *conn) endWrite(a *Attempt, writeErr error, partlyWritten bool) bool {
	c.endpoint.mu.Lock()
	c.writing = false
	switch {
	case writeErr == nil && c.readErr == nil:
		a.written = true
		c.endpoint.mu.Unlock()
		return true
	case writeErr == nil:
		a.written = true
		c.failAndUnlock(c.readErr)
	default:
		if partlyWritten && a.progress == exchange.FullyWritten {
			a.progress = exchange.PartiallyWritten
		}
		c.failAndUnlock(writeErr)
	}
	return false
}

// writeBody writes a body that is still arriving, piece by piece. The attempt counts as sent just before the last piece.
func (c *conn) writeBody(a *Attempt) error {
	body := a.Request.Body
	piece := make([]byte, exchange.StreamBufferSize)
	for remaining := body.Size; remaining > 0; {
		n, err := body.Read(piece)
		if err != nil {
			return err
		}
		terminator := ""
		if remaining -= int64(n); remaining == 0 {
			terminator = c.endpoint.protocol.ValueTerminator()
			if !c.markBodyWritten(a) {
				return errUnavailable
			}
		}
		buffers := net.Buffers{piece[:n], []byte(terminator)}
		if _, err := buffers.WriteTo(c.net); err != nil {
			if remaining == 0 {
				return nil // the reader will fail too, and the last byte may have been sent
			}
			return err
		}
	}
	return nil
}

// markBodyWritten marks an attempt as sent, and reports false if it has ended or its connection is closed.
func (c *conn) markBodyWritten(a *Attempt) bool {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if a.ended || c.Closed {
		return false
	}
	a.progress = exchange.FullyWritten
	return true
}
