package exchange

import "mintspring/internal/fleet"

// Progress is how far an attempt got before it failed.
type Progress uint8

// Stages of an attempt, in the order in which it passes them.
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

// AttemptError is the error of an attempt that got no response. Its progress alone tells whether the attempt may have been executed.
type AttemptError struct {
	Progress Progress
	Result   fleet.Result // result of the attempt if it may have been executed; otherwise Outcome derives the result from it
	Stale    bool         // its connection had been idle, and the server seems to have dropped the connection meanwhile
	Cause    error
}

func (e *AttemptError) Error() string { return e.Progress.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// NotExecuted reports whether the attempt is known to have had no effect: a server executes a request only after it has received the last
// byte.
func (e *AttemptError) NotExecuted() bool { return e.Progress < FullyWritten }

// Outcome returns the result to report to the decision module. An attempt whose last byte was not sent is reported as ConnectFailed if
// the server or the network ended it, as Declined if it got no connection from the server's pool in time, and as NotSent if the node
// stopped it.
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
