// Package clients serves the clients: it reads their commands in RESP2, hands requests to the node, and writes the replies in the order
// of the commands.
package clients

import (
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/memlimit"
	"mintspring/internal/node/sockstate"
)

// Handler handles the requests of clients. Its methods are called from any goroutine and must not block.
type Handler interface {
	// HandleRequest takes ownership of a request, and calls its Respond once it has the response.
	HandleRequest(request *exchange.Exchange)
	// ClientGone reports that the client of a request without a response has disconnected.
	ClientGone(request *exchange.Exchange)
	// BodyReceived reports that the body of a request has arrived completely, or may have, and since when the client's time runs. It is
	// called only for requests whose body was still arriving when HandleRequest was called.
	BodyReceived(request *exchange.Exchange, at float64)
}

// HandoverFunc passes a connection to another process and reports whether that process took it. The argument requested says whether the
// client has sent a request. The caller closes its copy of the connection in either case.
type HandoverFunc = func(netConn net.Conn, requested bool) bool

// Server accepts clients on one address. Its exported fields are set before Serve.
type Server struct {
	Handler   Handler
	Lifecycle *lifecycle.State // what PING replies, and when connections are closed
	Clock     *clock.Clock
	Sockets   *fdlimit.Budget
	// Memory is the budget for large values that clients write. A value that does not fit is forwarded as it arrives. Nil: large values
	// are rejected.
	Memory   *memlimit.Budget
	OnPanic  func(any) // called after a panic in a connection's goroutine, which closes only that connection
	LogError func(message string, err error)
	Random   func() float64 // from [0,1), spreads the closing times of connections; nil: always 0

	CommandTimeout float64          // ms within which the first command, or the rest of one that has begun, must arrive
	MaxBuffered    int64            // bytes of commands and replies buffered for all clients; 0: no limit
	InputMemory    *memlimit.Budget // for commands of more than some KiB that have not arrived completely; nil: no limit
	ReplyMemory    *ReplyMemory     // for the replies to requests that are sent at once; nil: no limit

	// UnattendedListener is set if connections may have waited on the listener for any time before Serve, because no process accepted them.
	UnattendedListener bool

	config           atomic.Pointer[Config]
	buffered         atomic.Int64
	connsWithRequest atomic.Int64 // open connections on which a request has arrived
	counters         counters
	pacer            inputPacer

	mu               sync.Mutex // guards the fields below
	conns            map[*conn]struct{}
	canAccept        sync.Cond                     // signals that accepting has resumed, or the server is closed
	handover         HandoverFunc                  // nil: no process takes connections over
	closed           bool                          // Close was called: only the backlog is still accepted
	backlogAbandoned bool                          // the backlog is not accepted any more either
	inFlight         map[string]*exchange.Exchange // requests by the client's id
	departed         departedIDs
	listener         net.Listener
	reuse            reuseStats

	serveEnded <-chan struct{} // closed when Serve has returned; nil before it is called
}

type counters struct {
	rejected, malformed, timedOut, truncated atomic.Int64
	evicted                                  [Active]atomic.Int64
}

// Counts holds the numbers of events since the previous TakeCounts.
type Counts struct {
	Rejected  int64         // connections rejected for lack of a descriptor
	Malformed int64         // commands that could not be accepted
	TimedOut  int64         // connections closed because a command did not arrive in time
	Truncated int64         // large values that were not written to their end
	Evicted   [Active]int64 // connections closed to free a descriptor, by their ConnState
}

// TakeCounts returns the counts since the previous call.
func (s *Server) TakeCounts() Counts {
	c := &s.counters
	counts := Counts{
		Rejected: c.rejected.Swap(0), Malformed: c.malformed.Swap(0),
		TimedOut: c.timedOut.Swap(0), Truncated: c.truncated.Swap(0),
	}
	for state := range counts.Evicted {
		counts.Evicted[state] = c.evicted[state].Swap(0)
	}
	return counts
}

// SetConfig sets the configuration for requests that arrive from now on. It must have been called before Serve. Connections with unprocessed
// input go by the replaced configuration too, until that input is processed.
func (s *Server) SetConfig(config *Config) {
	replaced := s.config.Swap(config)
	if replaced == nil {
		return
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.retainConfig(replaced, now)
	}
}

// Config returns the current configuration.
func (s *Server) Config() *Config { return s.config.Load() }

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

