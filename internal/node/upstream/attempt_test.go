package upstream

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
)

// Every way in which an attempt can fail, and what is known of it then.
func TestAttemptFailures(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(net.Conn)
		limit float64
		want  fleet.Result
	}{
		{"response", echo, 1000, fleet.Completed},
		{"closed after the request", func(c net.Conn) { read(c); closeConn(c) }, 1000, fleet.Reset},
		{"closed within the response", func(c net.Conn) { read(c); write(c, "hal"); closeConn(c) }, 1000, fleet.Reset},
		{"malformed response", func(c net.Conn) { read(c); write(c, "bad\n") }, 1000, fleet.Reset},
		{"no response", func(c net.Conn) { read(c) }, 50, fleet.TimedOut},
		{"stalled response", func(c net.Conn) { read(c); write(c, "hal") }, 4000, fleet.Reset},
		{"incomplete response", func(c net.Conn) { read(c); write(c, "hal") }, 50, fleet.TimedOut},
	} {
		r := newHarness(t, c.serve)
		r.endpoint.group.StallTimeout = 100
		r.send("q", c.limit)
		r.expect(c.name, c.want)
	}
}

func TestRefusedNeverRan(t *testing.T) {
	r := newHarness(t, echo)
	closeConn(r.ln)
	r.send("q", 1000)
	r.expect("refused", fleet.ConnectFailed)
}

// A connect that fails for a reason of this machine's says nothing of the server: the attempt was not sent. One that the server or the
// network fails counts against the server.
func TestLocalDialFailuresSayNothingOfTheServer(t *testing.T) {
	for _, c := range []struct {
		errno syscall.Errno
		want  fleet.Result
	}{
		{syscall.EMFILE, fleet.NotSent},
		{syscall.ENFILE, fleet.NotSent},
		{syscall.ENOBUFS, fleet.NotSent},
		{syscall.ENOMEM, fleet.NotSent},
		{syscall.EADDRNOTAVAIL, fleet.NotSent},
		{syscall.EAGAIN, fleet.NotSent},
		{syscall.ENETUNREACH, fleet.NotSent},
		{syscall.EPERM, fleet.NotSent},
		{syscall.ECONNREFUSED, fleet.ConnectFailed},
		{syscall.ECONNRESET, fleet.ConnectFailed},
		{syscall.EHOSTUNREACH, fleet.ConnectFailed},
		{syscall.ETIMEDOUT, fleet.ConnectFailed},
	} {
		r := newHarness(t, echo)
		r.endpoint.group.Dialer.Control = func(_, _ string, _ syscall.RawConn) error { return os.NewSyscallError("connect", c.errno) }
		r.send("q", 1000)
		r.expect(c.errno.Error(), c.want)
	}
}

// A failure before the last byte was sent proves that the attempt never ran, even if bytes were sent before it.
func TestPartlyWrittenNeverRan(t *testing.T) {
	r := newHarness(t, echo)
	far := r.piped()
	r.send("a long query", 5000)
	readBytes(far, 4)
	closeConn(far)
	e := r.end()
	if e.Failure == nil || e.Failure.Progress != exchange.PartiallyWritten || e.Failure.Outcome() != fleet.ConnectFailed {
		t.Errorf("completed with %v", e.Failure)
	}
	for _, reach := range []exchange.Progress{exchange.NotConnected, exchange.PartiallyWritten, exchange.FullyWritten, exchange.ResponseStarted} {
		b := exchange.AttemptError{Progress: reach, Result: fleet.Reset, Cause: errTimeout}
		if want := reach < exchange.FullyWritten; b.NotExecuted() != want || b.Outcome().NotExecuted() != want {
			t.Errorf("%v: never ran is %v", reach, b.NotExecuted())
		}
		if !strings.HasPrefix(b.Error(), reach.String()) || !errors.Is(&b, errTimeout) {
			t.Errorf("error %q", b.Error())
		}
	}
}

// A reader that fails right after the writer's write has broken off does not end the attempt as fully written.
func TestReaderFailsAfterPartialWrite(t *testing.T) {
	r := newHarness(t, echo)
	near, far := net.Pipe()
	t.Cleanup(func() { closeConn(far) })
	// Without its goroutines, so that the test itself orders what they do.
	c := &conn{Conn: connpool.Conn{Addr: r.ln.Addr().String()}, endpoint: r.endpoint, net: near, attempts: make(chan *Attempt, 1)}
	r.endpoint.mu.Lock()
	r.endpoint.pool.Release(r.endpoint.group.Clock.Now(), c)
	r.endpoint.mu.Unlock()
	r.send("a long query", 5000)
	a := <-c.attempts
	if !c.beginWrite(a, nil) {
		t.Fatal("the attempt was not begun")
	}
	c.endWrite(a, io.ErrClosedPipe, true)
	c.fail(io.EOF)
	e := r.end()
	if e.Failure == nil || e.Failure.Progress != exchange.PartiallyWritten || e.Failure.Outcome() != fleet.ConnectFailed {
		t.Errorf("completed with %v", e.Failure)
	}
}

