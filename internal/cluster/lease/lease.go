// Package lease grants each named task of a cluster to one process at a time.
//
// It has three parts, none of which does I/O or reads a clock:
//
//   - [State] is the replicated state machine. Each replica of a consensus group applies the same commands in the same order; [State.Apply] does
//     not depend on time.
//   - [ExpiryTracker] measures time on a replica. The leader proposes the commands that its tracker reports as due.
//   - [Client] acquires and renews a lease for one process.
//
// Times are float64 milliseconds of a monotonic clock that keeps running while the process is suspended.
//
// # Safety
//
// No two processes may act under one lease at the same moment. This holds as long as clocks run at most [MaxClockDrift] fast or slow; their
// offsets do not matter:
//
//   - A client counts the TTL by its own clock from the moment at which it sent the request that was granted, and stops when the TTL has passed.
//   - The leader expires a lease after the TTL and a margin, which it counts by its own clock from the moment at which it applied the last
//     renewal. That moment is later than the moment at which the client sent the request.
//   - A command to expire a lease carries the number of renewals that the leader has applied. It has no effect if another renewal is committed
//     before it.
//
// Before each step, a client that may be suspended checks that the lease lasts as long as the step takes. A step that begins before the lease
// expires and ends after it can still overlap with a step of the next holder. A resource that must not allow this checks fencing tokens with a
// [Fence].
package lease

import "mintspring/internal/cluster"

// MaxClockDrift is the largest ratio by which a clock may run faster or slower than true time.
const MaxClockDrift = 0.024

// Token is a fencing token. Each grant of any lease has a higher token than the grants before it.
type Token uint64

// Process identifies a process by its node and its incarnation.
type Process struct {
	Node        cluster.NodeID      `json:"node"`
	Incarnation cluster.Incarnation `json:"life"`
}

// Kind selects the operation that a command performs.
type Kind uint8

// Kinds of commands. The numbers are part of the log's encoding. Only the leader proposes KindExpire and KindSkipWaiter.
const (
	KindAcquire          Kind = iota + 1 // acquire the lease, or renew it if the process already holds it
	KindRenew                            // renew the lease under its token
	KindRelease                          // release the lease under its token
	KindUpdateProgress                   // write the progress under the token
	KindExpire                           // take the lease from a holder that did not renew it in time
	KindSkipWaiter                       // remove the first waiter, which does not acquire the free lease
	KindOverrideProgress                 // write the progress on behalf of operators, whether or not the lease is held
	KindRead                             // return the state of the lease without changing it
)

// Command is a command to the state machine. Each kind uses some of the fields and ignores the others.
type Command struct {
	Kind      Kind    `json:"kind"`
	Name      string  `json:"name"` // of the lease
	Process   Process `json:"who"`
	Token     Token   `json:"token,omitempty"`
	TTLMillis float64 `json:"length,omitempty"`   // of the lease, if the command creates it
	Renewals  uint64  `json:"renewals,omitempty"` // that the leader has applied; see KindExpire and KindSkipWaiter
	Revision  uint64  `json:"rev,omitempty"`      // of the progress that the write replaces
	Progress  []byte  `json:"progress,omitempty"`
}

// Result is the result of a command: whether it took effect, and the state of the lease after it.
type Result struct {
	OK           bool    `json:"ok"`
	Token        Token   `json:"token"` // of the last grant
	Holder       Process `json:"holder"`
	Held         bool    `json:"held"`
	TTLMillis    float64 `json:"length"`
	Revision     uint64  `json:"rev"` // of the progress
	Progress     []byte  `json:"progress,omitempty"`
	WaitersAhead int     `json:"ahead"` // in the queue, ahead of the process that sent the command
}
