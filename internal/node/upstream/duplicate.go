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
// but a duplicate has the digest of the response before it on its connection.
type responseDigest struct {
	recognition connpool.Recognition
	result      fleet.Result
	sum         uint64 // 0 if duplicates of the response cannot be recognized
}

// digestOf returns the digest of the response to an attempt.
func digestOf(a *Attempt, response *Response) responseDigest {
	digest := responseDigest{
		recognition: connpool.RecognitionOf(response.Result, response.Value, a.Request.Write), result: response.Result,
	}
	if digest.recognition == connpool.Unrecognizable {
		return digest
	}
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
	case same && digest.recognition == connpool.ByValue:
		return duplicate
	case same && digest.recognition == connpool.AsRepeat && (digest.result != fleet.Missed || pool.Policy.IsEarly(took)):
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

// recognition returns the digest to compare the next response on a connection with, after a response with the given digest. Two equal
// responses on two connections are no duplicates of each other: if their keys differ, the server's values do not identify its responses.
// Called with the mutex held.
func (e *Endpoint) recognition(c *conn, a *Attempt, digest responseDigest, now float64) responseDigest {
	if digest.recognition != connpool.ByValue {
		return digest
	}
	for _, other := range e.recent {
		if other.sum == digest.sum && other.key != a.Key && other.conn != c {
			e.pool.Policy.RecordRepeatedValue(now)
		}
	}
	e.recent[e.nextRecent] = recentDigest{digest.sum, a.Key, c}
	e.nextRecent = (e.nextRecent + 1) % recentDigests
	if e.recent[e.nextRecent].sum == 0 || e.pool.Policy.ValuesRepeat(now) {
		return responseDigest{}
	}
	return digest
}
