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
	// maxUploadTime is how long a large value may take to arrive, however steadily: its memory is reserved for all that time. It is
	// ten times what the operators' page gives a client for the head of a command.
	maxUploadTime = 20 * time.Second
	// uploadOverhead is how many bytes a buffered command takes besides its bytes.
	uploadOverhead = 512
)

var errTruncatedBody = errors.New("client did not send all of the value")

// readLargeWrite reads a write with a large value into memory of its own, as fast as its client sends it, so that it can be
// attempted more than once. Where there is no memory for it, it is passed on as it arrives. It returns how many bytes of the
// command are still to be skipped, and whether the connection is open.
func (r *commandReader) readLargeWrite(size int) (skip int, open bool) {
	c := r.conn
	c.beginCommand()
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

// beginCommand marks the connection as not between requests while a large command is read.
func (c *conn) beginCommand() {
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

// readUpload reads once more of a large command. The client may take its time until the deadline, but has to keep sending.
func (c *conn) readUpload(deadline time.Time, read func() (int, error)) (int, error) {
	for {
		next := time.Now().Add(clock.Duration(c.server.CommandTimeout))
		if deadline.Before(next) {
			next = deadline
		}
		c.setReadDeadline(next)
		n, err := read()
		if n == 0 && err != nil && c.takeDeparture() && time.Now().Before(deadline) {
			continue // the connection cannot be handed over with part of a command read
		}
		return n, err
	}
}

// uploadFailed ends a connection on which the rest of a large write does not come. Requests before it are answered first, if
// the client is still there.
func (c *conn) uploadFailed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.commandTimedOut()
		return
	}
	c.close()
}

// streamLargeWrite passes a write on at its head, and its value as it arrives and as its server reads it. The server runs it
// when it has the last byte, and the client's time limit begins with that. The last byte is passed on only with the end of the
// command behind it.
func (r *commandReader) streamLargeWrite(size int) (skip int, open bool) {
	c := r.conn
	args, head, length := parseLargeWriteHead(r.in.Peek())
	if args == nil {
		c.replyError(tooLargeMessage, false)
		return r.discard(size), true
	}
	request, err := c.server.Config().parseRequest(append(args, nil), c.server.Clock.Now(), false)
	if err != nil {
		c.replyError(err.Error(), false)
		return r.discard(size), true
	}
	request.Value, request.Body = nil, exchange.NewBody(int64(length))
	request.Timeout = request.Deadline - request.ArrivedAt
	request.Deadline += float64(maxUploadTime / time.Millisecond)
	if !c.submit(request, nil) {
		return r.discard(size), true
	}
	defer request.Body.CloseWriter(errTruncatedBody)
	r.in.Discard(head)
	return r.passBody(request, size-head, length)
}

// passBody passes the body of a request on as it arrives. Size is what is left of the command, length of the body.
func (r *commandReader) passBody(request *exchange.Exchange, size, length int) (skip int, open bool) {
	c := r.conn
	deadline := time.Now().Add(maxUploadTime)
	for length > 0 {
		n, err := r.passable(request, length)
		if err != nil {
			c.replyError(malformedMessage, true)
			return 0, true
		}
		if n > 0 {
			if _, err := request.Body.Write(r.in.Peek()[:n]); err != nil {
				return r.discard(size), true // it has its response, or cannot be attempted any more
			}
			r.in.Discard(n)
			length, size = length-n, size-n
			continue
		}
		r.in.Grow(exchange.StreamBufferSize)
		if _, err := c.readUpload(deadline, func() (int, error) { return r.in.ReadOnce(c.net) }); err != nil {
			request.Body.CloseWriter(errTruncatedBody) // its attempt, and so its reply, may wait for the rest
			c.uploadFailed(err)
			return 0, false
		}
	}
	r.in.Discard(len(commandEnd))
	return 0, true
}

// passable returns how many bytes in the ring may be passed on now, of a body of which length bytes are left. If all are there
// with the end of the command, the body is complete.
func (r *commandReader) passable(request *exchange.Exchange, length int) (int, error) {
	b := r.in.Peek()
	n := min(len(b), length)
	switch {
	case n < length:
		return n, nil
	case len(b) < length+len(commandEnd):
		return n - 1, nil
	case string(b[length:length+len(commandEnd)]) != commandEnd:
		return 0, errTruncatedBody
	}
	r.conn.server.Handler.BodyReceived(request, r.conn.server.Clock.Now())
	return n, nil
}

// discard drops what has arrived of a command of a size, and returns how much is still to be skipped.
func (r *commandReader) discard(size int) int {
	n := min(size, r.in.Len())
	r.in.Discard(n)
	return size - n
}
