package clients

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
)

// At shutdown connections are closed between requests only, and new connections are served until the end.
func TestShutdownCompletesRequests(t *testing.T) {
	h := newHarness(t)
	busy, idle := h.dial(), h.dial()
	idle.send(command("PING"))
	idle.expect("+PONG\r\n")
	busy.send(command("KV.GET", "k", "1", testExtra) + "*1\r\n")
	x := h.nextRequest()
	h.server.Lifecycle.BeginStop()
	h.server.DrainConns()
	idle.expectEnd()
	x.Respond(exchange.Response{Value: []byte("v")})
	busy.expect("$1\r\nv\r\n")
	busy.send("$4\r\nPING\r\n") // the rest of the command that had begun
	busy.expect("+PONG\r\n")
	busy.expectEnd()
	newClient := h.dial()
	newClient.send(command("KV.GET", "k", "2", testExtra))
	h.nextRequest().Respond(exchange.Response{Value: []byte("w")})
	newClient.expect("$1\r\nw\r\n")
	newClient.expectEnd()
}

// On standby, new and open connections are served for as long as the load balancer may send any. Then they are closed after their
// replies, and idle ones early enough that no request on them outlasts the drain.
func TestStandbyClosesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &lifecycle.State{}
		state.MarkEndpointsKnown()
		h := newPipeHarness(t, state)
		serve := func(c *client, id string) {
			t.Helper()
			c.send(command("KV.GET", "k", id, testExtra))
			(<-h.requests).Respond(exchange.Response{Value: []byte("v")})
			c.expect("$1\r\nv\r\n")
		}
		drainRepeatedly := func(from, to time.Duration) {
			for ; from < to; from += 50 * time.Millisecond {
				time.Sleep(50 * time.Millisecond)
				h.server.DrainConns()
			}
		}
		busy, resumed, unused := h.dial(), h.dial(), h.dial()
		for i, c := range []*client{busy, resumed, unused} {
			serve(c, fmt.Sprint("a", i))
		}
		state.EnterStandby(h.server.Clock.Now())
		drainRepeatedly(0, 200*time.Millisecond)
		busy.send(command("PING"))
		busy.expect("-LOADING the node is on standby\r\n")
		newClient := h.dial()
		serve(newClient, "b")
		serve(busy, "c")
		drainRepeatedly(200*time.Millisecond, 500*time.Millisecond)
		state.LeaveStandby()
		serve(resumed, "d") // after standby the node keeps its connections
		state.EnterStandby(h.server.Clock.Now())
		drainRepeatedly(0, 600*time.Millisecond)
		serve(busy, "e")
		busy.expectEnd()
		drainRepeatedly(600*time.Millisecond, 2*time.Second)
		for _, c := range []*client{resumed, unused, newClient} {
			c.expectEnd()
		}
	})
}

// answerAll answers all requests until the test ends. It returns a function that reports whether a request with the given ID has arrived.
func (h *harness) answerAll() (arrived func(id string) bool) {
	var mu sync.Mutex
	ids, done := map[string]bool{}, make(chan struct{})
	h.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case x := <-h.requests:
				mu.Lock()
				ids[string(x.ID)] = true
				mu.Unlock()
				x.Respond(exchange.Response{Value: []byte("v" + string(x.ID))})
			case <-done:
				return
			}
		}
	}()
	return func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return ids[id]
	}
}

// readReplies reads replies until the connection ends. It returns an error if the connection does not end in order, for instance by a
// reset.
func (c *client) readReplies() (replies []string, err error) {
	for {
		line, err := c.reader.ReadString('\n')
		if err == io.EOF && line == "" {
			return replies, nil
		}
		if err != nil {
			return replies, fmt.Errorf("%q and %w", line, err)
		}
		if strings.HasPrefix(line, "$") {
			line, err = c.reader.ReadString('\n')
			if err != nil {
				return replies, err
			}
		}
		replies = append(replies, strings.TrimSpace(line))
	}
}

