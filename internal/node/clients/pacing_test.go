package clients

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Input that is answered without a server takes no more than its part of the time, however many connections send it at full speed, and a client
// that sends little of it never waits. Once such clients took all of the time.
func TestLocalInputIsPaced(t *testing.T) {
	const work, floods = 200 * time.Microsecond, 20
	duration := 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var pacer inputPacer
		var wg sync.WaitGroup
		var mu sync.Mutex
		total := time.Duration(0)
		end := time.Now().Add(duration)
		for range floods {
			wg.Go(func() {
				for cost := (inputCost{}); time.Now().Before(end); {
					cost.begin()
					cost.local++
					time.Sleep(work)
					mu.Lock()
					total += work
					mu.Unlock()
					time.Sleep(pacer.reserve(cost.end(0)))
				}
			})
		}
		var occasional inputCost
		for time.Now().Before(end) {
			occasional.begin()
			occasional.local++
			if excess := occasional.end(0); excess > 0 {
				t.Fatalf("a client that sends ten commands a second exceeds its allowance by %v", excess)
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		limit := time.Duration((pacedShare+floods*connAllowance)*float64(duration)) + floods*(maxConnAllowance+work)
		if total > limit {
			t.Errorf("%v of %v were used, %v are the limit", total, duration, limit)
		}
	})
}

// A read of commands that are forwarded costs nothing, and rejected requests are charged.
func TestForwardedCommandsAreNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cost inputCost
		for range 1000 {
			cost.begin()
			cost.forwarded = 10
			time.Sleep(maxReadCost)
			if excess := cost.end(0); excess > 0 {
				t.Fatalf("forwarded commands exceed the allowance by %v", excess)
			}
		}
		cost.begin()
		cost.forwarded = 10
		if excess := cost.end(1000); excess < 1000*rejectionCost/2 {
			t.Errorf("1000 rejected requests exceed the allowance by %v", excess)
		}
	})
}

// A client that sends PING at full speed gets all its replies while it is paced, and the others theirs at once.
func TestPacedClientIsAnswered(t *testing.T) {
	const pings = 20_000
	h := newHarness(t)
	flood := h.dial()
	go flood.send(strings.Repeat(command("PING"), pings))
	other := h.dial()
	for range 20 {
		start := time.Now()
		other.send(command("PING"))
		other.expect("+PONG\r\n")
		if took := time.Since(start); took > time.Second {
			t.Errorf("a PING beside a flood is answered after %v", took)
		}
	}
	replies := make([]byte, pings*len("+PONG\r\n"))
	if _, err := io.ReadFull(flood.reader, replies); err != nil {
		t.Error(err)
	}
}
