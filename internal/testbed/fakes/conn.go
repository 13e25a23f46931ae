package fakes

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/internal/testbed/servermodel"
)

// maxOutgoing is how many responses may wait for a node that does not read before its connection is reset.
const maxOutgoing = 256

// conn is one connection of a node to a server. A goroutine reads commands and another one writes responses; both end when the
// connection is closed.
type conn struct {
	listener  *listener
	netConn   *net.TCPConn
	outgoing  chan piece    // responses queued for writeLoop
	closed    chan struct{} // closed by close
	closeOnce sync.Once
	overLimit bool // opened beyond the server's connection limit: its commands are rejected

	duplicateSent atomic.Bool // a late duplicate was sent and no command was read since

	heldDuplicate []byte // a duplicate that is sent when the next command arrives; guarded by the fleet's mutex

	pausedExecution *servermodel.Execution // the last one whose response paused; guarded by the fleet's mutex

	pending []*pendingCommand // unanswered commands in the order of arrival; guarded by the fleet's mutex
}

// pendingCommand is a command without a response yet. Responses are sent in the order of the commands.
type pendingCommand struct {
	conn        *conn
	execution   *servermodel.Execution
	done        bool
	rawResponse []byte // a response that needs no execution
}

func newConn(l *listener, netConn *net.TCPConn, overLimit bool) *conn {
	return &conn{
		listener: l, netConn: netConn, overLimit: overLimit,
		outgoing: make(chan piece, maxOutgoing), closed: make(chan struct{}),
	}
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	_ = c.netConn.SetLinger(0) // fails only if it is closed already
	c.close()
}

// close closes the connection; the fleet's mutex must not be held.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.netConn.Close() // the peer sees the end even if this reports an error
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		if c.overLimit {
			return
		}
		s := c.listener.server
		s.fleet.mu.Lock()
		s.fleet.cluster.CloseConnection(s.model.ID)
		s.fleet.mu.Unlock()
	})
}

// readLoop reads commands until the connection ends.
func (c *conn) readLoop() {
	defer c.close()
	s := c.listener.server
	slow := &slowReader{reader: c.netConn, server: s, closed: c.closed}
	input := &timestampReader{reader: slow}
	read := newRESPReader(input)
	if s.Origin {
		read = newHTTPReader(input)
	}
	for {
		request, rawResponse, err := read()
		if c.listener.isBlackholed() {
			<-c.closed // the command is lost, and the connection stays open
			return
		}
		if err != nil {
			c.recordCutOff(err)
			if c.duplicateSent.Load() {
				s.fleet.recordDuplicateDetection(s, c.listener.node)
			}
			return
		}
		c.duplicateSent.Store(false)
		request.FirstByte, request.LastByte = input.takeTimestamps(NowMs())
		if paused := slow.takePaused(); request.Deadline > 0 {
			request.Deadline -= paused // it was told before the server paused
		}
		c.handle(request, rawResponse)
	}
}

// recordCutOff records that the node has closed the connection, if a response pauses on it. cause is the error of a read.
func (c *conn) recordCutOff(cause error) {
	f := c.listener.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := c.pausedExecution; e != nil && !errors.Is(cause, net.ErrClosed) && NowMs() < e.ContinuesAt {
		e.CutOffAt = NowMs()
	}
}

// handle begins the execution of a command, or responds at once to one that needs none.
func (c *conn) handle(request servermodel.Request, rawResponse []byte) {
	s := c.listener.server
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c.sendHeldDuplicate()
	p := &pendingCommand{conn: c, rawResponse: rawResponse}
	c.pending = append(c.pending, p)
	if rawResponse != nil {
		c.complete(p)
		return
	}
	now := NowMs()
	f.deliverCompleted(now) // completed executions make room in the queue first
	request.Node, request.NodeNotified = c.listener.node, s.notifiedOfStart(c.listener.node, now)
	if c.overLimit {
		p.execution = &servermodel.Execution{Request: request, Server: s.model.ID, Outcome: servermodel.Rejected, EndedAt: now}
		if f.cluster.RecordExecutions {
			f.cluster.Executions = append(f.cluster.Executions, p.execution)
		}
		c.complete(p)
		return
	}
	if s.faults.DrawReset(f.rng) {
		p.execution = f.cluster.Submit(now, s.model.ID, request, nil)
		go c.reset() // separate goroutine: reset takes the lock that is held here
		f.wakeUp()
		return
	}
	p.execution = f.cluster.Submit(now, s.model.ID, request, p)
	f.deliverCompleted(now)
	f.wakeUp()
}

