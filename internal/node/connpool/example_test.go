package connpool_test

import (
	"fmt"

	"mintspring/internal/node/connpool"
)

// conn is the owner's connection; it embeds the pool's state of it.
type conn struct {
	connpool.Conn
	name string
}

// attempt is the owner's attempt; it embeds the pool's state of it.
type attempt struct {
	connpool.Waiter
	name string
}

// owner prints the decisions of the pool. A real owner opens sockets and has a lock under which it calls the pool.
type owner struct{}

func (owner) Dial(addr string) { fmt.Println("dial", addr) }

func (owner) Assign(now float64, c *conn, a *attempt) {
	fmt.Printf("at %.0f ms %s goes out on %s\n", now, a.name, c.name)
}

func (owner) CloseConn(c *conn) { fmt.Println("close", c.name) }

func (owner) TickAfter(ms float64) { fmt.Printf("call Tick in %.0f ms\n", ms) }

// Two attempts use one connection, one after the other. After a response the connection cools down before it is reused.
func Example() {
	policy := connpool.NewPolicy(connpool.Config{Nodes: 1, Cooldown: 5, MaxConns: 1, WaitTimeout: 100}, 0, 0)
	var counters connpool.Counters
	pool := connpool.New[*conn, *attempt](policy, &counters, owner{})
	pool.SetTarget(0, "10.0.0.1:6379", true)

	pool.Acquire(0, &attempt{name: "first"})
	c := &conn{Conn: connpool.Conn{Addr: "10.0.0.1:6379"}, name: "connection 1"}
	pool.DialSucceeded(1, c)
	pool.Acquire(2, &attempt{name: "second"})
	fmt.Printf("%+v\n", pool.State())

	pool.Responded(10, c, connpool.Response{})
	pool.Tick(15)
	fmt.Println("opened:", counters.Opened.Load(), "reused:", counters.Reused.Load())
	// Output:
	// dial 10.0.0.1:6379
	// call Tick in 100 ms
	// at 1 ms first goes out on connection 1
	// {Open:1 InUse:1 CoolingDown:0 Dialing:0 Waiting:1}
	// call Tick in 5 ms
	// at 15 ms second goes out on connection 1
	// opened: 1 reused: 1
}

// Tick returns an attempt that gets no connection within WaitTimeout. It was not sent, so another server may execute it.
func ExamplePool_Tick() {
	policy := connpool.NewPolicy(connpool.Config{Nodes: 1, MaxConns: 1, WaitTimeout: 100}, 0, 0)
	pool := connpool.New[*conn, *attempt](policy, &connpool.Counters{}, owner{})
	pool.SetTarget(0, "10.0.0.1:6379", true)
	pool.Acquire(0, &attempt{name: "first"})
	for _, a := range pool.Tick(100) {
		fmt.Println(a.name, "has waited too long")
	}
	// Output:
	// dial 10.0.0.1:6379
	// call Tick in 100 ms
	// first has waited too long
}
