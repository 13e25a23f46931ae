package clients

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/sockstate"
	"mintspring/internal/testbed/loopbacktest"
)

// If descriptors run out, connections without a request are evicted first, then the one that has been idle longest.
func TestEvictionOrder(t *testing.T) {
	h := newHarness(t, func(s *Server) { // ten connections may be open
		s.Sockets = fdlimit.New(30, 0)
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Idle, 400) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Silent, 0) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Idle, 0) })
	})
	idle, busy := h.dial(), h.dial()
	idle.send(command("KV.GET", "k", "0", testExtra))
	h.nextRequest().Respond(exchange.Response{Value: []byte("v")})
	idle.expect("$1\r\nv\r\n")
	busy.send(command("KV.GET", "k", "1", testExtra))
	x := h.nextRequest()
	for range 20 {
		silent := h.dial()
		silent.send(command("PING"))
		silent.expect("+PONG\r\n")
	}
	idle.send(command("PING"))
	idle.expect("+PONG\r\n")
	for k := range 9 {
		c := h.dial()
		c.send(command("KV.GET", "k", fmt.Sprint(k+2), testExtra))
		h.nextRequest()
	}
	idle.expectEnd()
	x.Respond(exchange.Response{Value: []byte("v")})
	busy.expect("$1\r\nv\r\n")
}

// If idle connections hold all descriptors for clients, they are evicted, and not new connections whose first request is on its way.
// Otherwise new connections evict each other, and no client is served.
func TestNewConnectionsDoNotEvictEachOther(t *testing.T) {
	h := newHarness(t, func(s *Server) { // three connections may be open
		s.Sockets = fdlimit.New(10, 0)
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Idle, 100) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Silent, 0) })
	})
	for k := range 3 {
		c := h.dial()
		c.send(command("KV.GET", "k", fmt.Sprint(k), testExtra))
		h.nextRequest().Respond(exchange.Response{Value: []byte("v")})
		c.expect("$1\r\nv\r\n")
	}
	time.Sleep(120 * time.Millisecond)
	first := h.dial()
	for range 2 {
		h.dial()
	}
	time.Sleep(20 * time.Millisecond)
	first.send(command("KV.GET", "k", "9", testExtra))
	h.nextRequest().Respond(exchange.Response{Value: []byte("w")})
	first.expect("$1\r\nw\r\n")
}

// Clients may send one request on each connection and keep it open. The connections idle longest are evicted before they use up the
// descriptors for clients, but none with a request in flight.
func TestSingleUseConnectionsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &lifecycle.State{}
		state.MarkEndpointsKnown()
		h := newPipeHarness(t, state)
		h.server.Sockets = fdlimit.New(120, 0)
		waiting := h.dial()
		waiting.send(command("KV.GET", "k", "w", testExtra))
		x := <-h.requests
		var answered []*client
		for k := range 40 {
			c := h.dial()
			c.send(command("KV.GET", "k", fmt.Sprint(k), testExtra))
			(<-h.requests).Respond(exchange.Response{Value: []byte("v")})
			c.expect("$1\r\nv\r\n")
			time.Sleep(time.Millisecond) // until the server has recorded the reply: a connection is idle from then on
			answered = append(answered, c)
		}
		evicted := 1 + len(answered) - h.server.Sockets.ClientTarget()
		if n := h.server.OpenConns(); n != 1+len(answered)-evicted {
			t.Errorf("%d connections are open, want %d", n, 1+len(answered)-evicted)
		}
		for _, c := range answered[:evicted] {
			c.expectEnd()
		}
		for _, c := range answered[evicted:] {
			c.send(command("PING"))
			c.expect("+PONG\r\n")
		}
		x.Respond(exchange.Response{Value: []byte("w")})
		waiting.expect("$1\r\nw\r\n")
	})
}

