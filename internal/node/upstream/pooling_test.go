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

// A connection is reused until the server announces its end, CloseUnused closes it, or it has been idle for too long.
func TestConnectionReuse(t *testing.T) {
	h := newHarness(t, echo)
	for range 5 {
		h.send("q", 1000)
		h.expectResult("one after another", fleet.Completed)
	}
	if opened := h.endpoint.group.Stats().Opened; opened != 1 {
		t.Errorf("%d connections were opened for five attempts in turn", opened)
	}
	h.send("last", 1000)
	h.nextCompletion()
	h.send("q", 1000)
	h.expectResult("after the server's last response on a connection", fleet.Completed)
	if opened := h.endpoint.group.Stats().Opened; opened != 2 {
		t.Errorf("%d connections were opened, want 2", opened)
	}
	h.endpoint.CloseUnused()
	h.send("q", 1000)
	h.expectResult("after CloseUnused", fleet.Completed)
	if opened := h.endpoint.group.Stats().Opened; opened != 3 {
		t.Errorf("%d connections were opened, want 3", opened)
	}
	time.Sleep(350 * time.Millisecond)
	h.send("q", 1000) // the server may be about to close a connection that has been idle for this long
	h.expectResult("after a long idle time", fleet.Completed)
	if opened := h.endpoint.group.Stats().Opened; opened != 4 {
		t.Errorf("%d connections were opened, want 4", opened)
	}
	time.Sleep(350 * time.Millisecond)
	h.endpoint.Reap()
	if h.endpoint.group.CloseOldestUnused() {
		t.Error("a connection is open after the idle timeout")
	}
}

// A waiting attempt takes the first connection that becomes free, even if another one is being dialed for it.
func TestWaitingAttemptTakesReleasedConnection(t *testing.T) {
	h := newHarness(t, echo)
	h.endpoint.mu.Lock()
	h.endpoint.pool.Dialing = 1
	h.endpoint.mu.Unlock()
	h.send("q", 1000)
	serverEnd := h.addPipeConn()
	go echo(serverEnd)
	h.expectResult("on the released connection", fleet.Completed)
}

// Bytes that follow a response must not be read as the response to the next attempt.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	h := newHarness(t, func(c net.Conn) { read(c); write(c, "q\nmore\n"); echo(c) })
	h.send("q", 1000)
	h.expectResult("first", fleet.Completed)
	h.send("q", 1000)
	if v := string(h.nextCompletion().Response.Value); v != "q" {
		t.Errorf("response %q", v)
	}
	if opened := h.endpoint.group.Stats().Opened; opened != 2 {
		t.Errorf("%d connections were opened, want 2", opened)
	}
}

// A duplicate response that arrives after the connection was assigned to the next attempt is not read as that attempt's response. The
// attempt takes another connection, since no byte of it was sent.
func TestLateDuplicateResponse(t *testing.T) {
	h := newHarness(t, func(c net.Conn) {
		for s := read(c); s != ""; s = read(c) {
			write(c, s)
			write(c, s)
		}
	})
	h.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{Cooldown: 20, DialAfterWait: 200, IdleTimeout: 300}, 1, 0)
	go func() {
		for range h.accepted {
		}
	}()
	for i := range 50 {
		key := fmt.Sprint("q", i)
		for range 3 {
			h.send(key, 1000)
		}
		for range 3 {
			if completion := h.nextCompletion(); string(completion.Response.Value) != key {
				t.Fatalf("%s: response %q, %v", key, completion.Response.Value, completion.Failure)
			}
		}
	}
}

