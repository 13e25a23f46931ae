package connpool

// CloseReason says why the node closed a connection to a server.
type CloseReason uint8

// Reasons for closing a connection.
const (
	ClosedUnused      CloseReason = iota // it was not needed, or idle for too long
	ClosedExpired                        // it had reached its maximum age
	ClosedReplaced                       // it cooled down, and a new connection can be used at once
	ClosedUnavailable                    // no attempts may be sent to its address
	ClosedByServer                       // its latest response, or the server's connection limit, ends its use
	ClosedBroken                         // it broke, or what arrived cannot be parsed
	ClosedAbandoned                      // its attempt ended without a response
	ClosedUnsolicited                    // bytes arrived that are the response to no attempt
	ClosedDuplicate                      // a response may be a duplicate of an earlier one

	NumCloseReasons = iota // number of reasons
)

var closeReasonNames = [...]string{
	ClosedUnused:      "unused",
	ClosedExpired:     "expired",
	ClosedReplaced:    "replaced",
	ClosedUnavailable: "unavailable",
	ClosedByServer:    "by_server",
	ClosedBroken:      "broken",
	ClosedAbandoned:   "abandoned",
	ClosedUnsolicited: "unsolicited",
	ClosedDuplicate:   "duplicate",
}

// String returns the name of the reason in the log.
func (r CloseReason) String() string { return closeReasonNames[r] }
