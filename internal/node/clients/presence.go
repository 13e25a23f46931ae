package clients

import "mintspring/internal/node/sockstate"

// maxUnconfirmed is how long after the client was last known to be connected its requests are handed on while bytes of it are unread, in ms. The
// close of a client waits behind these bytes, and nothing may be sent for it more than 100 ms after the close.
const maxUnconfirmed = 50

// clientMayHaveLeft reports whether the client may have closed the connection some time ago, unseen because more of its bytes have arrived than were
// read. The next commands then wait until one of its replies is written, to which the machine of a client that has left answers with a
// reset. Bytes of the command that is processed next, of which rest are still to be read, do not count: a client that sends them is there, and if
// it leaves then, that shows once they are read.
func (r *commandReader) clientMayHaveLeft(rest int) bool {
	c := r.conn
	now := c.server.Clock.Now()
	if c.rejecting || !c.isUnconfirmed(now) {
		return false
	}
	unread, closed := sockstate.Peek(c.net)
	if count, ok := sockstate.Unread(c.net); unread && ok && count <= rest {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !unread && !closed {
		c.state.confirmedAt = now
		return false
	}
	c.state.mayHaveLeft = c.state.hasPending()
	return c.state.mayHaveLeft
}

// isUnconfirmed reports whether the client was last known to be connected too long ago, while a reply to it is still to be written.
func (c *conn) isUnconfirmed(now float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.hasPending() && now-c.state.confirmedAt > maxUnconfirmed
}
