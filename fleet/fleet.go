// Package fleet holds the plain facts that the adapters and the decision module exchange:
// ids, workloads, limits, load reports, outcomes, and the slab of queries in hand.
package fleet

import "math"

// Ids are types of their own so that one is never passed where another belongs.
type (
	ServerID   int32 // a place in the node's own table of servers
	QueryID    uint32
	Key        uint64
	WorkloadID int32
	TenantID   int32
	ZoneID     int32
	KindID     int32
	CellID     int32
	NodeID     int32
)

// NoServer stands where a move names no server.
const NoServer ServerID = -1

// Effect says whether a query may be executed more than once.
type Effect uint8

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Scope names the servers that drop repeats of a deduplicated query.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Workload is what is known of one sort of query. Times are milliseconds.
type Workload struct {
	Effect           Effect
	Scope            Scope
	SLOTime          float64
	SLOStretch       float64 // the SLO time grows by this multiple of the query's own work
	StatementTimeout float64
	DedupSpan        float64
	Importance       float64
	LateShare        float64
	MaxExecutions    int // 0: as the limits say
	Stream           bool
}

// Limits are the facts a node is started with.
type Limits struct {
	Seed              uint64
	Nodes             int
	Zone              ZoneID
	Zones             int
	OriginKind        KindID // -1: servers fetch for themselves
	Workloads         []Workload
	MaxExecutions     int
	SecondCopies      bool
	Cancelling        bool
	FullFails         bool // a full table of connections fails connects; else the server answers that it is full
	RetryAfter        bool
	MaxRetryAfter     float64
	Subscribe         bool
	MustAskIn         float64
	StopSendingWithin float64
	StartCapacity     float64
	WarmWithin        float64
	FallMultiple      float64
	TipAfter          float64
	AnswerSlack       float64
	Quantum           float64
	WasteCost         float64
}

// Executions is how many a query of a workload may have.
func (l *Limits) Executions(w *Workload) int {
	n := l.MaxExecutions
	if w.MaxExecutions > 0 {
		n = w.MaxExecutions
	}
	return min(max(n, 1), MaxExecs)
}

// State is what the list says of a server.
type State uint8

const (
	Gone State = iota
	Draining
	Ready
)

// Member is one entry of the list of servers.
type Member struct {
	ID      ServerID
	Name    string
	State   State
	Kind    KindID
	Zone    ZoneID
	Cell    CellID
	Size    float64
	Started float64 // 0: long past
}

// ListMode says how entries relate to the list held so far.
type ListMode uint8

const (
	ListDelta ListMode = iota
	ListFull
	ListCached
	ListFailed
	ListOwn // entries changed by the node's own operators: what discovery owes is as before
)

// Report is a server's own account of its load. Values not told are NaN.
type Report struct {
	Told                                                 bool
	Util, Queue, Inflight, Latency, Rate, Errors, X0, X1 float64
}

// NewReport returns a report in which nothing is told yet.
func NewReport() Report {
	x := math.NaN()
	return Report{Util: x, Queue: x, Inflight: x, Latency: x, Rate: x, Errors: x, X0: x, X1: x}
}

// Result is how an execution ended.
type Result uint8

const (
	Pending Result = iota // still out
	Completed
	Failed
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	Missed
)

// NeverRan reports whether the result proves that the execution had no effect.
func (r Result) NeverRan() bool {
	return r == Full || r == ConnectFailed || r == NotSent || r == Missed
}

// Note is what a cache says of how it came by an answer.
type Note uint8

const (
	NoteNone Note = iota
	NoteHit
	NoteMiss
	NoteMissFetching
)

// Outcome reports the end of one execution.
type Outcome struct {
	Exec   int
	Result Result
	Took   float64
	Over   bool // the query is closed
	Stale  bool // it was lost with a connection that had been idle, which says nothing of the server
	Note   Note
	Report Report
}

// Action is what the adapter is to do.
type Action uint8

const (
	Nothing Action = iota
	Hold
	Send
	Reject
	Abort
	Cancel
	Subscribe
	AskList
	Probe
	Tell
)

// Move is one answer of the decision module, in plain values.
type Move struct {
	Action Action
	Server ServerID
	Exec   int
	Limit  float64 // Send: time allowed to the execution
	By     float64 // Send: it is not sent later, for it could repeat an effect then; 0 or +Inf: at any time
	Wait   float64 // Reject: when the client may come back
	Body   []byte  // Tell
	LetGo  bool    // also close the idle connections to server Close
	Close  ServerID
}

// ServerLearnt is what a node has learnt of one server, to be kept across a restart. Times are ms.
type ServerLearnt struct {
	ID         ServerID
	Trust      float64 // taken in: how far it may be believed, from 0 to 1
	Started    float64 // of the process that it was learnt of
	Shed       float64 // share of its arc that moves have handed on
	Stride     float64 // share of x that its next move takes
	Pace       float64 // answer time per query ahead
	RT, Ahead  float64 // recent answer time, and what was ahead then
	Bad, Pause float64 // share of failures, and time between trials
	Hits, Peak float64 // level of the hit share, and peak of the queue
	At         float64 // when it last answered; 0: it has not
}

// KeyLearnt is a place among the counts of keys, with its share of all queries.
type KeyLearnt struct {
	Place int32
	Count float64
}

// Learnt is what a node has learnt. What it takes in is believed as far as the trust goes; what it gives out says all.
type Learnt struct {
	Trust            float64
	Servers          []ServerLearnt
	Keys             []KeyLearnt
	HeatSum          float64
	Window, OriginRT float64
	Util, Homing     float64
	ColdRate         float64 // work sent to all caches, per ms, by a process that hands over this moment; no file has it
}

// Point is a server's place on a ring: its arc ends there, and begins behind its predecessor's.
type Point struct {
	ID     ServerID
	At     float64 // below 1; that of the first one may lie below 0
	Warmth float64 // the share of its capacity that it is sure to have; below 1 it may be given a part of its arc only
}
