package fakes

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"mintspring/internal/testbed/reservedport"
	"mintspring/internal/testbed/servermodel"
)

const (
	// backlog is the length of the accept queue.
	backlog = 512
	// backlogFillers is the number of connections that fill an accept queue of length 0; the kernel queues one or two more than its length.
	backlogFillers = 3
	// fillTimeout is the connect timeout of a filler, after which the accept queue counts as full.
	fillTimeout = 20 * time.Millisecond
	// acceptStopDelay is the longest time that an accept loop needs to end after its deadline has passed.
	acceptStopDelay = 2 * time.Millisecond
	// acceptRetryDelay is the pause before the next accept when the process has no file descriptors left or the peer has aborted.
	acceptRetryDelay = time.Millisecond
)

// listener is the address at which one node reaches one server.
type listener struct {
	server *Server
	node   servermodel.NodeID
	port   *reservedport.Port // keeps the address reserved while the listener is closed

	mu          sync.Mutex       // guards the fields below
	tcpListener *net.TCPListener // nil while it is closed
	conns       map[*conn]struct{}
	blackholed  bool
	fillers     []net.Conn // connections that keep the accept queue of a blackholed listener full
}

// newListener reserves an address for a node at a server and listens on it.
func newListener(s *Server, node servermodel.NodeID) (*listener, error) {
	port, err := reservedport.Reserve()
	if err != nil {
		return nil, fmt.Errorf("listening for node %d at server %s: %w", node, s.Name, err)
	}
	l := &listener{server: s, node: node, port: port, conns: map[*conn]struct{}{}}
	if err := l.open(); err != nil {
		return nil, fmt.Errorf("listening for node %d at server %s: %w", node, s.Name, errors.Join(err, port.Close()))
	}
	return l, nil
}

// open listens on the reserved address, which stays the same. Nodes can connect when it returns.
func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tcpListener != nil {
		return nil
	}
	tcpListener, err := l.port.Listen()
	if err != nil {
		return err
	}
	l.tcpListener = tcpListener
	go l.acceptLoop(tcpListener) // ended by close and by setBlackholed
	return nil
}

// close stops accepting connections. Without reset, connections that have been established stay open, also those that wait to be accepted.
// With reset all are reset, as the kernel does when a process dies.
func (l *listener) close(reset bool) {
	if !reset {
		l.acceptQueue()
	}
	l.mu.Lock()
	if l.tcpListener != nil {
		_ = l.tcpListener.Close() // the accept loop ends even if this reports an error
		l.tcpListener = nil
	}
	l.closeFillers()
	l.blackholed = false
	l.mu.Unlock()
	if reset {
		l.resetConnections()
	}
}

// acceptQueue ends the accept loop and accepts the connections that wait in the queue, which closing the listener would reset.
func (l *listener) acceptQueue() {
	l.mu.Lock()
	tcpListener, blackholed := l.tcpListener, l.blackholed
	l.mu.Unlock()
	if tcpListener == nil || blackholed {
		return
	}
	_ = tcpListener.SetDeadline(time.Unix(1, 0)) // fails only if it is closed, which ends the loop too
	time.Sleep(acceptStopDelay)
	_ = tcpListener.SetDeadline(time.Now().Add(acceptStopDelay))
	for {
		netConn, err := tcpListener.AcceptTCP()
		if err != nil {
			return
		}
		l.serve(netConn)
	}
}

// closeFillers closes the connections that keep the accept queue full. Called with the lock held.
func (l *listener) closeFillers() {
	for _, c := range l.fillers {
		_ = c.Close() // nothing was ever sent on it
	}
	l.fillers = nil
}

// resetConnections resets all connections that are open.
func (l *listener) resetConnections() {
	l.mu.Lock()
	all := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range all {
		c.reset()
	}
}

// setBlackholed makes the address unreachable, or reachable again. With a full accept queue the kernel drops the SYN packets of new
// connections, so that they time out as with an unreachable machine.
func (l *listener) setBlackholed(blackholed bool) {
	l.mu.Lock()
	tcpListener := l.tcpListener
	if l.blackholed == blackholed || tcpListener == nil {
		l.mu.Unlock()
		return
	}
	l.blackholed = blackholed
	if blackholed {
		stopAccepting(tcpListener)
	} else {
		l.closeFillers()
	}
	l.mu.Unlock()
	if blackholed {
		l.fillBacklog()
		return
	}
	l.resetConnections()
	resetQueue(tcpListener)
	setBacklog(tcpListener, backlog)
	_ = tcpListener.SetDeadline(time.Time{}) // fails only if it was closed meanwhile, which ends the loop
	go l.acceptLoop(tcpListener)
}

// resetQueue resets the connections that entered the accept queue while the listener stopped accepting.
func resetQueue(tcpListener *net.TCPListener) {
	_ = tcpListener.SetDeadline(time.Now().Add(acceptStopDelay)) // fails only if the listener is closed, which ends the loop too
	for {
		queued, err := tcpListener.AcceptTCP()
		if err != nil {
			return
		}
		_ = queued.SetLinger(0) // fails only on a connection that is broken already
		_ = queued.Close()      // the server has sent nothing on it
	}
}

// stopAccepting ends the accept loop without closing the listener, and sets the length of its accept queue to 0.
func stopAccepting(tcpListener *net.TCPListener) {
	_ = tcpListener.SetDeadline(time.Unix(1, 0)) // fails only if it is closed, which ends the loop too
	setBacklog(tcpListener, 0)
}

// setBacklog sets the length of a listener's accept queue.
func setBacklog(tcpListener *net.TCPListener, length int) {
	raw, err := tcpListener.SyscallConn()
	if err != nil {
		return // it has been closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.Listen(int(fd), length) // cannot fail on a socket that is already listening
	})
}

// fillBacklog fills the accept queue of a listener that no longer accepts.
func (l *listener) fillBacklog() {
	time.Sleep(acceptStopDelay)
	for range backlogFillers {
		c, err := net.DialTimeout("tcp4", l.port.Addr(), fillTimeout)
		if err != nil {
			continue // the queue is full
		}
		l.mu.Lock()
		l.fillers = append(l.fillers, c)
		l.mu.Unlock()
	}
}

// isBlackholed reports whether the address is unreachable.
func (l *listener) isBlackholed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blackholed
}

// acceptLoop accepts connections until the listener is closed or its deadline passes.
func (l *listener) acceptLoop(tcpListener *net.TCPListener) {
	for {
		netConn, err := tcpListener.AcceptTCP()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ECONNABORTED) {
				time.Sleep(acceptRetryDelay)
				continue
			}
			return
		}
		l.serve(netConn)
	}
}

// serve serves an accepted connection.
func (l *listener) serve(netConn *net.TCPConn) {
	accepted := l.server.fleet.admitConnection(l.server, l.node)
	c := newConn(l, netConn, !accepted)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	go c.writeLoop() // both goroutines end when the connection is closed
	go c.readLoop()
}
