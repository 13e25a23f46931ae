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
	// MaxConnectsPerAttempt is the greatest number of nodes that a client tries to connect to for one attempt.
	MaxConnectsPerAttempt = 4
	// ClientGraceMs is the time after an attempt's deadline at which a client gives up waiting, in ms.
	ClientGraceMs = 300
)

// Streams of random numbers, which are independent of one another under the same seed.
const (
	keyStream     = 11
	arrivalStream = 13
	requestStream = 1 << 20 // plus the index of the request
)

// Request is one request of a client, with all of its attempts. Times are Unix ms.
type Request struct {
	DueMs        float64 // when it was scheduled to be sent
	DoneMs       float64 // when its last attempt so far ended
	Class        int
	Tenant       int
	Key          string
	Attempts     int
	Outcome      invariants.Outcome // of the last attempt
	MetObjective bool               // it was completed within its latency objective
	LatenessMs   float64            // how much later than scheduled the bench sent it
}

// GeneratedRequest is a request with the data that its client needs to send and retry it.
type GeneratedRequest struct {
	Request
	IdempotencyKey string  // "" if the class is not deduplicated
	FirstSentMs    float64 // when its first attempt began

	rng *rand.Rand // used for this request only
}

// TrafficGenerator draws the requests of clients and decides on retries. It does no I/O and reads no clock. Real and simulated clients
// therefore send the same requests under one seed, with the same IDs, from which the server model draws costs. Only one goroutine may draw
// requests, and only one at a time may handle the attempts of a request.
type TrafficGenerator struct {
	Keys []string // sorted by popularity, the most popular first

	experiment        *Experiment
	seed              uint64
	rng               *rand.Rand
	requestCount      uint64
	cumulativeKeys    []float64 // sums of the weights of the keys up to and including each
	cumulativeClasses []float64 // sums of the shares of the classes
	cumulativeTenants []float64 // sums of the shares of the tenants
}

// NewTrafficGenerator returns a generator for the traffic of an experiment.
func NewTrafficGenerator(x *Experiment, seed uint64) *TrafficGenerator {
	g := &TrafficGenerator{experiment: x, seed: seed, rng: rand.New(rand.NewPCG(seed, arrivalStream))}
	keyRNG := rand.New(rand.NewPCG(seed, keyStream))
	sum := 0.0
	for i := range x.Load.Keys {
		g.Keys = append(g.Keys, fmt.Sprintf("%016x", keyRNG.Uint64()))
		sum += 1 / math.Pow(float64(i+1), x.Load.ZipfExponent)
		g.cumulativeKeys = append(g.cumulativeKeys, sum)
	}
	g.cumulativeClasses = cumulativeSums(x.Classes, func(c ClassConfig) float64 { return c.Share })
	g.cumulativeTenants = cumulativeSums(x.Tenants, func(t TenantConfig) float64 { return t.Share })
	return g
}

// cumulativeSums returns, for each element, the sum of the weights up to and including it.
func cumulativeSums[T any](elements []T, weight func(T) float64) []float64 {
	sums, sum := make([]float64, len(elements)), 0.0
	for i, element := range elements {
		sum += weight(element)
		sums[i] = sum
	}
	return sums
}

// pickWeighted returns the index of the element that a number u from [0,1) selects by cumulative weights.
func pickWeighted(cumulative []float64, u float64) int {
	last := len(cumulative) - 1
	return min(sort.SearchFloat64s(cumulative, u*cumulative[last]), last)
}

// NextGap draws the time until the next arrival, at a multiple of the experiment's rate. Arrivals are a Poisson process.
func (g *TrafficGenerator) NextGap(rateFactor float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / (g.experiment.Load.Rate * rateFactor) * float64(time.Second))
}

// NextRequest draws the request of the next arrival.
func (g *TrafficGenerator) NextRequest(dueMs float64) *GeneratedRequest {
	r := &GeneratedRequest{
		Request: Request{
			DueMs: dueMs, Class: pickWeighted(g.cumulativeClasses, g.rng.Float64()), Tenant: pickWeighted(g.cumulativeTenants, g.rng.Float64()),
			Key: g.Keys[pickWeighted(g.cumulativeKeys, g.rng.Float64())],
		},
		rng: rand.New(rand.NewPCG(g.seed, g.requestCount+requestStream)),
	}
	if g.experiment.Classes[r.Class].semantics == invariants.Deduplicated {
		r.IdempotencyKey = fmt.Sprintf("m%08x%016x", g.requestCount, r.rng.Uint64())
	}
	g.requestCount++
	return r
}

// NewAttempt starts the next attempt of a request.
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

// AttemptEnded records the outcome of an attempt. It reports whether the client retries, and after how long. retryAfterMs is the wait that
// the node asked for, or 0 if it asked for none.
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

// mayRetry reports whether a request may be sent again after an attempt that did not complete.
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

// IsValueOf reports whether servers store a value of this form under a key.
func IsValueOf(value, key string) bool { return strings.HasPrefix(value, key+"|") }
