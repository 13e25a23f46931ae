package quota

import "math"

// bucketDepthMs is the depth of a bucket as a time: the tokens of this many ms may be spent at once.
const bucketDepthMs = 250

// tokenTolerance absorbs rounding errors in the number of tokens.
const tokenTolerance = 1e-9

// Bucket is the token bucket that limits how fast a node spends its allowance. It fills up to the bucket depth while there is demand. The
// zero value is ready for use.
type Bucket struct {
	tokens      float64
	updatedAt   float64
	initialized bool
}

// Take takes one token, where perSecond is the whole budget, if the allowance permits that now. If not, it returns the time at which to call
// again; +Inf: when the allowance changes.
func (b *Bucket) Take(now, perSecond float64, allowance *Allowance) (ok bool, retryAt float64) {
	rate := perSecond / 1000 * allowance.ShareAt(now)
	if rate <= 0 {
		return false, math.Inf(1)
	}
	b.refill(now, perSecond, rate, allowance.MaxNodes)
	if b.tokens >= 1-tokenTolerance {
		b.tokens--
		return true, now
	}
	return false, now + (1-b.tokens)/rate
}

// refill adds the tokens for the time since the last call, at a rate per ms. A node that was idle starts with at most one token, and with at
// most an even share of the tokens that the whole budget yields in bucketDepthMs. One token for each idle node would add up to a burst in a
// fleet of hundreds of nodes, and with no token a few nodes that seldom have demand would wait each time.
func (b *Bucket) refill(now, perSecond, rate float64, maxNodes int) {
	elapsed := now - b.updatedAt
	idle := elapsed > bucketDepthMs && elapsed > 2/rate
	if b.initialized && !idle {
		b.tokens = min(max(1, rate*bucketDepthMs), b.tokens+rate*elapsed)
		b.updatedAt = now
		return
	}
	maxIdleTokens := 0.0
	if b.updatedAt != 0 {
		maxIdleTokens = min(1, perSecond/1000*bucketDepthMs/float64(max(1, maxNodes)))
	}
	b.tokens = min(maxIdleTokens, rate*elapsed)
	b.initialized, b.updatedAt = true, now
}
