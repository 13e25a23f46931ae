// Package exchange is where the client side and the server side meet: one object a query, with its bytes in
// and its one answer out, and the errors that tell how far an execution had come.
package exchange

import (
	"sync/atomic"

	"mintspring/fleet"
)

// MostValue is the size of the largest value that is held whole. Larger ones pass in pieces.
const MostValue = 64 << 10

// MostLarge is the size of the largest value that passes (the operators' page of daily operation, "Less room").
const MostLarge = 4 << 20

// Window is the most that is held of a value that passes in pieces.
const Window = 24 << 10

// Stream is a value that passes in pieces, of which one at a time is held. Whoever is given one closes it, taken to its end
// or not.
type Stream interface {
	Size() int64
	// Next returns what comes next, good until the next call; io.EOF once all has come and is in order. With any other error
	// the rest never comes.
	Next() ([]byte, error)
	Close()
}

// Exchange is one query on its way through the node. All but the answer is set before it is handed on and
// not changed after.
type Exchange struct {
	Command, Key, ID, Extra, Value []byte // as the client wrote them

	Workload fleet.WorkloadID
	Tenant   fleet.TenantID
	Point    fleet.Key
	Write    bool
	Work     float64 // told in advance, in ms; 0 if not
	Size     float64
	Arrived  float64 // when its last byte was read
	Deadline float64 // when its client stops waiting

	Body *Body   // the value, in place of Value, while it is still coming
	Span float64 // with a body: the time that the client gives from its last byte on, in ms

	Back   Back
	answer atomic.Pointer[Answer]
}

// Big tells whether the value is too large to be written together with what stands around it.
func (x *Exchange) Big() bool { return x.Body != nil || len(x.Value) > MostValue }

// Length is how many bytes the value has.
func (x *Exchange) Length() int64 {
	if x.Body != nil {
		return x.Body.Size
	}
	return int64(len(x.Value))
}

// Back is the way back to the client. Ready is called once, when the exchange has its answer; it must not block.
type Back interface{ Ready(x *Exchange) }

// Kind is how a query ended.
type Kind uint8

const (
	Completed Kind = iota
	Rejected
	Aborted
)

// Answer is the one final answer to a query.
type Answer struct {
	Kind  Kind
	Value []byte  // Completed: the value or receipt
	Large Stream  // Completed: the value, in place of that
	Wait  float64 // Rejected: ms after which the client may come back; 0: it is not told
	Why   string  // Aborted
}

// Answer gives the final answer. Only the first counts; it tells whether this one was.
func (x *Exchange) Answer(a Answer) bool {
	if !x.answer.CompareAndSwap(nil, &a) {
		return false
	}
	x.Back.Ready(x)
	return true
}

// Answered returns the answer, or nil while there is none.
func (x *Exchange) Answered() *Answer { return x.answer.Load() }

// Reach is how far an execution had come when it broke off.
type Reach uint8

const (
	NotConnected  Reach = iota
	PartlyWritten       // some bytes may have gone, but not the last one
	WhollyWritten       // the last byte may have gone
	AnswerBegun
)

func (r Reach) String() string {
	return [...]string{"not connected", "partly written", "wholly written", "answer begun"}[r]
}

// Break is an execution that ended without an answer. What it may have done follows from its reach alone.
type Break struct {
	Reach  Reach
	Result fleet.Result // what it was, should it have run
	Stale  bool         // its connection had been idle, and seems to have been forgotten by the peer meanwhile
	Cause  error
}

func (b *Break) Error() string { return b.Reach.String() + ": " + b.Cause.Error() }

// Unwrap returns the cause.
func (b *Break) Unwrap() error { return b.Cause }

// NeverRan tells whether the execution is known to have had no effect: a server begins with the last byte.
func (b *Break) NeverRan() bool { return b.Reach < WhollyWritten }

// Outcome is what the break means to the decision module. An execution that the node itself took back before
// its last byte went was not sent; one that the peer or the network stopped there could not connect; one for which the
// server's pool had no connection in time found it full.
func (b *Break) Outcome() fleet.Result {
	switch {
	case !b.NeverRan():
		return b.Result
	case b.Result == fleet.Reset || b.Result == fleet.ConnectFailed:
		return fleet.ConnectFailed
	case b.Result == fleet.Full:
		return fleet.Full
	}
	return fleet.NotSent
}
