package upstream

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/fdlimit"
)

// Connections are reused until the server closes them, they are closed as unused, or they have been idle for too long.
func TestConnectionReuse(t *testing.T) {
	r := newHarness(t, echo)
	for range 5 {
		r.send("q", 1000)
		r.expect("one after another", fleet.Completed)
	}
	if k := r.endpoint.group.Stats().Opened; k != 1 {
		t.Errorf("%d connections for five attempts in turn", k)
	}
	r.send("last", 1000)
	r.end()
	r.send("q", 1000)
	r.expect("after the server's last", fleet.Completed)
	if k := r.endpoint.group.Stats().Opened; k != 2 {
		t.Errorf("%d connections", k)
	}
	r.endpoint.CloseUnused()
	r.send("q", 1000)
	r.expect("after CloseUnused", fleet.Completed)
	if k := r.endpoint.group.Stats().Opened; k != 3 {
		t.Errorf("%d connections", k)
	}
	time.Sleep(350 * time.Millisecond)
	r.send("q", 1000) // the server may be closing the connection that has been idle for long
	r.expect("after a long idle time", fleet.Completed)
	if k := r.endpoint.group.Stats().Opened; k != 4 {
		t.Errorf("%d connections", k)
	}
	time.Sleep(350 * time.Millisecond)
	r.endpoint.Reap()
	if r.endpoint.group.CloseOldestUnused() {
		t.Error("a connection idle for long is open")
	}
}

// A waiting attempt takes whichever connection is released first, not only the one dialed for it.
func TestWaitingAttemptTakesReleasedConnection(t *testing.T) {
	r := newHarness(t, echo)
	r.endpoint.mu.Lock()
	r.endpoint.pool.Dialing = 1
	r.endpoint.mu.Unlock()
	r.send("q", 1000)
	far := r.piped()
	go echo(far)
	r.expect("on the released connection", fleet.Completed)
}

// Bytes without a request must not be read as the response to the next attempt.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	r := newHarness(t, func(c net.Conn) { read(c); write(c, "q\nmore\n"); echo(c) })
	r.send("q", 1000)
	r.expect("first", fleet.Completed)
	r.send("q", 1000)
	if v := string(r.end().Response.Value); v != "q" {
		t.Errorf("response %q", v)
	}
	if k := r.endpoint.group.Stats().Opened; k != 2 {
		t.Errorf("%d connections", k)
	}
}

// A duplicate that arrives after the response, when the next attempt has the connection already, is not read as the response
// to that one. The attempt takes another connection, since nothing of it was sent.
func TestLateDuplicateResponse(t *testing.T) {
	r := newHarness(t, func(c net.Conn) {
		for s := read(c); s != ""; s = read(c) {
			write(c, s)
			write(c, s)
		}
	})
	r.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{Cooldown: 20, DialAfterWait: 200, IdleTimeout: 300}, 1, 0)
	go func() {
		for range r.conns {
		}
	}()
	for i := range 50 {
		key := fmt.Sprint("q", i)
		for range 3 {
			r.send(key, 1000)
		}
		for range 3 {
			if e := r.end(); string(e.Response.Value) != key {
				t.Fatalf("%s: response %q, %v", key, e.Response.Value, e.Failure)
			}
		}
	}
}

