package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"mintspring/internal/testbed/invariants"
)

const (
	// MaxConnectsPerAttempt is how many nodes a client tries to reach for one attempt.
	MaxConnectsPerAttempt = 4
	// ClientGraceMs is how long after the deadline of an attempt a client goes away, in ms.
	ClientGraceMs = 300
)

// Streams of random numbers under one seed.
const (
	keyStream     = 11
	arrivalStream = 13
	requestStream = 1 << 20 // plus the request's number
)

// Request is one request of a client, with all of its attempts. Times are Unix ms.
type Request struct {
	DueMs        float64 // when it was to be sent
	DoneMs       float64 // when its last attempt ended
	Class        int
	Tenant       int
	Key          string
	Attempts     int
	Outcome      invariants.Outcome // of the last attempt
	MetObjective bool               // it was completed within its latency objective
	LatenessMs   float64            // how much later than due the bench sent it
}

// GeneratedRequest is a request with what its client needs for it.
type GeneratedRequest struct {
	Request
	IdempotencyKey string  // "" where its class needs none
	FirstSentMs    float64 // when its first attempt began

	rng *rand.Rand // of this request alone
}

// TrafficGenerator draws what clients ask for and when they retry. It does no I/O and reads no clock: clients on sockets and simulated
// ones ask for the same under one seed, down to the IDs by which the server model draws costs. One goroutine may draw requests, and
// one at a time may deal with the attempts of a request.
type TrafficGenerator struct {
	Keys []string // the most popular first

	experiment        *Experiment
	seed              uint64
	rng               *rand.Rand
	requestCount      uint64
	cumulativeKeys    []float64 // weights of the keys up to each
	cumulativeClasses []float64 // shares of the classes up to each
	cumulativeTenants []float64 // shares of the tenants up to each
}

// NewTrafficGenerator begins the traffic of an experiment.
func NewTrafficGenerator(x *Experiment, seed uint64) *TrafficGenerator {
	g := &TrafficGenerator{experiment: x, seed: seed, rng: rand.New(rand.NewPCG(seed, arrivalStream))}
	keyRNG := rand.New(rand.NewPCG(seed, keyStream))
	sum := 0.0
	for i := range x.Load.Keys {
		g.Keys = append(g.Keys, fmt.Sprintf("%016x", keyRNG.Uint64()))
		sum += 1 / math.Pow(float64(i+1), x.Load.ZipfExponent)
		g.cumulativeKeys = append(g.cumulativeKeys, sum)
	}
	g.cumulativeClasses = cumulate(x.Classes, func(c ClassConfig) float64 { return c.Share })
	g.cumulativeTenants = cumulate(x.Tenants, func(t TenantConfig) float64 { return t.Share })
	return g
}

// cumulate returns the sums of the weights up to each element.
func cumulate[T any](all []T, weight func(T) float64) []float64 {
	sums, sum := make([]float64, len(all)), 0.0
	for i, element := range all {
		sum += weight(element)
		sums[i] = sum
	}
	return sums
}

// pick finds the place of a number from [0,1) among cumulative weights.
func pick(cumulative []float64, u float64) int {
	last := len(cumulative) - 1
	return min(sort.SearchFloat64s(cumulative, u*cumulative[last]), last)
}

// NextGap draws the time until the next arrival, at a multiple of the experiment's rate. Arrivals are a Poisson process.
func (g *TrafficGenerator) NextGap(multiple float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / (g.experiment.Load.Rate * multiple) * float64(time.Second))
}

// NextRequest draws the request of that arrival.
func (g *TrafficGenerator) NextRequest(dueMs float64) *GeneratedRequest {
	r := &GeneratedRequest{
		Request: Request{
			DueMs: dueMs, Class: pick(g.cumulativeClasses, g.rng.Float64()), Tenant: pick(g.cumulativeTenants, g.rng.Float64()),
			Key: g.Keys[pick(g.cumulativeKeys, g.rng.Float64())],
		},
		rng: rand.New(rand.NewPCG(g.seed, g.requestCount+requestStream)),
	}
	if g.experiment.Classes[r.Class].semantics == invariants.Deduplicated {
		r.IdempotencyKey = fmt.Sprintf("m%08x%016x", g.requestCount, r.rng.Uint64())
	}
	g.requestCount++
	return r
}

// NewAttempt begins the next attempt of a request.
func (g *TrafficGenerator) NewAttempt(r *GeneratedRequest, nowMs float64) invariants.ClientAttempt {
	if r.Attempts == 0 {
		r.FirstSentMs = nowMs
	}
	r.Attempts++
	class := &g.experiment.Classes[r.Class]
	return invariants.ClientAttempt{
		ID: fmt.Sprintf("%016x", r.rng.Uint64()), IdempotencyKey: r.IdempotencyKey, Semantics: class.semantics,
		DedupWindow: class.DedupWindow.Milliseconds(), BecomesStricter: class.BecomesStricter(),
	}
}

// AttemptEnded records how an attempt ended. It reports whether the client retries, and after how long. retryAfterMs is what the node
// sent, 0 for none.
func (g *TrafficGenerator) AttemptEnded(r *GeneratedRequest, attempt *invariants.ClientAttempt, nowMs, retryAfterMs float64) (retry bool, waitMs float64) {
	r.DoneMs, r.Outcome = nowMs, attempt.Outcome
	if attempt.Outcome == invariants.Completed {
		r.MetObjective = nowMs-r.DueMs <= g.experiment.Classes[r.Class].LatencyObjective.Milliseconds()
		return false, 0
	}
	load := &g.experiment.Load
	if r.Attempts > load.Retries || !g.mayRetry(r, attempt, nowMs) {
		return false, 0
	}
	waitMs = load.RetryWait.Milliseconds() * (0.5 + r.rng.Float64())
	if retryAfterMs > 0 && load.HonourRetryAfter {
		waitMs = retryAfterMs
	}
	return true, waitMs
}

// mayRetry reports whether a request may be sent again after an attempt that was not completed.
func (g *TrafficGenerator) mayRetry(r *GeneratedRequest, attempt *invariants.ClientAttempt, nowMs float64) bool {
	class := &g.experiment.Classes[r.Class]
	switch {
	case attempt.Outcome == invariants.Rejected || attempt.Sent == 0 || class.semantics == invariants.Idempotent:
		return true
	case class.semantics == invariants.Deduplicated:
		return g.experiment.Load.RetryAlways || nowMs-r.FirstSentMs < class.DedupWindow.Milliseconds()/2
	}
	return false
}

// IsValueOf reports whether a value is one that servers store under a key.
func IsValueOf(value, key string) bool { return strings.HasPrefix(value, key+"|") }
