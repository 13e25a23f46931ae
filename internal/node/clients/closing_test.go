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

// At shutdown connections are closed between requests only, and new ones are served until the end.
func TestShutdownCompletesRequests(t *testing.T) {
	r := newHarness(t)
	busy, quiet := r.dial(), r.dial()
	quiet.send(command("PING"))
	quiet.expect("+PONG\r\n")
	busy.send(command("KV.GET", "k", "1", testExtra) + "*1\r\n")
	x := r.nextRequest()
	r.server.Lifecycle.BeginStop()
	r.server.DrainConns()
	quiet.expectEnd()
	x.Respond(exchange.Response{Value: []byte("v")})
	busy.expect("$1\r\nv\r\n")
	busy.send("$4\r\nPING\r\n") // the command had begun before
	busy.expect("+PONG\r\n")
	busy.expectEnd()
	late := r.dial()
	late.send(command("KV.GET", "k", "2", testExtra))
	r.nextRequest().Respond(exchange.Response{Value: []byte("w")})
	late.expect("$1\r\nw\r\n")
	late.expectEnd()
}

// On standby new and open connections are served as long as the load balancer sends any, then closed after their replies, and
// idle ones are closed before a request on them could outlast the time for draining.
func TestStandbyAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life := &lifecycle.State{}
		life.MarkListed()
		r := newPipeHarness(t, life)
		serve := func(c *client, id string) {
			t.Helper()
			c.send(command("KV.GET", "k", id, testExtra))
			(<-r.taken).Respond(exchange.Response{Value: []byte("v")})
			c.expect("$1\r\nv\r\n")
		}
		sweep := func(from, to time.Duration) {
			for ; from < to; from += 50 * time.Millisecond {
				time.Sleep(50 * time.Millisecond)
				r.server.DrainConns()
			}
		}
		kept, quiet, gone := r.dial(), r.dial(), r.dial()
		for i, c := range []*client{kept, quiet, gone} {
			serve(c, fmt.Sprint("a", i))
		}
		life.EnterStandby(r.server.Clock.Now())
		sweep(0, 200*time.Millisecond)
		kept.send(command("PING"))
		kept.expect("-LOADING the node is on standby\r\n")
		newcomer := r.dial()
		serve(newcomer, "b")
		serve(kept, "c")
		sweep(200*time.Millisecond, 500*time.Millisecond)
		life.LeaveStandby()
		serve(quiet, "d") // active again, the node keeps its connections
		life.EnterStandby(r.server.Clock.Now())
		sweep(0, 600*time.Millisecond)
		serve(kept, "e")
		kept.expectEnd()
		sweep(600*time.Millisecond, 2*time.Second)
		for _, c := range []*client{quiet, gone, newcomer} {
			c.expectEnd()
		}
	})
}

// answerAll answers all requests until the test ends, and reports whether one with an id has arrived.
func (r *harness) answerAll() (taken func(id string) bool) {
	var mu sync.Mutex
	ids, over := map[string]bool{}, make(chan struct{})
	r.t.Cleanup(func() { close(over) })
	go func() {
		for {
			select {
			case x := <-r.taken:
				mu.Lock()
				ids[string(x.ID)] = true
				mu.Unlock()
				x.Respond(exchange.Response{Value: []byte("v" + string(x.ID))})
			case <-over:
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

// readReplies reads replies until the connection ends; a reset is an error.
func (c *client) readReplies() (replies []string, err error) {
	for {
		line, err := c.r.ReadString('\n')
		if err == io.EOF && line == "" {
			return replies, nil
		}
		if err != nil {
			return replies, fmt.Errorf("%q and %w", line, err)
		}
		if strings.HasPrefix(line, "$") {
			line, err = c.r.ReadString('\n')
			if err != nil {
				return replies, err
			}
		}
		replies = append(replies, strings.TrimSpace(line))
	}
}

// A request that arrives just as its connection is closed for being idle is either taken and answered, or not read: the client
// sees the end of the connection and no reset, and all replies before it. Closing outside the reader, over unread bytes, reset
// some connections.
func TestRequestsCrossingClose(t *testing.T) {
	for range 150 {
		r := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{}; s.Lifecycle.MarkListed() })
		taken := r.answerAll()
		cs := []*client{r.dial(), r.dial(), r.dial(), r.dial()}
		for i, c := range cs {
			c.send(command("KV.GET", "k", fmt.Sprint("first", i), "c=read,d=400"))
			c.expect(fmt.Sprintf("$%d\r\nvfirst%d\r\n", len("vfirst")+1, i))
		}
		var wg sync.WaitGroup
		wg.Add(len(cs))
		go func() {
			r.server.Lifecycle.BeginStop()
			r.server.DrainConns()
		}()
		for i, c := range cs {
			go func() {
				defer wg.Done()
				id := fmt.Sprint("second", i)
				c.send(command("KV.GET", "k", id, "c=read,d=400"))
				got, how := c.readReplies()
				if how != nil {
					t.Errorf("the connection ended with %v", how)
				}
				if answered := len(got) == 1 && got[0] == "v"+id; answered != taken(id) || len(got) > 1 {
					t.Errorf("taken: %v, answers: %q", taken(id), got)
				}
			}()
		}
		wg.Wait()
		r.server.Close(testCloseTime)
	}
}

// A client that always has commands in flight would be served for ever: near the end of a shutdown, what was read is answered, what
// is read behind that is rejected and not begun, and the connection ends in order.
func TestPipelineEndsAtShutdown(t *testing.T) {
	r := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{}; s.Lifecycle.MarkListed() })
	taken := r.answerAll()
	c := r.dial()
	sent := make(chan int, 1)
	go func() {
		for i := 0; ; i++ {
			if _, err := io.WriteString(c, command("KV.GET", "k", fmt.Sprint(i), "c=read,d=400")); err != nil || i == 200_000 {
				sent <- i
				return
			}
		}
	}()
	for !taken("50") {
		time.Sleep(time.Millisecond)
	}
	r.server.Lifecycle.BeginStop()
	r.server.DrainConns()
	r.server.Lifecycle.FinishStop()
	r.server.DrainConns()
	n := c.readValuesThenRejections()
	if !taken(fmt.Sprint(n-1)) || taken(fmt.Sprint(n)) {
		t.Errorf("%d were answered, and the one behind was taken: %v", n, taken(fmt.Sprint(n)))
	}
	c.disconnect()
	<-sent
}

