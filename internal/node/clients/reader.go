package clients

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/ringbuf"
	"mintspring/internal/node/sockstate"
)

// commandReader is the state of a connection's reader goroutine.
type commandReader struct {
	conn   *conn
	socket *socketReader
	in     ringbuf.Ring // bytes that were read and not processed yet
	args   [][]byte     // of the previous command, for reuse
	skip   int          // bytes of a rejected command that are still to arrive
	// largeWriteReadAt is when the last large write was read, in ms; the commands behind it arrived with its last bytes or later.
	largeWriteReadAt float64
	timeout          time.Duration
	// deadline is the time by which the first command, or the rest of a command that has begun, must have arrived. Zero: the client may
	// be silent for any time.
	deadline         time.Time
	deadlineExtended bool // the deadline has been extended since the last complete command
	// endBy is when the connection ends even if its client does not pause. Zero: requests are forwarded, or one has no response yet.
	endBy time.Time
	cost  inputCost // of input that is answered without a server

	inputReserved bool // memory for a full ring buffer is reserved
}

// lateReadTime is how long the deadline of a command is extended to read bytes that have arrived before it.
const lateReadTime = 10 * time.Millisecond

// processResult is the result of processing the bytes at the head of the ring buffer.
type processResult uint8

const (
	processStopped    processResult = iota // no complete command, or the connection is ending
	processPaused                          // no command is processed until one is replied to
	processAccepted                        // a command was processed; go on with the next
	processSkipped                         // a command was rejected, and its rest is skipped
	processConnClosed                      // the connection is closed
)

func newCommandReader(c *conn) *commandReader {
	return &commandReader{conn: c, socket: newSocketReader(c), timeout: clock.Duration(c.server.CommandTimeout)}
}

// readLoop reads commands until the client disconnects or the connection ends.
func (c *conn) readLoop() {
	r := newCommandReader(c)
	defer r.releaseInput()
	defer r.in.Release()
	defer c.recoverPanic()
	if !c.hasRequested() {
		r.deadline = time.Now().Add(r.timeout)
	}
	for r.readAndProcess() {
	}
}

func (c *conn) hasRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.usage >= usageRequested
}

// readAndProcess reads once, processes the complete commands, and reports whether to read on.
func (r *commandReader) readAndProcess() bool {
	c := r.conn
	switch err := r.fill(); {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.close()
		return false
	case c.consumeDrainRequest(), r.clientPaused(), r.endIsDue():
		return !r.tryEnd() // nothing was read
	case c.tryResume():
		c.updateRejecting(true) // as in fill
	case !r.commandIsDue(), r.extendDeadline():
		return true
	default:
		c.commandTimedOut()
		return false
	}
	now := c.server.Clock.Now()
	c.lastInputAt = time.Now()
	c.updateRejecting(false) // the node may be in service again
	r.cost.begin()
	accepted, result := r.processCommands(c.arrivalTime(now))
	if result == processConnClosed || !r.afterRead(now, accepted, result == processPaused) {
		return false
	}
	r.pace()
	return true
}

// commandIsDue reports whether the deadline of a command has passed. If not, the read was interrupted to resume processing commands, and
// the connection has reached a limit again since.
func (r *commandReader) commandIsDue() bool {
	return !r.deadline.IsZero() && !time.Now().Before(r.deadline)
}

// extendDeadline extends the deadline of a command once if unread bytes have arrived, and reports whether it did. If the process was not
// scheduled for a while, the command may have arrived in time.
func (r *commandReader) extendDeadline() bool {
	if unread, _ := sockstate.Peek(r.conn.net); r.deadlineExtended || !unread {
		return false
	}
	r.deadlineExtended = true
	r.deadline = time.Now().Add(lateReadTime)
	return true
}

// clientPaused reports whether the last read ended because the client of a connection on which requests are rejected has paused.
func (r *commandReader) clientPaused() bool {
	pauseEnds, relevant := r.conn.pauseEnds()
	return relevant && !time.Now().Before(pauseEnds) && r.in.Len() == 0 && r.skip == 0
}

