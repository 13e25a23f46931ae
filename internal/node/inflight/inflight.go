// Package inflight tracks a node's requests in flight and connects the sockets with the decision module: it passes each event to the
// policy, and each decision of the policy to the dispatcher. It does no I/O and reads no clock, so that nodes with sockets and simulated
// nodes can share it.
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
	Request  *fleet.Request // the policy's view of the request
	Receipt  []byte         // receipt of the completed attempt; nil: no attempt has completed, or its value is streamed

	attempts        [fleet.MaxAttempts]A // same indexes as Request.Attempts
	unsentCancelled bool                 // cancelUnsent has been called
}

// Table holds the requests in flight of one node.
type Table[A comparable] struct {
	Policy   Policy // set by the caller before the first call, since the policy is created with the table's Slab
	Slab     fleet.Slab
	Counters Counters

	// OnAdmit is called for each new request. It may be nil.
	OnAdmit func(request *fleet.Request, key []byte)
	// OnResult is called when an attempt has ended, unless it ended on a stale connection. It may be nil.
	OnResult func(now float64, server fleet.ServerID, result fleet.Result)

	dispatcher Dispatcher[A]
	byExchange map[*exchange.Exchange]*Entry[A]
	byRef      map[fleet.Ref]*Entry[A]
	lastID     fleet.RequestID
}

// New returns an empty table. The caller must set its Policy.
func New[A comparable](dispatcher Dispatcher[A]) *Table[A] {
	return &Table[A]{
		dispatcher: dispatcher,
		byExchange: map[*exchange.Exchange]*Entry[A]{},
		byRef:      map[fleet.Ref]*Entry[A]{},
	}
}

// Len returns the number of requests in flight. An answered request counts until none of its attempts is in flight.
func (t *Table[A]) Len() int { return len(t.byExchange) }

// Admit adds a new request and executes the first decision for it.
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

// BodyComplete records that the client's timeout of a streamed value has started at the given time.
func (t *Table[A]) BodyComplete(now float64, x *exchange.Exchange, at float64) {
	entry := t.byExchange[x]
	if entry == nil || entry.Request.Closed {
		return
	}
	request := entry.Request
	request.ArrivedAt, request.Deadline = at, min(request.Deadline, at+x.Timeout)
	t.updateValueConsumed(entry)
	t.Policy.UploadDone(now, request)
	var none A
	for i := range request.Attempts[:request.NumAttempts] {
		if a := &request.Attempts[i]; a.Result == fleet.Pending && entry.attempts[i] != none {
			t.dispatcher.BodyComplete(now, a.Server, entry.attempts[i], request.Deadline)
		}
	}
	if request.InFlight == 0 { // it is held, by its earlier deadline
		t.apply(now, entry, t.Policy.Route(now, request))
	}
}

// updateValueConsumed updates whether another attempt of a request could have its value. An attempt in flight may begin to read a streamed value
// at any time.
func (t *Table[A]) updateValueConsumed(entry *Entry[A]) {
	body := entry.Exchange.Body
	entry.Request.ValueConsumed = body != nil && (body.Consumed() || entry.Request.InFlight > 0)
}

// ClientGone records that the client of a request has disconnected.
func (t *Table[A]) ClientGone(now float64, x *exchange.Exchange) {
	entry := t.byExchange[x]
	if entry == nil || entry.Request.Closed {
		return
	}
	t.Counters.ClientsGone++
	t.Policy.ClientGone(now, entry.Request)
	t.release(now, entry)
}

// ServerResponding records that the server of the attempt with the given number has begun to write a response of which the client has nothing yet.
func (t *Table[A]) ServerResponding(now float64, x *exchange.Exchange, number int) {
	if entry := t.byExchange[x]; entry != nil {
		t.Policy.ServerResponding(now, entry.Request, number)
	}
}

// AttemptDone records the end of the attempt with the given number and executes the next decision for the request.
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
		// The policy takes no part in streaming the rest of the value, so for the policy the request is closed.
		outcome.Closed = true
		t.Respond(x, exchange.Response{Kind: exchange.Completed, Value: completion.Value, Stream: completion.Stream})
	} else {
		completion.close()
	}
	t.apply(now, entry, t.Policy.AttemptDone(now, request, outcome))
}

