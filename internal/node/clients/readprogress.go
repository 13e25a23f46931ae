package clients

import (
	"time"

	"mintspring/internal/node/sockstate"
)

// readProgress is the state of a connection after a read.
type readProgress struct {
	ended, paused             bool
	midCommand, wasMidCommand bool
	requested                 bool
}

// recordRead records a read. While a client does not read its replies, or has many commands waiting, no more of its commands are
// processed. If requests of the client are in flight, the connection is still read, up to readAheadLimit: only a read shows a disconnect,
// and until then they are executed.
func (r *commandReader) recordRead(now float64, paused bool) readProgress {
	c, buffered := r.conn, r.in.Len()
	c.mu.Lock()
	defer c.mu.Unlock()
	wasMidCommand := c.state.recordRead(now, buffered > 0 || r.skip > 0, paused)
	for c.state.atLimit() && (!c.state.hasUnanswered() || buffered >= r.readAheadLimit()) {
		c.waitOrCloseDisconnected()
	}
	return readProgress{
		ended: c.state.phase != phaseOpen, paused: c.state.paused,
		midCommand: c.state.midCommand, wasMidCommand: wasMidCommand,
		requested: c.state.usage >= usageRequested,
	}
}

// disconnectCheckInterval is the interval between checks for a disconnect while a connection is not read. Nothing may be sent to servers
// for a client more than 100 ms after it has disconnected.
const disconnectCheckInterval = 25 * time.Millisecond

// waitOrCloseDisconnected waits for a change of the state, but at most disconnectCheckInterval. If this interval has passed and the client
// has disconnected, it closes the connection, although unread bytes precede the disconnect. Called with the mutex held.
func (c *conn) waitOrCloseDisconnected() {
	wakeTimer := time.AfterFunc(disconnectCheckInterval, c.cond.Broadcast)
	c.cond.Wait()
	if wakeTimer.Stop() || c.state.phase == phaseClosed || !sockstate.EndedByPeer(c.net) {
		return
	}
	c.mu.Unlock()
	c.close()
	c.mu.Lock()
}