// An attempt that is assigned a connection which the server has closed while it was idle takes another connection and does not fail.
func TestIdleConnectionClosedByServer(t *testing.T) {
	h := newHarness(t, echo)
	for i := range 100 {
		h.send("q", 1000)
		h.expectResult("after the server closed idle connections", fleet.Completed)
		closeConn(<-h.accepted)
		if i%2 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// If a server drops idle connections without closing them, only one attempt fails, not one for each idle connection. The failure is
// marked as stale.
func TestStaleConnectionsAreClosed(t *testing.T) {
	const conns = 5
	var dropped atomic.Bool    // the server has dropped the connections that are open now
	var arrived sync.WaitGroup // the first requests; they are answered when each has its own connection
	arrived.Add(conns)
	h := newHarness(t, func(c net.Conn) {
		for isNew := dropped.Load(); ; {
			s := read(c)
			if s == "" {
				return
			}
			if !dropped.Load() {
				arrived.Done()
				arrived.Wait()
			}
			if dropped.Load() && !isNew {
				_ = c.(*net.TCPConn).SetLinger(0) // closing then resets the connection
				closeConn(c)
				return
			}
			write(c, s)
		}
	})
	for range conns {
		h.send("q", 1000)
	}
	for range conns {
		h.expectResult("each on its own connection", fleet.Completed)
	}
	time.Sleep(120 * time.Millisecond)
	dropped.Store(true)
	h.send("q", 1000)
	if completion := h.nextCompletion(); completion.Failure == nil || !completion.Failure.Stale ||
		completion.Failure.Outcome() != fleet.Reset {
		t.Errorf("on a stale connection: %+v", completion)
	}
	for range 3 {
		h.send("q", 1000)
		h.expectResult("after the stale connection", fleet.Completed)
	}
}

// CloseOldestUnused closes the connection that has been unused longest among all endpoints, in order to free a descriptor.
func TestCloseOldestUnused(t *testing.T) {
	h := newHarness(t, echo)
	other := New(h.endpoint.group, lineProtocol{}, "other", connpool.Config{IdleTimeout: 300})
	other.SetTarget(h.listener.Addr().String(), true)
	for _, endpoint := range []*Endpoint{other, h.endpoint} {
		endpoint.Send(&exchange.Exchange{Key: []byte("q")}, 0, 1000, math.Inf(1))
		h.expectResult("one connection per endpoint", fleet.Completed)
	}
	for i, want := range []int{1, 0, 0} {
		if h.endpoint.group.CloseOldestUnused() != (i < 2) || h.endpoint.pool.State().Open != want || other.pool.State().Open != 0 {
			t.Errorf("after call %d: %d and %d connections are open", i+1, other.pool.State().Open, h.endpoint.pool.State().Open)
		}
	}
	if connected := h.endpoint.group.connectedEndpoints(); len(connected) > 0 {
		t.Errorf("the group keeps %d endpoints without a connection", len(connected))
	}
}

// An attempt is not sent if no file descriptor is free.
func TestNoFreeDescriptor(t *testing.T) {
	h := newHarness(t, echo)
	h.endpoint.group.Sockets = fdlimit.New(1, 0)
	h.send("q", 1000)
	h.expectResult("without a descriptor", fleet.NotSent)
}

// If a burst needs more connections than are allowed, its attempts wait for the open ones. Attempts that wait too long, or find the
// queue full, fail without having been executed.
func TestBoundedPool(t *testing.T) {
	h := newHarness(t, func(c net.Conn) {
		for s := read(c); s != ""; s = read(c) {
			time.Sleep(30 * time.Millisecond)
			write(c, s)
		}
	})
	h.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{MaxConns: 2, WaitTimeout: 100, MaxWaiting: 12, IdleTimeout: 300}, 1, 0)
	for i := range 20 {
		h.send(fmt.Sprint("q", i), 1000)
	}
	results := map[fleet.Result]int{}
	for range 20 {
		if completion := h.nextCompletion(); completion.Failure != nil {
			if results[completion.Failure.Outcome()]++; !completion.Failure.Outcome().NotExecuted() {
				t.Errorf("%v", completion.Failure)
			}
		} else {
			results[completion.Response.Result]++
		}
	}
	stats := h.endpoint.group.Stats()
	if stats.Opened != 2 || results[fleet.Completed] < 4 || results[fleet.Declined] != 20-results[fleet.Completed] ||
		stats.WaitTimeouts+stats.QueueFull != results[fleet.Declined] || stats.WaitTimeouts == 0 || stats.QueueFull == 0 {
		t.Errorf("outcomes %v, stats %+v", results, stats)
	}
}

// If the server accepts no connections, all waiting attempts fail soon, even if only one dial at a time may be in progress.
func TestBoundedPoolAtDeadServer(t *testing.T) {
	h := newHarness(t, echo)
	closeConn(h.listener)
	h.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{MaxConns: 1, IdleTimeout: 300}, 1, 0)
	for range 10 {
		h.send("q", 2000)
	}
	start := time.Now()
	for range 10 {
		h.expectResult("a dead server", fleet.ConnectFailed)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the attempts failed only after %v", took)
	}
}

// A connection is not reused past its maximum age.
func TestMaxAge(t *testing.T) {
	h := newHarness(t, echo)
	h.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{MaxAge: 50, IdleTimeout: 300}, 1, 0)
	h.send("q", 1000)
	h.expectResult("before the maximum age", fleet.Completed)
	time.Sleep(60 * time.Millisecond)
	h.send("q", 1000)
	h.expectResult("after the maximum age", fleet.Completed)
	if stats := h.endpoint.group.Stats(); stats.Opened != 2 || stats.Expired != 1 {
		t.Errorf("stats %+v", stats)
	}
}