const (
	// backlogIdleTimeout is the time without a new connection after which Close takes the backlog for empty.
	backlogIdleTimeout = 20 * time.Millisecond
	// maxListenerClose is how long Close waits for the listener to close.
	maxListenerClose = 100 * time.Millisecond
)

// Serve accepts connections until the server or its listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	ended := make(chan struct{})
	defer close(ended)
	s.mu.Lock()
	s.listener, s.serveEnded = listener, ended
	s.mu.Unlock()
	var outage acceptOutage
	if s.UnattendedListener {
		outage = acceptOutage{since: s.Clock.Now(), earliest: math.Inf(-1)}
	}
	for {
		accepting, waitedSince := s.waitUntilAccepting()
		if !accepting {
			return nil
		}
		if waitedSince > 0 && outage.since == 0 {
			outage = acceptOutage{since: s.Clock.Now(), earliest: waitedSince}
		}
		outage.endIfDrained(listener)
		netConn, err := listener.Accept()
		now := s.Clock.Now()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			// SetHandover or Close set the deadline: another process accepts from now on, or the backlog is empty.
			if s.isClosed() {
				return nil
			}
		case err != nil:
			if outage.begin(now) {
				s.LogError("cannot accept a client; retrying", err)
			}
			time.Sleep(acceptRetryDelay)
		case s.handOverAccepted(netConn):
		case !s.acquireDescriptor():
			s.counters.rejected.Add(1)
			_ = netConn.Close() // nothing was written
		default:
			s.serveConn(netConn, false, outage.of(netConn))
		}
	}
}

// acceptOutage records since when no connections were accepted, so that they may have waited in the backlog. The zero value means that there
// is no outage.
//
// While another process accepts, or none does, the beginning is not known: nothing may have been accepted at some time since earliest.
type acceptOutage struct {
	since    float64 // when accepts had failed at the latest, in ms of the server's clock; 0: no outage
	earliest float64 // earliest time at which bytes may have arrived during the outage; -Inf: unknown
}

// begin records that an accept failed. It reports whether this is the first failure of the outage.
func (o *acceptOutage) begin(now float64) (first bool) {
	if o.since > 0 {
		return false
	}
	o.since, o.earliest = now, now
	return true
}

// arrivalTime returns when bytes count as arrived that waited on a connection during the outage and were read at readAt: at its beginning or, if
// that is not known, when the last of them arrived. If the system does not tell, they count as arrived when accepts resumed.
func (o *acceptOutage) arrivalTime(netConn net.Conn, readAt float64) float64 {
	if o.earliest == o.since {
		return o.since
	}
	age, known := sockstate.SinceLastArrival(netConn)
	if !known {
		return o.since
	}
	return max(o.earliest, min(o.since, readAt-float64(age)/float64(time.Millisecond)))
}

// of returns the outage for a connection that was accepted during it, which is none if no bytes wait on the connection.
func (o *acceptOutage) of(netConn net.Conn) acceptOutage {
	if o.since == 0 {
		return acceptOutage{}
	}
	if unread, _ := sockstate.Peek(netConn); !unread {
		return acceptOutage{}
	}
	return *o
}

// endIfDrained ends the outage once the backlog is empty: connections that are accepted later have arrived after the outage.
func (o *acceptOutage) endIfDrained(listener net.Listener) {
	if o.since > 0 && !sockstate.HasPending(listener) {
		*o = acceptOutage{}
	}
}

// handOverAccepted hands over a connection that was accepted although another process accepts now: an Accept call that is under way when
// accepting stops may still return a connection.
func (s *Server) handOverAccepted(netConn net.Conn) bool {
	passConn := s.handoverFunc()
	if passConn == nil || s.Lifecycle.AcceptsConnections() || !passConn(netConn, false) {
		return false
	}
	_ = netConn.Close() // the other process has its own descriptor
	return true
}

