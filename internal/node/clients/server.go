// Package clients serves the clients: it reads their commands in RESP2, hands requests on to the node, and writes the
// responses in the order of the commands.
package clients

import (
	"errors"
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
	// HandleRequest takes over a request. Its response comes by Exchange.Respond.
	HandleRequest(request *exchange.Exchange)
	// ClientGone reports that the client of a request without a response has disconnected.
	ClientGone(request *exchange.Exchange)
	// BodyReceived reports that the body of a request has arrived completely, which was handed over without it.
	BodyReceived(request *exchange.Exchange, at float64)
}

// HandoverFunc passes a connection to another process and reports whether that took it. Requested says that the client has
// sent a request. The caller closes the connection in either case.
type HandoverFunc = func(netConn net.Conn, requested bool) bool

// Server accepts clients on one address. Its exported fields are set before Serve.
type Server struct {
	Handler   Handler
	Lifecycle *lifecycle.State // what PING replies, and when connections are closed
	Clock     *clock.Clock
	Sockets   *fdlimit.Budget
	// Memory is for large values that clients write; one that finds none is passed on as it arrives. Nil: they are refused.
	Memory   *memlimit.Budget
	OnPanic  func(any) // a panic in a connection's goroutine, which closes that connection only
	LogError func(message string, err error)
	Random   func() float64 // from [0,1), spreads the ends of connections; nil: always 0

	CommandTimeout float64 // ms in which the first command, or one that has begun, must arrive
	MaxBuffered    int64   // bytes of commands and replies buffered for all clients; 0: no limit

	config     atomic.Pointer[Config]
	buffered   atomic.Int64
	requesters atomic.Int64 // connections on which a request has arrived
	counters   counters

	mu        sync.Mutex // guards the fields below
	conns     map[*conn]struct{}
	canAccept sync.Cond                     // accepting has resumed, or the server is closed
	handover  HandoverFunc                  // nil: there is no process to hand connections to
	closed    bool                          // nothing is accepted but the backlog
	abandoned bool                          // nor that
	inFlight  map[string]*exchange.Exchange // requests by the client's id
	listener  net.Listener
	reuse     reuseStats

	serveEnded <-chan struct{} // closed when Serve has returned; nil before it is called
}

type counters struct {
	rejected, malformed, timedOut, truncated atomic.Int64
	evicted                                  [Active]atomic.Int64
}

// Counts are events of a server.
type Counts struct {
	Rejected  int64         // clients rejected for want of a descriptor
	Malformed int64         // commands that could not be accepted
	TimedOut  int64         // connections closed because a command did not arrive in time
	Truncated int64         // large values that broke off
	Evicted   [Active]int64 // connections of each state closed to free a descriptor
}

// TakeCounts returns the counts since the last call.
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

// SetConfig sets the configuration for requests that arrive from now on. It is called before Serve.
func (s *Server) SetConfig(config *Config) { s.config.Store(config) }

// Config returns the present configuration.
func (s *Server) Config() *Config { return s.config.Load() }

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

const (
	// backlogQuiet is for how long no connection has to come until Close takes the backlog for empty.
	backlogQuiet = 20 * time.Millisecond
	// maxListenerClose is how long Close waits for the listener.
	maxListenerClose = 100 * time.Millisecond
)

// Serve accepts connections until the server or its listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	ended := make(chan struct{})
	defer close(ended)
	s.mu.Lock()
	s.listener, s.serveEnded = listener, ended
	s.mu.Unlock()
	var backlog backlog
	for s.waitAccept() {
		netConn, err := listener.Accept()
		now := s.Clock.Now()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Another process accepts from now on, or the server is closed and its backlog is empty.
			if s.isClosed() {
				return nil
			}
		case err != nil:
			if backlog.delayed(now) {
				s.LogError("cannot accept a client; retrying", err)
			}
			time.Sleep(acceptRetryDelay)
		case s.passAccepted(netConn):
		case !s.acquireDescriptor():
			s.counters.rejected.Add(1)
			_ = netConn.Close() // nothing was written
		default:
			s.serveConn(netConn, false, backlog.delayedSince)
			backlog.settle(listener)
		}
	}
	return nil
}

// backlog tells whether connections may have waited for their accept. The zero value is one in which none has.
type backlog struct {
	delayedSince float64 // when accepts began to fail, in ms of the server's clock; 0: nothing waits since then
}

// delayed records that an accept failed. It reports whether this is the first one since nothing waited.
func (b *backlog) delayed(now float64) (first bool) {
	if b.delayedSince > 0 {
		return false
	}
	b.delayedSince = now
	return true
}

