package fleet

// Snapshot is the state that a decision module has learned and keeps across a restart. Restoring weighs each part by its Trust; exported
// snapshots have full trust.
type Snapshot struct {
	Trust              float64 // from 0 to 1; applies to all fields but Servers
	Servers            []ServerSnapshot
	Keys               []KeyCount
	KeySum             float64 // sum of the counts of all keys, listed in Keys or not
	OriginWindow       float64 // requests that may be in flight at the origin
	OriginResponseTime float64 // usual response time of the origin
	Util               float64 // mean utilization of the caches
	ZoneShare          float64 // share of keys that are routed within the zone
	CacheLoad          float64 // work per ms sent to all caches; handed over in a hot restart, but not stored in files
}

// ServerSnapshot is the learned state of one server.
type ServerSnapshot struct {
	ID             ServerID
	Trust          float64 // from 0 to 1
	StartedAt      float64 // start of the process that the state belongs to, Unix ms
	ShedArcShare   float64 // share of its arc that adjustments have moved to its successor
	AdjustmentStep float64 // relative size of the next adjustment of its ring point
	TimePerQueued  float64 // response time per request ahead
	ResponseTime   float64 // recent
	RequestsAhead  float64 // at the server when ResponseTime was measured
	Failures       float64 // recent share of failures
	Backoff        float64 // time between two trial requests
	HitRatio       float64
	QueuePeak      float64 // recent peak of the reported queue
	LastResponseAt float64 // 0: never
}

// KeyCount is the count of one bucket of keys.
type KeyCount struct {
	Bucket int32
	Count  float64
}
