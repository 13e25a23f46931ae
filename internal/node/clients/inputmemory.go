package clients

import (
	"io"
	"os"
	"time"

	"mintspring/internal/node/ringbuf"
	"mintspring/internal/node/sockstate"
)

// smallInput is how many bytes of a connection's input are buffered without a reservation: enough for most commands.
const smallInput = 8 << 10

// acquireInput reserves memory for a full ring buffer, which a command of more than smallInput bytes needs until it has arrived, and reports
// whether the connection has it. Many clients may send most of such a command and then pause.
func (r *commandReader) acquireInput() bool {
	budget := r.conn.server.InputMemory
	if r.inputReserved || budget == nil {
		return true
	}
	r.inputReserved = budget.TryAcquire(ringbuf.MaxSize)
	return r.inputReserved
}

// releaseInput returns the memory of acquireInput once the ring buffer is empty.
func (r *commandReader) releaseInput() {
	if r.inputReserved {
		r.inputReserved = false
		r.conn.server.InputMemory.Release(ringbuf.MaxSize)
	}
}

// awaitInputMemory returns nil if the next read has memory. Otherwise it waits for a moment and returns an error as a read without bytes does. The
// time does not count as the client's if it has sent more.
func (r *commandReader) awaitInputMemory() error {
	if r.in.Len() < smallInput || r.acquireInput() {
		return nil
	}
	begunAt := time.Now()
	time.Sleep(disconnectCheckInterval)
	if r.conn.hasUnanswered() && sockstate.EndedByPeer(r.conn.net) {
		return io.EOF
	}
	if unread, closed := sockstate.Peek(r.conn.net); unread && !closed && !r.deadline.IsZero() {
		r.deadline = r.deadline.Add(time.Since(begunAt))
	}
	return os.ErrDeadlineExceeded
}

// readAheadLimit returns how many bytes may be read beyond the commands that wait for their replies.
func (r *commandReader) readAheadLimit() int {
	if r.in.Len() < smallInput || r.acquireInput() {
		return maxReadAhead
	}
	return smallInput
}
