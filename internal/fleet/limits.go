package fleet

// Effect says whether a request may be executed more than once.
type Effect uint8

// Effects of a request.
const (
	Idempotent    Effect = iota
	Deduplicated         // servers drop repeats
	NonIdempotent        // at most one attempt may have been executed
)

// DedupScope says which servers drop repeats of a deduplicated request.
type DedupScope uint8

// Scopes of deduplication: repeats are dropped by all servers, by those of one zone, or by those of one cell.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes a request class.
type Class struct {
	Effect           Effect
	DedupScope       DedupScope
	LatencyObjective float64 // responses that take longer are late
	ObjectivePerWork float64 // increase of the objective per ms of the request's work
	ClientTimeout    float64 // how long clients wait for a response
	DedupWindow      float64 // how long servers drop repeats of a request
	PriorityWeight   float64
	LateWeightFactor float64 // factor on PriorityWeight for a late response
	MaxAttempts      int     // per request; 0: Limits.MaxAttempts
	Stream           bool    // responses are streamed
}

// Limits is the configuration of a decision module.
type Limits struct {
	Seed       uint64
	Nodes      int
	Zone       ZoneID // of this node
	Zones      int
	OriginKind KindID // kind of the origin; -1: there is no origin, and servers fetch missing keys themselves
	Classes    []Class

	MaxAttempts       int
	Hedging           bool // a request may have two attempts in flight
	Cancellation      bool // attempts in flight may be cancelled
	FullServersRefuse bool // servers at their connection limit refuse connections; otherwise they respond that they are full
	SendRetryAfter    bool // rejections may tell clients when to retry
	MaxRetryAfter     float64

	Subscribe         bool    // the endpoint list has to be subscribed to; otherwise it is pushed
	PollWithin        float64 // while the endpoint list is not subscribed, the module requests it within this time
	StopSendingWithin float64 // longest time after a server begins to drain during which attempts may still start there

	ColdCapacity   float64 // share of its capacity that a server has when it starts
	WarmUpTime     float64 // time from its start until a server has its full capacity
	OverloadFactor float64 // load at which a warming server fails, as a multiple of its capacity
	OverloadBurst  float64 // work beyond a warming server's capacity, in ms, after which the server fails

	AnswerSlack       float64 // margin before a client's timeout by which its response has to be ready
	Quantum           float64 // time step of the platform
	UnusedAttemptCost float64 // penalty for an attempt whose result is not used
}

// AttemptLimit returns how many attempts a request of a class may have.
func (l *Limits) AttemptLimit(class *Class) int {
	limit := l.MaxAttempts
	if class.MaxAttempts > 0 {
		limit = class.MaxAttempts
	}
	return min(max(limit, 1), MaxAttempts)
}