// Reap opens the minimum number of connections before any attempt needs them.
func TestMinConnsAreOpenedAhead(t *testing.T) {
	h := newHarness(t, echo)
	h.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{MinConns: 3, IdleTimeout: 300}, 1, 0)
	h.endpoint.Reap()
	for end := time.Now().Add(2 * time.Second); h.endpoint.group.Stats().Opened < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the minimum number of connections was not opened within 2 s")
		}
	}
	h.send("q", 1000)
	h.expectResult("first attempt", fleet.Completed)
	if stats := h.endpoint.group.Stats(); stats.Opened != 3 || stats.Waited != 0 {
		t.Errorf("stats %+v", stats)
	}
}

// duplicatesCooldown is the pool's cooldown while the server is not suspected of duplicates, in ms.
const duplicatesCooldown = 15.0

// duplicatingServer sends a duplicate of some responses after a delay, in one piece or in two halves.
type duplicatingServer struct {
	duplicates  sync.WaitGroup // duplicates that are still to be sent
	connections sync.Map       // from each request to the connection on which it arrived
	late        sync.Map       // set of connections on which a duplicate was sent after the cooldown
}

func (d *duplicatingServer) serve(c net.Conn) {
	n := 0
	for s := read(c); s != ""; s = read(c) {
		d.connections.Store(strings.TrimSpace(s), c)
		receivedAt := time.Now()
		d.duplicates.Add(1) // before the response, because the test may call Wait once it has the response
		write(c, s)
		sendLater := func(ms time.Duration, b string) {
			d.duplicates.Add(1)
			time.AfterFunc(ms*time.Millisecond, func() {
				defer d.duplicates.Done()
				if write(c, b); time.Since(receivedAt) > clock.Duration(duplicatesCooldown) {
					d.late.Store(c, true)
				}
			})
		}
		switch n++; n % 5 {
		case 0: // in halves
			sendLater(2, s[:len(s)/2])
			sendLater(4, s[len(s)/2:])
		case 1:
			sendLater(9, s)
		}
		d.duplicates.Done()
	}
}

// A duplicate response that arrives within the cooldown is never read as the response to another request, no matter how often
// connections are reused. On a busy machine the fake server may send a duplicate after the cooldown; it records the connection then.
func TestDuplicatesReachNoOtherRequest(t *testing.T) {
	var server duplicatingServer
	h := newHarness(t, server.serve)
	h.endpoint.pool.Policy = connpool.NewPolicy(connpool.Config{Cooldown: duplicatesCooldown, DialAfterWait: 30, IdleTimeout: 60}, 1, 0)
	go func() {
		for range h.accepted {
		}
	}()
	wrong := map[string]string{}
	for i := range 200 {
		key := fmt.Sprint("q", i)
		h.send(key, 1000)
		time.Sleep(500 * time.Microsecond) // so that some connections are reused
		completion := h.nextCompletion()
		if completion.Failure == nil && string(completion.Response.Value) != key {
			wrong[key] = string(completion.Response.Value)
		}
		if completion.Failure != nil && !errors.Is(completion.Failure, errDuplicatesSuspected) {
			t.Errorf("%s: %v; %+v", key, completion.Failure, h.endpoint.pool.State())
		}
	}
	server.duplicates.Wait()
	for key, value := range wrong {
		c, _ := server.connections.Load(key)
		if _, late := server.late.Load(c); !late {
			t.Errorf("request %s got the response %s", key, value)
		}
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && h.endpoint.group.Stats().Unsolicited < 20; {
		time.Sleep(time.Millisecond)
	}
	if stats := h.endpoint.group.Stats(); stats.Unsolicited < 20 || stats.Suspected == 0 {
		t.Errorf("stats %+v", stats)
	}
}

// If connections opened ahead of need fail at once, they are not dialed again at once. Without this pause, a machine without free ports
// or a server that refuses connections kept a processor busy.
func TestFailedPrewarmingBacksOff(t *testing.T) {
	h := newHarness(t, echo)
	var dials atomic.Int64
	group := h.endpoint.group
	group.Dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		dials.Add(1)
		return os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)
	}
	endpoint := New(group, lineProtocol{}, "prewarmed", connpool.Config{IdleTimeout: 300, MinConns: 2})
	endpoint.SetTarget(h.listener.Addr().String(), true)
	time.Sleep(200 * time.Millisecond)
	if n := dials.Load(); n < 2 || n > 20 {
		t.Errorf("%d dials in 200 ms", n)
	}
}