// A request that arrives just as its idle connection is closed is either handled and answered, or not read. The client reads all earlier
// replies and then an orderly end, no reset. Closing the connection outside the reader goroutine, over unread bytes, would reset some
// connections.
func TestRequestsCrossingClose(t *testing.T) {
	for range 150 {
		h := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{}; s.Lifecycle.MarkEndpointsKnown() })
		arrived := h.answerAll()
		clients := []*client{h.dial(), h.dial(), h.dial(), h.dial()}
		for i, c := range clients {
			c.send(command("KV.GET", "k", fmt.Sprint("first", i), "c=read,d=400"))
			c.expect(fmt.Sprintf("$%d\r\nvfirst%d\r\n", len("vfirst")+1, i))
		}
		var wg sync.WaitGroup
		wg.Add(len(clients))
		go func() {
			h.server.Lifecycle.BeginStop()
			h.server.DrainConns()
		}()
		for i, c := range clients {
			go func() {
				defer wg.Done()
				id := fmt.Sprint("second", i)
				c.send(command("KV.GET", "k", id, "c=read,d=400"))
				replies, err := c.readReplies()
				if err != nil {
					t.Errorf("the connection ended with %v", err)
				}
				if answered := len(replies) == 1 && replies[0] == "v"+id; answered != arrived(id) || len(replies) > 1 {
					t.Errorf("request arrived: %v, replies: %q", arrived(id), replies)
				}
			}()
		}
		wg.Wait()
		h.server.Close(testCloseTime)
	}
}

// A client that always has commands in flight would be served forever. Near the end of a shutdown, commands that were read are answered,
// later ones are rejected without being handled, and the connection ends in order.
func TestPipelineEndsAtShutdown(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{}; s.Lifecycle.MarkEndpointsKnown() })
	arrived := h.answerAll()
	c := h.dial()
	sent := make(chan int, 1)
	go func() {
		for i := 0; ; i++ {
			if _, err := io.WriteString(c, command("KV.GET", "k", fmt.Sprint(i), "c=read,d=400")); err != nil || i == 200_000 {
				sent <- i
				return
			}
		}
	}()
	for !arrived("50") {
		time.Sleep(time.Millisecond)
	}
	h.server.Lifecycle.BeginStop()
	h.server.DrainConns()
	h.server.Lifecycle.FinishStop()
	h.server.DrainConns()
	answered := c.readValuesThenRejections()
	if !arrived(fmt.Sprint(answered-1)) || arrived(fmt.Sprint(answered)) {
		t.Errorf("%d requests were answered, and the next one arrived: %v", answered, arrived(fmt.Sprint(answered)))
	}
	c.disconnect()
	<-sent
}

// readValuesThenRejections reads until the connection ends, and returns the number of values. Only rejections may follow the values.
func (c *client) readValuesThenRejections() (values int) {
	c.t.Helper()
	for rejected := false; ; {
		line, err := c.reader.ReadString('\n')
		switch {
		case err != nil:
			if err != io.EOF || line != "" {
				c.t.Errorf("the connection ended with %q and %v", line, err)
			}
			return values
		case line == "-BUSY 70\r\n":
			rejected = true
		case line[0] == '$' && !rejected:
			c.skipLine()
			values++
		default:
			c.t.Fatalf("reply %q after %d values, rejected before: %v", line, values, rejected)
		}
	}
}