// readValuesThenRejections reads until the connection ends: values, and behind them only rejections. It returns the number of values.
func (c *client) readValuesThenRejections() (values int) {
	c.t.Helper()
	for rejected := false; ; {
		line, err := c.r.ReadString('\n')
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
			c.t.Fatalf("answer %q behind %d values, rejected before: %v", line, values, rejected)
		}
	}
}

// At shutdown the rest of a command that has begun is awaited, the command replied to, and the connection closed after it.
func TestPartialCommandAtShutdown(t *testing.T) {
	for _, near := range []bool{false, true} {
		r := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{}; s.Lifecycle.MarkListed() })
		r.answerAll()
		c := r.dial()
		text := command("KV.GET", "k", "1", "c=read,d=400")
		c.send(text[:20])
		for begun := false; !begun; time.Sleep(time.Millisecond) {
			r.server.mu.Lock()
			for o := range r.server.conns {
				o.mu.Lock()
				begun = o.state.midCommand
				o.mu.Unlock()
			}
			r.server.mu.Unlock()
		}
		r.server.Lifecycle.BeginStop()
		if near {
			r.server.Lifecycle.FinishStop()
		}
		r.server.DrainConns()
		c.send(text[20:])
		if got, how := c.readReplies(); how != nil || len(got) != 1 || got[0] != "v1" {
			t.Errorf("near the end %v: replies %q, %v", near, got, how)
		}
	}
}

// Commands before one that times out are replied to before the connection is closed for that.
func TestRepliesBeforeCommandTimeout(t *testing.T) {
	r := newHarness(t, func(s *Server) { s.CommandTimeout = 30 })
	c := r.dial()
	c.send(command("KV.GET", "k", "1", "c=read,d=400") + "*4\r\n$6\r\nKV")
	x := r.nextRequest()
	for r.server.counters.timedOut.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	x.Respond(exchange.Response{Value: []byte("v")})
	if got, how := c.readReplies(); how != nil || len(got) != 2 || got[0] != "v" || !strings.HasPrefix(got[1], "-ERR") {
		t.Errorf("replies %q, %v", got, how)
	}
}

// At shutdown such a connection is not closed as idle either: its request is served first.
func TestUnreadRequestPreventsDrain(t *testing.T) {
	r := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{}; s.Lifecycle.MarkListed() })
	c, _ := unreadConn(r)
	r.server.Lifecycle.FinishStop()
	if c.tryDrain() || c.state.phase != phaseOpen {
		t.Error("it was closed over a request")
	}
}

// At the end of a stop every command that was read has its answer, also those beyond the number that a client may have in flight: they
// were read ahead, so that its disconnect would be noticed.
func TestCommandsReadAheadAreAnsweredAtStop(t *testing.T) {
	r := newHarness(t)
	const commands = 4 * maxPipelined
	c := r.dial()
	for i := range commands {
		c.send(command("KV.GET", "k", fmt.Sprint(i), testExtra))
	}
	var taken []*exchange.Exchange
	for range maxPipelined {
		taken = append(taken, r.nextRequest())
	}
	r.server.Lifecycle.BeginStop()
	r.server.Lifecycle.FinishStop()
	r.server.DrainConns()
	time.Sleep(20 * time.Millisecond) // the reader has seen the end of the stop
	for _, x := range taken {
		x.Respond(exchange.Response{Value: []byte("v")})
	}
	go func() {
		for x := range r.taken {
			x.Respond(exchange.Response{Value: []byte("w")})
		}
	}()
	if got, err := c.readReplies(); err != nil || len(got) != commands {
		t.Errorf("%d of %d commands have a reply, %v", len(got), commands, err)
	}
}

// A connection that an accept returns which had begun before another process took over goes to that process. It was once rejected, for the
// descriptors were that process's by then.
func TestLateAcceptIsHandedOver(t *testing.T) {
	r := newHarness(t)
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	passed := 0
	pass := func(net.Conn, bool) bool { passed++; return true }
	if r.server.handOverAccepted(far) || passed > 0 {
		t.Error("a connection is passed to nobody")
	}
	r.server.SetHandover(pass)
	if r.server.handOverAccepted(far) || passed > 0 {
		t.Error("a connection is passed while this process accepts")
	}
	r.server.Lifecycle.SetSuccessor(true)
	if !r.server.handOverAccepted(far) || passed != 1 {
		t.Errorf("the connection was passed %d times", passed)
	}
	if _, err := far.Write([]byte{0}); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("it is still open here: %v", err)
	}
}