// If clients send one request on each connection and keep it open, answered connections are evicted, and none whose request is on its
// way. If they send more, silent connections are evicted. Thousands of incomplete connections keep no client out.
func TestEvictionByUsage(t *testing.T) {
	h := newHarness(t, func(s *Server) { // 40 connections may be open
		s.Sockets = fdlimit.New(90, 0)
		s.CommandTimeout = 60_000
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictAnswered(60_000) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Silent, 0) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Incomplete, 0) })
	})
	request := func(c *client, id string) {
		t.Helper()
		c.send(command("KV.GET", "k", id, testExtra))
		h.nextRequest().Respond(exchange.Response{Value: []byte("v")})
		c.expect("$1\r\nv\r\n")
	}
	for i := range minReuseSamples { // one request on each connection
		request(h.dial(), fmt.Sprint("a", i))
		time.Sleep(time.Millisecond)
	}
	time.Sleep(60 * time.Millisecond)
	first := h.dial() // silent until its request arrives
	time.Sleep(5 * time.Millisecond)
	for i := range 10 {
		request(h.dial(), fmt.Sprint("b", i))
	}
	request(first, "first")
	flood := newFlood(h)
	for i := range 2000 {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "*4\r\n$6\r\nKV.GET\r\n") // it may have been evicted already
		if flood.dialed++; i%100 == 0 {
			flood.waitUntilRead()
			request(h.dial(), fmt.Sprint("c", i))
			flood.dialed++
		}
	}
	if n := h.server.OpenConns(); n > 45 {
		t.Errorf("%d connections are open", n)
	}
}

// flood counts the connections of a flood. Before all of them were accepted and read, none may count as incomplete, and another connection could be closed
// unread, as the operators' page allows in a crowd.
type flood struct {
	h          *harness
	openBefore int // connections that were open before
	dialed     int
	closed     int // by the server
}

func newFlood(h *harness) *flood {
	h.server.TakeCounts()
	return &flood{h: h, openBefore: h.server.OpenConns()}
}

// waitUntilRead waits until all connections were accepted and read.
func (f *flood) waitUntilRead() {
	f.h.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		counts := f.h.server.TakeCounts()
		f.closed += int(counts.Rejected + counts.Evicted[Idle] + counts.Evicted[Silent] + counts.Evicted[Incomplete])
		accepted, unread := f.closed+f.h.server.OpenConns()-f.openBefore, f.h.countState(Silent)
		if accepted == f.dialed && unread == 0 {
			return
		}
		if time.Now().After(deadline) {
			f.h.t.Fatalf("%d of %d connections of the flood were accepted, %d of them not read", accepted, f.dialed, unread)
		}
	}
}

// countState returns how many connections are in a state.
func (h *harness) countState(state ConnState) (count int) {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	for c := range h.server.conns {
		if current, _ := c.classify(); current == state {
			count++
		}
	}
	return count
}

// unreadConn returns a server's connection, without its goroutines, on which an unread byte has arrived, and the client's end of it.
func unreadConn(h *harness) (c *conn, clientEnd net.Conn) {
	listener := loopbacktest.Listen(h.t)
	defer listener.Close() //nolint:errcheck // the listener is not used any more
	var err error
	if clientEnd, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		h.t.Fatal(err)
	}
	serverEnd, err := listener.Accept()
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _, _ = clientEnd.Close(), serverEnd.Close() })
	h.server.Sockets.Acquire(fdlimit.Client)
	c = &conn{server: h.server, net: serverEnd, state: sharedState{usage: usageRequested}}
	c.cond.L = &c.mu
	_, _ = io.WriteString(clientEnd, "*")
	for unread := false; !unread; unread, _ = sockstate.Peek(serverEnd) {
		time.Sleep(time.Millisecond)
	}
	return c, clientEnd
}

// A connection on which an unread request has arrived is not evicted.
func TestUnreadRequestPreventsEviction(t *testing.T) {
	c, clientEnd := unreadConn(newHarness(t))
	if c.evict(Idle) {
		t.Error("a connection with an unread request was closed")
	}
	readByte(c)
	if !c.evict(Idle) {
		t.Error("a connection without a request was not closed")
	}
	if _, err := bufio.NewReader(clientEnd).ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
}

