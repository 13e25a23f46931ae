// Package invariants checks the four rules that every node has to keep, by what clients and fake servers saw and never by what a node
// says of itself:
//
//  1. each request is answered once, in time and with the right value, and nothing is sent to servers for it afterwards;
//  2. a write has the effects that its class allows;
//  3. nothing is sent to a server some time after its drain was announced;
//  4. no server collapses under an overload that nodes could have avoided.
//
// It does no I/O. Times are Unix ms, durations ms.
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
	Rejected           // a retry is harmless
	Aborted            // nothing is promised
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"unanswered", "completed", "rejected", "aborted"}[o]
}

// WriteSemantics is what a class of requests allows when one is sent to servers several times.
type WriteSemantics uint8

// The semantics.
const (
	Idempotent   WriteSemantics = iota // it may run any number of times
	Deduplicated                       // servers drop duplicates within the deduplication window
	NonIdempotent
)

// ClientAttempt is one attempt of a request as its client saw it.
type ClientAttempt struct {
	ID                   string
	IdempotencyKey       string
	Semantics            WriteSemantics
	DedupWindow          float64 // ms
	Node                 servermodel.NodeID
	Sent                 float64 // when its last byte was written
	Deadline             float64
	AnsweredAt           float64 // when the last byte of its response came
	Outcome              Outcome
	DuplicateResponse    bool    // a second response came
	WrongKey             bool    // the response had the value of another key
	ClientClosedAt       float64 // when its client closed the connection without a response; 0: it did not
	ResentAfterConnEnd   bool    // sent by a client that keeps its connection and sends again, on another one, what crossed its end
	ConnEndedAt          float64 // when the node ended the connection without a response; 0: it did not
	ConnEndReason        string  // how it ended, for people
	NewConnClosedCleanly bool    // ... and that connection was new and not reset: unless the node was ending, it had read what had come
	BecomesStricter      bool    // of a class that is non-idempotent while its node has stricter settings
	ExtraSlack           float64 // beside that of all attempts, where the machine itself stood still
}

// Downtime is a time in which a node did not run, or was being ended.
type Downtime struct {
	Node     servermodel.NodeID
	From, To float64
	Stopped  bool    // it was told to end, and owes a response to what it had taken
	StopAt   float64 // when it was told so
}

// ConnectionFlood is a time in which silent clients took a node's descriptors: new connections may be shut unread then.
type ConnectionFlood struct {
	Node     servermodel.NodeID
	From, To float64
}

// Collapse is a collapse of a server under overload.
type Collapse struct {
	Server         string
	Origin         bool
	AvoidableShare float64 // at a cache what nodes sent that knew of its start, at the origin misses of caches that were warming up
}

// Shares of an overload from which on nodes are to blame for it, as the platform has them.
const (
	notifiedShareLimit = 2.0 / 3
	coldMissShareLimit = 0.3
)

// Evidence is all that was seen of a run.
type Evidence struct {
	Attempts         []ClientAttempt
	Executions       []*servermodel.Execution // in the order in which they came
	Notifications    []fakes.Notification     // in their order
	Downtimes        []Downtime
	ConnectionFloods []ConnectionFlood
	Operations       Operations
	Collapses        []Collapse
	Crashes          []string
	DrainGrace       float64 // how long requests may be sent to a server that drains or has gone
	Slack            float64 // added to every limit
}

// Limits of the protocol, in ms, each of which the slack is added to.
const (
	crossingLimit  = 100 // a request that crosses the end of its connection was not taken
	departureLimit = 100 // what is sent to servers later than this after a client has left is sent for nobody
	toldLimit      = 150 // by which the time told to a server may exceed what is left to the client
)

// Rules of violations.
const (
	ruleCrash    = 0 // not one of the four: a node crashed
	ruleAnswer   = 1
	ruleEffects  = 2
	ruleDrain    = 3
	ruleOverload = 4
)

// Violation is one broken rule.
type Violation struct {
	Rule        int // 1 to 4; 0: a node that crashed
	Description string
}

// String names the rule and says how it was broken.
func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.Description) }

// WrongKeyResponse is a response with the value of another key, and the last execution before it.
type WrongKeyResponse struct {
	SentAt float64 // when that execution came to its server
	Node   servermodel.NodeID
	Server servermodel.ServerID
}

// CheckAll has a checker look at all of the evidence.
func CheckAll(e Evidence) *Checker {
	c := NewChecker(e.DrainGrace, e.Slack)
	for _, n := range e.Notifications {
		c.NodeNotified(n)
	}
	for _, d := range e.Downtimes {
		c.NodeDown(d)
	}
	c.crowds, c.operations = e.ConnectionFloods, e.Operations
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

// openEndMs is the length of a downtime whose end is not known yet: longer than any run.
const openEndMs = 3.6e6

// OpenDowntime returns a downtime that begins at a time and has no end yet.
func OpenDowntime(node servermodel.NodeID, fromMs float64) Downtime {
	return Downtime{Node: node, From: fromMs, To: fromMs + openEndMs}
}