// NextDue returns the entry to pass to Decide now, where nil stands for the node's own maintenance, or the time in ms to wait until
// something is due.
func (t *Table[A]) NextDue(now float64) (entry *Entry[A], wait float64) {
	ref, wait := t.Policy.NextDue(now)
	if wait > 0 {
		return nil, wait
	}
	return t.byRef[ref], 0
}

// Decide executes the policy's decision for a request, or for the node itself if entry is nil.
func (t *Table[A]) Decide(now float64, entry *Entry[A]) {
	if entry == nil {
		t.apply(now, nil, t.Policy.Route(now, nil))
		return
	}
	t.updateValueConsumed(entry)
	t.apply(now, entry, t.Policy.Route(now, entry.Request))
}

// Fail aborts a request because of an internal error of the node.
func (t *Table[A]) Fail(now float64, x *exchange.Exchange, reason string) {
	t.Respond(x, exchange.Response{Kind: exchange.Aborted, Reason: reason})
	if entry := t.byExchange[x]; entry != nil {
		entry.Request.Closed = true
		t.release(now, entry)
	}
}

// HasUnanswered reports whether any client still waits for a response. Answered requests with attempts in flight do not count.
func (t *Table[A]) HasUnanswered() bool {
	for _, entry := range t.byExchange {
		if !entry.Request.Closed {
			return true
		}
	}
	return false
}

// AbortAll aborts all unanswered requests, in order of arrival.
func (t *Table[A]) AbortAll(now float64, reason string) {
	var unanswered []*Entry[A]
	for _, entry := range t.byExchange {
		if !entry.Request.Closed {
			unanswered = append(unanswered, entry)
		}
	}
	slices.SortFunc(unanswered, func(a, b *Entry[A]) int { return cmp.Compare(a.Request.ID, b.Request.ID) })
	for _, entry := range unanswered {
		t.Respond(entry.Exchange, exchange.Response{Kind: exchange.Aborted, Reason: reason})
		t.Policy.ClientGone(now, entry.Request)
		t.release(now, entry)
	}
}

// Respond sends the final response to a request unless the request already has one. The request need not have been admitted.
func (t *Table[A]) Respond(x *exchange.Exchange, response exchange.Response) {
	if x.Respond(response) {
		t.Counters.Responses[response.Kind]++
	} else if response.Stream != nil {
		response.Stream.Close()
	}
}

// apply executes a decision. entry is nil for a decision about the node itself.
func (t *Table[A]) apply(now float64, entry *Entry[A], d fleet.Decision) {
	switch d.Action {
	case fleet.Send:
		sendBy := cmp.Or(d.SendBy, math.Inf(1))
		entry.attempts[d.Attempt] = t.dispatcher.Send(now, d.Server, entry.Exchange, d.Attempt, d.Timeout, sendBy)
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

// release removes a closed request when it has no attempt in flight.
//
// It cancels the unsent attempts of a closed request. Otherwise a request whose client has disconnected could be executed long afterwards
// if connections are slow to be established.
func (t *Table[A]) release(now float64, entry *Entry[A]) {
	request := entry.Request
	if !request.Closed {
		return
	}
	if request.InFlight > 0 {
		t.cancelUnsent(now, entry)
	}
	if request.InFlight == 0 && t.byExchange[entry.Exchange] == entry {
		t.dispatcher.Released(now, entry)
		delete(t.byExchange, entry.Exchange)
		delete(t.byRef, request.Ref)
		t.Slab.Free(request)
	}
}

// cancelUnsent cancels the unsent attempts of a request. Only the first call has an effect.
func (t *Table[A]) cancelUnsent(now float64, entry *Entry[A]) {
	if entry.unsentCancelled {
		return
	}
	entry.unsentCancelled = true
	for i := range entry.Request.Attempts[:entry.Request.NumAttempts] {
		if a := &entry.Request.Attempts[i]; a.Result == fleet.Pending && !a.Cancelled {
			t.dispatcher.CancelUnsent(now, a.Server, entry.attempts[i])
		}
	}
}
