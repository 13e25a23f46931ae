// Package invariants checks the four rules that every node must follow. It relies on observations of clients and fake servers only, never
// on what a node reports about itself:
//
//  1. each request is answered once, in time and with the right value, and nothing is sent to servers on its behalf afterwards;
//  2. a write takes effect no more often than its class allows;
//  3. nothing is sent to a server once the grace after its drain notification has passed;
//  4. no server collapses under an overload that nodes could have avoided.
//
// It does no I/O. Times are in Unix ms, durations in ms.
package invariants

import (
	"fmt"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// Outcome is how a client's attempt ended.
type Outcome uint8

// The outcomes.
const (
	Unanswered Outcome = iota
	Completed          // with a value
	Rejected           // the request had no effect
	Aborted            // the request may have had an effect
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"unanswered", "completed", "rejected", "aborted"}[o]
}

// WriteSemantics tells whether a request of a class may be sent to servers more than once.
type WriteSemantics uint8

// The write semantics.
const (
	Idempotent   WriteSemantics = iota // it may run any number of times
	Deduplicated                       // servers drop duplicates within the deduplication window
	NonIdempotent
)

// ClientAttempt is one attempt of a request, as observed by its client.
type ClientAttempt struct {
	ID                   string
	IdempotencyKey       string
	Semantics            WriteSemantics
	DedupWindow          float64 // ms
	Node                 servermodel.NodeID
	Sent                 float64 // when its last byte was written
	Deadline             float64
	AnsweredAt           float64 // when the last byte of the response arrived
	Outcome              Outcome
	DuplicateResponse    bool    // a second response arrived
	WrongKey             bool    // the response had the value of another key
	WrongValue           string  // the beginning of that value, for violation messages
	ValueBrokeOff        bool    // a large value broke off after its first byte, which the client can tell
	ClientClosedAt       float64 // when its client closed the connection without a response; 0: it did not
	ResentAfterConnEnd   bool    // the client resends the request on another connection if it crossed the end of this one
	ConnEndedAt          float64 // when the node ended the connection without a response; 0: it did not
	ConnEndReason        string  // how the connection ended, for violation messages
	NewConnClosedCleanly bool    // the connection was new and closed without a reset, so a node that was not stopping had read the request
	BecomesStricter      bool    // the class becomes non-idempotent while the node has stricter settings
	BlockedFor           float64 // ms that it waited for the responses before it on its connection
	ExtraSlack           float64 // in addition to Evidence.Slack, for stalls of the machine
}

// SetBlockedUntil records when the response before that of the attempt arrived on their connection, in Unix ms; 0: there is none.
func (a *ClientAttempt) SetBlockedUntil(at float64) {
	a.BlockedFor = max(0, at-a.Sent)
	a.ExtraSlack = max(0, at-a.Deadline)
}

// Downtime is a time in which a node was down, paused or stopping.
type Downtime struct {
	Node            servermodel.NodeID
	From, To        float64
	Stopped         bool    // a graceful stop: the node must still answer the requests that it has read
	StopRequestedAt float64 // when the graceful stop was requested
}

// ConnectionFlood is a time in which idle connections exhausted a node's descriptors. The node may then close new connections unread.
type ConnectionFlood struct {
	Node     servermodel.NodeID
	From, To float64
}

// Collapse is a collapse of a server under overload.
type Collapse struct {
	Server         string
	Origin         bool
	AvoidableShare float64 // as servermodel.Server.AvoidableShare
}

// Limits of the platform on Collapse.AvoidableShare, beyond which an overload breaks rule 4.
const (
	notifiedShareLimit = 2.0 / 3
	coldMissShareLimit = 0.3
)

// Evidence contains all observations of a run.
type Evidence struct {
	Attempts         []ClientAttempt
	Executions       []*servermodel.Execution // in order of arrival
	Notifications    []fakes.Notification     // in order of time
	Downtimes        []Downtime
	ConnectionFloods []ConnectionFlood
	Operations       Operations
	Collapses        []Collapse
	Crashes          []string
	DrainGrace       float64 // how long requests may be sent to a server that drains or has ended, in ms
	Slack            float64 // added to every limit, in ms
	AcceptFails      bool    // nodes could not accept connections at times, so that they cannot know when the first request on one was sent
}

// Limits of the protocol, in ms. The slack is added to each.
const (
	connEndRaceLimit    = 100 // a request sent at most this long before its connection ended may not have been read
	clientCloseLimit    = 100 // after a client has closed its connection, until nothing is sent to servers on its behalf
	minTransferTime     = 50  // before a deadline, in which a response that goes on can reach its client
	deadlineExcessLimit = 150 // by which a deadline forwarded to a server may exceed the client's
)

// Values of Violation.Rule.
const (
	ruleCrash    = 0 // not one of the four: a node crashed
	ruleAnswer   = 1
	ruleEffects  = 2
	ruleDrain    = 3
	ruleOverload = 4
)

// Violation is one broken rule.
type Violation struct {
	Rule        int // 1 to 4, or 0 for a crash of a node
	Description string
}

// String returns the rule's number and the description.
func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.Description) }

// WrongKeyResponse is a response with the value of another key, and the last execution before it.
type WrongKeyResponse struct {
	SentAt float64 // when that execution arrived at its server
	Node   servermodel.NodeID
	Server servermodel.ServerID
}

// CheckAll passes all of the evidence to a new checker and returns it.
func CheckAll(e Evidence) *Checker {
	c := NewChecker(e.DrainGrace, e.Slack)
	for _, n := range e.Notifications {
		c.NodeNotified(n)
	}
	for _, d := range e.Downtimes {
		c.NodeDown(d)
	}
	c.connectionFloods, c.operations, c.acceptFails = e.ConnectionFloods, e.Operations, e.AcceptFails
	byRequestID := map[string][]*servermodel.Execution{}
	for _, x := range e.Executions {
		byRequestID[x.RequestID] = append(byRequestID[x.RequestID], x)
		c.ExecutionArrived(x)
	}
	for _, a := range e.Attempts {
		c.AttemptEnded(a, byRequestID[a.ID])
	}
	for _, collapse := range e.Collapses {
		c.ServerCollapsed(collapse)
	}
	for _, description := range e.Crashes {
		c.NodeCrashed(description)
	}
	return c
}

// openDowntimeMs is the provisional length of a downtime whose end is not known yet. It exceeds the length of any run.
const openDowntimeMs = 3.6e6

// OpenDowntime returns a downtime that starts at a time and has no known end yet.
func OpenDowntime(node servermodel.NodeID, fromMs float64) Downtime {
	return Downtime{Node: node, From: fromMs, To: fromMs + openDowntimeMs}
}
