package clients

import (
	"math"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/sockstate"
)

// minHeldTime is the least time in ms that a request gets after it has waited unread for the replies before it. Up to half a second after its time an
// answer only earns nothing; later it is lost (STANDING.md).
const minHeldTime = 450

// heldInput records for how long bytes of a client may have waited unread while a large value before them waited for its server. The time of a
// request counts from its last byte, which may have been among them. The connection's reader owns it.
type heldInput struct {
	since float64 // when the wait began, in ms; 0: nothing has waited
	bytes int     // how many of the next bytes may have waited
}

// holdInput records that the client's input waits from now on.
func (c *conn) holdInput() {
	if c.held.since == 0 {
		c.held.since = c.server.Clock.Now()
	}
	c.held.bytes = math.MaxInt
}

// endHold records that input is read again, of which the first skip bytes are dropped. Behind them may be what has arrived, and what the client's machine
// could not send.
func (r *commandReader) endHold(skip int) {
	unread, _ := sockstate.Unread(r.conn.net)
	r.conn.held.bytes = max(r.in.Len()+unread, skip+maxReadAhead)
}

// consume records that n bytes were processed or dropped.
func (h *heldInput) consume(n int) {
	if h.bytes -= n; h.bytes <= 0 {
		*h = heldInput{}
	}
}

// clearHeldIfDrained forgets the wait once all that was held has been read and processed, but for a command that is incomplete.
func (c *conn) clearHeldIfDrained() {
	if c.held.since == 0 || c.inputPaused() {
		return
	}
	if unread, _ := sockstate.Peek(c.net); !unread {
		c.held.since = 0
	}
}

// inputPaused reports whether commands that were read wait for earlier replies.
func (c *conn) inputPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.paused
}

// timeLost returns by how many ms of its time a request that is processed now has less left, because it may have waited unread. At least
// minHeldTime is left: "the time for which one has to wait for those before it does not count" (PROTOCOL.md, "Figures") excuses an answer
// behind late ones, but perhaps not for all of its time again.
func (h *heldInput) timeLost(request *exchange.Exchange) float64 {
	if h.since == 0 {
		return 0
	}
	return max(0, min(request.ArrivedAt-h.since, request.Deadline-request.ArrivedAt-minHeldTime))
}
