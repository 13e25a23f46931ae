package clients

import (
	"net"
	"sync"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/sockstate"
)

// Limits for one connection.
const (
	maxPipelined    = 64                             // commands that wait for their replies
	maxReadAhead    = 32 << 10                       // bytes read beyond maxPipelined commands to notice a disconnect
	maxConnBuffered = 4 * exchange.MaxBufferedValue  // bytes of the commands that wait for their replies, and of the replies
	maxDiscard      = 16 * exchange.MaxBufferedValue // bytes of an oversized value that are read and dropped
	overloadFactor  = 1.5                            // multiple of Server.MaxBuffered beyond which values that have to wait are dropped
)

// requestOverhead is the number of bytes that a request takes in addition to its arguments.
const requestOverhead = 512

// conn is one client's connection. The reader goroutine also reads while requests are in flight, so that it notices a disconnect; the
// writer goroutine writes the replies in the order of the commands. Only the reader drains a connection, since it alone knows that no
// part of a command has been read.
type conn struct {
	server     *Server
	net        net.Conn
	jitter     float64 // from [0,1), spreads the closing times of connections that are drained together
	acceptedAt float64
	// backlogged is the outage during which bytes may have arrived on a connection in the accept backlog. It is zero if the connection did not
	// wait, and once all bytes that arrived during the wait have been read. Owned by the reader.
	backlogged  acceptOutage
	held        heldInput // owned by the reader
	rejecting   bool      // requests are rejected without being forwarded (lifecycle.RejectInput); owned by the reader
	lastInputAt time.Time // when bytes were last read; owned by the reader

	mu       sync.Mutex // guards state and retained
	retained []retainedConfig
	cond     sync.Cond // signals that state has changed
	state    sharedState
}

func (s *Server) newConn(netConn net.Conn, requested bool) *conn {
	now := s.Clock.Now()
	c := &conn{server: s, net: netConn, acceptedAt: now}
	c.state.lastActive, c.state.confirmedAt = now, now
	if requested {
		c.state.usage = usageRequested
	}
	if s.Random != nil {
		c.jitter = s.Random()
	}
	c.cond.L = &c.mu
	return c
}

// submit queues the reply of a request and hands the request to the Handler. It reports false if the request was rejected or the
// connection takes no more replies. The queued reply takes over the memory reserved for the value; if reserved is nil, the value
// counts as buffered.
func (c *conn) submit(request *exchange.Exchange, reserved *reservation) bool {
	size := int64(requestOverhead)
	if reserved == nil {
		size += int64(len(request.Key) + len(request.ID) + len(request.Extra) + len(request.Value))
	}
	if c.rejecting || c.server.exceedsMaxBuffered(size, 1) {
		// Nothing has been sent for the request: the connection is about to end, or other requests hold all the memory.
		c.reply(c.server.rejectedReply(), false)
		return false
	}
	if !c.server.claimID(request) {
		c.replyError("another query in hand has this id", false)
		return false
	}
	request.Client = c
	ordinal := c.recordRequest()
	if !c.enqueue(pendingReply{request: request, size: size, reserved: reserved.bytes()}) {
		c.server.releaseID(request)
		return false
	}
	reserved.transfer() // before the call of the Handler, which may panic
	c.server.Handler.HandleRequest(request)
	switch ordinal {
	case firstRequest:
		c.server.onFirstRequest()
	case secondRequest:
		c.server.countRequest(secondRequest)
	case laterRequest:
	}
	return true
}

func (c *conn) recordRequest() requestOrdinal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.recordRequest()
}

// reply queues a reply that does not come from a server. If last is set, the connection is closed after it.
func (c *conn) reply(text string, last bool) { c.enqueue(pendingReply{text: text, last: last}) }

// replyError queues an error reply to a command that cannot be accepted. The message may contain client input.
func (c *conn) replyError(message string, last bool) {
	c.server.counters.malformed.Add(1)
	c.reply(errorReply(message), last)
}

// enqueue appends a reply to the queue, which is in the order of the commands. It reports false if the connection takes no more replies.
func (c *conn) enqueue(r pendingReply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.enqueue(r) {
		return false
	}
	c.addBuffered(r.size, false)
	c.cond.Broadcast()
	return true
}

// addBuffered adds to the bytes buffered for the connection and, unless memory is reserved for them, for the server. Called with the mutex
// held.
func (c *conn) addBuffered(n int64, prepaid bool) {
	if c.state.phase == phaseClosed {
		return
	}
	c.state.buffered += n
	if prepaid {
		c.state.prepaid += n
		return
	}
	c.server.buffered.Add(n)
}