// A connection that the server has closed while it was idle says nothing about the attempt that took it.
func TestIdleConnectionClosedByServer(t *testing.T) {
	r := newHarness(t, echo)
	for i := range 100 {
		r.send("q", 1000)
		r.expect("on a fresh connection", fleet.Completed)
		closeConn(<-r.conns)
		if i%2 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// A server that forgets idle connections without closing them costs one attempt, not one for each idle connection, and the
// failure says so.
func TestForgottenConnectionsAreClosed(t *testing.T) {
	r := newHarness(t, func(c net.Conn) {
		for at := time.Now(); ; at = time.Now() {
			s := read(c)
			if s == "" {
				return
			}
			if time.Since(at) > 100*time.Millisecond {
				_ = c.(*net.TCPConn).SetLinger(0) // the server then resets it
				closeConn(c)
				return
			}
			write(c, s)
		}
	})
	for range 5 {
		r.send("q", 1000)
	}
	for range 5 {
		r.expect("on a connection each", fleet.Completed)
	}
	time.Sleep(120 * time.Millisecond)
	r.send("q", 1000)
	if e := r.end(); e.Failure == nil || !e.Failure.Stale || e.Failure.Outcome() != fleet.Reset {
		t.Errorf("on a forgotten connection: %+v", e)
	}
	for range 3 {
		r.send("q", 1000)
		r.expect("after it", fleet.Completed)
	}
}

// Of all endpoints the connection that has been unused longest is closed to free a descriptor.
func TestCloseOldestUnused(t *testing.T) {
	r := newHarness(t, echo)
	other := New(r.endpoint.group, lineProtocol{}, "other", connpool.Config{IdleTimeout: 300})
	other.SetTarget(r.ln.Addr().String(), true)
	for _, e := range []*Endpoint{other, r.endpoint} {
		e.Send(&exchange.Exchange{Key: []byte("q")}, 0, 1000, math.Inf(1))
		r.expect("one on each", fleet.Completed)
	}
	for i, want := range []int{1, 0, 0} {
		if r.endpoint.group.CloseOldestUnused() != (i < 2) || r.endpoint.pool.State().Open != want || other.pool.State().Open != 0 {
			t.Errorf("after %d: %d and %d idle", i+1, other.pool.State().Open, r.endpoint.pool.State().Open)
		}
	}
	if other.Remove(); len(r.endpoint.group.endpoints) != 1 {
		t.Errorf("%d endpoints after one was removed", len(r.endpoint.group.endpoints))
	}
}

// Without a free descriptor an attempt is not sent.
func TestNoFreeDescriptor(t *testing.T) {
	r := newHarness(t, echo)
	r.endpoint.group.Sockets = fdlimit.New(1, 0)
	r.send("q", 1000)
	r.expect("without a descriptor", fleet.NotSent)
}

// A burst that needs more connections than allowed waits for the open ones, and attempts that wait too long, or would, fail
// without having run.
func TestBoundedPool(t *testing.T) {
	r := newHarness(t, func(c net.Conn) {
		for s := read(c); s != ""; s = read(c) {
			time.Sleep(30 * time.Millisecond)
			write(c, s)
		}
	})
	r.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{MaxConns: 2, WaitTimeout: 100, MaxWaiting: 12, IdleTimeout: 300}, 1, 0)
	for i := range 20 {
		r.send(fmt.Sprint("q", i), 1000)
	}
	results := map[fleet.Result]int{}
	for range 20 {
		if e := r.end(); e.Failure != nil {
			if results[e.Failure.Outcome()]++; !e.Failure.Outcome().NotExecuted() {
				t.Errorf("%v", e.Failure)
			}
		} else {
			results[e.Response.Result]++
		}
	}
	c := r.endpoint.group.Stats()
	if c.Opened != 2 || results[fleet.Completed] < 4 || results[fleet.Declined] != 20-results[fleet.Completed] ||
		c.WaitTimeouts+c.QueueFull != results[fleet.Declined] || c.WaitTimeouts == 0 || c.QueueFull == 0 {
		t.Errorf("outcomes %v, stats %+v", results, c)
	}
}

// Failed dials fail the waiting attempts, also where few dials may be in progress at a time.
func TestBoundedPoolAtDeadServer(t *testing.T) {
	r := newHarness(t, echo)
	closeConn(r.ln)
	r.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{MaxConns: 1, IdleTimeout: 300}, 1, 0)
	for range 10 {
		r.send("q", 2000)
	}
	start := time.Now()
	for range 10 {
		r.expect("a dead server", fleet.ConnectFailed)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("failed after %v", took)
	}
}

// A connection is not reused past its maximum age.
func TestMaxAge(t *testing.T) {
	r := newHarness(t, echo)
	r.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{MaxAge: 50, IdleTimeout: 300}, 1, 0)
	r.send("q", 1000)
	r.expect("young", fleet.Completed)
	time.Sleep(60 * time.Millisecond)
	r.send("q", 1000)
	r.expect("old", fleet.Completed)
	if c := r.endpoint.group.Stats(); c.Opened != 2 || c.Expired != 1 {
		t.Errorf("stats %+v", c)
	}
}

