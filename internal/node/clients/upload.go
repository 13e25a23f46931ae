package clients

import (
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/sockstate"
)

const (
	// maxUploadTime is how long a large value may take to arrive, even if the client keeps sending: its memory is reserved for all that
	// time. This limit is ten times the one that the operators' page sets for the head of a command.
	maxUploadTime = 20 * time.Second
	// uploadOverhead is the number of bytes that a buffered command takes in addition to its own length.
	uploadOverhead = 512
)

// readLargeWrite reads a write with a large value completely before it is handed on, so that the write can be attempted more than once.
// If there is no memory for it, its value is forwarded as it arrives. readLargeWrite returns how many bytes of the command are still to
// be skipped, and whether the connection is open.
func (r *commandReader) readLargeWrite(size int) (skip int, open bool) {
	c := r.conn
	if c.closeIfClientLeft() {
		return 0, false
	}
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
	if c.closeIfClientLeft() {
		return 0, false
	}
	complete, args, _, _, err := redcon.ReadNextCommand(b, nil)
	if err != nil || !complete {
		c.replyError(malformedMessage, true)
		return 0, true
	}
	r.dispatch(args, c.server.Clock.Now(), reserved)
	c.held.consume(size)
	return 0, true
}

// closeIfClientLeft closes the connection if the client has ended its side, and reports whether it did: nothing may be sent for it any more.
func (c *conn) closeIfClientLeft() bool {
	ended := sockstate.EndedByPeer(c.net)
	if ended {
		c.close()
	}
	return ended
}

// markMidCommand marks the connection as not between requests while a large command is read.
func (c *conn) markMidCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.midCommand, c.state.unreadLeft = true, true
}

// readFull fills b with the rest of a large command.
func (c *conn) readFull(b []byte) error {
	deadline := time.Now().Add(maxUploadTime)
	for len(b) > 0 {
		c.clearHeldIfDrained()
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
// the server reads it. The server executes the write when it has the last byte, which is forwarded only after the end of the command has
// arrived.
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
	request.Body.MarkIncomplete(request.ArrivedAt - c.held.timeLost(request))
	request.Deadline += float64(maxUploadTime / time.Millisecond)
	if !c.submit(request, nil) {
		return r.discardCommand(size), true
	}
	r.cost.forwarded++
	defer request.Body.CloseWriter(errTruncatedBody)
	r.in.Discard(valueStart)
	write := r.newStreamedWrite(request, size-valueStart, length)
	skip, open = write.forward()
	if write.nothingBehind {
		c.held = heldInput{}
	} else {
		r.endHold(skip)
	}
	return skip, open
}

// discardCommand drops the bytes of a command of the given size that have arrived, and returns how many are still to be skipped.
func (r *commandReader) discardCommand(size int) int {
	n := min(size, r.in.Len())
	r.in.Discard(n)
	return size - n
}
