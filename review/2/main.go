// Case 2: clients send many reads at once; the node holds more memory than its limit, at which the platform kills it.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"mintspring/review/standin"
)

const (
	clients  = 20
	commands = 64 // that a client sends at once
	size     = 64_000
	work     = 50 * time.Millisecond // of a cache server
	memoryMB = 64
	sockets  = 384
	pause    = 2 * time.Second // of a client between two times
	duration = 20 * time.Second
	overFor  = 20 // measurements in a row over the limit, 5 ms apart, before the platform kills
)

// client sends reads and reads the answers as fast as it can. With the disruption it sends many at once, and otherwise one after the other.
func client(run *standin.Run, addr string, number int, until time.Time) {
	c := run.Dial(addr)
	atOnce := 1
	if run.Trouble {
		atOnce = commands
	}
	for i := 0; time.Now().Before(until); i++ {
		var b []byte
		for k := range atOnce {
			id := fmt.Sprintf("c%02d-%d-%d", number, i, k)
			b = append(b, standin.Command("KV.GET", standin.Key(id), id, "c=read,t=one,d=1200")...)
		}
		if _, err := c.Write(b); err != nil {
			run.Logf("client %d cannot send: %v", number, err)
			return
		}
		values, others := 0, 0
		for range atOnce {
			_, isValue, err := c.ReadReply(10 * time.Second)
			if err != nil {
				run.Logf("client %d, time %d: %d values and %d other answers, then %v", number, i, values, others, err)
				return
			}
			if isValue {
				values++
			} else {
				others++
			}
		}
		run.Logf("client %d, time %d: %d reads sent at once, %d values and %d other answers", number, i, atOnce, values, others)
		time.Sleep(pause * time.Duration(atOnce) / commands)
	}
}

// platform measures the node's memory, and kills a node that is over its limit.
func platform(run *standin.Run, n *standin.Node, until time.Time) {
	peak, over := 0.0, 0
	for ; time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		mb := n.MemoryMB()
		if mb > peak {
			peak = mb
			run.Logf("the node holds %.1f MB that no file backs", mb)
		}
		if over++; mb <= memoryMB {
			over = 0
		}
		if over >= overFor {
			run.Break("the node holds %.1f MB that no file backs, and may hold %d: it is killed", mb, memoryMB)
			n.ExpectEnd()
			n.Signal(syscall.SIGKILL)
			break
		}
	}
	run.Logf("the most that the node held: %.1f MB of %d", peak, memoryMB)
}

func main() {
	run := standin.Start()
	value := strings.Repeat("v", size)
	cache := func(c *standin.ServerConn, _ standin.Request) {
		time.Sleep(work)
		c.Send(standin.CacheAnswer(value))
	}
	var members []standin.Member
	for i := range 10 {
		members = append(members, standin.Member{
			ID: fmt.Sprintf("cache-%d", i), HostPort: run.StartCache(cache), Locality: "a", Flavor: standin.CacheKind, Phase: "in_service", Size: 1,
		})
	}
	origin := run.StartOrigin(func(c *standin.ServerConn, _ standin.Request) {
		time.Sleep(work)
		c.Send(standin.OriginAnswer(value))
	})
	members = append(members, standin.Member{ID: "origin", HostPort: origin, Locality: "a", Flavor: standin.OriginKind, Phase: "in_service", Size: 1})
	discovery := run.StartDiscovery(members)
	node := run.StartNode(standin.NodeOptions{
		Name: "n0", Discovery: discovery.Addr, Known: members, MemoryMB: memoryMB, Sockets: sockets, QuantumMs: 5, Zones: []string{"a"},
		Classes: []standin.Class{
			{Name: "read", Effect: "pure", ObjectiveS: 0.6, DeadlineS: 1.2, WindowS: 5},
			{Name: "write", Effect: "token", ObjectiveS: 0.8, DeadlineS: 2.5, WindowS: 12},
		},
	})
	until := time.Now().Add(duration)
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { client(run, node.Addr, i, until) })
	}
	platform(run, node, until)
	running.Wait()
	run.Finish()
}