// waitUntilAccepting waits while another process accepts, which may have ended some time before this one learns of it. It reports false once
// this process accepts nothing more. waitedSince is when a wait began; 0: there was none.
func (s *Server) waitUntilAccepting() (accepting bool, waitedSince float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canAccept.L = &s.mu // an earlier broadcast has no waiter to wake
	if !s.closed && !s.Lifecycle.AcceptsConnections() {
		waitedSince = s.Clock.Now()
	}
	for !s.closed && !s.Lifecycle.AcceptsConnections() {
		s.canAccept.Wait()
	}
	if s.closed {
		s.setAcceptDeadline(time.Now().Add(backlogIdleTimeout))
	}
	return s.Lifecycle.AcceptsConnections() && !s.backlogAbandoned, waitedSince
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// serveConn serves a connection whose descriptor is counted. The connection may have waited in the accept backlog during an outage.
func (s *Server) serveConn(netConn net.Conn, requested bool, outage acceptOutage) {
	c := s.newConn(netConn, requested)
	c.backlogged = outage
	if requested {
		s.connsWithRequest.Add(1)
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.writeLoop()
	go c.readLoop()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.Sockets.Release(fdlimit.Client)
}

// OpenConns returns how many clients are connected.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// PendingCommands returns how many commands of all clients wait for their replies.
func (s *Server) PendingCommands() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		count += c.pendingCommands()
	}
	return count
}

// Adopt serves a connection that another process of the node has handed over. If the client has sent a request to that process, this
// process does not limit how long the client may be silent.
func (s *Server) Adopt(netConn net.Conn, requested bool) {
	s.Sockets.AcquireLent()
	s.serveConn(netConn, requested, acceptOutage{})
}

// SetHandover makes the server hand connections over between requests instead of closing them, and stop accepting in favor of another
// process. With nil, connections are closed again; ResumeAccept resumes accepting.
func (s *Server) SetHandover(passConn HandoverFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handover = passConn
	if passConn != nil {
		s.setAcceptDeadline(expiredDeadline) // interrupts Accept without closing the socket, on which the other process listens too
	}
}

func (s *Server) handoverFunc() HandoverFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover
}

// ResumeAccept resumes accepting, if the lifecycle allows it.
func (s *Server) ResumeAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setAcceptDeadline(time.Time{})
	s.canAccept.Broadcast()
}

// deadlineListener is a listener whose Accept can be interrupted without closing it.
type deadlineListener interface {
	SetDeadline(deadline time.Time) error
}

// setAcceptDeadline sets the deadline of Accept, if the listener has one. Called with the mutex held.
func (s *Server) setAcceptDeadline(deadline time.Time) {
	if l, ok := s.listener.(deadlineListener); ok {
		_ = l.SetDeadline(deadline) // fails only on a closed listener, and then accepting ends anyway
	}
}

// newConnGrace is how long DrainConns spares a connection on which nothing has arrived, in ms: its first command may be on its way.
const newConnGrace = 250

// DrainConns drains the connections that the lifecycle wants closed now: their readers close them or hand them over. New connections are
// accepted and served until Close.
func (s *Server) DrainConns() {
	for _, c := range s.connsToDrain() {
		c.requestDrain()
	}
}

func (s *Server) connsToDrain() (conns []*conn) {
	now := s.Clock.Now()
	drainAll := s.Lifecycle.InputMode(now) == lifecycle.EndInput
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		mode := s.Lifecycle.CloseMode(now, c.jitter)
		drainable, since := c.drainableSince()
		if drainAll || mode == lifecycle.StopReading || mode == lifecycle.CloseWhenIdle && drainable && since <= now {
			conns = append(conns, c)
		}
	}
	return conns
}

// Close accepts the connections in the backlog, for at most timeout, and then stops accepting: requests on these connections count as
// received, and closing the listener resets connections that are still in the backlog. Accepted connections stay open.
func (s *Server) Close(timeout time.Duration) {
	s.mu.Lock()
	ended := s.serveEnded
	_, canDrainBacklog := s.listener.(deadlineListener)
	canDrainBacklog = canDrainBacklog && !s.closed
	s.closed = true
	s.setAcceptDeadline(time.Now().Add(backlogIdleTimeout))
	s.canAccept.Broadcast()
	s.mu.Unlock()
	if canDrainBacklog {
		select {
		case <-ended:
		case <-time.After(timeout):
		}
	}
	s.mu.Lock()
	s.backlogAbandoned = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		closeWithin(listener, maxListenerClose)
	}
}

// closeWithin closes a listener, and waits at most timeout for that: a blocked Accept delays the close if another process that shares the
// socket has set it to blocking mode. The end of the process closes it in any case.
func closeWithin(listener net.Listener, timeout time.Duration) {
	closed := make(chan struct{})
	go func() { // ends when the blocked Accept returns
		defer close(closed)
		_ = listener.Close() // it is not used any more
	}()
	select {
	case <-closed:
	case <-time.After(timeout):
	}
}
