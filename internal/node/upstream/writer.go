package upstream

import (
	"net"

	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/ringbuf"
	"mintspring/internal/node/sockstate"
)

// requestOverhead is an upper bound of the bytes that a protocol adds to the variable parts of a request.
const requestOverhead = 512

// uploadPieceSize is how many bytes of a body that is still arriving are buffered and written at a time. Each upload holds as many while its client
// pauses.
const uploadPieceSize = 8 << 10

// writeLoop sends the attempts that are assigned to the connection, and fences.
func (c *conn) writeLoop() {
	var out ringbuf.Ring
	defer out.Release()
	defer c.recoverPanic()
	for m := range c.outgoing {
		if m.fence {
			if !c.writeFence() {
				return
			}
			continue
		}
		if !c.writeAttempt(&out, m.attempt) {
			return
		}
		out.ReleaseIfEmpty()
	}
}

// writeAttempt sends one attempt and reports whether the connection can still be used.
func (c *conn) writeAttempt(out *ringbuf.Ring, a *Attempt) bool {
	encodeErr := c.encodeRequest(out, a)
	total := out.Len()
	if isBufferedLargeValue(a.Request) {
		total += len(a.Request.Value) + len(c.endpoint.protocol.ValueTerminator())
	}
	if !c.beginWrite(a, encodeErr) {
		return false
	}
	written, err := c.writeRequest(out, a)
	return c.endWrite(a, err, written < total)
}

// isBufferedLargeValue reports whether the value of a request is buffered but too large to be encoded with the rest of the request.
// Such a value is written separately, after the encoded request.
func isBufferedLargeValue(request *exchange.Exchange) bool {
	return request.IsLarge() && request.Body == nil
}

// encodeRequest encodes the request of an attempt into out. A large value and its terminator are left out.
func (c *conn) encodeRequest(out *ringbuf.Ring, a *Attempt) error {
	request := a.Request
	now := c.endpoint.group.Clock.Now()
	timeout := c.endpoint.deadline(a) - now
	if request.Body != nil { // the deadline also covers the time that the client may take to send the body
		timeout = min(timeout, max(0, request.Body.IncompleteAt()+request.Timeout-now))
	}
	size := 2*len(request.Extra) + len(request.Key) + len(request.ID) + requestOverhead
	if !request.IsLarge() {
		size += len(request.Value)
	}
	b, err := out.Writable(size)
	if err != nil {
		return err
	}
	b = c.endpoint.protocol.AppendRequest(b[:0], request, timeout)
	out.Commit(len(b))
	return nil
}

// beginWrite checks whether an attempt may be sent on the connection. If so, it marks the attempt as being sent. Otherwise it
// returns false: the attempt has been requeued or failed, and the connection closed.
func (c *conn) beginWrite(a *Attempt, encodeErr error) bool {
	// On an idle connection, either the server's close or unsolicited bytes may have arrived. A request written now would be lost with
	// the connection, or those bytes would be read as its response.
	unsolicited, closed := false, false
	if c.Responded {
		unsolicited, closed = sockstate.Peek(c.net)
	}
	e := c.endpoint
	e.mu.Lock()
	switch {
	case c.Closed: // by the reader, which has requeued or failed the attempt
		e.mu.Unlock()
		return false
	case unsolicited || closed:
		reason := connpool.ClosedBroken
		if unsolicited {
			reason = connpool.ClosedUnsolicited
			e.recordUnsolicited(e.group.Clock.Now(), c)
		}
		e.requeue(c, reason)
		e.mu.Unlock()
		return false
	case a.ended || !e.pool.Usable(c) || encodeErr != nil || e.group.Clock.Now() > a.SendBy:
		e.mu.Unlock()
		e.fail(a, fleet.NotSent, errUnavailable)
		return false
	}
	// Set before the bytes are sent: if the attempt ends during the write, it may have been executed.
	a.progress, c.writing, a.writtenAt = exchange.FullyWritten, true, e.group.Clock.Now()
	if a.Request.Body != nil {
		a.progress = exchange.PartiallyWritten
	}
	e.mu.Unlock()
	return true
}

// writeRequest writes the encoded request and its value. It returns how many bytes were written, not counting a body that is
// streamed; 0 if such a body was not written completely.
func (c *conn) writeRequest(out *ringbuf.Ring, a *Attempt) (written int, err error) {
	if written, err = out.FlushTo(c.net); err != nil {
		return written, err
	}
	if isBufferedLargeValue(a.Request) {
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

// endWrite marks an attempt as sent, or ends the connection if the write or the reader has failed. It reports whether the connection
// can still be used. The mutex stays locked throughout: otherwise a reader that fails after conn.writing is cleared, but before the
// attempt's progress is corrected, would report the attempt as fully written.
func (c *conn) endWrite(a *Attempt, writeErr error, partlyWritten bool) bool {
	c.endpoint.mu.Lock()
	c.writing = false
	switch {
	case writeErr == nil && c.readErr == nil:
		a.lastByteSent = true
		c.endpoint.mu.Unlock()
		return true
	case writeErr == nil:
		a.lastByteSent = true
		c.failAndUnlock(c.readErr)
	default:
		if partlyWritten && a.progress == exchange.FullyWritten {
			a.progress = exchange.PartiallyWritten
		}
		c.failAndUnlock(writeErr)
	}
	return false
}

// writeBody writes a body that is still arriving, piece by piece. It marks the attempt as fully written before it writes the last
// piece.
func (c *conn) writeBody(a *Attempt) error {
	body := a.Request.Body
	piece := make([]byte, uploadPieceSize)
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
				return nil // the last byte may have been sent, and the reader will fail too
			}
			return err
		}
	}
	return nil
}

// markBodyWritten marks an attempt as fully written. It reports false if the attempt has ended or its connection is closed.
func (c *conn) markBodyWritten(a *Attempt) bool {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	if a.ended || c.Closed {
		return false
	}
	a.progress = exchange.FullyWritten
	return true
}
