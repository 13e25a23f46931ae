package fleet

// Action is what the caller of the decision module is to do.
type Action uint8

// Actions of a Decision.
const (
	NoAction  Action = iota
	Hold             // keep the request until the module is due
	Send             // start an attempt
	Reject           // respond that nothing was executed
	Abort            // respond that it may have been executed
	Cancel           // stop an attempt
	Subscribe        // watch the endpoint list
	PollList         // request the endpoint list once
	Probe            // check a server's health
	Broadcast        // send Body to the other nodes
)

// Decision is one answer of the decision module.
type Decision struct {
	Action     Action
	Server     ServerID // Send, Probe
	Attempt    int      // Send, Cancel: index in Request.Attempts
	Timeout    float64  // Send: of the attempt, in ms
	SendBy     float64  // Send: its last byte may not leave later, for it could repeat an effect then; 0 or +Inf: at any time
	RetryAfter float64  // Reject: ms after which the client may come back; 0: unknown
	Body       []byte   // Broadcast

	CloseIdle  bool // also close the idle connections to IdleServer
	IdleServer ServerID
}
