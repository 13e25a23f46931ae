package fleet

// Snapshot is what a decision module has learned, to survive a restart. One that is given out states all; of one that is restored each part
// counts as far as it is trusted.
type Snapshot struct {
	Trust              float64 // of all but Servers, from 0 to 1
	Servers            []ServerSnapshot
	Keys               []KeyCount
	KeySum             float64 // of all counts
	OriginWindow       float64 // requests that may be out at the origin
	OriginResponseTime float64 // its response time
	Util               float64 // mean utilisation of the caches
	ZoneShare          float64 // share of keys that are sent within the zone
	CacheLoad          float64 // work sent to all caches, per ms. Only a hot restart hands it on; it is in no file
}

// ServerSnapshot is what was learned of one server.
type ServerSnapshot struct {
	ID             ServerID
	Trust          float64 // from 0 to 1
	StartedAt      float64 // of the process of which it was learned, Unix ms
	ShedArcShare   float64 // share of its arc of the ring that its neighbours have taken over
	AdjustmentStep float64 // relative size of the next adjustment of its ring point
	TimePerQueued  float64 // response time per request ahead
	ResponseTime   float64 // recent response time
	RequestsAhead  float64 // requests that were ahead then
	Failures       float64 // recent share of failures
	Backoff        float64 // between two trial requests
	HitRatio       float64
	QueuePeak      float64 // of its queue
	LastResponseAt float64 // when it last responded; 0: it has not
}

// KeyCount is one slot of the counts of keys.
type KeyCount struct {
	Bucket int32
	Count  float64
}
