// Package servermodel models cache servers and their origin: cores and queues, slow start, collapse under overload, caching,
// load reports, and the deduplication of writes by idempotency key.
//
// It does no I/O and reads no clock: its driver, which uses sockets or a virtual clock, passes in the time and collects the executions
// that have ended. Times and durations are in ms. Randomness is seeded. The random part of a request's cost depends only on its ID and
// key, not on the order of arrival. Nothing in the package is safe for concurrent use.
package servermodel

type (
	// ServerID is a server's index in Cluster.Servers.
	ServerID int
	// NodeID is the number of a node that sends requests.
	NodeID int
)

// Outcome is how an execution ended.
type Outcome uint8

// The outcomes.
const (
	Pending   Outcome = iota // it has not ended
	Served                   // executed
	CacheMiss                // a cache does not have the key, or received a write
	Failed                   // the server returned an error; the request may have had an effect
	Rejected                 // the server refused it without executing it
	Expired                  // its deadline passed before it started
	Killed                   // its server was killed or collapsed first
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"pending", "served", "cache miss", "failed", "rejected", "expired", "killed"}[o]
}

// NeverRan reports whether the outcome tells the sending node that the request had no effect.
func (o Outcome) NeverRan() bool { return o == CacheMiss || o == Rejected || o == Expired }

// Request is a request as it arrived at a server.
type Request struct {
	RequestID      string // ID of the client's attempt
	Key            string
	IdempotencyKey string // "" for none
	Class          string // request class
	Write          bool
	Node           NodeID
	FirstByte      float64 // when its first byte arrived
	LastByte       float64
	Deadline       float64 // when the client stops waiting for the result
	NodeNotified   bool    // the node had been notified of the server's last start
}

// Execution is the processing of one request by a server.
type Execution struct {
	Request
	Server    ServerID
	StartedAt float64 // 0: not started
	EndedAt   float64
	Outcome   Outcome
	Applied   bool    // a write took effect and was not dropped as a duplicate
	Warmth    float64 // share of its full capacity that the server had at arrival or, if served, at the end
	Value     string
	Note      string // NoteHit or NoteMiss at a cache
	Report    string // the server's load report
	Tag       any    // opaque value of the driver

	// Set by drivers whose servers pause within responses, at a place where the client has nothing of the response yet.
	ContinuesAt float64 // when the server goes on with the response; 0: it does not pause
	CutOffAt    float64 // when the node closed the connection during the pause; 0: it did not

	work, endsAt float64
}

// Values of Execution.Note, which only cache servers set.
const (
	NoteHit  = "hit"
	NoteMiss = "miss"
)

// Cost describes the work of the requests of a class, in ms on a core of speed 1.
type Cost struct {
	Cache, Origin float64 // means
	Spread        float64 // 0: always the mean; 1: exponentially distributed
	DedupWindow   float64 // how long writes are deduplicated by idempotency key; 0: never
}

// ServerConfig describes a server's capacity and behavior.
type ServerConfig struct {
	Cores          int
	Speed          float64 // work that a core does per ms
	QueueLimit     int     // maximum number of waiting executions
	MaxConnections int     // 0: no limit
	Handshake      float64 // work of accepting a connection

	StartCapacity float64 // share of the full capacity right after a start
	WarmWithin    float64 // time from a start to full capacity

	OverloadMultiple float64 // ratio of offered work to capacity above which a server collapses
	OverloadWindow   float64 // time over which offered work is summed; 0: the server never collapses
	RecoveryTime     float64 // time from a collapse to recovery; 0: it stays down

	CacheObjects   int     // maximum number of cached objects; 0: no limit
	ReportInterval float64 // time between refreshes of the load report
	ReportNoise    float64 // maximum relative error of reported values
}
