// Case 3: a client sends many commands at once and closes its connection; the node goes on to forward them.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"mintspring/review/standin"
)

const (
	clients  = 16
	commands = 300 // that a client sends at once
	size     = 2000
	work     = 200 * time.Millisecond // of the origin for a write, and up to
	spread   = 200                    // ms more
	leaveMs  = 150                    // 0.1 s, and 50 ms more on sockets
	pause    = time.Second            // between two clients
)

// departures is when clients have closed their connections, by the part of the ids before the hyphen.
type departures struct {
	mu sync.Mutex
	at map[string]float64
}

func (d *departures) of(id string) (at float64, departed bool) {
	client, _, _ := strings.Cut(id, "-")
	d.mu.Lock()
	defer d.mu.Unlock()
	at, departed = d.at[client]
	return at, departed
}

// origin answers each request after some time, and checks that its client was there when it began.
func origin(run *standin.Run, d *departures) func(*standin.ServerConn, standin.Request) {
	var mu sync.Mutex
	number := 0
	return func(c *standin.ServerConn, request standin.Request) {
		run.Logf("the origin gets %s %s; its first byte came at %.3f ms", request.Name, request.ID, request.FirstByteMs)
		if at, departed := d.of(request.ID); departed && request.FirstByteMs > at+leaveMs {
			run.Break("%s begins at the origin %.0f ms after its client has closed its connection", request.ID, request.FirstByteMs-at)
		}
		mu.Lock()
		number++
		more := time.Duration(number*37%spread) * time.Millisecond
		mu.Unlock()
		time.Sleep(work + more)
		c.Send(standin.OriginAnswer("receipt of " + request.ID))
	}
}

// send sends the commands of a client at once. With the disruption the client then closes its connection, and otherwise it reads all
// replies first.
func send(run *standin.Run, d *departures, addr, name string) {
	var b []byte
	for k := range commands {
		id := fmt.Sprintf("%s-%04d", name, k)
		b = append(b, standin.Command("KV.SET", fmt.Sprintf("%016x", k*7919), id, "c=write,t=one,d=2500,k="+id, strings.Repeat("v", size))...)
	}
	c := run.Dial(addr)
	if !run.Trouble {
		var running sync.WaitGroup
		running.Go(func() {
			n, err := c.Write(b)
			run.Logf("%s has sent %d of %d bytes (%v)", name, n, len(b), err)
		})
		for k := range commands {
			value, _, err := c.ReadReply(5 * time.Second)
			run.Logf("%s-%04d is answered %q (%v)", name, k, value, err)
			if err != nil {
				run.Break("%s-%04d has no answer: %v", name, k, err)
				break
			}
		}
		_ = c.Close() // all replies have been read
		running.Wait()
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)) // an error shows in the write
	n, err := c.Write(b)
	d.mu.Lock()
	_ = c.Close() // what has been written is still sent
	d.at[name] = run.Ms()
	d.mu.Unlock()
	run.Logf("%s has sent %d of %d bytes (%v) and closes its connection", name, n, len(b), err)
	time.Sleep(pause)
}

func main() {
	run := standin.Start()
	d := &departures{at: map[string]float64{}}
	miss := run.StartCache(func(c *standin.ServerConn, _ standin.Request) { c.Send(standin.CacheMiss()) })
	members := []standin.Member{
		{ID: "cache-0", HostPort: miss, Locality: "a", Flavor: standin.CacheKind, Phase: "in_service", Size: 1},
		{ID: "origin", HostPort: run.StartOrigin(origin(run, d)), Locality: "a", Flavor: standin.OriginKind, Phase: "in_service", Size: 1},
	}
	discovery := run.StartDiscovery(members)
	node := run.StartNode(standin.NodeOptions{
		Name: "n0", Discovery: discovery.Addr, Known: members, MemoryMB: 192, Sockets: 1024, QuantumMs: 5, Zones: []string{"a"},
		Classes: []standin.Class{
			{Name: "read", Effect: "pure", ObjectiveS: 0.6, DeadlineS: 1.2, WindowS: 5},
			{Name: "write", Effect: "token", ObjectiveS: 0.8, DeadlineS: 2.5, WindowS: 12},
		},
	})
	for i := range clients {
		send(run, d, node.Addr, fmt.Sprintf("c%03d", i))
	}
	time.Sleep(time.Second)
	run.Finish()
}
