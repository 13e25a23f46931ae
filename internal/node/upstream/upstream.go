// Package upstream keeps the connections to cache servers and the origin, with one attempt in flight on each.
//
// An Endpoint holds the connections to one server; its connpool.Pool decides which of them serves which attempt. The
// package sends nothing by itself and nothing twice: every attempt ends in exactly one Completion, and the caller decides what
// follows from it.
package upstream

import (
	"errors"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
)

// Protocol encodes requests to one kind of server and parses its responses. Implementations hold no state.
type Protocol interface {
	// AppendRequest appends an attempt's request to b. The limit, in ms, is how long this node will wait for the response. Of a
	// request that is Big it appends only what precedes the value.
	AppendRequest(b []byte, request *exchange.Exchange, limit float64) []byte
	// ValueTerminator returns what follows the value of a Big request.
	ValueTerminator() string
	// ParseResponse parses the response at the head of b and returns its length, or 0 while it is incomplete. Of a response whose
	// value is too large to be buffered it parses what precedes the value, and sets LargeSize.
	ParseResponse(b []byte) (n int, response Response, err error)
	// ParseTail parses what follows the large value of the response that head begins.
	ParseTail(b []byte, head Response) (Tail, error)
}

// Tail is what follows a large value, as far as it has arrived.
type Tail struct {
	Sound    bool     // at least the end of the value is there and well-formed
	Complete bool     // all of the response is there
	Length   int      // bytes of the complete tail
	Response Response // with a complete tail, apart from the value
}

// Response is a server's complete response, or the part of it that precedes a large value.
type Response struct {
	Result    fleet.Result
	Value     []byte
	Cache     fleet.CacheStatus
	Report    fleet.LoadReport
	Close     bool            // the server accepts nothing more on this connection
	LargeSize int64           // bytes of the value that follows; 0: the value, if any, is in Value
	TailParts int             // protocol elements that follow the large value
	Stream    exchange.Stream // the large value
}

// Completion is how an attempt ended: with a response, or with a failure.
type Completion struct {
	EndedAt       float64 // Unix ms
	Response Response
	Failure  *exchange.AttemptError // nil: there is a response
}

// Attempt is one attempt of a request at one server. Times are Unix ms.
type Attempt struct {
	Request *exchange.Exchange
	Number  int     // of the attempt, as the caller counts
	SendBy  float64 // its last byte is sent by then or not at all; +Inf: no limit

	// Guarded by the endpoint's mutex until the attempt has ended, since BodyComplete changes them.
	SentAt   float64 // when it was handed over
	Deadline float64 // when it times out

	connpool.Waiter

	// Guarded by the endpoint's mutex.
	conn      *conn
	progress  exchange.Progress
	staleConn bool // the server seems to have forgotten the connection while that was idle
	written   bool // its last byte has been sent
	ended     bool // its Completion is decided
	timer     *time.Timer
}

// Causes of failures that this node brings about itself.
var (
	errTimeout       = errors.New("the attempt timed out")
	errCancelled     = errors.New("the attempt was cancelled")
	errWithdrawn     = errors.New("the attempt was not sent in time to be of use")
	errUnavailable   = errors.New("the server is not available for new attempts")
	errNoDescriptor  = errors.New("no file descriptor is free")
	errWaitTimeout   = errors.New("the attempt waited too long for a connection")
	errQueueFull     = errors.New("too many attempts wait for a connection")
	errSuspected     = errors.New("the server sends duplicate responses, and the next one may be for another request")
	errEarlyResponse = errors.New("the server responded before the request was sent completely")
)
