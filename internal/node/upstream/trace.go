package upstream

import "mintspring/internal/node/exchange"

// Trace says for the log on which connection an attempt was sent, and when. It tells whether a response may be that of another attempt.
type Trace struct {
	Conn       int64   // number of the connection among those to the server; 0: the attempt got none
	SinceReply float64 // ms from the response before on the connection until the attempt was assigned to it; negative: there was none
	Took       float64 // ms from when the request began to be written; negative: it was not written
	Responding float64 // ms from when a response had begun that was not complete; negative: none had
	Discarded  int     // responses that were dropped as duplicates of earlier ones
}

// notApplicable is the value of a duration of a Trace that the attempt does not have.
const notApplicable = -1

// trace returns the trace of an attempt that ends now. Called with the endpoint's mutex held.
func (a *Attempt) trace(now float64) Trace {
	trace := Trace{SinceReply: notApplicable, Took: notApplicable, Responding: notApplicable, Discarded: a.discarded}
	if a.conn != nil {
		trace.Conn = a.conn.number
		if a.reused {
			trace.SinceReply = a.conn.IdleDuration
		}
	}
	if a.writtenAt > 0 {
		trace.Took = now - a.writtenAt
	}
	if a.respondingAt > 0 {
		trace.Responding = now - a.respondingAt
	}
	return trace
}

// StreamTrace says for the log how a streamed value was read. Durations are ms.
type StreamTrace struct {
	Request     *exchange.Exchange
	Conn        int64   // number of the connection among those to the server
	Size        int64   // bytes of the value
	Received    int64   // bytes that were passed on
	Took        float64 // from the completion of the attempt
	LongestRead float64 // the longest wait for more bytes of the server
	Failure     error   // why the value is not complete; nil: it is
}
