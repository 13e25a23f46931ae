// Package exchange is where the client side and the server side of a node meet: an Exchange is one request with its bytes and its one
// final response, and an AttemptError says how far an attempt came before it failed.
//
// Times of type float64 are Unix ms of the node's clock, durations ms.
package exchange

import (
	"sync/atomic"

	"mintspring/internal/fleet"
)

const (
	// MaxBufferedValue is the size of the largest value that is buffered as a whole. Larger ones are streamed.
	MaxBufferedValue = 64 << 10
	// MaxStreamedValue is the size of the largest value that is accepted (the operators' page of daily operation, "Less room").
	MaxStreamedValue = 4 << 20
	// StreamBufferSize is the most that is buffered of a value that is streamed.
	StreamBufferSize = 24 << 10
)

// Exchange is one request on its way through the node. All but the response is set before it is handed on, and is changed by the event
// loop only.
type Exchange struct {
	Command, Key, ID, Extra, Value []byte // as the client wrote them

	Class     fleet.ClassID
	Tenant    fleet.TenantID
	KeyHash   fleet.Key
	Write     bool
	Work      float64 // stated by the client, in ms; 0: it states none
	ValueSize float64 // of the value, as the client states it; 0: it states none
	ArrivedAt float64 // when its last byte was read
	Deadline  float64 // of its client; +Inf while the value is still being read

	Body    *Body   // the value, in place of Value, while it is still being read
	Timeout float64 // with a Body: how long the client waits from the last byte on

	Client   Client
	response atomic.Pointer[Response]
}

// Client takes the response of an exchange.
type Client interface {
	// ResponseReady is called once, when the exchange has its response, from any goroutine. It must not block.
	ResponseReady(x *Exchange)
}

// IsLarge reports whether the value is too large to be written together with the rest of the request.
func (x *Exchange) IsLarge() bool { return x.Body != nil || len(x.Value) > MaxBufferedValue }

// ValueLength is the length of the value in bytes.
func (x *Exchange) ValueLength() int64 {
	if x.Body != nil {
		return x.Body.Size
	}
	return int64(len(x.Value))
}

// Respond sets the final response and notifies the client. Only the first call does; it returns whether this one did.
func (x *Exchange) Respond(response Response) bool {
	if !x.response.CompareAndSwap(nil, &response) {
		return false
	}
	x.Client.ResponseReady(x)
	return true
}

// Response returns the final response, nil while there is none.
func (x *Exchange) Response() *Response { return x.response.Load() }

// Kind is how a request ended.
type Kind uint8

// Kinds of responses.
const (
	Completed Kind = iota // executed
	Rejected              // not executed; the client may send it again
	Aborted               // it may have been executed

	Kinds = iota // their number
)

// Response is the one final response to a request.
type Response struct {
	Kind       Kind
	Value      []byte  // Completed: the value or receipt
	Stream     Stream  // Completed: the value, in place of Value
	RetryAfter float64 // Rejected: ms after which the client may send it again; 0: unknown
	Reason     string  // Aborted
}

// Stream is a value that is read piece by piece, of which one is buffered. Whoever is given one closes it, read to its end or not.
type Stream interface {
	// Size is the length of the whole value in bytes.
	Size() int64
	// Next returns the next piece, which is valid until the next call, and io.EOF once the value is complete. After any other error no
	// more pieces come.
	Next() ([]byte, error)
	// Close stops the value.
	Close()
}
