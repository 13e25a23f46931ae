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

// commandReader is the state of a connection's reading goroutine.
type commandReader struct {
	conn    *conn
	socket  *socketReader
	in      ringbuf.Ring
	args    [][]byte // of the command before, for reuse
	skip    int      // bytes of a refused command that are still to arrive
	timeout time.Duration
	// deadline is when the first command, or one that has begun, must have arrived, however its bytes trickle in. Zero: the
	// client may be silent for any time.
	deadline time.Time
}

// takeResult is what became of the bytes at the head of the ring.
type takeResult uint8

const (
	takeStopped    takeResult = iota // no complete command, or the connection is ending
	takeLimited                      // no command is taken until one is replied to
	takeAccepted                     // a command was taken
	takeSkipped                      // a command was refused, and its rest is skipped
	takeConnClosed                   // the connection is closed
)

func newCommandReader(c *conn) *commandReader {
	return &commandReader{conn: c, socket: newSocketReader(c), timeout: clock.Duration(c.server.CommandTimeout)}
}

// readLoop reads commands until the client disconnects or the connection ends.
func (c *conn) readLoop() {
	r := newCommandReader(c)
	defer r.in.Release()
	defer c.recoverPanic()
	if !c.hasRequested() {
		r.deadline = time.Now().Add(r.timeout)
	}
	for r.readOnce() {
	}
}

func (c *conn) hasRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.usage >= usageRequested
}

// readOnce reads once, takes the commands that are complete, and reports whether to read on.
func (r *commandReader) readOnce() bool {
	c := r.conn
	switch err := r.fill(); {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.close()
		return false
	case c.takeDeparture():
		// Nothing was read. If no part of a command was read before either, the connection can end as it is.
		return r.in.Len() > 0 || r.skip > 0 || !c.tryDepart()
	case !c.takeResume():
		c.commandTimedOut()
		return false
	}
	at := c.server.Clock.Now()
	taken, result := r.takeCommands(c.arrivalOfRead(at))
	if result == takeConnClosed {
		return false
	}
	return r.afterRead(at, taken, result == takeLimited)
}

// arrivalOfRead returns since when the time of requests counts that were read at a time. What waited for the accept counts from before that,
// until all of it has been read.
func (c *conn) arrivalOfRead(at float64) float64 {
	if c.waitingSince == 0 {
		return at
	}
	since := c.waitingSince
	if unread, _ := sockstate.Peek(c.net); !unread {
		c.waitingSince = 0
	}
	return since
}

// fill reads once, or not at all where commands that were read before may be taken now. The rest of a refused command is
// dropped.
func (r *commandReader) fill() error {
	if r.conn.takeResume() {
		return nil
	}
	r.conn.awaitInput(r.deadline)
	if r.skip == 0 {
		_, err := r.in.ReadOnce(r.socket)
		return err
	}
	n, err := io.CopyN(io.Discard, r.conn.net, int64(min(r.skip, exchange.MaxBufferedValue)))
	r.skip -= int(n)
	return err
}

// takeCommands takes the complete commands in the ring. It reports whether it took any, and why it stopped.
func (r *commandReader) takeCommands(at float64) (taken bool, result takeResult) {
	for r.in.Len() > 0 {
		switch result := r.takeCommand(at); result {
		case takeAccepted:
			taken = true
		case takeSkipped:
		default:
			return taken, result
		}
	}
	return taken, takeStopped
}

func (r *commandReader) takeCommand(at float64) takeResult {
	c := r.conn
	if c.atLimit() {
		return takeLimited
	}
	b := r.in.Peek()
	size := oversizedLength(b)
	switch {
	case size < 0 || b[0] != '*':
		c.replyError(malformedMessage, true)
		return takeStopped
	case size > 0 && c.rejecting:
		return r.skipCommand(size, c.server.rejection())
	case size > 0 && c.server.Memory != nil && isLargeWrite(b, size):
		var open bool
		if r.skip, open = r.readLargeWrite(size); !open {
			return takeConnClosed
		}
		return takeAccepted
	case size > 0:
		return r.refuse(size)
	}
	complete, args, _, rest, err := redcon.ReadNextCommand(b, r.args[:0])
	if err != nil {
		c.replyError(err.Error(), true)
		return takeStopped
	}
	if !complete {
		if len(b) == ringbuf.MaxSize {
			c.replyError(tooLargeMessage, true)
		}
		return takeStopped
	}
	c.server.dispatch(c, args, at, nil)
	r.args = args[:0]
	r.in.Discard(len(b) - len(rest))
	return takeAccepted
}

