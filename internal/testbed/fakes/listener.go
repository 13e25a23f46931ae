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
	// backlog is the length of the queue of connections that were not accepted yet.
	backlog = 512
	// backlogFillers is how many connections fill a queue of length 0; the kernel takes one or two more than its length.
	backlogFillers = 3
	// fillTimeout is how long such a connection may take to come up before the queue counts as full.
	fillTimeout = 20 * time.Millisecond
	// acceptStopDelay is how long an accept loop takes at most to notice that its deadline has passed.
	acceptStopDelay = 2 * time.Millisecond
	// acceptRetryDelay is the time before another attempt when the process has no descriptor left.
	acceptRetryDelay = time.Millisecond
)

// listener is the address at which one node reaches one server.
type listener struct {
	server *Server
	node   servermodel.NodeID
	port   *reservedport.Port // its address, also while it is closed

	mu          sync.Mutex       // guards the fields below
	tcpListener *net.TCPListener // nil while it is closed
	conns       map[*conn]struct{}
	blackholed  bool
	fillers     []net.Conn // connections that keep the queue of a blackholed listener full
}

// newListener reserves an address and listens on it.
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

// open listens, always on the same address: a node may connect to it at once.
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
	go l.acceptLoop(tcpListener) // ends with close and setBlackholed
	return nil
}

// close accepts no more connections. With reset, those that are open are reset, as if the process were dead.
func (l *listener) close(reset bool) {
	l.mu.Lock()
	if l.tcpListener != nil {
		_ = l.tcpListener.Close() // the accept loop ends whatever it says
		l.tcpListener = nil
	}
	l.closeFillers()
	l.blackholed = false
	l.mu.Unlock()
	if reset {
		l.resetConnections()
	}
}

// closeFillers closes the connections that keep the queue full. Called with the lock held.
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

// setBlackholed makes the address silent, or has it work again. A full queue of connections that were not accepted makes the kernel
// drop the packets with which new ones begin, so that they never come up, as with a machine that is unreachable.
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

// resetQueue resets the connections that entered the queue of a listener as it stopped accepting.
func resetQueue(tcpListener *net.TCPListener) {
	_ = tcpListener.SetDeadline(time.Now().Add(acceptStopDelay)) // fails only if it is closed, which ends the loop too
	for {
		queued, err := tcpListener.AcceptTCP()
		if err != nil {
			return
		}
		_ = queued.SetLinger(0) // fails only on a connection that is broken already
		_ = queued.Close()      // nothing was sent on it
	}
}

// stopAccepting ends the accept loop of a listener that stays open, and leaves no room in its queue.
func stopAccepting(tcpListener *net.TCPListener) {
	_ = tcpListener.SetDeadline(time.Unix(1, 0)) // fails only if it is closed, which ends the loop too
	setBacklog(tcpListener, 0)
}

// setBacklog sets the length of a listener's queue.
func setBacklog(tcpListener *net.TCPListener, length int) {
	raw, err := tcpListener.SyscallConn()
	if err != nil {
		return // it has been closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.Listen(int(fd), length) // of a socket that listens already, it cannot fail
	})
}

// fillBacklog fills the queue of a listener that does not accept.
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

// isBlackholed reports whether the address is silent.
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
		accepted := l.server.fleet.recordConnection(l.server, l.node)
		c := newConn(l, netConn, !accepted)
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		go c.writeLoop() // both end when the connection is closed
		go c.readLoop()
	}
}
