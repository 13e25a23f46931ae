// Package inflight keeps the requests in flight of a node, between the sockets and the decision module: each event becomes a call
// of the policy, and each decision of the policy a call of the dispatcher. It does no I/O and reads no clock, so that a node on
// sockets and a simulated one share it.
//
// Times of type float64 are ms on the caller's clock. One goroutine owns a table.
package inflight

import (
	"cmp"
	"math"
	"slices"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
)

// Entry is a request in flight.
type Entry[A comparable] struct {
	Exchange *exchange.Exchange
	Request  *fleet.Request // as the policy knows it
	Receipt  []byte         // of an attempt that was completed; nil: none was, or its value is streamed

	attempts  [fleet.MaxAttempts]A // by number, as those of Request
	withdrawn bool                 // attempts that were not sent yet when the request was closed
}

// Table is the requests in flight of one node.
type Table[A comparable] struct {
	Policy   Policy // set before the first call: it is made with the table's slab
	Slab     fleet.Slab
	Counters Counters

	OnAdmit  func(request *fleet.Request, key []byte)                  // called for each new request; nil: nothing is
	OnResult func(now float64, at fleet.ServerID, result fleet.Result) // called for each attempt that has ended, but for stale ones; nil: nothing is

	dispatcher Dispatcher[A]
	byExchange map[*exchange.Exchange]*Entry[A]
	byRef      map[fleet.Ref]*Entry[A]
	lastID     fleet.RequestID
}

// New makes an empty table. Its policy is still to be set.
func New[A comparable](dispatcher Dispatcher[A]) *Table[A] {
	return &Table[A]{
		dispatcher: dispatcher,
		byExchange: map[*exchange.Exchange]*Entry[A]{},
		byRef:      map[fleet.Ref]*Entry[A]{},
	}
}

// Len is the number of requests in flight. Requests that are answered stay while an attempt is out.
func (t *Table[A]) Len() int { return len(t.byExchange) }

// Admit takes a new request, and carries out the first decision for it.
func (t *Table[A]) Admit(now float64, x *exchange.Exchange) {
	request := t.Slab.Alloc()
	t.lastID++
	request.ID, request.Class, request.Tenant = t.lastID, x.Class, x.Tenant
	request.Key, request.HasKey, request.Write = x.KeyHash, true, x.Write
	request.ArrivedAt, request.Deadline, request.Work, request.ValueSize = x.ArrivedAt, x.Deadline, x.Work, x.ValueSize
	request.Uploading = x.Body != nil
	if t.OnAdmit != nil {
		t.OnAdmit(request, x.Key)
	}
	entry := &Entry[A]{Exchange: x, Request: request}
	t.byExchange[x], t.byRef[request.Ref] = entry, entry
	t.dispatcher.Admitted(entry)
	t.apply(now, entry, t.Policy.Route(now, request))
}

// BodyComplete says that the last byte of a streamed value was read at the given time. The client's timeout runs from there.
func (t *Table[A]) BodyComplete(now float64, x *exchange.Exchange, at float64) {
	entry := t.byExchange[x]
	if entry == nil || entry.Request.Closed {
		return
	}
	request := entry.Request
	request.ArrivedAt, request.Deadline = at, at+x.Timeout
	t.Policy.UploadDone(now, request)
	var none A
	for i := range request.Attempts[:request.NumAttempts] {
		if a := &request.Attempts[i]; a.Result == fleet.Pending && entry.attempts[i] != none {
			t.dispatcher.BodyComplete(now, a.Server, entry.attempts[i], request.Deadline)
		}
	}
}

// ClientGone says that the client of a request is gone.
func (t *Table[A]) ClientGone(now float64, x *exchange.Exchange) {
	entry := t.byExchange[x]
	if entry == nil || entry.Request.Closed {
		return
	}
	t.Counters.ClientsGone++
	t.Policy.ClientGone(now, entry.Request)
	t.release(now, entry)
}

// AttemptDone takes the end of an attempt, by its number, and carries out the next decision.
func (t *Table[A]) AttemptDone(now float64, x *exchange.Exchange, number int, completion Completion) {
	entry := t.byExchange[x]
	if entry == nil {
		completion.close()
		return
	}
	request := entry.Request
	t.Counters.Results[completion.Result]++
	if t.OnResult != nil && !completion.Stale {
		t.OnResult(now, request.Attempts[number].Server, completion.Result)
	}
	request.ValueConsumed = x.Body != nil && x.Body.Consumed()
	if completion.Result == fleet.Completed && completion.Stream == nil {
		entry.Receipt = completion.Value
	}
	outcome := fleet.Outcome{
		Attempt:         number,
		Result:          completion.Result,
		Took:            max(0, completion.Took),
		Closed:          request.Closed,
		StaleConnection: completion.Stale,
		Cache:           completion.Cache,
		Report:          completion.Report,
	}
	if completion.Result == fleet.Completed && !request.Closed {
		// The rest of a streamed value is between its server and its client: to the policy the request is closed.
		outcome.Closed = true
		t.Respond(x, exchange.Response{Kind: exchange.Completed, Value: completion.Value, Stream: completion.Stream})
	} else {
		completion.close()
	}
	t.apply(now, entry, t.Policy.AttemptDone(now, request, outcome))
}

