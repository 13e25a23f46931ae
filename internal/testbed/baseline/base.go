package baseline

import (
	"math"

	"mintspring/internal/fleet"
)

// listRetryMs is the delay before the endpoint list is requested again after a failure, in ms.
const listRetryMs = 500

// Base implements the parts that simple policies share: it allows one attempt of a request at a time and watches the endpoint list,
// retrying the watch after a failure. A policy embeds Base and sets Choose and EndpointsChanged.
type Base struct {
	// Choose returns the decision for a request that has no attempt in flight.
	Choose func(now float64, q *fleet.Request) fleet.Decision
	// EndpointsChanged is called after each change of Endpoints.
	EndpointsChanged func()
	// Endpoints holds the servers of the endpoint list.
	Endpoints map[fleet.ServerID]fleet.Endpoint

	listRequestAt float64 // when the endpoint list is to be requested; +Inf while it is watched
}

// Start makes the next call of Route request the endpoint list.
func (b *Base) Start(now float64) {
	b.Endpoints = map[fleet.ServerID]fleet.Endpoint{}
	b.listRequestAt = now
}

// UpdateEndpoints applies a full endpoint list, a change to it, or the failure of the watch.
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

// Route returns the decision for a request. Without a request it returns the watch of the endpoint list if that is due.
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

// AttemptDone records the result of an attempt and returns the next decision for its request.
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

// NextDue returns the time until the endpoint list has to be requested. No request is ever due by itself.
func (b *Base) NextDue(now float64) (fleet.Ref, float64) {
	return fleet.NoRequest, max(0, b.listRequestAt-now)
}

// ServerResponding does nothing: the baselines do not count what is in flight at a server.
func (b *Base) ServerResponding(float64, *fleet.Request, int) {}

// UploadDone records that the value of a request has arrived completely.
func (b *Base) UploadDone(_ float64, q *fleet.Request) { q.Uploading = false }

// ClientGone records that the client of a request has disconnected.
func (b *Base) ClientGone(_ float64, q *fleet.Request) { q.Closed = true }

// SendTo adds an attempt to a request and returns the decision to send it to a server.
func SendTo(now float64, q *fleet.Request, to fleet.ServerID) fleet.Decision {
	attempt := q.NumAttempts
	q.Attempts[attempt] = fleet.Attempt{Server: to, SentAt: now}
	q.NumAttempts++
	q.InFlight++
	return fleet.Decision{Action: fleet.Send, Server: to, Attempt: attempt, Timeout: q.Deadline - now}
}

// RetrySafety tells whether a request may be sent again, given its earlier attempts.
type RetrySafety struct {
	Allowed  bool // the node may send the request again
	NoEffect bool // the client may send the request again: no earlier attempt had an effect that a duplicate would repeat
}

// EvaluateRetry evaluates the earlier attempts of a request. sharesDeduplication reports whether the server of an earlier attempt and the
// next server drop duplicates of each other's writes.
func EvaluateRetry(now float64, limits *fleet.Limits, q *fleet.Request, sharesDeduplication func(earlier fleet.ServerID) bool) RetrySafety {
	class := &limits.Classes[q.Class]
	retry := RetrySafety{Allowed: true, NoEffect: true}
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
