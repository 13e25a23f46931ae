package node

import (
	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/inflight"
	"mintspring/internal/node/upstream"
)

// HandleRequest accepts a request from a client. It implements clients.Handler, as ClientGone and BodyReceived do.
func (n *Node) HandleRequest(x *exchange.Exchange) { n.inbox.post(requestArrived{x}) }

// ClientGone reports that the client of a request has closed its connection.
func (n *Node) ClientGone(x *exchange.Exchange) { n.inbox.post(clientGone{x}) }

// BodyReceived reports that the client has, or may have, sent the last byte of a value that is streamed to its server at the given time.
func (n *Node) BodyReceived(x *exchange.Exchange, at float64) { n.inbox.post(bodyComplete{x, at}) }

// attemptDone is called by the connections to the servers at the end of an attempt.
func (n *Node) attemptDone(attempt *upstream.Attempt, completion upstream.Completion) {
	n.inbox.post(attemptDone{attempt, completion})
}

// serverResponding is called by the connections to the servers when a response has begun that is not complete.
func (n *Node) serverResponding(attempt *upstream.Attempt) { n.inbox.post(serverResponding{attempt}) }

// requestArrived is the event that a client has sent a request.
type requestArrived struct{ request *exchange.Exchange }

func (e requestArrived) exchange() *exchange.Exchange { return e.request }

func (e requestArrived) handle(n *Node, now float64) {
	x := e.request
	if n.shutdown.deadline > 0 {
		x.Deadline = min(x.Deadline, n.shutdown.deadline) // the process ends then; a request that arrives later is rejected without an attempt
	}
	if n.isFull() {
		n.inflight.Respond(x, exchange.Response{Kind: exchange.Rejected, RetryAfter: n.frontend.Config().RetryAfter})
		return
	}
	if n.idempotency != nil && n.idempotency.claimIfNeeded(now, x) {
		return
	}
	n.inflight.Admit(now, x)
}

// isFull reports whether as many requests are in flight, or waiting for their claim, as the deployment allows.
func (n *Node) isFull() bool {
	limit := n.deployment.MaxInFlight
	if limit <= 0 {
		return false
	}
	waitingClaims := 0
	if n.idempotency != nil {
		waitingClaims = n.idempotency.pendingClaims
	}
	return n.inflight.Len()+waitingClaims >= limit
}

// bodyComplete is the event that the client's timeout of a streamed value runs, since the given time.
type bodyComplete struct {
	request *exchange.Exchange
	at      float64
}

func (e bodyComplete) exchange() *exchange.Exchange { return e.request }

func (e bodyComplete) handle(n *Node, now float64) {
	e.request.Deadline = min(e.request.Deadline, e.at+e.request.Timeout)
	if n.idempotency == nil || !n.idempotency.bodyComplete(e.request, e.at) {
		n.inflight.BodyComplete(now, e.request, e.at)
	}
}

// clientGone is the event that the client of a request has closed its connection.
type clientGone struct{ request *exchange.Exchange }

func (e clientGone) exchange() *exchange.Exchange { return e.request }

func (e clientGone) handle(n *Node, now float64) {
	if n.idempotency == nil || !n.idempotency.clientGone(e.request) {
		n.inflight.ClientGone(now, e.request)
	}
}

// serverResponding is the event that the server of an attempt has begun to write its response.
type serverResponding struct{ attempt *upstream.Attempt }

func (e serverResponding) exchange() *exchange.Exchange { return e.attempt.Request }

func (e serverResponding) handle(n *Node, now float64) {
	n.inflight.ServerResponding(now, e.attempt.Request, e.attempt.Number)
}

// attemptDone is the event that an attempt has ended.
type attemptDone struct {
	attempt    *upstream.Attempt
	completion upstream.Completion
}

func (e attemptDone) exchange() *exchange.Exchange { return e.attempt.Request }

func (e attemptDone) handle(n *Node, now float64) {
	response := e.completion.Response
	completion := inflight.Completion{
		Result: response.Result,
		Took:   e.completion.EndedAt - e.attempt.SentAt,
		Cache:  response.Cache,
		Report: response.Report,
		Value:  response.Value,
		Stream: response.Stream,
	}
	if failure := e.completion.Failure; failure != nil {
		completion.Result, completion.Report, completion.Stale = failure.Outcome(), fleet.NewLoadReport(), failure.Stale
		n.traffic.lastError = failure
	}
	n.logAttempt(e.attempt, &e.completion)
	n.inflight.AttemptDone(now, e.attempt.Request, e.attempt.Number, completion)
}
