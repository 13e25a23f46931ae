package fakeproxy

import (
	"context"
	"net"
	"sync"
)

// Link is a network path that can fail. Connections that are dialed through it share its state. Its methods may be called from
// any goroutine.
type Link struct {
	mu       sync.Mutex // guards the fields below and those of the connections
	changed  *sync.Cond // signalled when a blocked Read or Write may continue or must fail
	stalled  bool
	dropNext bool
	conns    map[*linkConn]bool
}

// NewLink returns a link that works.
func NewLink() *Link {
	l := &Link{conns: map[*linkConn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Dial connects to an address through the link. It has the form of client.Config.Dial.
func (l *Link) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, link: l}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

// SetStalled delays all data in transit, in both directions, or resumes it. No connection is closed.
func (l *Link) SetStalled(stalled bool) {
	l.mu.Lock()
	l.stalled = stalled
	l.changed.Broadcast()
	l.mu.Unlock()
}

// DropNext discards the next bytes that are received. Their connection then hangs until it is closed.
func (l *Link) DropNext() {
	l.mu.Lock()
	l.dropNext = true
	l.mu.Unlock()
}

// Break closes all connections and discards data in transit. New connections work.
func (l *Link) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closed = true
		_ = c.Conn.Close() // the error does not matter for a connection that is broken on purpose
	}
	clear(l.conns)
	l.stalled, l.dropNext = false, false
	l.changed.Broadcast()
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link *Link

	// Guarded by the link's mutex.
	closed bool
	hung   bool // DropNext discarded bytes of it
}

// waitLocked waits while the connection is stalled or hung. It fails once the connection is closed. The caller holds the link's mutex.
func (c *linkConn) waitLocked() error {
	for (c.link.stalled || c.hung) && !c.closed {
		c.link.changed.Wait()
	}
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

// Read reads received bytes and returns once the link is not stalled.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	// A stall also delays bytes that arrived before it began but are read during it.
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.link.dropNext {
		c.link.dropNext, c.hung = false, true
	}
	if err := c.waitLocked(); err != nil {
		return 0, err
	}
	return n, err
}

// Write waits until the link is not stalled, then sends bytes.
func (c *linkConn) Write(b []byte) (int, error) {
	c.link.mu.Lock()
	err := c.waitLocked()
	c.link.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection and wakes the goroutines that wait for it.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	c.closed = true
	delete(c.link.conns, c)
	c.link.changed.Broadcast()
	c.link.mu.Unlock()
	return c.Conn.Close()
}