// refuse replies to a command of a size that may not be taken, and skips it.
func (r *commandReader) refuse(size int) takeResult {
	r.conn.server.counters.malformed.Add(1)
	return r.skipCommand(size, errorReply(tooLargeMessage))
}

// skipCommand replies to a command of a size and skips it. One that is far too large ends the connection.
func (r *commandReader) skipCommand(size int, reply string) takeResult {
	n := min(size, r.in.Len())
	r.skip = size - n
	r.in.Discard(n)
	tooMuch := r.skip > maxDiscard
	r.conn.reply(reply, tooMuch)
	if tooMuch {
		return takeStopped
	}
	return takeSkipped
}

// afterRead prepares the next read, and reports whether there is one.
func (r *commandReader) afterRead(at float64, taken, limited bool) bool {
	c := r.conn
	closing := c.closingStage()
	if closing == lifecycle.StopReading && taken {
		c.rejecting = true
		if !c.hasUnanswered() {
			r.finish(at)
			return false
		}
	}
	next := c.recordRead(&r.in, at, r.skip > 0, limited)
	if next.ended {
		c.linger()
		return false
	}
	r.in.ReleaseIfEmpty()
	if closing >= lifecycle.CloseWhenIdle {
		c.requestDeparture()
	}
	switch {
	case next.paused:
		r.deadline = time.Time{} // the client has done its part
	case next.midCommand && !taken && r.skip == 0 && (next.wasMidCommand || !next.requested):
		// The deadline stays: bytes that trickle in do not make the command any newer.
	case next.midCommand || !next.requested:
		r.deadline = time.Now().Add(r.timeout)
	default:
		r.deadline = time.Time{}
	}
	return true
}

// finish rejects the commands that were read ahead, reads no more, and ends the connection. If the client keeps sending, the ring
// always holds the beginning of one more command: that counts as not read.
func (r *commandReader) finish(at float64) {
	for result := takeLimited; result == takeLimited; {
		r.conn.awaitReplies()
		_, result = r.takeCommands(at)
	}
	r.conn.reply("", true)
	r.conn.linger()
}

// awaitReplies waits until commands may be taken.
func (c *conn) awaitReplies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.state.atLimit() {
		c.cond.Wait()
	}
}

// readProgress is the state of a connection after a read.
type readProgress struct {
	ended, paused             bool
	midCommand, wasMidCommand bool
	requested                 bool
}

// recordRead records a read. A client that does not read its replies, or has many commands waiting, has no more of them
// taken. Its connection is read further all the same, up to a bound: nothing else shows a disconnect, and until then its
// requests are executed.
func (c *conn) recordRead(in *ringbuf.Ring, at float64, skipping, limited bool) readProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasMidCommand := c.state.recordRead(at, in.Len() > 0 || skipping, limited)
	for c.state.atLimit() && in.Len() >= maxReadAhead {
		c.waitOrNoticeEnd()
	}
	return readProgress{
		ended: c.state.phase != phaseOpen, paused: c.state.paused,
		midCommand: c.state.midCommand, wasMidCommand: wasMidCommand,
		requested: c.state.usage >= usageRequested,
	}
}

// endCheckInterval is the time between two looks at whether a client has gone on whose connection nothing is read for now. What its
// requests need is not sent to servers later than 100 ms after its end.
const endCheckInterval = 25 * time.Millisecond

// waitOrNoticeEnd waits until the state changes, or for a while, and closes the connection if the client has ended it behind bytes that are
// not read. It is called with the mutex held.
func (c *conn) waitOrNoticeEnd() {
	wakeUp := time.AfterFunc(endCheckInterval, c.cond.Broadcast)
	c.cond.Wait()
	if wakeUp.Stop() || c.state.phase == phaseClosed || !sockstate.EndedByPeer(c.net) {
		return
	}
	c.mu.Unlock()
	c.close()
	c.mu.Lock()
}

func (c *conn) takeResume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.takeResume()
}

// awaitInput sets the deadline of the next read, unless the reader has been asked to depart or to resume meanwhile.
func (c *conn) awaitInput(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.departing || c.state.canResume() {
		deadline = longAgo
	}
	c.setReadDeadline(deadline)
}

// commandTimedOut ends a connection on which a command has not arrived in time. Commands that were read before are replied to
// first.
func (c *conn) commandTimedOut() {
	c.server.counters.timedOut.Add(1)
	if !c.hasPending() {
		c.close()
		return
	}
	c.replyError("a command that did not come within its time", true)
	c.linger()
}
