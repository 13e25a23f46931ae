package inflight

import (
	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
)

// Policy is the decision module. Nodes in production use decide.Node; other implementations are baselines of experiments.
type Policy interface {
	// Route decides whether to send, hold or answer a request. With a nil request it does the node's own maintenance.
	Route(now float64, request *fleet.Request) fleet.Decision
	// AttemptDone records the end of an attempt and returns the next decision for its request.
	AttemptDone(now float64, request *fleet.Request, outcome fleet.Outcome) fleet.Decision
	// NextDue returns the request to pass to Route now and 0, or NoRequest and the time in ms until something is due. NoRequest and 0 mean
	// that the node's own maintenance is due.
	NextDue(now float64) (fleet.Ref, float64)
	// UpdateEndpoints applies entries of the endpoint list.
	UpdateEndpoints(now float64, mode fleet.ListMode, entries []fleet.Endpoint)
	// ClientGone reports that the client of a request has disconnected.
	ClientGone(now float64, request *fleet.Request)
	// ServerResponding reports that the server of the attempt with the given number has begun to write a response of which the client has nothing yet.
	ServerResponding(now float64, request *fleet.Request, number int)
	// UploadDone reports that the streamed value of a request is complete and the request's deadline is set.
	UploadDone(now float64, request *fleet.Request)
}

// Dispatcher executes decisions. A is the type of its handles to attempts. Its methods must not block.
type Dispatcher[A comparable] interface {
	// Send starts an attempt. The attempt fails as timed out after timeout ms, and as not sent if its last byte would be sent after sendBy.
	Send(now float64, server fleet.ServerID, x *exchange.Exchange, number int, timeout, sendBy float64) A
	// Cancel stops an attempt, whether or not it has been sent.
	Cancel(now float64, server fleet.ServerID, attempt A)
	// CancelUnsent stops an attempt unless its last byte has been sent.
	CancelUnsent(now float64, server fleet.ServerID, attempt A)
	// BodyComplete sets the deadline of an attempt whose streamed value is complete.
	BodyComplete(now float64, server fleet.ServerID, attempt A, deadline float64)
	// CloseIdle closes the unused connections to a server.
	CloseIdle(server fleet.ServerID)
	// WatchList starts a watch of the endpoint list.
	WatchList()
	// PollList requests the endpoint list once.
	PollList()
	// Admitted is called when a request has been added to the table, before the policy gets it.
	Admitted(entry *Entry[A])
	// Released is called when a request is closed and has no attempt in flight, just before it is removed from the table.
	Released(now float64, entry *Entry[A])
}

// Completion is the result of an attempt on its connection.
type Completion struct {
	Result fleet.Result
	Took   float64 // ms
	Stale  bool    // the connection had been idle, and the server seems to have dropped it meanwhile
	Cache  fleet.CacheStatus
	Report fleet.LoadReport
	Value  []byte
	Stream exchange.Stream // a streamed value, instead of Value
}

// close closes a stream that no client will read.
func (c *Completion) close() {
	if c.Stream != nil {
		c.Stream.Close()
	}
}

// Counters are totals since the counters were last set to zero.
type Counters struct {
	Responses   [exchange.NumResponseKinds]int // by exchange.ResponseKind
	Results     [fleet.Missed + 1]int          // of attempts, by fleet.Result
	ClientsGone int                            // clients that disconnected before their response
}
