// Case 3: the origin halts for some seconds; writes of more than 64 KiB that wait for it are answered long after their time.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/review/standin"
)

const (
	writers    = 8                      // clients that write small values, each about once a second
	holders    = 3                      // clients that write values of nearly 4 MiB slowly
	holderSize = 4_190_000              // of such a value
	work       = 250 * time.Millisecond // of the origin for a write
	haltAt     = 9 * time.Second        // when the origin halts
	haltFor    = 5 * time.Second        // the pages have 3 to 8 s, twice a day at most
	largeSize  = 100_000
	largeEvery = 300 * time.Millisecond
	deadlineMs = 2500
	lateMs     = 550 // half a second, and 50 ms more on sockets
	duration   = 22 * time.Second
)

// halt is whether the origin has halted.
type halt struct {
	mu   sync.Mutex
	over chan struct{} // closed at the end of the halt; nil: the origin works
}

// set begins or ends the halt.
func (h *halt) set(halted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if halted {
		h.over = make(chan struct{})
		return
	}
	close(h.over)
	h.over = nil
}

// wait returns when the origin works.
func (h *halt) wait() {
	h.mu.Lock()
	over := h.over
	h.mu.Unlock()
	if over != nil {
		<-over
	}
}

// play halts the origin for a while.
func (h *halt) play(run *standin.Run) {
	time.Sleep(haltAt)
	run.Logf("the origin halts")
	h.set(true)
	time.Sleep(haltFor)
	run.Logf("the origin goes on")
	h.set(false)
}

// origin answers each request after some time, and none while it has halted.
func origin(run *standin.Run, h *halt) func(*standin.ServerConn, standin.Request) {
	return func(c *standin.ServerConn, request standin.Request) {
		run.Logf("the origin gets %s %s with %d bytes, %s", request.Name, request.ID, len(request.Value), request.Extra)
		h.wait()
		time.Sleep(work)
		h.wait()
		c.Send(standin.OriginAnswer("receipt of " + request.ID))
	}
}

func command(id string, size int) []byte {
	return standin.Command("KV.SET", "00000000000000"+id[len(id)-2:], id, fmt.Sprintf("c=write,t=one,d=%d,k=%s", deadlineMs, id), strings.Repeat("v", size))
}

// write sends a write and checks when it is answered.
func write(run *standin.Run, c *standin.Client, id string, size int) string {
	n, err := c.Write(command(id, size))
	sentAt := run.Ms()
	run.Logf("%s: %d bytes are written (%v)", id, n, err)
	if err != nil {
		run.Fatal(err)
	}
	value, _, err := c.ReadReply(20 * time.Second)
	took := run.Ms() - sentAt
	run.Logf("%s is answered %q after %.0f ms (%v)", id, value, took, err)
	if took > deadlineMs+lateMs || err != nil {
		run.Break("%s, of %d bytes, has its final answer %.0f ms after its last byte was written (%v)", id, size, took, err)
	}
	return value
}

// writeAll writes small values, one after the other.
func writeAll(run *standin.Run, addr string, number int, until time.Time) {
	c := run.Dial(addr)
	for i := 0; time.Now().Before(until); i++ {
		write(run, c, fmt.Sprintf("small-%02d%04d", number, i), 100)
		time.Sleep(time.Duration(500+rand.IntN(500)) * time.Millisecond)
	}
}

// hold writes large values slowly, one after the other.
func hold(run *standin.Run, addr string, number int, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("slow-%d%03d", number, i)
		c := run.Dial(addr)
		b := command(id, holderSize)
		run.Logf("%s: a client begins to write %d bytes", id, len(b))
		for len(b) > 0 {
			n := min(len(b), 30_000)
			if _, err := c.Write(b[:n]); err != nil {
				break
			}
			b = b[n:]
			time.Sleep(100 * time.Millisecond)
		}
		value, _, err := c.ReadReply(10 * time.Second)
		run.Logf("%s is answered %.40q (%v)", id, value, err)
		_ = c.Close()
	}
}

func main() {
	run := standin.Start()
	var h halt
	miss := func(c *standin.ServerConn, _ standin.Request) { c.Send(standin.CacheMiss()) }
	members := []standin.Member{
		{ID: "cache-0", HostPort: run.StartCache(miss), Locality: "a", Flavor: standin.CacheKind, Phase: "in_service", Size: 1},
		{ID: "origin", HostPort: run.StartOrigin(origin(run, &h)), Locality: "a", Flavor: standin.OriginKind, Phase: "in_service", Size: 1},
	}
	discovery := run.StartDiscovery(members)
	node := run.StartNode(standin.NodeOptions{
		Name: "n0", Discovery: discovery.Addr, Known: members, MemoryMB: 64, Sockets: 512, QuantumMs: 5, Zones: []string{"a"},
		Classes: []standin.Class{
			{Name: "read", Effect: "pure", ObjectiveS: 0.6, DeadlineS: 1.2, WindowS: 5},
			{Name: "write", Effect: "token", ObjectiveS: 0.8, DeadlineS: deadlineMs / 1000., WindowS: 12},
		},
	})
	until := time.Now().Add(duration)
	if run.Trouble {
		go h.play(run)
	}
	var running sync.WaitGroup
	for i := range writers {
		running.Go(func() { writeAll(run, node.Addr, i, until) })
	}
	for i := range holders {
		running.Go(func() { hold(run, node.Addr, i, until) })
	}
	time.Sleep(5 * time.Second)
	var number atomic.Int64
	for time.Now().Before(until.Add(-3 * time.Second)) {
		running.Go(func() {
			c := run.Dial(node.Addr)
			write(run, c, fmt.Sprintf("large-%04d", number.Add(1)), largeSize)
			_ = c.Close()
		})
		time.Sleep(largeEvery)
	}
	running.Wait()
	run.Finish()
}