// noMemoryMessage is the error reply that replaces a value if there is no memory to hold it until it can be written.
const noMemoryMessage = "no memory for the value until it can be sent"

// ResponseReady implements exchange.Client: it wakes the writer. If memory runs out while other large replies wait on the connection, an
// error replaces the value: closing the connection instead would lose its requests.
func (c *conn) ResponseReady(request *exchange.Exchange) {
	c.server.releaseID(request)
	response := request.Response()
	c.mu.Lock() // without the lock the writer could miss the response and begin to wait after the broadcast
	if request.Body != nil {
		request.Body.CloseReader(net.ErrClosed) // the rest of the body is not needed
	}
	if response.Kind == exchange.Rejected {
		c.state.rejections++
	}
	dropped := c.state.phase == phaseClosed // the client has disconnected
	size, prepaid, released := bufferedSize(response), isPrepaid(request, response), int64(0)
	if !prepaid {
		released = c.state.takeMemory(request)
	}
	if !prepaid && c.state.buffered+size > exchange.MaxBufferedValue && c.server.exceedsMaxBuffered(size, overloadFactor) {
		dropped = dropped || c.state.replaceReply(request, errorReply(noMemoryMessage))
	}
	if !dropped {
		c.addBuffered(size, prepaid)
	}
	c.cond.Broadcast()
	c.mu.Unlock()
	c.server.ReplyMemory.release(released)
	if dropped && response.Stream != nil {
		response.Stream.Close()
	}
}

// bufferedSize returns how many bytes a response takes in memory until it is written.
func bufferedSize(response *exchange.Response) int64 {
	if response.Stream != nil {
		return exchange.StreamBufferSize
	}
	return int64(len(response.Value))
}

// classify returns the state of the connection, and since when it has been in that state (0 for Active).
func (c *conn) classify() (ConnState, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state.usage >= usageRequested && c.state.betweenRequests():
		return Idle, c.state.lastActive
	case c.state.betweenRequests():
		return Silent, c.state.lastActive
	case c.state.usage < usageRequested && c.state.incomplete():
		return Incomplete, c.acceptedAt
	}
	return Active, 0
}

// evict closes the connection if it is still in the given state, and reports whether it did. A connection with unread bytes counts as in
// use unless it is Incomplete.
func (c *conn) evict(state ConnState) bool {
	if current, _ := c.classify(); current != state {
		return false
	}
	if unread, _ := sockstate.Peek(c.net); unread && state != Incomplete {
		return false
	}
	if state == Incomplete {
		return c.close()
	}
	return c.closeIfBetweenRequests()
}

// drainableSince reports whether the connection is between requests, and the time from which it may be drained. A connection on which nothing
// has arrived may be drained only after a further newConnGrace.
func (c *conn) drainableSince() (drainable bool, since float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.state.lastActive
	if c.state.usage == usageUnused {
		since += newConnGrace
	}
	return c.state.betweenRequests(), since
}

// closingSoon reports whether the connection is about to free its descriptor: it is closed, or only a reply that is being written is in
// flight.
func (c *conn) closingSoon(now float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.phase == phaseClosed || c.state.finishingReply(now, maxCloseWaits*float64(closeWait/time.Millisecond))
}

// hasPending reports whether the reply to any command is still queued or being written.
func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.hasPending()
}

// pendingCommands returns how many commands wait for their replies.
func (c *conn) pendingCommands() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.state.replies)
}

// hasUnanswered reports whether a request that was read has no response yet.
func (c *conn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.hasUnanswered()
}

// atLimit reports whether the connection must reply to an earlier command before further commands are processed.
func (c *conn) atLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.atLimit()
}

// closeMode returns when the lifecycle wants the connection closed.
func (c *conn) closeMode() lifecycle.CloseMode {
	return c.server.Lifecycle.CloseMode(c.server.Clock.Now(), c.jitter)
}

// inputMode returns what the lifecycle wants to happen to requests that arrive behind others.
func (c *conn) inputMode() lifecycle.InputMode {
	return c.server.Lifecycle.InputMode(c.server.Clock.Now())
}

// recoverPanic closes the connection after a panic in one of its goroutines.
func (c *conn) recoverPanic() {
	if p := recover(); p != nil {
		c.close()
		c.server.OnPanic(p)
	}
}