// tryEnd closes the connection or hands it over if the lifecycle asks for that, and reports whether it did.
func (r *commandReader) tryEnd() bool {
	if r.endIsDue() {
		r.endInput()
		return true
	}
	return r.in.Len() == 0 && r.skip == 0 && r.conn.tryDrain()
}

// arrivalTime returns the arrival time of requests that were read at readAt. On a connection that waited in the accept backlog, requests
// count as arrived when the wait began, until all bytes that arrived meanwhile have been read.
func (c *conn) arrivalTime(readAt float64) float64 {
	if c.backlogged.since == 0 {
		return readAt
	}
	arrivedAt := c.backlogged.arrivalTime(c.net, readAt)
	if unread, _ := sockstate.Peek(c.net); !unread {
		c.backlogged = acceptOutage{}
	}
	return arrivedAt
}

// fill reads once, or returns at once if commands that were read before may be processed now. The rest of a rejected command is dropped.
func (r *commandReader) fill() error {
	if r.conn.tryResume() {
		r.conn.updateRejecting(true) // these commands are behind others
		return nil
	}
	r.conn.setInputDeadline(r.readDeadline())
	if r.skip == 0 {
		if err := r.awaitInputMemory(); err != nil {
			return err
		}
		r.conn.clearHeldIfDrained()
		_, err := r.in.ReadOnce(r.socket)
		if err == nil && sockstate.EndedByPeer(r.conn.net) {
			return io.EOF // the client left while these bytes waited to be read, for instance in the accept backlog
		}
		return err
	}
	n, err := io.CopyN(io.Discard, r.conn.net, int64(min(r.skip, exchange.MaxBufferedValue)))
	r.skip -= int(n)
	r.conn.held.consume(int(n))
	return err
}

// endIsDue reports whether the connection has to end although its client may not have paused. Requests without a response come first.
func (r *commandReader) endIsDue() bool {
	c := r.conn
	if !c.rejecting || c.hasUnanswered() {
		r.endBy = time.Time{}
		return false
	}
	now, limit := time.Now(), maxRejectInput
	if c.inputMode() == lifecycle.EndInput {
		limit = maxEndInput
	}
	r.endBy = earlier(r.endBy, now.Add(limit))
	return !now.Before(r.endBy)
}

// readDeadline returns the deadline of the next read: that of the command, or an earlier time at which the connection may end.
func (r *commandReader) readDeadline() time.Time {
	deadline := earlier(r.deadline, r.endBy)
	if pauseEnds, relevant := r.conn.pauseEnds(); relevant && r.in.Len() == 0 && r.skip == 0 {
		return earlier(deadline, pauseEnds)
	}
	return deadline
}

// earlier returns the earlier of two times, of which zero ones do not count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// processCommands processes the complete commands in the ring buffer. It reports whether it accepted any, and why it stopped.
func (r *commandReader) processCommands(arrivedAt float64) (accepted bool, result processResult) {
	for r.in.Len() > 0 {
		switch result := r.processCommand(arrivedAt); result {
		case processAccepted:
			accepted = true
			arrivedAt = max(arrivedAt, r.largeWriteReadAt)
		case processSkipped:
		default:
			return accepted, result
		}
	}
	return accepted, processStopped
}

