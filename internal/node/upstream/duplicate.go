package upstream

import (
	"hash/maphash"
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
)

// digestSeed is the seed of all digests of the process.
var digestSeed = maphash.MakeSeed()

// responseDigest identifies a response by its result, value and load report. The protocols do not say which request a response belongs to,
// but a duplicate has the digest of the response before it on its connection. It depends on the response alone, not on the request that
// waits for one: that may be of another kind than the one whose duplicate arrives.
type responseDigest struct {
	result fleet.Result
	sum    uint64
}

// digestOf returns the digest of a response.
func digestOf(response *Response) responseDigest {
	digest := responseDigest{result: response.Result}
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	_, _ = hash.Write(response.Value) // a hash never fails
	maphash.WriteComparable(&hash, response.Cache)
	r := &response.Report
	for _, figure := range [...]float64{r.Util, r.Queue, r.Inflight, r.Latency, r.Rate, r.Errors, r.HitRatio, r.X1} {
		maphash.WriteComparable(&hash, math.Float64bits(figure)) // an absent figure is NaN, which is not equal to itself
	}
	digest.sum = hash.Sum64()
	return digest
}

// originality says whether a response is one to the attempt in flight.
type originality uint8

const (
	original          originality = iota
	duplicate                     // of the previous response on the connection
	possibleDuplicate             // the response is the same as the one before it; if it is a miss, it came early too
)

// compare compares the response to an attempt with the previous one on its connection. Called with the endpoint's mutex held.
func (c *conn) compare(a *Attempt, digest responseDigest, at float64) originality {
	pool, took := c.endpoint.pool, at-a.writtenAt
	same := digest == c.lastDigest && pool.MayReceiveDuplicate(at, c)
	switch {
	case same && c.Recognition == connpool.ByValue:
		return duplicate
	case same && c.Recognition == connpool.AsRepeat && (digest.result != fleet.Missed || pool.Policy.IsEarly(took)):
		return possibleDuplicate
	}
	pool.Policy.RecordResponseTime(took)
	return original
}

// recentDigests is how many of the latest responses of a server are compared with each other. Its values identify its responses once all of
// them have different ones.
const recentDigests = 4

// recentDigest is the digest of a recent response.
type recentDigest struct {
	sum  uint64 // 0: there was no such response yet
	key  connpool.KeyHash
	conn *conn
}

// recognition returns how a duplicate of the response to an attempt is recognized. Two equal responses on two connections are no duplicates
// of each other: if their keys differ, the server's values do not identify its responses. Called with the mutex held.
func (e *Endpoint) recognition(c *conn, a *Attempt, response *Response, digest responseDigest, now float64) connpool.Recognition {
	recognition := connpool.RecognitionOf(response.Result, response.Value, a.Request.Write)
	if recognition != connpool.ByValue {
		return recognition
	}
	for _, other := range e.recent {
		if other.sum == digest.sum && other.key != a.Key && other.conn != c {
			e.pool.Policy.RecordRepeatedValue(now)
		}
	}
	e.recent[e.nextRecent] = recentDigest{digest.sum, a.Key, c}
	e.nextRecent = (e.nextRecent + 1) % recentDigests
	if e.recent[e.nextRecent].sum == 0 || e.pool.Policy.ValuesRepeat(now) {
		return connpool.Unrecognizable
	}
	return recognition
}
