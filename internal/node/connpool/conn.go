package connpool

import "sync/atomic"

// Conn is the pool's state of one connection. The owner embeds it in its own connection type and sets Addr and Jitter.
type Conn struct {
	Addr   string  // peer address
	Jitter float64 // random number from [0,1), so that connections opened together do not expire together

	// Written by the pool.
	OpenedAt     float64
	IdleSince    float64 // when the connection was last released
	ReadyAt      float64 // end of the cooldown
	IdleDuration float64 // ms for which it was unused before its current or latest attempt
	Responded    bool    // a response has arrived on it
	Closed       bool
	CloseReason  CloseReason // valid if Closed

	lastKey KeyHash // key of its latest attempt
	history history

	reusedEarly bool // IdleDuration was so short that a duplicate of the previous response may still arrive
	inUse       bool
	inUseIndex  int // index in Pool.inUse
}

// PoolConn returns the pool's state of a connection that embeds it.
func (c *Conn) PoolConn() *Conn { return c }

// Response is what the pool needs to know of a response.
type Response struct {
	Rejected    bool        // the server rejected the attempt because the server is full
	Last        bool        // the connection accepts no further requests
	CloseReason CloseReason // if Last
	Digest      Digest
	Recognition Recognition // of a duplicate of it
}

// Waiter is the pool's state of one attempt. The owner embeds it in its own attempt type, and sets Key and ExecuteOnce.
type Waiter struct {
	Key         KeyHash // of the attempt's request
	ExecuteOnce bool    // the request has an effect: two servers must not execute it

	waitingSince float64
	maxLocalWait float64 // ms
}

// maxLocalWaitFraction is the fraction of its timeout for which an attempt may wait while this machine cannot open connections. A request
// that is given up after eight such attempts, the most that there are, has used half of its time.
const maxLocalWaitFraction = 1.0 / 16

// LimitLocalWait sets how long an attempt with the given timeout, in ms, may wait while this machine cannot open connections.
func (w *Waiter) LimitLocalWait(timeout float64) { w.maxLocalWait = timeout * maxLocalWaitFraction }

// PoolWaiter returns the pool's state of an attempt that embeds it.
func (w *Waiter) PoolWaiter() *Waiter { return w }

// Connection is the constraint for the owner's connection type, a pointer to a struct that embeds Conn.
type Connection interface {
	PoolConn() *Conn
}

// Attempt is the constraint for the owner's attempt type, a pointer to a struct that embeds Waiter.
type Attempt interface {
	comparable
	PoolWaiter() *Waiter
}

// Owner executes the decisions of a Pool. The Pool calls it from within its own methods, with the lock held that guards the Pool;
// an Owner must therefore not call the Pool.
type Owner[C Connection, A Attempt] interface {
	// Dial starts to open a connection. The owner reports the result with DialSucceeded or DialFailed.
	Dial(addr string)
	// Assign sends an attempt on a connection that has no other attempt in flight.
	Assign(now float64, conn C, attempt A)
	// CloseConn closes a connection. It is called once per connection, after Closed has been set.
	CloseConn(conn C)
	// TickAfter schedules one call of Tick and replaces the call scheduled before.
	TickAfter(ms float64)
}

// Counters count events since the start. Several pools may share them. They are safe for concurrent use.
type Counters struct {
	Opened           atomic.Int64                  // connections
	Reused           atomic.Int64                  // attempts on a connection that had served an earlier attempt
	Waited           atomic.Int64                  // attempts that had to wait for a connection
	WaitTimeouts     atomic.Int64                  // attempts whose wait timed out
	QueueFull        atomic.Int64                  // attempts rejected because the queue of waiting attempts was full
	Unsolicited      atomic.Int64                  // bytes that arrived without a request, and duplicates that arrived during one
	Expired          atomic.Int64                  // connections closed because of their age
	Suspected        atomic.Int64                  // times that a server became suspected of sending duplicate responses
	Fences           atomic.Int64                  // fences sent
	FencesUnanswered atomic.Int64                  // of these, those whose connection ended, or whose attempt timed out, before the reply
	Closed           [NumCloseReasons]atomic.Int64 // connections closed by the node
}

// Admission is the pool's reply to an attempt that needs a connection.
type Admission uint8

const (
	// Admitted means that the attempt has been assigned a connection or waits for one.
	Admitted Admission = iota
	// Unavailable means that no attempts may be sent to the server.
	Unavailable
	// Rejected means that the queue of waiting attempts is full.
	Rejected
)
