package upstream

import (
	"hash/maphash"
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
)

// digestSeed is the seed of all digests of the process.
var digestSeed = maphash.MakeSeed()

// responseDigest identifies a response by its value and its load report. The protocols do not say which request a response belongs to, but
// a duplicate has the digest of the response before it on its connection. The zero value is the digest of no response.
type responseDigest struct {
	valid bool
	sum   uint64
}

// digestOf returns the digest of the response to an attempt. It is valid only if the response can be told from those to other keys.
func digestOf(a *Attempt, response *Response) responseDigest {
	if response.Result != fleet.Completed || !connpool.Identifies(response.Value, a.Request.Write) {
		return responseDigest{}
	}
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	_, _ = hash.Write(response.Value) // a hash never fails
	r := &response.Report
	for _, figure := range [...]float64{r.Util, r.Queue, r.Inflight, r.Latency, r.Rate, r.Errors, r.HitRatio, r.X1} {
		maphash.WriteComparable(&hash, math.Float64bits(figure))
	}
	return responseDigest{valid: true, sum: hash.Sum64()}
}