// complete marks a command as done and sends all responses that no earlier command holds back. Called with the fleet's lock held.
func (c *conn) complete(p *pendingCommand) {
	p.done = true
	for len(c.pending) > 0 && c.pending[0].done {
		first := c.pending[0]
		c.pending = c.pending[1:]
		if first.rawResponse != nil {
			c.enqueue(first.rawResponse)
			continue
		}
		c.respond(first.execution)
	}
}

// respond sends the response to an execution, subject to the server's current faults. Called with the fleet's lock held.
func (c *conn) respond(e *servermodel.Execution) {
	s := c.listener.server
	encode := encodeRESP
	if s.Origin {
		encode = encodeHTTP
	}
	response := encode(e)
	if pause, written := s.faults.responsePause(e.RequestID, response, e.Value); pause > 0 {
		e.ContinuesAt = NowMs() + pause.Seconds()*1000
		c.pausedExecution = e
		c.enqueue(response[:written])
		c.enqueuePiece(piece{bytes: response[written:], pause: pause})
		return
	}
	switch s.faults.DrawResponseFault(s.fleet.rng) {
	case DroppedResponse:
	case TruncatedResponse:
		c.enqueue(response[:len(response)/2])
	case CorruptResponse:
		c.enqueue(append([]byte("?"), response[1:]...))
	case DuplicateResponse:
		c.enqueue(append(response[:len(response):len(response)], response...))
	case LateDuplicateResponse:
		c.enqueue(response)
		time.AfterFunc(s.faults.duplicateDelay(), func() {
			c.duplicateSent.Store(true)
			c.enqueue(response)
		})
	case CrossingDuplicateResponse:
		c.enqueue(response)
		c.heldDuplicate = response
		time.AfterFunc(s.faults.duplicateDelay(), func() {
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			if len(c.pending) == 0 {
				c.duplicateSent.Store(true)
			}
			c.sendHeldDuplicate()
		})
	case StalledResponse:
		c.enqueue(response[:drawStallPoint(s.fleet.rng, response, e.Value)])
	case SlowResponse:
		for _, p := range splitSlowly(response, msDuration(s.faults.PauseMs)) {
			c.enqueuePiece(p)
		}
	case NoFault:
		c.enqueue(response)
	}
}

// sendHeldDuplicate sends the duplicate that waits for the next command, if there is one. Called with the fleet's lock held.
func (c *conn) sendHeldDuplicate() {
	if c.heldDuplicate != nil {
		c.enqueue(c.heldDuplicate)
		c.heldDuplicate = nil
	}
}

// enqueue queues bytes for writeLoop without blocking. It resets the connection if the queue is full.
func (c *conn) enqueue(b []byte) { c.enqueuePiece(piece{bytes: b}) }

func (c *conn) enqueuePiece(p piece) {
	select {
	case c.outgoing <- p:
	case <-c.closed:
	default:
		go c.reset() // the node reads nothing
	}
}

// writeLoop writes responses until the connection ends.
func (c *conn) writeLoop() {
	for {
		select {
		case p := <-c.outgoing:
			if !c.writePiece(p) {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// writePiece writes a part of a response after its pause, and reports whether the connection is still open.
func (c *conn) writePiece(p piece) bool {
	if p.pause > 0 {
		select {
		case <-time.After(p.pause):
		case <-c.closed:
			return false
		}
	}
	if c.listener.isBlackholed() {
		return true
	}
	if _, err := c.netConn.Write(p.bytes); err != nil {
		c.close()
		return false
	}
	return true
}
