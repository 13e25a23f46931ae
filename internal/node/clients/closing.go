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

// expiredDeadline is a deadline in the past: a blocked read or accept returns at once, and so does the next one.
var expiredDeadline = time.Unix(1, 0) //nolint:forbidigo // a constant, no reading of the wall clock

const (
	// lingerChunk is the number of bytes that linger drops between two pauses of lingerPause. A client that sends without end then does not
	// take the processor from others.
	lingerChunk = 4 * exchange.MaxBufferedValue
	lingerPause = time.Millisecond
)

// close closes the connection and reports its requests without a response to the Handler. It returns false if the connection was closed
// already.
func (c *conn) close() bool { return c.closeIf(func(*sharedState) bool { return true }) }

// closeIfBetweenRequests closes the connection if it is between requests, and reports whether it did.
func (c *conn) closeIfBetweenRequests() bool { return c.closeIf((*sharedState).betweenRequests) }

func (c *conn) closeIf(condition func(*sharedState) bool) bool {
	c.mu.Lock()
	if c.state.phase == phaseClosed || !condition(&c.state) {
		c.mu.Unlock()
		return false
	}
	c.addBuffered(-c.state.prepaid, true)
	c.addBuffered(-c.state.buffered, false)
	unused := c.state.reservedReply
	c.state.reservedReply = 0
	if c.state.usage >= usageRequested {
		c.server.connsWithRequest.Add(-1)
	}
	unwritten, stream := c.state.close()
	c.cond.Broadcast()
	c.mu.Unlock()
	c.closeNet()
	c.server.ReplyMemory.leave(c)
	c.server.ReplyMemory.release(unused)
	if stream != nil {
		stream.Close() // unblocks the writer, which may wait for a silent server
	}
	for _, r := range unwritten {
		c.discardReply(r)
	}
	return true
}

// closeNet closes the network connection and removes it from the server.
func (c *conn) closeNet() {
	_ = c.net.Close() // an error has no consequence: the client is not expected to read more
	c.server.remove(c)
}

// discardReply releases the memory, the body and the stream of a reply that will not be written. If its request has no response yet, the
// Handler is told that the client has gone.
func (c *conn) discardReply(r pendingReply) {
	if r.reserved > 0 {
		c.server.Memory.Release(r.reserved)
	}
	c.server.ReplyMemory.release(r.memory)
	if r.request == nil {
		return
	}
	if r.request.Body != nil {
		r.request.Body.CloseReader(net.ErrClosed)
	}
	if response := r.request.Response(); response == nil {
		c.server.retainID(r.request)
		c.server.Handler.ClientGone(r.request)
	} else if response.Stream != nil {
		response.Stream.Close()
	}
}

// requestDrain interrupts a blocked read, so that the reader checks whether to close the connection or to hand it over (tryDrain).
func (c *conn) requestDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.phase == phaseOpen {
		c.state.drainRequested = true
		c.setReadDeadline(expiredDeadline)
	}
}

// consumeDrainRequest reports whether the reader has been asked to drain the connection, and clears the request.
func (c *conn) consumeDrainRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.consumeDrainRequest()
}

// inputPause is how long nothing may arrive on a connection on which requests are rejected until its client counts as having paused. What
// the client had written before it saw the first rejections has arrived by then.
const inputPause = 20 * time.Millisecond

// How long a connection on which requests are rejected is read on once its requests have their responses and its client does not pause. What
// has arrived behind a request that took long is rejected in this time.
const (
	maxRejectInput = time.Second
	maxEndInput    = 100 * time.Millisecond // with lifecycle.EndInput
)

// tryDrain closes the connection or hands it over if the lifecycle asks for that and nothing is in flight, and reports whether it did.
// The reader calls it when no part of a command has been read. Bytes that have arrived but are not read yet are served first. Closing
// takes two steps: the writer shuts down the sending side after the last reply, and the reader drops the bytes that the client sends
// until the client notices that shutdown (linger).
//
// Requests that arrive behind those in flight are rejected near the end of a stop, and the connection is not closed before the client has
// paused: dropping them would leave them without a reply, and leaving them unread would hide a disconnect of the client.
func (c *conn) tryDrain() bool {
	mode := c.closeMode()
	c.mu.Lock()
	betweenRequests, open := c.state.betweenRequests(), c.state.phase == phaseOpen
	c.mu.Unlock()
	c.updateRejecting(!betweenRequests)
	if !open || !betweenRequests || mode == lifecycle.KeepOpen {
		return false
	}
	if c.handOver() {
		return true
	}
	if unread, _ := sockstate.Peek(c.net); unread {
		c.lastInputAt = time.Now()
		return false
	}
	if c.rejecting && time.Since(c.lastInputAt) < inputPause {
		return false
	}
	c.reply("", true)
	c.linger()
	return true
}

// updateRejecting begins to reject requests if the lifecycle asks for that and there are requests behind others, and ends it if the
// lifecycle asks for it no more.
func (c *conn) updateRejecting(requestsBehind bool) {
	c.rejecting = c.inputMode() >= lifecycle.RejectInput && (c.rejecting || requestsBehind)
}

// pauseEnds returns the time at which the client will have paused if nothing arrives until then, and false if that does not matter now.
func (c *conn) pauseEnds() (time.Time, bool) {
	if !c.rejecting {
		return time.Time{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastInputAt.Add(inputPause), c.state.betweenRequests()
}

// handOver passes the connection to another process. It reports false if there is no other process or something is in flight.
func (c *conn) handOver() bool {
	passConn := c.server.handoverFunc()
	c.mu.Lock()
	if passConn == nil || !c.state.betweenRequests() {
		c.mu.Unlock()
		return false
	}
	requested := c.state.usage >= usageRequested
	if requested {
		c.server.connsWithRequest.Add(-1)
	}
	c.state.close()
	c.cond.Broadcast()
	c.mu.Unlock()
	passConn(c.net, requested) // on failure the connection is closed between requests, as it is without another process
	c.closeNet()
	return true
}

// linger reads and drops bytes until the last reply is written, and then until the client closes the connection or the linger time is
// over. Then linger closes the connection. Closing over unread bytes would reset the connection, and the client would lose replies that it
// has not read yet. How much a client sends meanwhile does not matter, but it is read with pauses.
func (c *conn) linger() {
	timeout := clock.Duration(c.server.Config().LingerTimeout)
	var deadline time.Time // zero until the last reply is written
	for {
		finished, now := c.writerFinished(), time.Now()
		if finished && deadline.IsZero() {
			deadline = now.Add(timeout)
		}
		if finished && !now.Before(deadline) {
			break
		}
		c.setReadDeadline(earlier(now.Add(timeout), deadline))
		_, err := io.CopyN(io.Discard, c.net, lingerChunk)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if err == nil {
			time.Sleep(lingerPause)
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

// setReadDeadline sets the read deadline; the zero time removes it.
func (c *conn) setReadDeadline(deadline time.Time) {
	_ = c.net.SetReadDeadline(deadline) // fails only on a closed connection, and then reading fails too
}
