package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/sockstate"
)

// longAgo is a deadline that has passed: a read in progress returns, and so does the next one, without having read.
var longAgo = time.Unix(1, 0) //nolint:forbidigo // before any time of the wall clock

// lingerDivisor divides the write timeout into the time for which the reader lingers.
const lingerDivisor = 4

// close closes the connection and reports its requests without a response as abandoned. It reports false if the connection
// was closed already.
func (c *conn) close() bool { return c.closeIf(func(*sharedState) bool { return true }) }

// closeIfQuiet closes the connection if it is between requests, and reports whether it did.
func (c *conn) closeIfQuiet() bool { return c.closeIf((*sharedState).betweenRequests) }

func (c *conn) closeIf(condition func(*sharedState) bool) bool {
	c.mu.Lock()
	if c.state.phase == phaseClosed || !condition(&c.state) {
		c.mu.Unlock()
		return false
	}
	c.addBuffered(-c.state.buffered)
	if c.state.usage >= usageRequested {
		c.server.requesters.Add(-1)
	}
	unwritten, stream := c.state.close()
	c.cond.Broadcast()
	c.mu.Unlock()
	c.closeNet()
	if stream != nil {
		stream.Close() // its server may be silent for long, and the writer blocked by that
	}
	for _, r := range unwritten {
		c.drop(r)
	}
	return true
}

// closeNet closes the network connection and removes it from the server.
func (c *conn) closeNet() {
	_ = c.net.Close() // the client is not expected to read more
	c.server.remove(c)
}

// drop releases what a reply holds that will not be written.
func (c *conn) drop(r pendingReply) {
	if r.reserved > 0 {
		c.server.Memory.Release(r.reserved)
	}
	if r.request == nil {
		return
	}
	if r.request.Body != nil {
		r.request.Body.CloseReader(net.ErrClosed)
	}
	if response := r.request.Response(); response == nil {
		c.server.releaseID(r.request)
		c.server.Handler.ClientGone(r.request)
	} else if response.Stream != nil {
		response.Stream.Close()
	}
}

// requestDeparture has the reader end the connection as the lifecycle says, or hand it over to another process.
func (c *conn) requestDeparture() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.phase == phaseOpen {
		c.state.departing = true
		c.setReadDeadline(longAgo)
	}
}

func (c *conn) takeDeparture() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.takeDeparture()
}

// tryDepart ends the connection or hands it over if that may be, and reports whether it did. The reader calls it with no part of
// a command read. Bytes that have arrived but are not read yet are served before. Closing takes two steps: the writer ends
// sending after the last reply, and bytes that the client sends until it sees that end are read and dropped (linger).
//
// Near the end of a stop, requests that arrive behind those in flight are rejected: to drop them would lose them, and to leave
// them unread would hide a disconnect.
func (c *conn) tryDepart() bool {
	closing := c.closingStage()
	c.mu.Lock()
	between, open := c.state.betweenRequests(), c.state.phase == phaseOpen
	c.mu.Unlock()
	c.rejecting = c.rejecting || closing == lifecycle.StopReading && !between
	if !open || !between || closing == lifecycle.KeepOpen {
		return false
	}
	if c.handOver() {
		return true
	}
	if unread, _ := sockstate.Peek(c.net); unread {
		return false
	}
	c.reply("", true)
	c.linger()
	return true
}

// handOver passes the connection to another process, and reports false if there is none or something is in flight.
func (c *conn) handOver() bool {
	pass := c.server.handoverFunc()
	c.mu.Lock()
	if pass == nil || !c.state.betweenRequests() {
		c.mu.Unlock()
		return false
	}
	requested := c.state.usage >= usageRequested
	if requested {
		c.server.requesters.Add(-1)
	}
	c.state.close()
	c.cond.Broadcast()
	c.mu.Unlock()
	pass(c.net, requested) // if it fails, the connection is closed between requests, as without another process
	c.closeNet()
	return true
}

// linger reads and drops bytes until the last reply is written, and after it for a while and for so many bytes that a client
// cannot have sent before it saw the end: closing over unread bytes would reset the connection, and the client would lose what
// it has not read yet. Then it closes the connection.
func (c *conn) linger() {
	timeout := clock.Duration(c.server.Config().WriteTimeout / lingerDivisor)
	var deadline time.Time // once the last reply is written
	for dropped := int64(0); dropped < maxConnBuffered; {
		finished, now := c.writerFinished(), time.Now()
		if finished && deadline.IsZero() {
			deadline = now.Add(timeout)
		}
		if finished && !now.Before(deadline) {
			break
		}
		c.setReadDeadline(now.Add(timeout))
		n, err := io.CopyN(io.Discard, c.net, exchange.MaxBufferedValue)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if finished {
			dropped += n
		}
	}
	c.close()
}

// writerFinished reports whether nothing more will be written.
func (c *conn) writerFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.writer == writerFinished || c.state.phase == phaseClosed
}

// setReadDeadline sets the read deadline; zero: none.
func (c *conn) setReadDeadline(deadline time.Time) {
	_ = c.net.SetReadDeadline(deadline) // fails only on a closed connection, and then reading fails too
}