func (r *commandReader) processCommand(arrivedAt float64) processResult {
	c := r.conn
	b := r.in.Peek()
	size := oversizedLength(b)
	if c.atLimit() || r.clientMayHaveLeft(size-len(b)) {
		return processPaused
	}
	switch {
	case size < 0 || b[0] != '*':
		c.replyError(malformedMessage, true)
		return processStopped
	case size > 0 && c.rejecting:
		return r.skipCommand(size, c.server.rejectedReply())
	case size > 0 && c.server.Memory != nil && isLargeWrite(b, size):
		var open bool
		r.skip, open = r.readLargeWrite(size)
		r.largeWriteReadAt = c.server.Clock.Now()
		if !open {
			return processConnClosed
		}
		return processAccepted
	case size > 0:
		return r.rejectOversized(size)
	}
	complete, args, _, rest, err := redcon.ReadNextCommand(b, r.args[:0])
	if err != nil {
		c.replyError(err.Error(), true)
		return processStopped
	}
	if !complete {
		if len(b) == ringbuf.MaxSize {
			c.replyError(tooLargeMessage, true)
		}
		return processStopped
	}
	if !c.reserveReply() {
		return processPaused
	}
	r.dispatch(args, arrivedAt, nil)
	c.releaseUnusedReply()
	r.args = args[:0]
	r.in.Discard(len(b) - len(rest))
	c.held.consume(len(b) - len(rest))
	return processAccepted
}

// rejectOversized replies with an error to a command that is too large, and skips it.
func (r *commandReader) rejectOversized(size int) processResult {
	r.conn.server.counters.malformed.Add(1)
	return r.skipCommand(size, errorReply(tooLargeMessage))
}

// skipCommand replies to a command of the given size and skips its bytes. If more than maxDiscard bytes of it are still to arrive, the
// connection ends instead.
func (r *commandReader) skipCommand(size int, reply string) processResult {
	n := min(size, r.in.Len())
	r.skip = size - n
	r.in.Discard(n)
	tooMuch := r.skip > maxDiscard
	r.conn.reply(reply, tooMuch)
	if tooMuch {
		return processStopped
	}
	return processSkipped
}

// afterRead prepares the next read, and reports whether there is one.
func (r *commandReader) afterRead(now float64, accepted, paused bool) bool {
	c := r.conn
	r.deadlineExtended = r.deadlineExtended && !accepted
	c.updateRejecting(accepted)
	if r.endIsDue() {
		r.endInput()
		return false
	}
	progress := r.recordRead(now, paused)
	if progress.ended {
		c.linger()
		return false
	}
	if r.in.ReleaseIfEmpty(); r.in.Len() == 0 {
		r.releaseInput()
	}
	if r.in.Len() == 0 && r.skip == 0 {
		c.dropRetainedConfigs()
	}
	if c.closeMode() >= lifecycle.CloseWhenIdle {
		c.requestDrain()
	}
	switch {
	case progress.paused:
		r.deadline = time.Time{} // the client has sent its commands
	case progress.midCommand && !accepted && r.skip == 0 && (progress.wasMidCommand || !progress.requested):
		// The deadline stays: bytes that trickle in do not extend it.
	case progress.midCommand || !progress.requested:
		r.deadline = time.Now().Add(r.timeout)
	default:
		r.deadline = time.Time{}
	}
	return true
}

// endInput rejects the commands that were read ahead, and ends the connection. A client that keeps sending always leaves the beginning of
// one more command in the ring buffer; that command counts as not read.
func (r *commandReader) endInput() {
	for result := processPaused; result == processPaused; {
		r.conn.waitBelowLimit()
		_, result = r.processCommands(r.conn.server.Clock.Now())
	}
	r.conn.reply("", true)
	r.conn.linger()
}

// waitBelowLimit waits until more commands may be processed.
func (c *conn) waitBelowLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.state.atLimit() {
		c.cond.Wait()
	}
}

func (c *conn) tryResume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.tryResume()
}

// setInputDeadline sets the deadline of the next read. The deadline is in the past if the reader has been asked to drain the connection
// or may resume processing commands.
func (c *conn) setInputDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.drainRequested || c.state.canResume() {
		deadline = expiredDeadline
	}
	c.setReadDeadline(deadline)
}

// commandTimedOut ends a connection on which a command has not arrived in time. Commands that were read before are replied to first.
func (c *conn) commandTimedOut() {
	c.server.counters.timedOut.Add(1)
	if !c.hasPending() {
		c.close()
		return
	}
	c.replyError("a command that did not come within its time", true)
	c.linger()
}