// settle forgets the delay once no connection waits any more: those that are accepted next have come later.
func (b *backlog) settle(listener net.Listener) {
	if b.delayedSince > 0 && !sockstate.HasPending(listener) {
		b.delayedSince = 0
	}
}

// passAccepted hands over a connection that was accepted as another process had begun to accept in this one's place: an accept that had
// begun before that is not ended by it at once.
func (s *Server) passAccepted(netConn net.Conn) bool {
	pass := s.handoverFunc()
	if pass == nil || s.Lifecycle.AcceptsConnections() || !pass(netConn, false) {
		return false
	}
	_ = netConn.Close() // the other process has a descriptor of its own
	return true
}

// waitAccept waits while another process accepts, and reports false once nothing more is to be accepted here.
func (s *Server) waitAccept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canAccept.L = &s.mu // broadcasts before this find nobody waiting
	for !s.closed && !s.Lifecycle.AcceptsConnections() {
		s.canAccept.Wait()
	}
	if s.closed {
		s.setAcceptDeadline(time.Now().Add(backlogQuiet))
	}
	return s.Lifecycle.AcceptsConnections() && !s.abandoned
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// serveConn serves a connection whose descriptor is counted, and which may have waited for that since a time; 0: it has not.
func (s *Server) serveConn(netConn net.Conn, requested bool, waitingSince float64) {
	c := s.newConn(netConn, requested)
	c.waitingSince = waitingSince
	if requested {
		s.requesters.Add(1)
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

// Adopt serves a connection that another process of the node has handed over. A client that has sent a request there may be
// silent here for any time.
func (s *Server) Adopt(netConn net.Conn, requested bool) {
	s.Sockets.AcquireLent()
	s.serveConn(netConn, requested, 0)
}

// SetHandover has connections handed over from now on where they would be closed between requests, and stops accepting in
// favor of another process. With nil it only ends that.
func (s *Server) SetHandover(pass HandoverFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handover = pass
	if pass != nil {
		s.setAcceptDeadline(longAgo) // Accept returns, without closing what the other process listens on too
	}
}

func (s *Server) handoverFunc() HandoverFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover
}

// ResumeAccept has connections accepted again, if the lifecycle says so.
func (s *Server) ResumeAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setAcceptDeadline(time.Time{})
	s.canAccept.Broadcast()
}

// deadlineListener is a listener whose Accept can be ended without closing it.
type deadlineListener interface {
	SetDeadline(deadline time.Time) error
}

// setAcceptDeadline is called with the mutex held.
func (s *Server) setAcceptDeadline(deadline time.Time) {
	if l, ok := s.listener.(deadlineListener); ok {
		_ = l.SetDeadline(deadline) // fails only on a closed listener, and then accepting ends anyway
	}
}

// newConnGrace is for how long DrainConns spares a connection on which nothing has arrived, in ms: its first command may be on
// its way.
const newConnGrace = 250

// DrainConns has connections without requests in flight closed as the lifecycle says. New ones are accepted and served until
// Close.
func (s *Server) DrainConns() {
	for _, c := range s.toClose() {
		c.requestDeparture()
	}
}

func (s *Server) toClose() (conns []*conn) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		closing := s.Lifecycle.CloseMode(now, c.jitter)
		if quiet, since := c.quiet(); closing == lifecycle.StopReading || closing == lifecycle.CloseWhenIdle && quiet && since <= now {
			conns = append(conns, c)
		}
	}
	return conns
}

// Close stops accepting, once the connections are accepted that were established before, for patience at most: a request on them counts as
// taken, and a listener that is closed resets them. Connections are not closed.
func (s *Server) Close(patience time.Duration) {
	s.mu.Lock()
	ended := s.serveEnded
	_, drains := s.listener.(deadlineListener)
	drains = drains && !s.closed
	s.closed = true
	s.setAcceptDeadline(time.Now().Add(backlogQuiet))
	s.canAccept.Broadcast()
	s.mu.Unlock()
	if drains {
		select {
		case <-ended:
		case <-time.After(patience):
		}
	}
	s.mu.Lock()
	s.abandoned = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		closeWithin(listener, maxListenerClose)
	}
}

// closeWithin closes a listener, and waits so long for that: an accept that blocks holds it up, where the socket is shared with others that
// have set it to block. The end of the process closes it in any case.
func closeWithin(listener net.Listener, timeout time.Duration) {
	closed := make(chan struct{})
	go func() { // ends with the accept
		defer close(closed)
		_ = listener.Close() // it is not used any more
	}()
	select {
	case <-closed:
	case <-time.After(timeout):
	}
}
