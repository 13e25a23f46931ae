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

// Where descriptors run out, connections without a request are evicted first, then the one idle longest.
func TestEvictionOrder(t *testing.T) {
	r := newHarness(t, func(s *Server) { // ten may be open
		s.Sockets = fdlimit.New(30, 0)
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Idle, 400) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Silent, 0) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Idle, 0) })
	})
	quiet, busy := r.dial(), r.dial()
	quiet.send(command("KV.GET", "k", "0", testExtra))
	r.nextRequest().Respond(exchange.Response{Value: []byte("v")})
	quiet.expect("$1\r\nv\r\n")
	busy.send(command("KV.GET", "k", "1", testExtra))
	x := r.nextRequest()
	for range 20 {
		mute := r.dial()
		mute.send(command("PING"))
		mute.expect("+PONG\r\n")
	}
	quiet.send(command("PING"))
	quiet.expect("+PONG\r\n")
	for k := range 9 {
		c := r.dial()
		c.send(command("KV.GET", "k", fmt.Sprint(k+2), testExtra))
		r.nextRequest()
	}
	quiet.expectEnd()
	x.Respond(exchange.Response{Value: []byte("v")})
	busy.expect("$1\r\nv\r\n")
}

// Where idle connections hold all descriptors for clients, they are evicted, and not a new connection whose request is on
// its way: new ones once evicted each other, and nobody was served.
func TestNewConnectionsDoNotEvictEachOther(t *testing.T) {
	r := newHarness(t, func(s *Server) { // three may be open
		s.Sockets = fdlimit.New(10, 0)
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Idle, 100) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Silent, 0) })
	})
	for k := range 3 {
		c := r.dial()
		c.send(command("KV.GET", "k", fmt.Sprint(k), testExtra))
		r.nextRequest().Respond(exchange.Response{Value: []byte("v")})
		c.expect("$1\r\nv\r\n")
	}
	time.Sleep(120 * time.Millisecond)
	first := r.dial()
	for range 2 {
		r.dial()
	}
	time.Sleep(20 * time.Millisecond)
	first.send(command("KV.GET", "k", "9", testExtra))
	r.nextRequest().Respond(exchange.Response{Value: []byte("w")})
	first.expect("$1\r\nw\r\n")
}

// Clients may send one request on each connection and keep it: those idle longest are evicted before they use up the
// descriptors for clients. One with a request in flight is not.
func TestSingleUseConnectionsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life := &lifecycle.State{}
		life.MarkListed()
		r := newPipeHarness(t, life)
		r.server.Sockets = fdlimit.New(120, 0)
		waits := r.dial()
		waits.send(command("KV.GET", "k", "w", testExtra))
		x := <-r.taken
		var all []*client
		for k := range 40 {
			c := r.dial()
			c.send(command("KV.GET", "k", fmt.Sprint(k), testExtra))
			(<-r.taken).Respond(exchange.Response{Value: []byte("v")})
			c.expect("$1\r\nv\r\n")
			time.Sleep(time.Millisecond) // until the server has recorded the reply: a connection is idle from then on
			all = append(all, c)
		}
		evicted := 1 + len(all) - r.server.Sockets.ClientTarget()
		if n := r.server.OpenConns(); n != 1+len(all)-evicted {
			t.Errorf("%d connections are open, want %d", n, 1+len(all)-evicted)
		}
		for _, c := range all[:evicted] {
			c.expectEnd()
		}
		for _, c := range all[evicted:] {
			c.send(command("PING"))
			c.expect("+PONG\r\n")
		}
		x.Respond(exchange.Response{Value: []byte("w")})
		waits.expect("$1\r\nw\r\n")
	})
}

// Where clients send one request on each connection and keep it, answered connections are evicted, and none whose request is on
// its way; where they send more, silent ones are. Thousands of incomplete ones keep no client out.
func TestEvictionByUsage(t *testing.T) {
	r := newHarness(t, func(s *Server) { // 40 may be open
		s.Sockets = fdlimit.New(90, 0)
		s.CommandTimeout = 60_000
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictAnswered(60_000) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Silent, 0) })
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { return s.EvictOldest(Incomplete, 0) })
	})
	request := func(c *client, id string) {
		t.Helper()
		c.send(command("KV.GET", "k", id, testExtra))
		r.nextRequest().Respond(exchange.Response{Value: []byte("v")})
		c.expect("$1\r\nv\r\n")
	}
	for i := range minReuseSamples { // one request each
		request(r.dial(), fmt.Sprint("a", i))
		time.Sleep(time.Millisecond)
	}
	time.Sleep(60 * time.Millisecond)
	first := r.dial() // silent, with its request on its way
	time.Sleep(5 * time.Millisecond)
	for i := range 10 {
		request(r.dial(), fmt.Sprint("b", i))
	}
	request(first, "first")
	for i := range 2000 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "*4\r\n$6\r\nKV.GET\r\n") // it may have been evicted already
		if i%100 == 0 {
			time.Sleep(5 * time.Millisecond)
			request(r.dial(), fmt.Sprint("c", i))
		}
	}
	if n := r.server.OpenConns(); n > 45 {
		t.Errorf("%d connections are open", n)
	}
}

