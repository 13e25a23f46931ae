package exchange

import "mintspring/internal/fleet"

// Progress is how far an attempt came before it failed.
type Progress uint8

// An attempt goes through these in order.
const (
	NotConnected     Progress = iota
	PartiallyWritten          // some bytes may have been sent, but not the last one
	FullyWritten              // the last byte may have been sent
	ResponseStarted
)

var progressNames = [...]string{
	NotConnected:     "not connected",
	PartiallyWritten: "partially written",
	FullyWritten:     "fully written",
	ResponseStarted:  "response started",
}

func (p Progress) String() string { return progressNames[p] }

// AttemptError is the failure of an attempt that got no response. Whether it may have been executed follows from its progress alone.
type AttemptError struct {
	Progress Progress
	Result   fleet.Result // of the attempt, if it may have been executed
	Stale    bool         // its connection had been idle, and the server seems to have dropped it meanwhile
	Cause    error
}

func (e *AttemptError) Error() string { return e.Progress.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// NotExecuted reports whether the attempt is known to have had no effect: a server begins to execute a request with its last byte.
func (e *AttemptError) NotExecuted() bool { return e.Progress < FullyWritten }

// Outcome is what the failure means to the decision module. Before the last byte an attempt that the server or the network stopped could
// not connect, one that got no connection from the server's pool in time found it full, and one that the node stopped was not sent.
func (e *AttemptError) Outcome() fleet.Result {
	if !e.NotExecuted() {
		return e.Result
	}
	switch e.Result {
	case fleet.Reset, fleet.ConnectFailed:
		return fleet.ConnectFailed
	case fleet.Declined:
		return fleet.Declined
	default:
		return fleet.NotSent
	}
}
