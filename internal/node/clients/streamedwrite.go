package clients

import (
	"errors"
	"net"
	"sync"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/sockstate"
)

// minClientPause is how long a read has to wait for bytes to show that none were held back in the client's socket: when the node reads, the
// sockets' flow control lets the client's machine send on within a round trip.
const minClientPause = 20 * time.Millisecond

var errTruncatedBody = errors.New("client did not send all of the value")

// streamedWrite is a large write whose value is forwarded as it arrives. The time limit of the client runs from its last byte, which may wait in
// the sockets while the server takes nothing (PROTOCOL.md, "The rules on sockets": a request is taken once its last byte is written). While the
// node does not wait for the client, the client may therefore have sent everything, and its time is taken to run.
type streamedWrite struct {
	reader    *commandReader
	request   *exchange.Exchange
	deadline  time.Time // for the client to send the value
	remaining int       // bytes of the command from the ring buffer's first one on
	bodyLeft  int       // bytes of them that belong to the value
	check     *time.Timer
	// nothingBehind says that nothing had arrived behind the command before its last byte was forwarded: what follows was sent later.
	nothingBehind bool

	mu       sync.Mutex // guards the fields below
	blocked  *blockedWrite
	received bool // the Handler knows when the value was received
}

// blockedWrite is a part of a value that waits to be taken by the server.
type blockedWrite struct {
	unread    int     // bytes of the command that were not read from the socket when the wait began
	queued    int     // bytes in the socket at the last check
	checkedAt float64 // time of the last check; 0: there was none
}

func (r *commandReader) newStreamedWrite(request *exchange.Exchange, remaining, bodyLength int) *streamedWrite {
	w := &streamedWrite{
		reader: r, request: request, deadline: time.Now().Add(maxUploadTime), remaining: remaining, bodyLeft: bodyLength,
	}
	w.check = time.AfterFunc(time.Hour, w.checkBlocked)
	w.check.Stop()
	return w
}

// forward forwards the value as it arrives. It returns how many bytes of the command are still to be skipped, and whether the connection is
// open.
func (w *streamedWrite) forward() (skip int, open bool) {
	r := w.reader
	defer w.check.Stop()
	for w.bodyLeft > 0 {
		n, err := w.forwardableBytes()
		if err != nil {
			r.conn.replyError(malformedMessage, true)
			return 0, true
		}
		if n > 0 {
			if err := w.write(r.in.Peek()[:n]); err != nil {
				return r.discardCommand(w.remaining), true // the request has its response, or cannot be attempted any more
			}
			r.in.Discard(n)
			w.bodyLeft, w.remaining = w.bodyLeft-n, w.remaining-n
			continue
		}
		if err := w.read(); err != nil {
			w.request.Body.CloseWriter(errTruncatedBody) // an attempt of the request may wait for the rest, and the reply for the attempt
			r.conn.uploadFailed(err)
			return 0, false
		}
	}
	r.in.Discard(len(crlf))
	return 0, true
}

// forwardableBytes returns how many bytes in the ring buffer may be forwarded now. If the whole rest of the value and the end of the command
// are there, it reports the value as received.
func (w *streamedWrite) forwardableBytes() (int, error) {
	b := w.reader.in.Peek()
	n := min(len(b), w.bodyLeft)
	switch {
	case n < w.bodyLeft:
		return n, nil
	case len(b) < w.remaining:
		return n - 1, nil
	case string(b[w.bodyLeft:w.remaining]) != crlf:
		return 0, errTruncatedBody
	}
	unread, _ := sockstate.Peek(w.reader.conn.net)
	w.nothingBehind = len(b) == w.remaining && !unread
	w.reportReceived()
	return n, nil
}

// read reads more of the value. While it waits for the client, the client's time does not run.
func (w *streamedWrite) read() error {
	r, c := w.reader, w.reader.conn
	if r.resizeForUpload() == 0 {
		c.held = heldInput{} // all that was held has been read
	}
	begunAt := time.Now()
	_, err := c.readUpload(w.deadline, func() (int, error) { return r.in.ReadOnce(c.net) })
	body, now := w.request.Body, c.server.Clock.Now()
	if waited := time.Since(begunAt); waited >= minClientPause {
		body.MarkIncomplete(now)
	} else {
		body.MarkIncomplete(min(now, body.IncompleteAt()+float64(waited)/float64(time.Millisecond)))
	}
	w.reportIfOverdue(now)
	return err
}

// resizeForUpload gives the ring buffer room for what has arrived, of which it returns the number of bytes: many clients may pause within a value, and
// each would hold a large buffer.
func (r *commandReader) resizeForUpload() (unread int) {
	unread, ok := sockstate.Unread(r.conn.net)
	if !ok {
		unread = exchange.StreamBufferSize
	}
	if unread == 0 {
		r.in.ReleaseIfEmpty()
	}
	r.in.Grow(min(unread, exchange.StreamBufferSize))
	return unread
}

// write forwards a part of the value, and waits until the server has taken it.
func (w *streamedWrite) write(part []byte) error {
	w.reader.conn.holdInput()
	w.mu.Lock()
	w.blocked = &blockedWrite{unread: w.remaining - w.reader.in.Len()}
	w.check.Reset(disconnectCheckInterval)
	w.mu.Unlock()
	_, err := w.request.Body.Write(part)
	w.mu.Lock()
	w.blocked = nil
	w.check.Stop()
	w.mu.Unlock()
	return err
}

// checkBlocked checks the client's socket while a part of the value waits for the server: whether the client has left, whether all of the
// command has arrived, and whether the client's time is over.
func (w *streamedWrite) checkBlocked() {
	c := w.reader.conn
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.blocked == nil {
		return
	}
	if sockstate.EndedByPeer(c.net) {
		c.close() // which ends the wait
		return
	}
	now := c.server.Clock.Now()
	if w.blocked.update(c.net, now, w.request.Body) {
		w.reportReceivedLocked()
	}
	w.reportIfOverdueLocked(now)
	w.check.Reset(min(disconnectCheckInterval, clock.Duration(max(1, w.dueAt()-now))))
}

// update compares the bytes in the client's socket with those at the last check, and reports whether the whole command has arrived. Nothing is
// read in between: if bytes have arrived since, or none are there, the client had not sent everything at the last check.
func (b *blockedWrite) update(client net.Conn, now float64, body *exchange.Body) (complete bool) {
	queued, ok := sockstate.Unread(client)
	if !ok {
		return false
	}
	if b.checkedAt > 0 && (queued > b.queued || queued == 0 && b.unread > 0) {
		body.MarkIncomplete(b.checkedAt)
	}
	b.queued, b.checkedAt = queued, now
	return queued >= b.unread
}

// dueAt returns when the client's time is over if it has sent everything since it was last known not to have.
func (w *streamedWrite) dueAt() float64 { return w.request.Body.IncompleteAt() + w.request.Timeout }

func (w *streamedWrite) reportIfOverdue(now float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportIfOverdueLocked(now)
}

// reportIfOverdueLocked reports the value as received if the client's time may be over. Called with the mutex held.
func (w *streamedWrite) reportIfOverdueLocked(now float64) {
	if now >= w.dueAt() {
		w.reportReceivedLocked()
	}
}

func (w *streamedWrite) reportReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportReceivedLocked()
}

// reportReceivedLocked tells the Handler from when on the client's time runs, once. Called with the mutex held.
func (w *streamedWrite) reportReceivedLocked() {
	if !w.received {
		w.received = true
		w.request.Body.MarkReceived()
		w.reader.conn.server.Handler.BodyReceived(w.request, w.request.Body.IncompleteAt())
	}
}
