package clients

import (
	"net"
	"sync"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/sockstate"
)

// Bounds for one client.
const (
	maxPipelined    = 64                             // commands that may wait for their replies
	maxReadAhead    = 32 << 10                       // bytes read beyond these commands, so that a disconnect is noticed
	maxConnBuffered = 4 * exchange.MaxBufferedValue  // bytes of these commands and their replies
	maxDiscard      = 16 * exchange.MaxBufferedValue // bytes of an oversized value that are read and dropped
	overloadFactor  = 1.5                            // times Server.MaxBuffered: values of replies that have to wait are dropped
)

// requestOverhead is how many bytes a request takes besides its parts.
const requestOverhead = 512

// conn is one client's connection. One goroutine reads, also while requests are in flight, so that a disconnect is noticed;
// one writes the replies in the order of the commands. Only the reader ends a connection for being idle, since it alone knows
// that no part of a command has been read.
type conn struct {
	server     *Server
	net        net.Conn
	jitter     float64 // from [0,1), spreads the ends of connections that are closed together
	acceptedAt float64
	// waitingSince is when what is read may have come, where the connection waited to be accepted; 0: it did not, or all that came meanwhile has
	// been read. Owned by the reader.
	waitingSince float64
	rejecting    bool // the node is about to end, and requests are rejected unforwarded; owned by the reader

	mu    sync.Mutex // guards state
	cond  sync.Cond  // state has changed
	state sharedState
}

func (s *Server) newConn(netConn net.Conn, requested bool) *conn {
	now := s.Clock.Now()
	c := &conn{server: s, net: netConn, acceptedAt: now}
	c.state.lastActive = now
	if requested {
		c.state.usage = usageRequested
	}
	if s.Random != nil {
		c.jitter = s.Random()
	}
	c.cond.L = &c.mu
	return c
}

// submit queues the reply of a request and passes the request on, and reports whether it did. Memory that is reserved for the
// value belongs to the reply once that is queued; nil: the value counts as buffered.
func (c *conn) submit(request *exchange.Exchange, reserved *reservation) bool {
	size := int64(requestOverhead)
	if reserved == nil {
		size += int64(len(request.Key) + len(request.ID) + len(request.Extra) + len(request.Value))
	}
	if c.rejecting || c.server.overMemory(size, 1) {
		// Rejected before anything was sent: the node is about to end, or other requests hold all the memory that there is.
		c.reply(c.server.rejection(), false)
		return false
	}
	if !c.server.claimID(request) {
		c.replyError("another query in hand has this id", false)
		return false
	}
	request.Client = c
	use := c.recordRequest()
	if !c.enqueue(pendingReply{request: request, size: size, reserved: reserved.bytes()}) {
		c.server.releaseID(request)
		return false
	}
	reserved.transfer() // also if the handler panics
	c.server.Handler.HandleRequest(request)
	switch use {
	case firstRequest:
		c.server.onFirstRequest()
	case secondRequest:
		c.server.countRequest(secondRequest)
	case laterRequest:
	}
	return true
}

func (c *conn) recordRequest() requestUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.recordRequest()
}

// reply queues a reply of this node's own; with last the connection is closed after it.
func (c *conn) reply(text string, last bool) { c.enqueue(pendingReply{text: text, last: last}) }

// replyError queues an error reply to what cannot be accepted. The message may contain what the client sent.
func (c *conn) replyError(message string, last bool) {
	c.server.counters.malformed.Add(1)
	c.reply(errorReply(message), last)
}

// enqueue appends a reply in the order of the commands. It reports false if no more are taken.
func (c *conn) enqueue(r pendingReply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.enqueue(r) {
		return false
	}
	c.addBuffered(r.size)
	c.cond.Broadcast()
	return true
}

// addBuffered counts bytes buffered for the connection. Called with the mutex held.
func (c *conn) addBuffered(n int64) {
	if c.state.phase != phaseClosed {
		c.state.buffered += n
		c.server.buffered.Add(n)
	}
}

// noMemoryMessage is the error reply in place of a value for which there is no memory until it can be written.
const noMemoryMessage = "no memory for the value until it can be sent"

// ResponseReady implements exchange.Client: it wakes the writer, since a request has its response. Where memory runs out, and other
// large replies wait on the connection already, an error takes the place of the value: to close the connection would lose its requests.
func (c *conn) ResponseReady(request *exchange.Exchange) {
	c.server.releaseID(request)
	response := request.Response()
	c.mu.Lock() // without it the writer could miss the response and begin to wait after the broadcast
	if request.Body != nil {
		request.Body.CloseReader(net.ErrClosed) // nobody needs the rest of it
	}
	dropped := c.state.phase == phaseClosed // the client has gone before its response
	if size := bufferedSize(response); c.state.buffered+size > exchange.MaxBufferedValue && c.server.overMemory(size, overloadFactor) {
		dropped = dropped || c.state.replaceReply(request, errorReply(noMemoryMessage))
	}
	if !dropped {
		c.addBuffered(bufferedSize(response))
	}
	c.cond.Broadcast()
	c.mu.Unlock()
	if dropped && response.Stream != nil {
		response.Stream.Close()
	}
}

// bufferedSize returns how many bytes a response takes until it is written.
func bufferedSize(response *exchange.Response) int64 {
	if response.Stream != nil {
		return exchange.StreamBufferSize
	}
	return int64(len(response.Value))
}

// classify returns what the connection is used for, and since when.
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

// evict closes the connection if it still is in a state. One on which bytes have arrived that its reader has not seen yet
// is in use.
func (c *conn) evict(state ConnState) bool {
	if now, _ := c.classify(); now != state {
		return false
	}
	if unread, _ := sockstate.Peek(c.net); unread && state != Incomplete {
		return false
	}
	if state == Incomplete {
		return c.close()
	}
	return c.closeIfQuiet()
}

// quiet reports whether the connection is between requests, and since when it may be closed for that.
func (c *conn) quiet() (quiet bool, since float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.state.lastActive
	if c.state.usage == usageUnused {
		since += newConnGrace
	}
	return c.state.betweenRequests(), since
}

// closingSoon reports whether the connection is about to free its descriptor: it is being closed, or nothing is in flight on
// it but a reply that is being written.
func (c *conn) closingSoon(now float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.phase == phaseClosed || c.state.finishing(now, maxCloseWaits*float64(closeWait/time.Millisecond))
}

// hasPending reports whether a command that was read has not been replied to.
func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.hasPending()
}

// hasUnanswered reports whether a request that was read has no response yet.
func (c *conn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.hasUnanswered()
}

// atLimit reports whether no more commands are taken until one is replied to.
func (c *conn) atLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.atLimit()
}

// closingStage returns what the lifecycle says about the connection.
func (c *conn) closingStage() lifecycle.CloseMode {
	return c.server.Lifecycle.CloseMode(c.server.Clock.Now(), c.jitter)
}

// recoverPanic closes the connection after a panic in one of its goroutines.
func (c *conn) recoverPanic() {
	if p := recover(); p != nil {
		c.close()
		c.server.OnPanic(p)
	}
}
