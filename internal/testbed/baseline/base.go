package baseline

import (
	"math"

	"mintspring/internal/fleet"
)

// listRetryMs is how long after a failure the endpoint list is requested again, in ms.
const listRetryMs = 500

// Base is what plain policies share: one attempt of a request at a time, and a watch of the endpoint list that is begun anew when it
// ends. A policy embeds it and sets Choose and EndpointsChanged.
type Base struct {
	// Choose says what is to be done with a request of which nothing is in flight.
	Choose func(now float64, q *fleet.Request) fleet.Decision
	// EndpointsChanged is called when Endpoints have changed.
	EndpointsChanged func()
	// Endpoints are the servers of the endpoint list.
	Endpoints map[fleet.ServerID]fleet.Endpoint

	listRequestAt float64 // when the endpoint list is to be requested; +Inf while it is watched
}

// Start has the endpoint list requested at once.
func (b *Base) Start(now float64) {
	b.Endpoints = map[fleet.ServerID]fleet.Endpoint{}
	b.listRequestAt = now
}

// UpdateEndpoints handles the endpoint list or changes to it.
func (b *Base) UpdateEndpoints(now float64, mode fleet.ListMode, entries []fleet.Endpoint) {
	if mode == fleet.ListFailed {
		b.listRequestAt = now + listRetryMs
		return
	}
	if mode == fleet.ListFull {
		clear(b.Endpoints)
	}
	for _, endpoint := range entries {
		b.Endpoints[endpoint.ID] = endpoint
	}
	b.EndpointsChanged()
}

// Route says where a request goes; without a request it does what is due.
func (b *Base) Route(now float64, q *fleet.Request) fleet.Decision {
	if q == nil {
		if now >= b.listRequestAt {
			b.listRequestAt = math.Inf(1)
			return fleet.Decision{Action: fleet.Subscribe}
		}
		return fleet.Decision{}
	}
	if q.Closed || q.InFlight > 0 {
		return fleet.Decision{}
	}
	return b.Choose(now, q)
}

// AttemptDone says what is to be done after an attempt has ended.
func (b *Base) AttemptDone(now float64, q *fleet.Request, o fleet.Outcome) fleet.Decision {
	if o.Attempt < 0 || o.Attempt >= q.NumAttempts || q.Attempts[o.Attempt].Result != fleet.Pending {
		return fleet.Decision{}
	}
	q.Attempts[o.Attempt].Result = o.Result
	q.InFlight--
	if o.Closed || q.Closed {
		q.Closed = true
		return fleet.Decision{}
	}
	return b.Choose(now, q)
}

// NextDue returns how long it is until something is due. It is never due for a request.
func (b *Base) NextDue(now float64) (fleet.Ref, float64) {
	return fleet.NoRequest, max(0, b.listRequestAt-now)
}

// UploadDone records that the value of a request has arrived.
func (b *Base) UploadDone(_ float64, q *fleet.Request) { q.Uploading = false }

// ClientGone records that the client of a request has gone.
func (b *Base) ClientGone(_ float64, q *fleet.Request) { q.Closed = true }

// SendTo books an attempt of a request at a server and returns the decision to send it.
func SendTo(now float64, q *fleet.Request, to fleet.ServerID) fleet.Decision {
	attempt := q.NumAttempts
	q.Attempts[attempt] = fleet.Attempt{Server: to, SentAt: now}
	q.NumAttempts++
	q.InFlight++
	return fleet.Decision{Action: fleet.Send, Server: to, Attempt: attempt, Timeout: q.Deadline - now}
}

// Retry says what the attempts of a request so far allow.
type Retry struct {
	Allowed  bool // it may be sent once more
	NoEffect bool // the client may send it again: no attempt has had an effect that a duplicate would have again
}

// RetryOf returns what the attempts of a request so far allow. sharesDeduplication reports whether the server of an earlier attempt
// and the one that is to be next drop duplicates of each other's writes.
func RetryOf(now float64, limits *fleet.Limits, q *fleet.Request, sharesDeduplication func(earlier fleet.ServerID) bool) Retry {
	class := &limits.Classes[q.Class]
	retry := Retry{Allowed: true, NoEffect: true}
	for _, attempt := range q.Attempts[:q.NumAttempts] {
		if attempt.Result.NotExecuted() || class.Effect == fleet.Idempotent {
			continue
		}
		deduplicated := class.Effect == fleet.Deduplicated
		withinWindow := now+limits.Quantum < attempt.SentAt+class.DedupWindow
		retry.NoEffect = retry.NoEffect && deduplicated && class.DedupScope == fleet.DedupAll
		retry.Allowed = retry.Allowed && deduplicated && withinWindow && sharesDeduplication(attempt.Server)
	}
	return retry
}
