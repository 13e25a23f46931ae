package node

import (
	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/inflight"
	"mintspring/internal/node/upstream"
)

// inflightEntry is a request in flight.
type inflightEntry = inflight.Entry[*upstream.Attempt]

// dispatcher carries out the decisions for requests in flight: it implements inflight.Dispatcher. The loop calls it.
type dispatcher struct{ node *Node }

func (d dispatcher) endpoint(id fleet.ServerID) *upstream.Endpoint {
	return d.node.servers[id].endpoint
}

// Send starts an attempt.
func (d dispatcher) Send(_ float64, to fleet.ServerID, x *exchange.Exchange, number int, timeout, notAfter float64) *upstream.Attempt {
	d.node.serverTable.AddAttempt(to)
	return d.endpoint(to).Send(x, number, timeout, notAfter)
}

// Cancel stops an attempt, sent or not.
func (d dispatcher) Cancel(_ float64, at fleet.ServerID, attempt *upstream.Attempt) {
	d.endpoint(at).Cancel(attempt)
}

// CancelUnsent stops an attempt unless its last byte has been sent.
func (d dispatcher) CancelUnsent(_ float64, at fleet.ServerID, attempt *upstream.Attempt) {
	d.endpoint(at).CancelUnsent(attempt)
}

// BodyComplete sets the deadline of an attempt once its streamed value is complete.
func (d dispatcher) BodyComplete(_ float64, at fleet.ServerID, attempt *upstream.Attempt, deadline float64) {
	d.endpoint(at).BodyComplete(attempt, deadline)
}

// CloseIdle closes the unused connections to a server.
func (d dispatcher) CloseIdle(id fleet.ServerID) { d.endpoint(id).CloseUnused() }

// WatchList starts a watch of the endpoint list.
func (d dispatcher) WatchList() { d.node.discovery.Watch() }

// PollList requests the endpoint list once.
func (d dispatcher) PollList() { d.node.discovery.Poll() }

// Admitted counts a request under its class.
func (d dispatcher) Admitted(entry *inflightEntry) { d.node.classes.Acquire(entry.Request.Class) }

// Released is called when a request has its response and none of its attempts is running.
func (d dispatcher) Released(now float64, entry *inflightEntry) {
	if d.node.idempotency != nil {
		d.node.idempotency.handleReleased(now, entry)
	}
	d.node.logRequest(now, entry)
	d.node.classes.Release(now, entry.Request.Class)
	d.node.serverTable.ReleaseAttempts(entry.Request)
}
