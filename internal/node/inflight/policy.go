package inflight

import (
	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
)

// Policy is the decision module. decide.Node is the one that operators run; others are baselines of experiments.
type Policy interface {
	// Route says what to do with a request: send it, hold it or answer it. With nil it does the upkeep of the node itself.
	Route(now float64, request *fleet.Request) fleet.Decision
	// AttemptDone takes the end of an attempt, and says what to do next.
	AttemptDone(now float64, request *fleet.Request, outcome fleet.Outcome) fleet.Decision
	// NextDue returns for how long nothing is due, in ms, or 0 and the request that Route is to be called for; NoRequest: the upkeep.
	NextDue(now float64) (fleet.Ref, float64)
	// UpdateEndpoints takes entries of the endpoint list.
	UpdateEndpoints(now float64, mode fleet.ListMode, entries []fleet.Endpoint)
	// ClientGone says that the client of a request is gone.
	ClientGone(now float64, request *fleet.Request)
	// UploadDone says that the value of a request, which is streamed to its server, is complete, so that its deadline is known.
	UploadDone(now float64, request *fleet.Request)
}

// Dispatcher carries out decisions. A is an attempt as the owner of the table knows it. Its methods must not block.
type Dispatcher[A comparable] interface {
	// Send starts an attempt. It fails as timed out after timeout ms, and as not sent if its last byte would leave after notAfter.
	Send(now float64, to fleet.ServerID, x *exchange.Exchange, number int, timeout, notAfter float64) A
	// Cancel stops an attempt, sent or not.
	Cancel(now float64, at fleet.ServerID, attempt A)
	// CancelUnsent stops an attempt unless its last byte is sent.
	CancelUnsent(now float64, at fleet.ServerID, attempt A)
	// BodyComplete sets the deadline of an attempt whose streamed value is complete.
	BodyComplete(now float64, at fleet.ServerID, attempt A, deadline float64)
	// CloseIdle closes the unused connections to a server.
	CloseIdle(id fleet.ServerID)
	// WatchList starts a watch of the endpoint list.
	WatchList()
	// PollList requests the endpoint list once.
	PollList()
	// Admitted is called when a request is in the table, before the policy sees it.
	Admitted(entry *Entry[A])
	// Released is called when a request has its response and no attempt is out, just before it leaves the table.
	Released(now float64, entry *Entry[A])
}

// Completion is how an attempt ended, as its connection saw it.
type Completion struct {
	Result fleet.Result
	Took   float64 // ms
	Stale  bool    // its connection had been idle, and the server seems to have dropped it meanwhile
	Cache  fleet.CacheStatus
	Report fleet.LoadReport
	Value  []byte
	Stream exchange.Stream // a value that is streamed, in place of Value
}

// close ends a stream that no client takes.
func (c *Completion) close() {
	if c.Stream != nil {
		c.Stream.Close()
	}
}

// Counters are totals since they were set to zero.
type Counters struct {
	Responses   [exchange.NumResponseKinds]int // by exchange.Kind
	Results     [fleet.Missed + 1]int          // of attempts, by fleet.Result
	ClientsGone int                            // before their response
}