// At shutdown, the server waits for the rest of a command that has begun, replies to it, and then closes the connection.
func TestPartialCommandAtShutdown(t *testing.T) {
	for _, finishing := range []bool{false, true} {
		h := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{}; s.Lifecycle.MarkEndpointsKnown() })
		h.answerAll()
		c := h.dial()
		text := command("KV.GET", "k", "1", "c=read,d=400")
		c.send(text[:20])
		for midCommand := false; !midCommand; time.Sleep(time.Millisecond) {
			h.server.mu.Lock()
			for conn := range h.server.conns {
				conn.mu.Lock()
				midCommand = conn.state.midCommand
				conn.mu.Unlock()
			}
			h.server.mu.Unlock()
		}
		h.server.Lifecycle.BeginStop()
		if finishing {
			h.server.Lifecycle.FinishStop()
		}
		h.server.DrainConns()
		c.send(text[20:])
		if replies, err := c.readReplies(); err != nil || len(replies) != 1 || replies[0] != "v1" {
			t.Errorf("FinishStop called %v: replies %q, %v", finishing, replies, err)
		}
	}
}

// If a command times out, the commands before it are replied to before the connection is closed.
func TestRepliesBeforeCommandTimeout(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.CommandTimeout = 30 })
	c := h.dial()
	c.send(command("KV.GET", "k", "1", "c=read,d=400") + "*4\r\n$6\r\nKV")
	x := h.nextRequest()
	for h.server.counters.timedOut.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	x.Respond(exchange.Response{Value: []byte("v")})
	if replies, err := c.readReplies(); err != nil || len(replies) != 2 || replies[0] != "v" || !strings.HasPrefix(replies[1], "-ERR") {
		t.Errorf("replies %q, %v", replies, err)
	}
}

// A connection with an unread request is not closed as idle at shutdown: the request is served first.
func TestUnreadRequestPreventsDrain(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{}; s.Lifecycle.MarkEndpointsKnown() })
	c, _ := unreadConn(h)
	h.server.Lifecycle.FinishStop()
	if c.tryDrain() || c.state.phase != phaseOpen {
		t.Error("a connection with an unread request was closed")
	}
}

// At the end of a stop, every command that was read is answered, including those beyond maxPipelined, which are read ahead only to notice
// a disconnect.
func TestCommandsReadAheadAreAnsweredAtStop(t *testing.T) {
	h := newHarness(t)
	const commands = 4 * maxPipelined
	c := h.dial()
	for i := range commands {
		c.send(command("KV.GET", "k", fmt.Sprint(i), testExtra))
	}
	var inFlight []*exchange.Exchange
	for range maxPipelined {
		inFlight = append(inFlight, h.nextRequest())
	}
	h.server.Lifecycle.BeginStop()
	h.server.Lifecycle.FinishStop()
	h.server.DrainConns()
	time.Sleep(20 * time.Millisecond) // until the reader has noticed FinishStop
	for _, x := range inFlight {
		x.Respond(exchange.Response{Value: []byte("v")})
	}
	go func() {
		for x := range h.requests {
			x.Respond(exchange.Response{Value: []byte("w")})
		}
	}()
	if replies, err := c.readReplies(); err != nil || len(replies) != commands {
		t.Errorf("%d of %d commands have a reply, %v", len(replies), commands, err)
	}
}

// An Accept call that began before another process took over may still return a connection, which must be handed to that process.
// Otherwise this process would reject it, because the other one holds the descriptors by then.
func TestLateAcceptIsHandedOver(t *testing.T) {
	h := newHarness(t)
	clientEnd, serverEnd := net.Pipe()
	t.Cleanup(func() { _ = clientEnd.Close() })
	passes := 0
	passConn := func(net.Conn, bool) bool { passes++; return true }
	if h.server.handOverAccepted(serverEnd) || passes > 0 {
		t.Error("handed over without a HandoverFunc")
	}
	h.server.SetHandover(passConn)
	if h.server.handOverAccepted(serverEnd) || passes > 0 {
		t.Error("handed over while this process accepts")
	}
	h.server.Lifecycle.SetSuccessor(true)
	if !h.server.handOverAccepted(serverEnd) || passes != 1 {
		t.Errorf("the connection was handed over %d times", passes)
	}
	if _, err := serverEnd.Write([]byte{0}); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("the connection is still open in this process: %v", err)
	}
}
