package quota

import "math"

// bucketDepthMs is the time whose part of the budget may be spent at once.
const bucketDepthMs = 250

// tokenTolerance allows for rounding errors of the tokens.
const tokenTolerance = 1e-9

// Bucket is the token bucket through which a node spends its allowance. It fills while there is demand, up to the bucket depth. The zero
// value is ready for use.
type Bucket struct {
	tokens    float64
	updatedAt float64
	started   bool
}

// Take spends one unit of work of a budget of perSecond, if the allowance permits that now. If not, it returns the time of the next attempt;
// +Inf stands for the next change of the allowance.
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

// refill adds the tokens since the last call at a rate per ms. A node that was idle has saved up only its even part of the depth of the
// whole budget, and no more than one: hundreds of nodes must not save up one each, and a few that seldom have demand should not wait
// each time.
func (b *Bucket) refill(now, perSecond, rate float64, maxNodes int) {
	elapsed := now - b.updatedAt
	idle := elapsed > bucketDepthMs && elapsed > 2/rate
	if b.started && !idle {
		b.tokens = min(max(1, rate*bucketDepthMs), b.tokens+rate*elapsed)
		b.updatedAt = now
		return
	}
	saved := 0.0
	if b.updatedAt != 0 {
		saved = min(1, perSecond/1000*bucketDepthMs/float64(max(1, maxNodes)))
	}
	b.tokens = min(saved, rate*elapsed)
	b.started, b.updatedAt = true, now
}
