package connpool

import "sync/atomic"

// Conn is the pool's state of one connection. The owner embeds it in its own connection type and sets Addr and Jitter.
type Conn struct {
	Addr   string  // peer address
	Jitter float64 // from [0,1), so that connections opened together do not expire together

	// Written by the pool.
	OpenedAt     float64
	IdleSince    float64 // when the connection was last released
	ReadyAt      float64 // end of the cooldown
	IdleDuration float64 // ms that it was unused before its current or latest attempt
	Responded    bool    // a response has arrived on it
	Closed       bool

	reusedEarly bool // IdleDuration was so short that a duplicate of the response before might still arrive
	inUse       bool
	position    int // in Pool.inUse
}

// PoolConn returns the pool's state of a connection that embeds it.
func (c *Conn) PoolConn() *Conn { return c }

// Waiter is the pool's state of one attempt. The owner embeds it in its own attempt type.
type Waiter struct {
	since float64 // when it began to wait for a connection
}

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

// Owner carries out what a Pool decides. Its methods are called from within calls of the Pool, so under the lock of these,
// and must not call the Pool.
type Owner[C Connection, A Attempt] interface {
	// Dial begins to open a connection, which ends in DialSucceeded or DialFailed.
	Dial(addr string)
	// Assign sends an attempt on a connection without another one.
	Assign(now float64, conn C, attempt A)
	// CloseConn closes a connection, once. Its Closed is set already.
	CloseConn(conn C)
	// TickAfter schedules one call of Tick, in place of an earlier schedule.
	TickAfter(ms float64)
}

// Counters count events of pools since the start. Several pools may share one; reading is safe at any time.
type Counters struct {
	Opened       atomic.Int64 // connections
	Reused       atomic.Int64 // attempts on a connection that had served another one
	Waited       atomic.Int64 // attempts that had to wait for a connection
	WaitTimeouts atomic.Int64 // attempts that gave up waiting
	QueueFull    atomic.Int64 // attempts rejected because too many waited
	Unsolicited  atomic.Int64 // connections closed because of bytes without a request
	Expired      atomic.Int64 // connections closed for their age
	Suspected    atomic.Int64 // times that a server became suspected of duplicate responses
}

// Admission is the pool's reply to an attempt that wants a connection.
type Admission uint8

const (
	// Admitted means that the attempt has been assigned a connection or waits for one.
	Admitted Admission = iota
	// Unavailable means that no attempt may go to the server.
	Unavailable
	// Rejected means that too many attempts wait already.
	Rejected
)