// unreadConn returns a connection on which an unread byte has arrived, without its goroutines, and its other end.
func unreadConn(r *harness) (c *conn, theirs net.Conn) {
	ln := loopbacktest.Listen(r.t)
	defer ln.Close() //nolint:errcheck // the listener is not used any more
	var err error
	if theirs, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		r.t.Fatal(err)
	}
	ours, err := ln.Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _, _ = theirs.Close(), ours.Close() })
	r.server.Sockets.Acquire(fdlimit.Client)
	c = &conn{server: r.server, net: ours, state: sharedState{usage: usageRequested}}
	c.cond.L = &c.mu
	_, _ = io.WriteString(theirs, "*")
	for more := false; !more; more, _ = sockstate.Peek(ours) {
		time.Sleep(time.Millisecond)
	}
	return c, theirs
}

// A connection on which an unread request has arrived is not evicted.
func TestUnreadRequestPreventsEviction(t *testing.T) {
	c, theirs := unreadConn(newHarness(t))
	if c.evict(Idle) {
		t.Error("it was closed over a request")
	}
	readByte(c)
	if !c.evict(Idle) {
		t.Error("it was not closed without a request")
	}
	if _, err := bufio.NewReader(theirs).ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
}

// Where the connection idle longest cannot be evicted, the next one is.
func TestNextOldestIsEvicted(t *testing.T) {
	r := newHarness(t)
	first, _ := unreadConn(r)
	second, _ := unreadConn(r)
	readByte(second)
	second.state.lastActive = 1
	r.server.conns = map[*conn]struct{}{first: {}, second: {}}
	if !r.server.EvictOldest(Idle, 0) || first.state.phase == phaseClosed || second.state.phase != phaseClosed {
		t.Errorf("closed the one with a request: %v, the one without: %v", first.state.phase == phaseClosed, second.state.phase == phaseClosed)
	}
	if r.server.EvictOldest(Idle, 0) {
		t.Error("the one with a request was closed")
	}
}

// A new connection waits a moment for one whose last reply is just being written.
func TestNewConnectionWaitsForWriter(t *testing.T) {
	var looked atomic.Int64
	r := newHarness(t, func(s *Server) { // one may be open
		s.Sockets = fdlimit.New(4, 0)
		s.Sockets.AddEvictor(fdlimit.Client, func() bool { defer looked.Add(1); return s.EvictOldest(Idle, 0) })
	})
	c, _ := unreadConn(r)
	readByte(c)
	c.state.writer, c.state.writeStarted = writerWriting, r.server.Clock.Now()
	r.server.mu.Lock()
	r.server.conns = map[*conn]struct{}{c: {}}
	r.server.mu.Unlock()
	got := make(chan bool)
	go func() { got <- r.server.acquireDescriptor() }()
	for looked.Load() == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	c.mu.Lock()
	c.state.writer = writerWaiting
	c.mu.Unlock()
	if !<-got || c.state.phase != phaseClosed {
		t.Error("the new connection was rejected")
	}
	if r.server.acquireDescriptor() {
		t.Error("more were accepted than allowed")
	}
}

// A new connection is accepted if the last reply of another one has been written just after that could not be evicted.
func TestWriterFinishesAfterFailedEviction(t *testing.T) {
	var busy *conn
	r := newHarness(t, func(s *Server) { // one may be open
		s.Sockets = fdlimit.New(4, 0)
		s.Sockets.AddEvictor(fdlimit.Client, func() bool {
			evicted := s.EvictOldest(Idle, 0)
			busy.mu.Lock()
			defer busy.mu.Unlock()
			busy.state.writer = writerWaiting
			return evicted
		})
	})
	busy, _ = unreadConn(r)
	readByte(busy)
	busy.state.writer, busy.state.writeStarted = writerWriting, r.server.Clock.Now()
	r.server.conns = map[*conn]struct{}{busy: {}}
	if !r.server.acquireDescriptor() || busy.state.phase != phaseClosed {
		t.Error("the new connection was rejected")
	}
}

// readByte reads the byte that has arrived on an unreadConn.
func readByte(c *conn) { _, _ = io.ReadFull(c.net, make([]byte, 1)) }

// A connection whose reader has taken bytes, and has not yet said what they are, is in use: to close it then would lose a request that was
// read. It may be closed once the reader has said that nothing is in flight.
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
			t.Errorf("state %d: it was closed over bytes that were read", state)
		}
		reader.in.Discard(1)
		c.recordRead(&reader.in, 1, false, false)
		if state == Idle && !c.evict(Idle) {
			t.Error("it was not closed between requests")
		}
	}
}
