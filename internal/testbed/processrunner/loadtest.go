package processrunner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
)

const (
	// maxPendingArrivals is the largest number of arrivals waiting for a free client.
	maxPendingArrivals = 1 << 14
	// loadTestArrivalStream is the random number stream of arrivals. The clients use streams 0 and up.
	loadTestArrivalStream = 99
	// progressInterval is the time between two progress reports of a test without a rate.
	progressInterval = 100 * time.Millisecond
)

// LoadTest generates reads against one address, without an experiment.
type LoadTest struct {
	Addr     string
	Rate     float64 // arrivals per second, independent of responses; 0: each client sends its next request once it has a response
	Clients  int
	Duration time.Duration
	Class    string
	Tenant   string
	Timeout  time.Duration
	Keys     int
	Progress func(done float64)
}

// LoadTestResult holds the request counts and latency percentiles of a load test.
type LoadTestResult struct {
	Sent                         int64
	Completed, Rejected, Aborted int64
	Unanswered, WrongKey         int64
	Late                         int64 // answered after the timeout, with whatever outcome
	RequestsPerSecond            float64
	P50, P99, P999               float64 // ms
}

// String formats the result as one line.
func (r LoadTestResult) String() string {
	return fmt.Sprintf("%d requests, %.0f a second: %d completed, %d rejected, %d aborted, %d unanswered, %d with a wrong value; p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms",
		r.Sent, r.RequestsPerSecond, r.Completed, r.Rejected, r.Aborted, r.Unanswered, r.WrongKey, r.P50, r.P99, r.P999)
}

// add adds the counts of another client's result. Rates and latencies are not combined.
func (r *LoadTestResult) add(other *LoadTestResult) {
	r.Sent += other.Sent
	r.Completed, r.Rejected, r.Aborted = r.Completed+other.Completed, r.Rejected+other.Rejected, r.Aborted+other.Aborted
	r.Unanswered, r.WrongKey = r.Unanswered+other.Unanswered, r.WrongKey+other.WrongKey
	r.Late += other.Late
}

// Run runs the load test. It fails only if the address cannot be reached at the start.
func (t *LoadTest) Run() (LoadTestResult, error) {
	probe, err := dial(t.Addr)
	if err != nil {
		return LoadTestResult{}, fmt.Errorf("connecting to %s: %w", t.Addr, err)
	}
	probe.close()
	start := time.Now()
	end := start.Add(t.Duration)
	seed := uint64(start.UnixNano())
	arrivals := make(chan float64, maxPendingArrivals)
	clients := make([]*loadTestClient, max(1, t.Clients))
	var running sync.WaitGroup
	for i := range clients {
		clients[i] = newLoadTestClient(t, seed, i)
		running.Go(func() { clients[i].run(arrivals, end) })
	}
	if t.Rate > 0 {
		t.generateArrivals(arrivals, start, end, seed)
	} else {
		t.reportProgress(start, end)
	}
	close(arrivals)
	running.Wait()
	var result LoadTestResult
	latencies := experiment.NewLatencies()
	for _, c := range clients {
		result.add(&c.result)
		latencies.Merge(c.latencies)
	}
	result.RequestsPerSecond = float64(result.Sent) / time.Since(start).Seconds()
	result.P50, result.P99, result.P999 = latencies.Quantile(50), latencies.Quantile(99), latencies.Quantile(99.9)
	return result, nil
}

// generateArrivals sends the times of arrivals, in Unix ms, to the clients until the end.
func (t *LoadTest) generateArrivals(arrivals chan<- float64, start, end time.Time, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, loadTestArrivalStream))
	for due := start; due.Before(end); due = due.Add(time.Duration(rng.ExpFloat64() / t.Rate * float64(time.Second))) {
		time.Sleep(time.Until(due))
		if t.Progress != nil {
			t.Progress(float64(due.Sub(start)) / float64(t.Duration))
		}
		arrivals <- unixMs(due)
	}
}

// reportProgress reports progress periodically until the end. Without a progress function it returns at once.
func (t *LoadTest) reportProgress(start, end time.Time) {
	for t.Progress != nil && time.Now().Before(end) {
		time.Sleep(progressInterval)
		t.Progress(min(1, float64(time.Since(start))/float64(t.Duration)))
	}
}

// loadTestClient is one client of a load test. It is used by one goroutine only.
type loadTestClient struct {
	test      *LoadTest
	idPrefix  string
	requests  int
	rng       *rand.Rand
	conn      *client // nil while not connected
	result    LoadTestResult
	latencies *experiment.Latencies
}

func newLoadTestClient(t *LoadTest, seed uint64, index int) *loadTestClient {
	return &loadTestClient{
		test: t, idPrefix: fmt.Sprintf("%04x%04x", uint16(seed), uint16(index)), rng: rand.New(rand.NewPCG(seed, uint64(index))),
		latencies: experiment.NewLatencies(),
	}
}

// run sends a request for each arrival or, without a rate, one request after another until the end.
func (c *loadTestClient) run(arrivals <-chan float64, end time.Time) {
	if c.test.Rate > 0 {
		for dueMs := range arrivals {
			c.send(dueMs)
		}
	} else {
		for time.Now().Before(end) {
			c.send(dueImmediately)
		}
	}
	if c.conn != nil {
		c.conn.close()
	}
}

// dueImmediately marks an arrival that is due as soon as the client is connected.
const dueImmediately = 0

// send sends one read of a random key and records its outcome.
func (c *loadTestClient) send(dueMs float64) {
	if c.conn == nil {
		conn, err := dial(c.test.Addr)
		if err != nil {
			c.result.Unanswered++
			return
		}
		c.conn = conn
	}
	if dueMs == dueImmediately {
		dueMs = fakes.NowMs()
	}
	c.requests++
	cmd := &command{
		Key: fmt.Sprintf("key-%d", c.rng.IntN(max(1, c.test.Keys))), ID: fmt.Sprintf("%s%08x", c.idPrefix, c.requests),
		Options: commandOptions(c.test.Class, c.test.Tenant, c.test.Timeout.Milliseconds()),
	}
	deadline := time.Now().Add(c.test.Timeout + msDuration(experiment.ClientGraceMs))
	result, err := c.conn.roundTrip(cmd, deadline)
	if err != nil && c.conn.reused && !errors.Is(err, os.ErrDeadlineExceeded) {
		// The node may close a connection between requests; a request that crosses the close is sent once more (PROTOCOL.md, "Clients to nodes").
		c.conn.close()
		if c.conn, err = dial(c.test.Addr); err != nil {
			c.result.Sent++
			c.result.Unanswered++
			return
		}
		result, err = c.conn.roundTrip(cmd, deadline)
	}
	c.conn.reused = true
	c.result.Sent++
	if err != nil {
		c.result.Unanswered++
		c.conn.close()
		c.conn = nil
		return
	}
	c.latencies.Record(result.answeredMs - dueMs)
	if result.answeredMs-result.sentMs > float64(c.test.Timeout)/float64(time.Millisecond) {
		c.result.Late++
	}
	switch result.Outcome {
	case invariants.Completed:
		c.result.Completed++
		if !strings.HasPrefix(result.Value, cmd.Key) {
			c.result.WrongKey++
		}
	case invariants.Rejected:
		c.result.Rejected++
	default:
		c.result.Aborted++
	}
}
