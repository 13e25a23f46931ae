package lease_test

import (
	"fmt"

	"mintspring/internal/cluster/lease"
)

// Two processes compete for one lease. The state is that of one replica of the consensus group, which applies commands in the order in which they
// were committed.
func Example() {
	state := lease.NewState()
	tracker := lease.NewExpiryTracker()
	a := lease.NewClient("rolling-restart", lease.Process{Node: 1, Incarnation: 10}, 1000)
	b := lease.NewClient("rolling-restart", lease.Process{Node: 2, Incarnation: 20}, 1000)
	// request applies the next command of a client at the given time and passes the result back without delay.
	request := func(c *lease.Client, now float64) {
		id, command := c.NextRequest(now)
		c.HandleResult(id, state.Apply(command))
		tracker.Observe(now, state)
	}

	request(a, 0)
	request(b, 0)
	fmt.Println("a may act:", a.MayAct(0, 100), "token:", a.Token(), "- b may act:", b.MayAct(0, 100))

	// a stops renewing. By its own clock its lease ends at 1000 ms, before the leader expires it.
	fmt.Println("at 1000 ms a may act:", a.MayAct(1000, 100), "- commands due:", len(tracker.DueCommands(1000, state)))
	for _, command := range tracker.DueCommands(1050, state) {
		fmt.Println("at 1050 ms the leader expires the lease:", state.Apply(command).OK)
	}
	request(b, 1060)
	fmt.Println("b may act:", b.MayAct(1060, 100), "token:", b.Token())

	// A resource that has seen the new token rejects operations that a sends under its old token.
	var fence lease.Fence
	fmt.Println("operation of b:", fence.Allow("rolling-restart", b.Token()))
	fmt.Println("late operation of a:", fence.Allow("rolling-restart", a.Token()))
	// Output:
	// a may act: true token: 1 - b may act: false
	// at 1000 ms a may act: false - commands due: 0
	// at 1050 ms the leader expires the lease: true
	// b may act: true token: 2
	// operation of b: true
	// late operation of a: false
}

// A write of a task's progress carries the fencing token and the revision that was read, so that a process that has lost the lease cannot
// overwrite newer progress.
func ExampleState_Apply() {
	state := lease.NewState()
	first, second := lease.Process{Node: 1, Incarnation: 10}, lease.Process{Node: 2, Incarnation: 20}
	apply := func(c lease.Command) lease.Result {
		c.Name = "rolling-restart"
		return state.Apply(c)
	}
	granted := apply(lease.Command{Kind: lease.KindAcquire, Process: first, TTLMillis: 1000})
	written := apply(lease.Command{
		Kind: lease.KindUpdateProgress, Process: first, Token: granted.Token, Revision: granted.Revision, Progress: []byte("cache-a done"),
	})
	fmt.Printf("written: %v, revision %d: %s\n", written.OK, written.Revision, written.Progress)

	apply(lease.Command{Kind: lease.KindRelease, Process: first, Token: granted.Token})
	taken := apply(lease.Command{Kind: lease.KindAcquire, Process: second})
	fmt.Printf("taken over: %v, token %d: %s\n", taken.OK, taken.Token, taken.Progress)

	late := apply(lease.Command{
		Kind: lease.KindUpdateProgress, Process: first, Token: granted.Token, Revision: written.Revision, Progress: []byte("cache-b done"),
	})
	fmt.Printf("late write: %v, still: %s\n", late.OK, late.Progress)
	// Output:
	// written: true, revision 1: cache-a done
	// taken over: true, token 2: cache-a done
	// late write: false, still: cache-a done
}
