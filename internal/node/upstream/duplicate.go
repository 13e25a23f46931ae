package upstream

import (
	"mintspring/internal/node/connpool"
)

// digestOf returns the digest of a response.
func digestOf(response *Response) connpool.Digest {
	return connpool.DigestOf(response.Result, response.Value, response.Cache, &response.Report)
}

// recentDigests is how many of the latest responses of a server are compared with each other. Its values identify its responses once all of
// them have different ones.
const recentDigests = 4

// recentDigest is the digest of a recent response.
type recentDigest struct {
	digest connpool.Digest // 0: there was no such response yet
	key    connpool.KeyHash
	conn   *conn
}

// recognition returns how a duplicate of the response to an attempt is recognized. Two equal responses on two connections are no duplicates
// of each other: if their keys differ, the server's values do not identify its responses. Called with the mutex held.
func (e *Endpoint) recognition(c *conn, a *Attempt, response *Response, digest connpool.Digest, now float64) connpool.Recognition {
	if e.pool.Policy.FenceState(now) != connpool.FenceUnsupported && response.LargeValueSize == 0 {
		return connpool.ByFence
	}
	recognition := connpool.RecognitionOf(response.Result, response.Value, a.Request.Write)
	if recognition != connpool.ByValue {
		return recognition
	}
	for _, other := range e.recent {
		if other.digest == digest && other.key != a.Key && other.conn != c {
			e.pool.Policy.RecordRepeatedValue(now)
		}
	}
	e.recent[e.nextRecent] = recentDigest{digest, a.Key, c}
	e.nextRecent = (e.nextRecent + 1) % recentDigests
	if e.recent[e.nextRecent].digest == 0 || e.pool.Policy.ValuesRepeat(now) {
		return connpool.Unrecognizable
	}
	return recognition
}