// heldProtocol is a lineProtocol that encodes no request before it is released.
type heldProtocol struct {
	lineProtocol
	released chan struct{}
}

func (p heldProtocol) AppendRequest(b []byte, request *exchange.Exchange, limit float64) []byte {
	<-p.released
	return p.lineProtocol.AppendRequest(b, request, limit)
}

// The body of a request may be complete while the request is being encoded, whose time limit depends on that: the race
// detector sees whether the two are synchronized.
func TestBodyCompleteWhileEncoding(t *testing.T) {
	r := newHarness(t, echo)
	protocol := heldProtocol{released: make(chan struct{})}
	r.endpoint.protocol = protocol
	far := r.piped() // a connection is open, so that the writer has the attempt before its body is complete
	a := r.send("q", 5000)
	r.endpoint.BodyComplete(a, r.endpoint.group.Clock.Now()+5000)
	close(protocol.released)
	if got := read(far); got != "q\n" {
		t.Errorf("the server got %q", got)
	}
	write(far, "done\n")
	r.expect("response", fleet.Completed)
}

// An attempt that times out while it is written may have run: its last byte may have been sent.
func TestTimeoutWhileWriting(t *testing.T) {
	r := newHarness(t, echo)
	far := r.piped()
	r.send("a long query", 50)
	readBytes(far, 4)
	r.expect("timed out", fleet.TimedOut)
}

// As long as its connection is open an attempt counts as in flight, so that cancelling it closes the connection.
func TestCancelClosesConnection(t *testing.T) {
	r := newHarness(t, func(net.Conn) {})
	e := r.send("q", 5000)
	c := <-r.conns
	if read(c) != "q\n" {
		t.Fatal("not written")
	}
	r.endpoint.Cancel(e)
	r.endpoint.Cancel(e)
	r.expect("cancelled", fleet.Cancelled)
	if read(c) != "" {
		t.Error("the connection is still open")
	}
	if len(r.ended) > 0 {
		t.Error("completed twice")
	}
}

// One attempt at a time is in flight on a connection, so that no response is taken for that of another.
func TestOneAttemptPerConnection(t *testing.T) {
	r := newHarness(t, echo)
	got := map[string]int{}
	for _, k := range []string{"a", "b", "c", "d"} {
		r.send(k, 1000)
	}
	for range 4 {
		got[string(r.end().Response.Value)]++
	}
	if len(got) != 4 {
		t.Errorf("responses %v", got)
	}
}

// Nothing is sent to a server that became unavailable while an attempt waited for a connection or for the writer (rule 3).
func TestUnavailableWhileWaiting(t *testing.T) {
	r := newHarness(t, echo)
	endpoint := r.endpoint
	endpoint.mu.Lock()
	endpoint.pool.Dialing = 1 // as if a slow dial were in progress
	endpoint.mu.Unlock()
	r.send("q", 1000)
	endpoint.SetTarget(r.ln.Addr().String(), false)
	r.expect("unavailable while it waited", fleet.NotSent)
	r.send("q", 1000)
	r.expect("to an unavailable server", fleet.NotSent)

	near, far := net.Pipe()
	c := &conn{Conn: connpool.Conn{Addr: r.ln.Addr().String()}, endpoint: endpoint, net: near, attempts: make(chan *Attempt, 1)}
	e := &Attempt{Request: &exchange.Exchange{Key: []byte("q")}, timer: time.AfterFunc(time.Hour, func() {})}
	endpoint.mu.Lock()
	poolOwner{endpoint}.Assign(0, c, e)
	endpoint.mu.Unlock()
	go c.writeLoop()
	r.expect("unavailable before its first byte", fleet.NotSent)
	if got := read(far); got != "" {
		t.Errorf("%q was sent to an unavailable server", got)
	}
}

// Attempts go to the server's present address only.
func TestAddressChange(t *testing.T) {
	r, other := newHarness(t, echo), newHarness(t, func(c net.Conn) { read(c); write(c, "other\n") })
	r.send("q", 1000)
	r.end()
	r.endpoint.SetTarget(other.ln.Addr().String(), true)
	r.send("q", 1000)
	if v := string(r.end().Response.Value); v != "other" {
		t.Errorf("response of %q", v)
	}
	// The server moves back during a dial: that connection is useless, and another is needed.
	endpoint := r.endpoint
	endpoint.mu.Lock()
	endpoint.pool.Dialing = 1
	endpoint.mu.Unlock()
	endpoint.CloseUnused()
	r.send("q", 1000)
	endpoint.SetTarget(r.ln.Addr().String(), true)
	endpoint.dial(other.ln.Addr().String())
	if v := string(r.end().Response.Value); v != "q" {
		t.Errorf("response of %q", v)
	}
}

// A panic in a connection's goroutine fails its attempt and is reported.
func TestPanicClosesOneConnection(t *testing.T) {
	r := newHarness(t, func(c net.Conn) { read(c); write(c, "boom\n") })
	r.send("q", 1000)
	r.expect("panic", fleet.Reset)
	if p := <-r.panics; p != "boom" {
		t.Errorf("panic %v", p)
	}
}

