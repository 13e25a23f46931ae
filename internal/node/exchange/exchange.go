// Package exchange defines the types that the client side and the server side of a node share: an Exchange is one request with its final
// response, and an AttemptError says how far an attempt got before it failed.
//
// Times of type float64 are Unix ms of the node's clock, durations ms.
package exchange

import (
	"sync/atomic"

	"mintspring/internal/fleet"
)

const (
	// MaxBufferedValue is the size in bytes of the largest value that is buffered as a whole. Larger values are streamed.
	MaxBufferedValue = 64 << 10
	// MaxStreamedValue is the size in bytes of the largest value that is accepted (the operators' page of daily operation, "Less room").
	MaxStreamedValue = 4 << 20
	// StreamBufferSize is how many bytes of a streamed value are buffered at most.
	StreamBufferSize = 24 << 10
)

// Exchange is one request on its way through the node. The client side sets all fields before it passes the exchange to the event loop;
// after that only the event loop changes them. The response may be set by any goroutine.
type Exchange struct {
	Command, Key, ID, Extra, Value []byte // as sent by the client; Value is nil if there is a Body

	Class   fleet.ClassID
	Tenant  fleet.TenantID
	KeyHash fleet.Key
	Write   bool
	// ExecuteOnce says that the request has an effect: two servers must not execute it.
	ExecuteOnce bool
	Work        float64 // in ms, as stated by the client; 0: not stated
	ValueSize   float64 // as stated by the client; 0: not stated
	ArrivedAt   float64 // when the last byte of the request was read, not counting a Body
	Deadline    float64 // when the client stops waiting; with a Body: an upper bound

	Body    *Body   // the value, instead of Value, if it is streamed from the client
	Timeout float64 // with a Body: how long the client waits after it has sent the last byte

	ReplyReserved bool // memory for the largest reply is reserved

	Client   Client
	response atomic.Pointer[Response]
}

// Client receives the response of an exchange.
type Client interface {
	// ResponseReady is called once, from any goroutine, when the exchange has its response. It must not block.
	ResponseReady(x *Exchange)
}

// IsLarge reports whether the value is written separately from the rest of the request because of its size.
func (x *Exchange) IsLarge() bool { return x.Body != nil || len(x.Value) > MaxBufferedValue }

// ValueLength returns the length of the value in bytes.
func (x *Exchange) ValueLength() int64 {
	if x.Body != nil {
		return x.Body.Size
	}
	return int64(len(x.Value))
}

// Respond sets the final response and notifies the client. Only the first call has an effect and returns true.
func (x *Exchange) Respond(response Response) bool {
	if !x.response.CompareAndSwap(nil, &response) {
		return false
	}
	x.Client.ResponseReady(x)
	return true
}

// Response returns the final response, or nil if there is none yet.
func (x *Exchange) Response() *Response { return x.response.Load() }

// ResponseKind says whether a request was executed.
type ResponseKind uint8

// Kinds of responses.
const (
	Completed ResponseKind = iota // executed
	Rejected                      // not executed; the client may send it again
	Aborted                       // it may have been executed

	NumResponseKinds = iota // number of kinds
)

// Response is the final response to a request.
type Response struct {
	Kind       ResponseKind
	Value      []byte  // Completed: the value or the receipt
	Stream     Stream  // Completed: the value, instead of Value
	RetryAfter float64 // Rejected: ms after which the client may send it again; 0: unknown
	Reason     string  // Aborted
}

// Stream is a value that is read and buffered piece by piece. Its receiver must close it, whether or not it has read the whole value.
type Stream interface {
	// Size returns the length of the whole value in bytes.
	Size() int64
	// Next returns the next piece, which is valid until the next call, or io.EOF after the last piece. Any other error ends the stream.
	Next() ([]byte, error)
	// Close ends the stream and releases its resources.
	Close()
}