// The minimum of connections is opened ahead of need.
func TestMinConnsAreOpenedAhead(t *testing.T) {
	r := newHarness(t, echo)
	r.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{MinConns: 3, IdleTimeout: 300}, 1, 0)
	r.endpoint.Reap()
	for end := time.Now().Add(2 * time.Second); r.endpoint.group.Stats().Opened < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not opened")
		}
	}
	r.send("q", 1000)
	r.expect("the first", fleet.Completed)
	if c := r.endpoint.group.Stats(); c.Opened != 3 || c.Waited != 0 {
		t.Errorf("stats %+v", c)
	}
}

// duplicatesCooldown is the first cooldown of the pool, in milliseconds.
const duplicatesCooldown = 15.0

// duplicatingServer responds to some requests a second time, whole or in halves, after a while.
type duplicatingServer struct {
	duplicates  sync.WaitGroup
	connections sync.Map // the connection that each request arrived on
	late        sync.Map // connections on which a duplicate was later than the cooldown
}

func (d *duplicatingServer) serve(c net.Conn) {
	n := 0
	for s := read(c); s != ""; s = read(c) {
		d.connections.Store(strings.TrimSpace(s), c)
		began := time.Now()
		d.duplicates.Add(1) // before the response, after which the test may wait for all
		write(c, s)
		behind := func(ms time.Duration, b string) {
			d.duplicates.Add(1)
			time.AfterFunc(ms*time.Millisecond, func() {
				defer d.duplicates.Done()
				if write(c, b); time.Since(began) > clock.Duration(duplicatesCooldown) {
					d.late.Store(c, true)
				}
			})
		}
		switch n++; n % 5 {
		case 0: // in halves
			behind(2, s[:len(s)/2])
			behind(4, s[len(s)/2:])
		case 1:
			behind(9, s)
		}
		d.duplicates.Done()
	}
}

// What a server sends late after a response never reaches another request, at any rate of use, as long as it arrives within the
// cooldown. On a busy machine the fake server itself may send it later than that, and records on which connection.
func TestDuplicatesReachNoOtherRequest(t *testing.T) {
	var server duplicatingServer
	r := newHarness(t, server.serve)
	r.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{Cooldown: duplicatesCooldown, DialAfterWait: 30, IdleTimeout: 60}, 1, 0)
	go func() {
		for range r.conns {
		}
	}()
	wrong := map[string]string{}
	for i := range 200 {
		key := fmt.Sprint("q", i)
		r.send(key, 1000)
		time.Sleep(500 * time.Microsecond) // so that some connections are reused
		e := r.end()
		if e.Failure == nil && string(e.Response.Value) != key {
			wrong[key] = string(e.Response.Value)
		}
		if e.Failure != nil && !errors.Is(e.Failure, errDuplicatesSuspected) {
			t.Errorf("%s: %v; %+v", key, e.Failure, r.endpoint.pool.State())
		}
	}
	server.duplicates.Wait()
	for key, value := range wrong {
		c, _ := server.connections.Load(key)
		if _, excused := server.late.Load(c); !excused {
			t.Errorf("%s has the response %s", key, value)
		}
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && r.endpoint.group.Stats().Unsolicited < 20; {
		time.Sleep(time.Millisecond)
	}
	if c := r.endpoint.group.Stats(); c.Unsolicited < 20 || c.Suspected == 0 {
		t.Errorf("stats %+v", c)
	}
}

// Connections that are opened ahead of need, and fail at once, are not dialed again at once: a machine without ports or a server
// that refuses kept a processor busy.
func TestFailedPrewarmingBacksOff(t *testing.T) {
	r := newHarness(t, echo)
	var dials atomic.Int64
	group := r.endpoint.group
	group.Dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		dials.Add(1)
		return os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)
	}
	e := New(group, lineProtocol{}, "prewarmed", connpool.Config{IdleTimeout: 300, MinConns: 2})
	e.SetTarget(r.ln.Addr().String(), true)
	time.Sleep(200 * time.Millisecond)
	if n := dials.Load(); n < 2 || n > 20 {
		t.Errorf("%d dials in 200 ms", n)
	}
}