// An attempt that waits for a connection when its client disconnects is never sent, also once a connection is free.
func TestCancelUnsentWhileWaiting(t *testing.T) {
	got, answer := make(chan string, 10), make(chan struct{})
	r := newHarness(t, func(c net.Conn) {
		for {
			s := read(c)
			if s == "" {
				return
			}
			got <- s
			<-answer
			write(c, "done\n")
		}
	})
	r.endpoint = New(r.endpoint.group, lineProtocol{}, "one", connpool.Config{IdleTimeout: 300, MaxConns: 1, Nodes: 1})
	r.endpoint.SetTarget(r.ln.Addr().String(), true)
	r.send("first", 4000)
	if s := <-got; s != "first\n" {
		t.Fatalf("the server got %q", s)
	}
	left, stays := r.send("left", 4000), r.send("stays", 4000)
	r.endpoint.CancelUnsent(left)
	r.expect("cancelled while it waits", fleet.NotSent)
	close(answer)
	if s := <-got; s != "stays\n" {
		t.Errorf("the server got %q for a client that is gone", s)
	}
	r.expect("the one before it", fleet.Completed)
	r.expect("the one behind it", fleet.Completed)
	r.endpoint.CancelUnsent(stays)
}

// An attempt that is cancelled while it is written breaks off before its last byte, so that its server never runs it. For the
// node it may have run, since the last byte could have been sent just then.
func TestCancelUnsentWhileWriting(t *testing.T) {
	begun, on, all := make(chan struct{}), make(chan struct{}), make(chan int, 1)
	value := bytes.Repeat([]byte("v"), 64<<20) // far more than the kernel buffers
	r := newHarness(t, func(c net.Conn) {
		readBytes(c, 1)
		close(begun)
		<-on
		n, _ := io.Copy(io.Discard, c)
		all <- int(n) + 1
	})
	e := r.endpoint.Send(&exchange.Exchange{Key: []byte("k"), Value: value}, 0, 4000, math.Inf(1))
	<-begun
	r.endpoint.CancelUnsent(e)
	r.expect("cancelled while it is written", fleet.Cancelled)
	close(on)
	if n := <-all; n > len(value) {
		t.Errorf("all %d bytes arrived", n)
	}
}

// An attempt that has been sent goes on: its response is read, and its connection reused.
func TestCancelUnsentAfterSending(t *testing.T) {
	on := make(chan struct{})
	r := newHarness(t, func(c net.Conn) {
		for s := read(c); s != ""; s = read(c) {
			<-on
			write(c, s)
		}
	})
	e := r.send("gone", 4000)
	for sent := false; !sent; time.Sleep(time.Millisecond) {
		r.endpoint.mu.Lock()
		sent = e.written
		r.endpoint.mu.Unlock()
	}
	r.endpoint.CancelUnsent(e)
	close(on)
	r.expect("cancelled after it was sent", fleet.Completed)
	r.send("next", 4000)
	r.expect("the next one", fleet.Completed)
	if n := len(r.conns); n != 1 {
		t.Errorf("%d connections for two attempts in turn", n)
	}
}

// An attempt is not sent after SendBy, whether it still waits for a connection then or is assigned one too late.
func TestNotSentAfterSendBy(t *testing.T) {
	got, answer := make(chan string, 10), make(chan struct{}, 10)
	r := newHarness(t, func(c net.Conn) {
		for s := read(c); s != ""; s = read(c) {
			got <- s
			<-answer
			write(c, "done\n")
		}
	})
	r.endpoint = New(r.endpoint.group, lineProtocol{}, "one", connpool.Config{IdleTimeout: 10_000, MaxConns: 1, Nodes: 1})
	r.endpoint.SetTarget(r.ln.Addr().String(), true)
	by := func(key string, in float64) {
		r.endpoint.Send(&exchange.Exchange{Key: []byte(key)}, 0, 4000, r.endpoint.group.Clock.Now()+in)
	}
	by("first", 4000)
	<-got
	by("waits", 20)
	r.expect("waits for a connection past SendBy", fleet.NotSent)
	answer <- struct{}{}
	r.expect("the one before it", fleet.Completed)
	// The connection's writer may get it before the timer fires, so there is no timer here.
	now := r.endpoint.group.Clock.Now()
	late := &Attempt{Request: &exchange.Exchange{Key: []byte("late")}, SentAt: now, Deadline: now + 4000, SendBy: now - 1, timer: time.NewTimer(time.Hour)}
	r.endpoint.mu.Lock()
	r.endpoint.handleAdmission(late, r.endpoint.pool.Acquire(now, late))
	r.endpoint.mu.Unlock()
	r.expect("assigned a connection after SendBy", fleet.NotSent)
	answer <- struct{}{}
	by("in time", 4000)
	r.expect("in time", fleet.Completed)
	if s := <-got; s != "in time\n" {
		t.Errorf("the server got %q", s)
	}
}
