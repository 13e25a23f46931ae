package fleet

// MaxAttempts is the most attempts that any request may have.
const MaxAttempts = 8

// Request is one request in flight. The caller of the decision module sets what the client has sent; the module owns Stage and WakeAt.
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
	Work      float64 // as the client states it, in ms; 0: it does not
	ValueSize float64 // of the value, as the client states it; 0: it does not

	Attempts    [MaxAttempts]Attempt // the first NumAttempts
	NumAttempts int
	InFlight    int // attempts whose result is pending

	Uploading     bool // its value is still being read: no attempt can have been executed
	ValueConsumed bool // its value has been streamed, and is not available to another attempt
	Closed        bool // it has its response, or its client is gone
	Streaming     bool // its response is being streamed

	Stage  uint8
	WakeAt float64 // when the module looks at it again; 0: it does not
}

// Attempt is one sending of a request to a server.
type Attempt struct {
	Server        ServerID
	SentAt        float64
	Result        Result
	Cancelled     bool    // by this node; the result is still pending
	RequestsAhead float64 // requests that it found at the server
}

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Pending       Result = iota // it is still out
	Completed                   // executed
	Failed                      // the server responded with an error
	Declined                    // the server declined it
	TimedOut                    // no response within its timeout
	ConnectFailed               // no connection could be established
	Reset                       // the connection was lost after the last byte of the request
	Cancelled                   // stopped by this node
	NotSent                     // stopped before its last byte was sent
	Missed                      // the cache does not have the key
)

// NotExecuted reports whether the result proves that the attempt had no effect.
func (r Result) NotExecuted() bool {
	return r == Declined || r == ConnectFailed || r == NotSent || r == Missed
}

// CacheStatus is what a cache server says of how it came by a response.
type CacheStatus uint8

// Statuses of a cache.
const (
	CacheUnknown CacheStatus = iota
	CacheHit
	CacheMiss
	CacheMissFetching // another request is fetching the key
)

// Outcome is the end of one attempt, as the decision module is given it.
type Outcome struct {
	Attempt         int // index in Request.Attempts
	Result          Result
	Took            float64
	Closed          bool // the request needs no further attempt
	StaleConnection bool // lost with a connection that had been idle, which says nothing of the server
	Cache           CacheStatus
	Report          LoadReport
}
