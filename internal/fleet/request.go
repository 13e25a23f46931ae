package fleet

// MaxAttempts is the upper bound of attempts per request.
const MaxAttempts = 8

// Request is a client's request in flight. The caller of the decision module fills in what the client sent; the module owns Stage and
// WakeAt.
type Request struct {
	Ref       Ref
	ID        RequestID
	Class     ClassID
	Tenant    TenantID
	Key       Key
	HasKey    bool
	Write     bool
	ArrivedAt float64
	Deadline  float64
	Work      float64 // in ms, as stated by the client; 0: not stated
	ValueSize float64 // as stated by the client; 0: not stated

	Attempts    [MaxAttempts]Attempt // the first NumAttempts are in use
	NumAttempts int
	InFlight    int // attempts whose result is pending

	Uploading     bool // its value is still being received, so that no attempt can have been executed
	ValueConsumed bool // its value has been streamed to a server and is not available to another attempt
	Closed        bool // it has been answered, or its client has disconnected
	Streaming     bool // its response is being streamed to the client

	Stage  uint8   // routing stage, defined by the decision module
	WakeAt float64 // when NextDue returns the request; 0: no timer
}

// Attempt is one attempt to execute a request at a server.
type Attempt struct {
	Server        ServerID
	SentAt        float64
	Result        Result
	Cancelled     bool    // cancelled by this node; the result may still be pending
	RespondingAt  float64 // when a response had begun of which the client has nothing yet; 0: none has, or it came at once
	RequestsAhead float64 // requests at the server when the attempt was sent
}

// Result is the result of an attempt.
type Result uint8

// Results of an attempt.
const (
	Pending       Result = iota // still in flight
	Completed                   // executed
	Failed                      // the server responded with an error
	Declined                    // the server refused to execute it
	TimedOut                    // no response within its timeout
	ConnectFailed               // no connection could be established
	Reset                       // the connection was lost after the last byte of the request
	Cancelled                   // cancelled by this node
	NotSent                     // cancelled before its last byte was sent
	Missed                      // the cache does not have the key
)

// NotExecuted reports whether the result proves that the attempt had no effect.
func (r Result) NotExecuted() bool {
	return r == Declined || r == ConnectFailed || r == NotSent || r == Missed
}

// CacheStatus is what a cache server reports about its lookup of the key.
type CacheStatus uint8

// Results of a lookup.
const (
	CacheUnknown CacheStatus = iota
	CacheHit
	CacheMiss
	CacheMissFetching // miss, while another request is fetching the key
)

// Outcome tells the decision module how an attempt ended.
type Outcome struct {
	Attempt         int // index in Request.Attempts
	Result          Result
	Took            float64 // in ms
	Closed          bool    // the request needs no further attempt
	StaleConnection bool    // the attempt was lost with a connection that had been idle; this says nothing about the server
	Cache           CacheStatus
	Report          LoadReport
}