// If the connection that has been idle longest cannot be evicted, the next one is.
func TestNextOldestIsEvicted(t *testing.T) {
	h := newHarness(t)
	first, _ := unreadConn(h)
	second, _ := unreadConn(h)
	readByte(second)
	second.state.lastActive = 1
	h.server.conns = map[*conn]struct{}{first: {}, second: {}}
	if !h.server.EvictOldest(Idle, 0) || first.state.phase == phaseClosed || second.state.phase != phaseClosed {
		t.Errorf("closed the connection with a request: %v, the one without: %v", first.state.phase == phaseClosed, second.state.phase == phaseClosed)
	}
	if h.server.EvictOldest(Idle, 0) {
		t.Error("the connection with a request was closed")
	}
}

// A new connection waits a moment for another one whose last reply is being written.
func TestNewConnectionWaitsForWriter(t *testing.T) {
	var attempts atomic.Int64
	h := newHarness(t, func(s *Server) { // one connection may be open
		s.Sockets = fdlimit.New(4, 0)
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { defer attempts.Add(1); return s.EvictOldest(Idle, 0) })
	})
	c, _ := unreadConn(h)
	readByte(c)
	c.state.writer, c.state.writeStarted = writerWriting, h.server.Clock.Now()
	h.server.mu.Lock()
	h.server.conns = map[*conn]struct{}{c: {}}
	h.server.mu.Unlock()
	acquired := make(chan bool)
	go func() { acquired <- h.server.acquireDescriptor() }()
	for attempts.Load() == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	c.mu.Lock()
	c.state.writer = writerWaiting
	c.mu.Unlock()
	if !<-acquired || c.state.phase != phaseClosed {
		t.Error("the new connection was rejected")
	}
	if h.server.acquireDescriptor() {
		t.Error("more were accepted than allowed")
	}
}

// A new connection is accepted if another one finishes writing its last reply just after the attempt to evict it has failed.
func TestWriterFinishesAfterFailedEviction(t *testing.T) {
	var busy *conn
	h := newHarness(t, func(s *Server) { // one connection may be open
		s.Sockets = fdlimit.New(4, 0)
		s.Sockets.AddEvictor(fdlimit.Client, func() bool {
			evicted := s.EvictOldest(Idle, 0)
			busy.mu.Lock()
			defer busy.mu.Unlock()
			busy.state.writer = writerWaiting
			return evicted
		})
	})
	busy, _ = unreadConn(h)
	readByte(busy)
	busy.state.writer, busy.state.writeStarted = writerWriting, h.server.Clock.Now()
	h.server.conns = map[*conn]struct{}{busy: {}}
	if !h.server.acquireDescriptor() || busy.state.phase != phaseClosed {
		t.Error("the new connection was rejected")
	}
}

// readByte reads the byte that has arrived on an unreadConn.
func readByte(c *conn) { _, _ = io.ReadFull(c.net, make([]byte, 1)) }

// A connection whose reader has read bytes, but has not recorded the read yet, is in use: closing it would lose a request that was read.
// It may be closed once the recorded read shows that nothing is in flight.
func TestBytesJustReadPreventEviction(t *testing.T) {
	for _, state := range []ConnState{Idle, Silent, Incomplete} {
		c, _ := unreadConn(newHarness(t))
		if state != Idle {
			c.state.usage = usageUnused
		}
		reader := newCommandReader(c)
		if err := reader.fill(); err != nil || reader.in.Len() != 1 {
			t.Fatalf("%d bytes were read, %v", reader.in.Len(), err)
		}
		if c.evict(state) || c.state.phase == phaseClosed {
			t.Errorf("state %d: the connection was closed, although bytes had just been read", state)
		}
		reader.in.Discard(1)
		reader.recordRead(1, false)
		if state == Idle && !c.evict(Idle) {
			t.Error("the connection was not closed between requests")
		}
	}
}
