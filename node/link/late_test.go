package link

import (
	"math"
	"net"
	"testing"
	"time"

	"mintspring/fleet"
	"mintspring/node/exchange"
)

// The answer to a query that came too late is taken in and dropped, and its connection is used again: closing it cost the server a new
// one for each client that gave less time than answers take.
func TestLateAnswerKeepsItsConnection(t *testing.T) {
	on := make(chan struct{}, 1)
	r := newRig(t, func(c net.Conn) {
		for s := read(c); s != ""; s = read(c) {
			if s != "quick\n" {
				<-on
			}
			c.Write([]byte(s))
		}
	})
	r.link.group.Late = 60_000
	send := func(key string, limit, more float64) *Execution {
		x := &exchange.Exchange{Key: []byte(key), Deadline: r.link.group.Clock.Now() + limit + more}
		return r.link.Send(x, 0, limit, math.Inf(1))
	}
	// Open reports how many connections are in use.
	inUse := func() int { return r.link.State().InUse }
	send("late", 20, 0)
	r.wants("its time is up", fleet.TimedOut)
	if n := inUse(); n != 1 {
		t.Fatalf("%d connections are in use", n)
	}
	on <- struct{}{}
	for inUse() > 0 {
		time.Sleep(time.Millisecond)
	}
	send("quick", 4000, 0)
	if e := r.end(); string(e.Reply.Value) != "quick" {
		t.Errorf("the next query had %q, %v", e.Reply.Value, e.Break)
	}
	if n := len(r.conns); n != 1 {
		t.Errorf("%d connections were opened", n)
	}

	// Where the query may go on elsewhere its connection is cut at once.
	send("given up", 20, 4000)
	r.wants("its execution's time is up", fleet.TimedOut)
	if n := inUse(); n != 0 {
		t.Errorf("%d connections are in use: it is out beside the next one", n)
	}

	// What never comes is not waited for for ever.
	r.link.group.Late = 30
	send("never", 20, 0)
	r.wants("its time is up", fleet.TimedOut)
	for end := time.Now().Add(5 * time.Second); inUse() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is held for ever")
		}
	}
	on <- struct{}{}
}
