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

// Class is what is known of one kind of request.
type Class struct {
	Effect           Effect
	DedupScope       DedupScope
	LatencyObjective float64 // a response after that is late
	ObjectivePerWork float64 // the objective grows by this multiple of the request's own work
	ClientTimeout    float64 // for which its client waits
	DedupWindow      float64 // for which servers drop repeats
	PriorityWeight   float64
	LateWeightFactor float64 // part of the weight that a late response keeps
	MaxAttempts      int     // 0: Limits.MaxAttempts
	Stream           bool    // its response is streamed
}

// Limits are the settings that a decision module is started with.
type Limits struct {
	Seed       uint64
	Nodes      int
	Zone       ZoneID // of this node
	Zones      int
	OriginKind KindID // -1: there is no origin, servers fetch for themselves
	Classes    []Class

	MaxAttempts       int
	Hedging           bool // two attempts of a request may be out
	Cancellation      bool // an attempt may be stopped
	FullServersRefuse bool // a server with a full table of connections refuses connections; else it responds that it is full
	SendRetryAfter    bool // a rejection may say when to come back
	MaxRetryAfter     float64

	Subscribe         bool    // changes of the endpoint list have to be asked for
	PollWithin        float64 // a request to the discovery service is due by then
	StopSendingWithin float64 // no attempt starts at a server later than this after it began to drain

	ColdCapacity   float64 // share of its capacity that a server has at its start
	WarmUpTime     float64 // until it has all of it
	OverloadFactor float64 // multiple of its capacity at which a server that is warming up fails
	OverloadBurst  float64 // work beyond its capacity, in ms, after which it fails

	AnswerSlack       float64 // how much earlier than a client's timeout a response has to be there
	Quantum           float64 // time step of the platform
	UnusedAttemptCost float64 // penalty of an attempt whose result is not used
}

// AttemptLimit is how many attempts a request of a class may have.
func (l *Limits) AttemptLimit(class *Class) int {
	limit := l.MaxAttempts
	if class.MaxAttempts > 0 {
		limit = class.MaxAttempts
	}
	return min(max(limit, 1), MaxAttempts)
}
