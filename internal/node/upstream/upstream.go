// Package upstream keeps the connections to cache servers and the origin, with one attempt in flight on each.
//
// An Endpoint holds the connections to one server; its connpool.Pool assigns them to attempts. The package never starts or
// repeats an attempt by itself: every attempt ends in exactly one Completion, and the caller decides whether to retry.
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
	// AppendRequest appends an attempt's request to b. The timeout, in ms, is how long this node will wait for the response. If
	// the request's value is large (Exchange.IsLarge), it appends only the bytes before the value.
	AppendRequest(b []byte, request *exchange.Exchange, timeout float64) []byte
	// ValueTerminator returns the bytes that follow a large value in a request.
	ValueTerminator() string
	// ParseResponse parses the response at the beginning of b and returns its length, or 0 while it is incomplete. If the value is
	// too large to be buffered, it parses only the bytes before the value, and sets LargeValueSize. If all of b is informational responses,
	// it returns their length and sets Informational.
	ParseResponse(b []byte) (n int, response Response, err error)
	// ParseTail parses the bytes after the large value of a response. The head is what ParseResponse returned for it.
	ParseTail(b []byte, head Response) (Tail, error)
}

// Tail is the part of a response after its large value, as far as it has arrived.
type Tail struct {
	ValueEnded bool     // the value's terminator, if any, has arrived and is well-formed
	Complete   bool     // all of the response has arrived
	Length     int      // bytes of the tail; valid if Complete
	Response   Response // the response without its value; valid if Complete
}

// Response is a server's complete response, or the part of it that precedes a large value.
type Response struct {
	Result         fleet.Result
	Value          []byte
	Cache          fleet.CacheStatus
	Report         fleet.LoadReport
	Informational  bool            // the response itself is still to come, and has not begun; nothing else is set
	Close          bool            // the server accepts no further request on this connection
	LargeValueSize int64           // bytes of a large value that follows; 0: the value, if any, is in Value
	TailElements   int             // protocol elements that follow the large value
	Stream         exchange.Stream // the large value
}

// Completion is how an attempt ended: with a response, or with a failure.
type Completion struct {
	EndedAt  float64 // Unix ms
	Response Response
	Failure  *exchange.AttemptError // nil if the attempt got a response
	Trace    Trace
}

// Attempt is one attempt of a request at one server. Times are Unix ms.
type Attempt struct {
	Request *exchange.Exchange
	Number  int     // the caller's index of this attempt of the request
	SendBy  float64 // the attempt is cancelled if its last byte is not sent by then; +Inf: no limit

	// Guarded by the endpoint's mutex until the attempt has ended, because BodyComplete changes them.
	SentAt   float64 // when Send was called, or the body was complete
	Deadline float64 // when the attempt times out

	connpool.Waiter

	// Guarded by the endpoint's mutex.
	conn         *conn
	progress     exchange.Progress
	reused       bool    // the connection has served an earlier attempt
	writtenAt    float64 // when the request began to be written
	discarded    int     // responses that were dropped as duplicates of earlier ones
	staleConn    bool    // the server seems to have dropped the connection while it was idle
	lastByteSent bool    // the request's last byte has been written to the socket
	respondingAt float64 // when a response had begun that was not complete; 0: none has, or it came at once
	ended        bool    // the attempt's Completion is decided
	timer        *time.Timer
}

// Causes of failures that originate in this node.
var (
	errTimeout             = errors.New("the attempt timed out")
	errCancelled           = errors.New("the attempt was cancelled")
	errWithdrawn           = errors.New("the attempt was withdrawn before it was sent")
	errUnavailable         = errors.New("the server is not available for new attempts")
	errNoDescriptor        = errors.New("no file descriptor is free")
	errWaitTimeout         = errors.New("the attempt waited too long for a connection")
	errQueueFull           = errors.New("too many attempts wait for a connection")
	errDuplicatesSuspected = errors.New("the server sends duplicate responses, and the next one may be for another request")
	errAmbiguousResponses  = errors.New("two responses arrived, and nothing tells which one is a duplicate")
	errEarlyResponse       = errors.New("the server responded before the request was sent completely")
)
