package clients

import (
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
)

const (
	// maxUploadTime is how long a large value may take to arrive, even if the client keeps sending: its memory is reserved for all that
	// time. This limit is ten times the one that the operators' page sets for the head of a command.
	maxUploadTime = 20 * time.Second
	// uploadOverhead is the number of bytes that a buffered command takes in addition to its own length.
	uploadOverhead = 512
)

var errTruncatedBody = errors.New("client did not send all of the value")

// readLargeWrite reads a write with a large value completely before it is handed on, so that the write can be attempted more than once.
// If there is no memory for it, its value is forwarded as it arrives. readLargeWrite returns how many bytes of the command are still to
// be skipped, and whether the connection is open.
func (r *commandReader) readLargeWrite(size int) (skip int, open bool) {
	c := r.conn
	c.markMidCommand()
	reserved := reserve(c.server.Memory, int64(size+uploadOverhead))
	if reserved == nil {
		return r.streamLargeWrite(size)
	}
	defer reserved.release()
	b := make([]byte, size)
	n := copy(b, r.in.Peek())
	r.in.Discard(n)
	if err := c.readFull(b[n:]); err != nil {
		c.uploadFailed(err)
		return 0, false
	}
	complete, args, _, _, err := redcon.ReadNextCommand(b, nil)
	if err != nil || !complete {
		c.replyError(malformedMessage, true)
		return 0, true
	}
	c.server.dispatch(c, args, c.server.Clock.Now(), reserved)
	return 0, true
}

// markMidCommand marks the connection as not between requests while a large command is read.
func (c *conn) markMidCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.midCommand = true
}

// readFull fills b with the rest of a large command.
func (c *conn) readFull(b []byte) error {
	deadline := time.Now().Add(maxUploadTime)
	for len(b) > 0 {
		n, err := c.readUpload(deadline, func() (int, error) { return c.net.Read(b) })
		b = b[n:]
		if err != nil && len(b) > 0 {
			return err
		}
	}
	return nil
}

// readUpload does one more read of a large command. The client may send until the deadline, but must not pause for longer than
// CommandTimeout.
func (c *conn) readUpload(deadline time.Time, read func() (int, error)) (int, error) {
	for {
		readDeadline := time.Now().Add(clock.Duration(c.server.CommandTimeout))
		if deadline.Before(readDeadline) {
			readDeadline = deadline
		}
		c.setReadDeadline(readDeadline)
		n, err := read()
		if n == 0 && err != nil && c.consumeDrainRequest() && time.Now().Before(deadline) {
			continue // the connection cannot be handed over with part of a command read
		}
		return n, err
	}
}

// uploadFailed ends a connection on which the rest of a large write does not arrive. If the client is still connected, earlier requests
// are answered first.
func (c *conn) uploadFailed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.commandTimedOut()
		return
	}
	c.close()
}

// streamLargeWrite hands a write to the Handler when the bytes before its value have arrived, and forwards the value as it arrives and as
// the server reads it. The server executes the write when it has the last byte, and the time limit of the client starts then. The last
// byte is forwarded only after the end of the command has arrived.
func (r *commandReader) streamLargeWrite(size int) (skip int, open bool) {
	c := r.conn
	args, valueStart, length := parseLargeWriteHeader(r.in.Peek())
	if args == nil {
		c.replyError(tooLargeMessage, false)
		return r.discardCommand(size), true
	}
	request, err := c.parseRequest(append(args, nil), c.server.Clock.Now(), false)
	if err != nil {
		c.replyError(err.Error(), false)
		return r.discardCommand(size), true
	}
	request.Value, request.Body = nil, exchange.NewBody(int64(length))
	request.Timeout = request.Deadline - request.ArrivedAt
	request.Deadline += float64(maxUploadTime / time.Millisecond)
	if !c.submit(request, nil) {
		return r.discardCommand(size), true
	}
	defer request.Body.CloseWriter(errTruncatedBody)
	r.in.Discard(valueStart)
	return r.forwardBody(request, size-valueStart, length)
}

// forwardBody forwards the body of a request as it arrives. remaining is the number of bytes left of the command; bodyLength is the
// number of bytes left of the body.
func (r *commandReader) forwardBody(request *exchange.Exchange, remaining, bodyLength int) (skip int, open bool) {
	c := r.conn
	deadline := time.Now().Add(maxUploadTime)
	for bodyLength > 0 {
		n, err := r.forwardableBytes(request, bodyLength)
		if err != nil {
			c.replyError(malformedMessage, true)
			return 0, true
		}
		if n > 0 {
			if _, err := request.Body.Write(r.in.Peek()[:n]); err != nil {
				return r.discardCommand(remaining), true // the request has its response, or cannot be attempted any more
			}
			r.in.Discard(n)
			bodyLength, remaining = bodyLength-n, remaining-n
			continue
		}
		r.in.Grow(exchange.StreamBufferSize)
		if _, err := c.readUpload(deadline, func() (int, error) { return r.in.ReadOnce(c.net) }); err != nil {
			request.Body.CloseWriter(errTruncatedBody) // an attempt of the request may wait for the rest, and the reply for the attempt
			c.uploadFailed(err)
			return 0, false
		}
	}
	r.in.Discard(len(crlf))
	return 0, true
}

// forwardableBytes returns how many bytes in the ring buffer may be forwarded now, if bodyLength bytes of the body are left. If the
// whole rest of the body and the end of the command are there, it reports the body as received.
func (r *commandReader) forwardableBytes(request *exchange.Exchange, bodyLength int) (int, error) {
	b := r.in.Peek()
	n := min(len(b), bodyLength)
	switch {
	case n < bodyLength:
		return n, nil
	case len(b) < bodyLength+len(crlf):
		return n - 1, nil
	case string(b[bodyLength:bodyLength+len(crlf)]) != crlf:
		return 0, errTruncatedBody
	}
	r.conn.server.Handler.BodyReceived(request, r.conn.server.Clock.Now())
	return n, nil
}

// discardCommand drops the bytes of a command of the given size that have arrived, and returns how many are still to be skipped.
func (r *commandReader) discardCommand(size int) int {
	n := min(size, r.in.Len())
	r.in.Discard(n)
	return size - n
}
