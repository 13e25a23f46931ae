// Case 3: a client sends many reads at once and reads the answers slowly; the node cuts its connection off in the middle of an answer.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"mintspring/review/standin"
)

const (
	clients  = 6
	commands = 120 // that a client sends at once
	size     = 60_000
	work     = 20 * time.Millisecond // of a cache server
	piece    = 16 << 10              // bytes that a slow client reads at a time,
	pause    = 40 * time.Millisecond // and how long it pauses before each
	patience = 20 * time.Second      // for the rest of an answer, once those before it have come
)

// client sends all its commands at once, and reads one answer after the other. It never stops reading.
func client(run *standin.Run, addr, name string) {
	c := run.Dial(addr)
	if run.Trouble {
		c.ReadSlowly(piece, pause)
	}
	var b []byte
	for k := range commands {
		id := fmt.Sprintf("%s-%03d", name, k)
		b = append(b, standin.Command("KV.GET", standin.Key(id), id, "c=read,t=one,d=1200")...)
	}
	n, err := c.Write(b)
	run.Logf("%s has sent %d of %d bytes (%v)", name, n, len(b), err)
	run.Check(err)
	for k := range commands {
		id := fmt.Sprintf("%s-%03d", name, k)
		value, isValue, err := c.ReadReply(patience)
		switch {
		case err != nil:
			run.Break("%s and the %d requests behind it have no whole answer, and the connection has ended: %v", id, commands-k-1, err)
			return
		case isValue:
			run.Logf("%s is answered with %d bytes", id, len(value))
		default:
			run.Logf("%s is answered %q", id, value)
		}
	}
	_ = c.Close() // all answers have come
}

func main() {
	run := standin.Start()
	value := strings.Repeat("v", size)
	cache := func(c *standin.ServerConn, request standin.Request) {
		time.Sleep(work)
		c.Send(standin.CacheAnswer(value))
		run.Logf("a cache server answers %s", request.ID)
	}
	var members []standin.Member
	for i := range 4 {
		members = append(members, standin.Member{
			ID: fmt.Sprintf("cache-%d", i), HostPort: run.StartCache(cache), Locality: "a", Flavor: standin.CacheKind, Phase: "in_service", Size: 1,
		})
	}
	origin := run.StartOrigin(func(c *standin.ServerConn, request standin.Request) {
		time.Sleep(work)
		c.Send(standin.OriginAnswer(value))
		run.Logf("the origin answers %s", request.ID)
	})
	members = append(members, standin.Member{ID: "origin", HostPort: origin, Locality: "a", Flavor: standin.OriginKind, Phase: "in_service", Size: 1})
	discovery := run.StartDiscovery(members)
	node := run.StartNode(standin.NodeOptions{
		Name: "n0", Discovery: discovery.Addr, Known: members, MemoryMB: 192, Sockets: 1024, QuantumMs: 5, Zones: []string{"a"},
		Classes: []standin.Class{
			{Name: "read", Effect: "pure", ObjectiveS: 0.6, DeadlineS: 1.2, WindowS: 5},
			{Name: "write", Effect: "token", ObjectiveS: 0.8, DeadlineS: 2.5, WindowS: 12},
		},
	})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { client(run, node.Addr, fmt.Sprintf("c%d", i)) })
	}
	running.Wait()
	run.Finish()
}
