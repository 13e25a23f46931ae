package decide_test

import (
	"fmt"

	"mintspring/decide"
	"mintspring/internal/fleet"
)

// Kinds of servers, as the settings of a deployment number them.
const (
	cacheKind fleet.KindID = iota
	originKind
)

// newNode returns a node in front of two caches and the origin, and the slab that it shares with its caller.
func newNode(now float64) (*decide.Node, *fleet.Slab) {
	slab := &fleet.Slab{}
	node := decide.New(now, fleet.Limits{
		Seed: 1, Nodes: 1, Zones: 1, OriginKind: originKind, MaxAttempts: 3, Hedging: true, Quantum: 1,
		Classes: []fleet.Class{{Effect: fleet.Idempotent, LatencyObjective: 200, ClientTimeout: 1000, PriorityWeight: 1}},
	}, slab)
	node.UpdateEndpoints(now, fleet.ListFull, []fleet.Endpoint{
		{ID: 0, Name: "cache-a", State: fleet.Ready, Kind: cacheKind},
		{ID: 1, Name: "cache-b", State: fleet.Ready, Kind: cacheKind},
		{ID: 2, Name: "origin", State: fleet.Ready, Kind: originKind},
	})
	return node, slab
}

var serverNames = []string{"cache-a", "cache-b", "origin"}

// newRead puts a read that arrives now into the slab. Its key is a hash of the client's key.
func newRead(slab *fleet.Slab, now float64, key fleet.Key) *fleet.Request {
	req := slab.Alloc()
	req.Class, req.Key, req.HasKey = 0, key, true
	req.ArrivedAt, req.Deadline = now, now+1000
	return req
}

// A read goes to the cache that owns its key. The cache does not have it, so the read goes on to the origin.
func Example() {
	now := 0.0
	node, slab := newNode(now)

	req := newRead(slab, now, 42)
	d := node.Route(now, req)
	fmt.Println("attempt", d.Attempt, "send:", d.Action == fleet.Send, "to", serverNames[d.Server], "within", d.Timeout, "ms")

	now += 2 // the cache responds that it does not have the key
	d = node.AttemptDone(now, req, fleet.Outcome{
		Attempt: d.Attempt, Result: fleet.Missed, Took: 2, Cache: fleet.CacheMiss, Report: fleet.NewLoadReport(),
	})
	fmt.Println("attempt", d.Attempt, "send:", d.Action == fleet.Send, "to", serverNames[d.Server], "within", d.Timeout, "ms")

	now += 30 // the origin responds, and the caller has passed the response on to the client
	d = node.AttemptDone(now, req, fleet.Outcome{
		Attempt: d.Attempt, Result: fleet.Completed, Took: 30, Closed: true, Report: fleet.NewLoadReport(),
	})
	fmt.Println("nothing more to do:", d.Action == fleet.NoAction)
	slab.Free(req)
	// Output:
	// attempt 0 send: true to cache-b within 1000 ms
	// attempt 1 send: true to origin within 998 ms
	// nothing more to do: true
}

// A caller without other events sleeps for as long as NextDue says and then calls Route for the request that NextDue returned. In this
// example, the cache of a read stays silent, so the node sends a hedged request.
func ExampleNode_NextDue() {
	now := 0.0
	node, slab := newNode(now)
	req := newRead(slab, now, 42)
	first := node.Route(now, req)

	for {
		ref, wait := node.NextDue(now)
		if wait > 0 {
			now += wait
			continue
		}
		due := slab.Get(ref) // nil: the node's own maintenance is due
		if d := node.Route(now, due); due == req && d.Action == fleet.Send {
			fmt.Printf("after %.0f ms without a response from %s: attempt %d at %s\n",
				now, serverNames[first.Server], d.Attempt, serverNames[d.Server])
			return
		}
	}
	// Output:
	// after 100 ms without a response from cache-b: attempt 1 at origin
}

// Export and Restore carry over what a node has learned, here to one that has just started among the same servers.
func ExampleNode_Export() {
	now := 0.0
	before, slab := newNode(now)
	for key := range fleet.Key(200) {
		req := newRead(slab, now, key)
		d := before.Route(now, req)
		now += 8
		before.AttemptDone(now, req, fleet.Outcome{
			Attempt: d.Attempt, Result: fleet.Completed, Took: 8, Closed: true, Cache: fleet.CacheHit, Report: fleet.NewLoadReport(),
		})
		slab.Free(req)
	}
	var snapshot fleet.Snapshot
	before.Export(now, &snapshot)
	fmt.Printf("%s answers in %.0f ms\n", serverNames[1], snapshot.Servers[1].ResponseTime)

	after, _ := newNode(now)
	after.Restore(now, &snapshot)
	after.Export(now, &snapshot)
	fmt.Printf("the new node expects %.0f ms\n", snapshot.Servers[1].ResponseTime)
	// Output:
	// cache-b answers in 8 ms
	// the new node expects 8 ms
}
