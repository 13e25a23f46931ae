// Case 1: a second answer comes some milliseconds late, and the node passes it on as the answer to another request.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/review/standin"
)

const (
	servers  = 20
	clients  = 40
	oneWay   = 4 * time.Millisecond // between two sites; the site file has 2.8 to 5.2 ms
	work     = 20 * time.Millisecond
	late     = 8 * time.Millisecond // of a second answer
	share    = 0.01                 // of the answers that are followed by a second one
	duration = 20 * time.Second
)

// cacheServer answers each request with the value of its key. With the disruption some answers come a second time, if by then no other
// request has come on the connection.
func cacheServer(run *standin.Run, id string, second *atomic.Int64) func(*standin.ServerConn, standin.Request) {
	return func(c *standin.ServerConn, request standin.Request) {
		time.Sleep(work)
		answer := standin.CacheAnswer("value of " + request.Key)
		c.Send(answer)
		run.Logf("%s answers %s (%s)", id, request.ID, request.Key)
		if !run.Trouble || rand.Float64() >= share {
			return
		}
		begun := c.Begun()
		time.AfterFunc(late, func() {
			if c.SendIfResting(begun, answer) {
				second.Add(1)
				run.Logf("%s answers %s (%s) a second time", id, request.ID, request.Key)
			}
		})
	}
}

// client sends reads on one connection, one after the other.
func client(run *standin.Run, number int, addr string, until time.Time, sent *atomic.Int64) {
	c := run.Dial(addr)
	for i := 0; time.Now().Before(until); i++ {
		key, id := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%08x%08x", number, i)
		sent.Add(1)
		run.Logf("client %d sends %s (%s)", number, id, key)
		if _, err := c.Write(standin.Command("KV.GET", key, id, "c=read,t=one,d=1200")); err != nil {
			run.Break("client %d cannot send %s: %v", number, id, err)
			return
		}
		value, isValue, err := c.ReadReply(3 * time.Second)
		switch {
		case err != nil:
			run.Break("client %d has no answer to %s: %v", number, id, err)
			return
		case isValue && value != "value of "+key:
			run.Break("client %d is answered %q to %s, which reads %s", number, value, id, key)
		default:
			run.Logf("client %d is answered %q to %s", number, value, id)
		}
		time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
	}
}

func main() {
	run := standin.Start()
	var sent, second atomic.Int64
	var members []standin.Member
	for i := range servers {
		id := fmt.Sprintf("cache-%d", i)
		addr := run.Link(run.StartCache(cacheServer(run, id, &second)), oneWay)
		members = append(members, standin.Member{ID: id, HostPort: addr, Locality: "b", Flavor: standin.CacheKind, Phase: "in_service", Size: 1})
	}
	origin := run.StartOrigin(func(c *standin.ServerConn, request standin.Request) {
		c.Send(standin.OriginAnswer("value of " + request.Key))
	})
	members = append(members, standin.Member{ID: "origin", HostPort: origin, Locality: "a", Flavor: standin.OriginKind, Phase: "in_service", Size: 1})
	discovery := run.StartDiscovery(members)
	node := run.StartNode(standin.NodeOptions{
		Name: "n0", Discovery: discovery.Addr, Known: members, MemoryMB: 192, Sockets: 1024, QuantumMs: 5, Zones: []string{"a", "b"},
		Classes: []standin.Class{{Name: "read", Effect: "pure", ObjectiveS: 0.6, DeadlineS: 1.2, WindowS: 5}},
	})
	var running sync.WaitGroup
	until := time.Now().Add(duration)
	for i := range clients {
		running.Go(func() { client(run, i, node.Addr, until, &sent) })
	}
	running.Wait()
	run.Logf("requests sent: %d, second answers sent: %d", sent.Load(), second.Load())
	run.Finish()
}