// NextDue returns what is due: a request to call Decide for, nil for the upkeep of the node, or nothing for wait ms.
func (t *Table[A]) NextDue(now float64) (entry *Entry[A], wait float64) {
	ref, wait := t.Policy.NextDue(now)
	if wait > 0 {
		return nil, wait
	}
	return t.byRef[ref], 0
}

// Decide carries out the policy's decision for a request, or with nil that for the node itself.
func (t *Table[A]) Decide(now float64, entry *Entry[A]) {
	if entry == nil {
		t.apply(now, nil, t.Policy.Route(now, nil))
		return
	}
	t.apply(now, entry, t.Policy.Route(now, entry.Request))
}

// Fail aborts a request whose handling has failed within the node.
func (t *Table[A]) Fail(now float64, x *exchange.Exchange, reason string) {
	t.Respond(x, exchange.Response{Kind: exchange.Aborted, Reason: reason})
	if entry := t.byExchange[x]; entry != nil {
		entry.Request.Closed = true
		t.release(now, entry)
	}
}

// HasUnanswered reports whether a request waits for its response. Attempts of answered ones may still be out.
func (t *Table[A]) HasUnanswered() bool {
	for _, entry := range t.byExchange {
		if !entry.Request.Closed {
			return true
		}
	}
	return false
}

// AbortAll aborts all requests without a response, in the order of their arrival.
func (t *Table[A]) AbortAll(now float64, reason string) {
	var open []*Entry[A]
	for _, entry := range t.byExchange {
		if !entry.Request.Closed {
			open = append(open, entry)
		}
	}
	slices.SortFunc(open, func(a, b *Entry[A]) int { return cmp.Compare(a.Request.ID, b.Request.ID) })
	for _, entry := range open {
		t.Respond(entry.Exchange, exchange.Response{Kind: exchange.Aborted, Reason: reason})
		t.Policy.ClientGone(now, entry.Request)
		t.release(now, entry)
	}
}

// Respond sends a request its final response, unless it has one. The request may be one that was never admitted.
func (t *Table[A]) Respond(x *exchange.Exchange, response exchange.Response) {
	if x.Respond(response) {
		t.Counters.Responses[response.Kind]++
	} else if response.Stream != nil {
		response.Stream.Close()
	}
}

// apply carries out a decision. entry is nil for a decision about the node itself.
func (t *Table[A]) apply(now float64, entry *Entry[A], d fleet.Decision) {
	switch d.Action {
	case fleet.Send:
		notAfter := cmp.Or(d.SendBy, math.Inf(1))
		entry.attempts[d.Attempt] = t.dispatcher.Send(now, d.Server, entry.Exchange, d.Attempt, d.Timeout, notAfter)
	case fleet.Cancel:
		t.dispatcher.Cancel(now, entry.Request.Attempts[d.Attempt].Server, entry.attempts[d.Attempt])
	case fleet.Reject:
		t.Respond(entry.Exchange, exchange.Response{Kind: exchange.Rejected, RetryAfter: d.RetryAfter})
	case fleet.Abort:
		t.Respond(entry.Exchange, exchange.Response{Kind: exchange.Aborted, Reason: "it may or may not have been carried out"})
	case fleet.Subscribe:
		t.dispatcher.WatchList()
	case fleet.PollList:
		t.dispatcher.PollList()
	}
	if d.CloseIdle {
		t.dispatcher.CloseIdle(d.IdleServer)
	}
	if entry != nil {
		t.release(now, entry)
	}
}

// release removes a request that is closed once no attempt is out.
//
// Attempts of a closed request that are not sent yet are withdrawn. Otherwise the request of a client that is gone, while connections
// are slow to be established, would be executed long after.
func (t *Table[A]) release(now float64, entry *Entry[A]) {
	request := entry.Request
	if !request.Closed {
		return
	}
	if request.InFlight > 0 {
		t.withdraw(now, entry)
	}
	if request.InFlight == 0 && t.byExchange[entry.Exchange] == entry {
		t.dispatcher.Released(now, entry)
		delete(t.byExchange, entry.Exchange)
		delete(t.byRef, request.Ref)
		t.Slab.Free(request)
	}
}

// withdraw stops, once, the attempts of a request that are not sent yet.
func (t *Table[A]) withdraw(now float64, entry *Entry[A]) {
	if entry.withdrawn {
		return
	}
	entry.withdrawn = true
	for i := range entry.Request.Attempts[:entry.Request.NumAttempts] {
		if a := &entry.Request.Attempts[i]; a.Result == fleet.Pending && !a.Cancelled {
			t.dispatcher.CancelUnsent(now, a.Server, entry.attempts[i])
		}
	}
}
