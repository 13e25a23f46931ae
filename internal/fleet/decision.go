package fleet

// Action is what the caller of the decision module has to do.
type Action uint8

// Actions of a Decision.
const (
	NoAction  Action = iota
	Hold             // keep the request until NextDue names it
	Send             // start an attempt
	Reject           // respond that the request was not executed
	Abort            // respond that the request may have been executed
	Cancel           // cancel an attempt
	Subscribe        // subscribe to the endpoint list
	PollList         // request the endpoint list once
	Probe            // run a health check on a server
	Broadcast        // send Body to all other nodes
)

// Decision is one answer of the decision module.
type Decision struct {
	Action     Action
	Server     ServerID // Send, Probe
	Attempt    int      // Send, Cancel: index in Request.Attempts
	Timeout    float64  // Send: time limit of the attempt, in ms
	SendBy     float64  // Send: deadline for the last byte; if sent later, it could repeat the request's effect; 0 or +Inf: none
	RetryAfter float64  // Reject: time in ms after which the client may retry; 0: unknown
	Body       []byte   // Broadcast

	CloseIdle  bool // also close the idle connections to IdleServer
	IdleServer ServerID
}
