package experiment

import (
	"cmp"
	"slices"
	"testing"

	"mintspring/internal/testbed/servermodel"
)

// A retry after the deduplication window has a second effect, which the figure counts although no node is at fault. A retry within the
// window has none.
func TestRepeatedEffectsAcrossRetries(t *testing.T) {
	x := parse(t, small)
	for name, c := range map[string]struct {
		secondApplied bool // the retry had an effect
		want          float64
	}{"after the window": {true, 1}, "the duplicate was dropped": {false, 0}} {
		recorder := NewExecutionRecorder(x)
		for i, applied := range []bool{true, c.secondApplied} {
			recorder.Add(&servermodel.Execution{
				Request: servermodel.Request{RequestID: string(rune('1' + i)), IdempotencyKey: "m", Class: x.Classes[0].Name, FirstByte: float64(i)},
				Outcome: servermodel.Served, Applied: applied,
			})
		}
		r := NewRun(x, "test", 1, 0, 1000)
		r.Executions = recorder.Executions
		if n := r.Figure(Expectation{Figure: "repeats"}); n != c.want {
			t.Errorf("%s: %v repeated effects, want %v", name, n, c.want)
		}
	}
}

// A late response is excused only by lateness of the bench at about the same time, not by lateness elsewhere in the run.
func TestWorstLateness(t *testing.T) {
	var requests []Request
	for at := 0.0; at < 10_000; at += 10 {
		request := Request{DueMs: at}
		if at >= 5000 && at < 5100 {
			request.LatenessMs = 5100 - at
		}
		requests = append(requests, request)
	}
	for _, c := range []struct{ deadline, answered, want float64 }{{5010, 5110, 100}, {4950, 5050, 100}, {3000, 3400, 0}, {5400, 5900, 0}, {20_000, 20_100, 0}} {
		if got := WorstLateness(requests, c.deadline, c.answered); got != c.want {
			t.Errorf("a response at %.0f that was due at %.0f is excused by %.0f ms, want %.0f", c.answered, c.deadline, got, c.want)
		}
	}
}

// The figure is the time at which the last of nine in ten nodes begins to avoid a cache. Trial requests to the cache do not prevent that.
func TestAvoidanceSeconds(t *testing.T) {
	x := parse(t, small)
	for _, c := range []struct {
		sendingNodes int32 // number of nodes that do not avoid the cache
		from, to     float64
	}{{1, 0.4, 1.6}, {2, neverSeconds, neverSeconds}, {10, neverSeconds, neverSeconds}} {
		r := NewRun(x, "p", 1, 0, 20_000)
		for node := range int32(10) {
			until := 5000 + 300*float64(node)
			if node >= 10-c.sendingNodes {
				until = 20_000
			}
			for at := 0.0; at < until; at += 500 {
				r.Executions = append(r.Executions, ExecutionRecord{FirstByteMs: at + float64(node), Server: 1, Node: node})
			}
			for at := until + 2500; at < 20_000; at += 2900 {
				r.Executions = append(r.Executions, ExecutionRecord{FirstByteMs: at, Server: 1, Node: node}) // a trial request
			}
		}
		slices.SortFunc(r.Executions, func(a, b ExecutionRecord) int { return cmp.Compare(a.FirstByteMs, b.FirstByteMs) })
		if got := r.avoidanceSeconds(measureWindow{class: allClasses, server: 1, fromMs: 5000, toMs: 15_000}); got < c.from || got > c.to {
			t.Errorf("with %d nodes that keep sending, the cache is avoided after %.2f s, want %.2f to %.2f", c.sendingNodes, got, c.from, c.to)
		}
	}
}
