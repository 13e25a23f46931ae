package leasetest

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"mintspring/internal/cluster/lease"
)

// testTimeout bounds the check of a history in tests that expect it to be fast.
const testTimeout = 5 * time.Second

var fourProcesses = []lease.Process{{Node: 1, Incarnation: 1}, {Node: 2, Incarnation: 1}, {Node: 3, Incarnation: 1}, {Node: 4, Incarnation: 1}}

// checkHistory, and searchOrder alone, reject histories that violate the lease.
func TestIllegalHistories(t *testing.T) {
	a, b := lease.Process{Node: 1, Incarnation: 1}, lease.Process{Node: 2, Incarnation: 1}
	acquire := func(start, end int64, process lease.Process, token lease.Token, ok bool, holder lease.Process) Operation {
		return Operation{
			Client: int(process.Node), StartNanos: start, EndNanos: end,
			Command: lease.Command{Kind: lease.KindAcquire, Process: process},
			Result:  lease.Result{OK: ok, Token: token, Held: true, Holder: holder},
		}
	}
	for name, c := range map[string]struct {
		history []Operation
		want    porcupine.CheckResult
	}{
		"one after the other":        {[]Operation{acquire(1, 2, a, 1, true, a), acquire(3, 4, b, 1, false, a), acquire(5, 6, b, 2, true, b)}, porcupine.Ok},
		"one token granted twice":    {[]Operation{acquire(1, 2, a, 1, true, a), acquire(3, 4, b, 1, true, b)}, porcupine.Illegal},
		"a decreasing token":         {[]Operation{acquire(1, 2, a, 1, true, a), acquire(3, 4, b, 2, true, b), acquire(5, 6, a, 1, true, a)}, porcupine.Illegal},
		"a stale result":             {[]Operation{acquire(1, 2, a, 1, true, a), acquire(3, 4, b, 2, true, b), acquire(5, 6, a, 1, false, a)}, porcupine.Illegal},
		"a request without a result": {[]Operation{acquire(1, 0, a, 0, false, a), acquire(3, 4, b, 2, true, b)}, porcupine.Ok},
	} {
		for _, check := range []func([]Operation, time.Duration) porcupine.CheckResult{checkHistory, searchOrder} {
			if got := check(c.history, time.Second); got != c.want {
				t.Errorf("%s: %v", name, got)
			}
		}
	}
}

// drawHistory draws a history of a lease. Operations take effect between their start and their end. Some have no result, whether or not they take
// effect, and some results are wrong.
func drawHistory(t *rapid.T) []Operation {
	processes := []lease.Process{{Node: 1, Incarnation: 1}, {Node: 2, Incarnation: 1}, {Node: 3, Incarnation: 2}}
	kinds := []lease.Kind{lease.KindAcquire, lease.KindAcquire, lease.KindAcquire, lease.KindRenew, lease.KindRelease}
	var history []Operation
	var state leaseModel
	now := int64(1)
	for range rapid.IntRange(2, 9).Draw(t, "operations") {
		now += int64(rapid.IntRange(1, 4).Draw(t, "later"))
		process := rapid.SampledFrom(processes).Draw(t, "process")
		op := Operation{
			Client:  int(process.Node),
			Command: lease.Command{Process: process, Token: state.Token, Kind: rapid.SampledFrom(kinds).Draw(t, "kind")},
		}
		op.StartNanos = max(1, now-int64(rapid.IntRange(0, 6).Draw(t, "sent before")))
		if rapid.IntRange(0, 3).Draw(t, "expired") == 0 {
			state = state.expired()
		}
		hasResult := rapid.IntRange(0, 2).Draw(t, "has no result") != 0
		var result lease.Result
		if hasResult || rapid.Bool().Draw(t, "takes effect") {
			o := rapid.SampledFrom(outcomes(state, op.Command)).Draw(t, "outcome")
			state = o.next
			result = lease.Result{OK: o.ok, Token: state.Token, Held: state.Held, Holder: state.Holder}
		}
		if hasResult {
			op.EndNanos = now + int64(rapid.IntRange(0, 6).Draw(t, "arrives after"))
			if rapid.IntRange(0, 9).Draw(t, "wrong") == 0 {
				result.Token += lease.Token(rapid.IntRange(0, 2).Draw(t, "token off by"))
			}
			op.Result = result
		}
		history = append(history, op)
	}
	return history
}

// checkHistory, which transforms the history before its search, has the same result as the search alone for linearizable histories and for others.
func TestCheckAgreesWithSearch(t *testing.T) {
	const timeout = 20 * time.Second
	seen := map[porcupine.CheckResult]int{}
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		want := searchOrder(history, timeout)
		if got := checkHistory(history, timeout); got != want {
			t.Fatalf("%v by a search, %v by the check of %d operations: %+v", want, got, len(history), history)
		}
		seen[want]++
	})
	if seen[porcupine.Ok] == 0 || seen[porcupine.Illegal] == 0 {
		t.Errorf("drew only %v", seen)
	}
}

// The history of a long partition, with hundreds of operations without a result, is checked within testTimeout. The search alone does not end.
func TestManyOperationsWithoutResult(t *testing.T) {
	var history []Operation
	now := int64(0)
	for round := range 6 {
		holder := fourProcesses[round%4]
		for range 40 {
			for i, process := range fourProcesses {
				now++
				history = append(history, Operation{Client: i, StartNanos: now, Command: lease.Command{Kind: lease.KindAcquire, Process: process}})
			}
		}
		for range 20 {
			now += 2
			history = append(history, Operation{
				Client: round % 4, StartNanos: now, EndNanos: now + 1, Command: lease.Command{Kind: lease.KindAcquire, Process: holder},
				Result: lease.Result{OK: true, Held: true, Holder: holder, Token: lease.Token(2*round + 2)},
			})
		}
	}
	if got := checkHistory(history, testTimeout); got != porcupine.Ok {
		t.Errorf("%v of %d operations", got, len(history))
	}
	history[len(history)-1].Result.Token = 3
	if got := checkHistory(history, testTimeout); got != porcupine.Illegal {
		t.Errorf("%v with a decreasing token", got)
	}
}

// A history in which delayed results make the operations of many grants overlap is checked within testTimeout, whether it is linearizable or not.
func TestManyOverlappingOperations(t *testing.T) {
	var history []Operation
	for token := range 8 {
		holder := fourProcesses[token%4]
		for k := range 12 {
			for i, process := range fourProcesses {
				start := int64(100*token + 8*k + i + 1)
				history = append(history, Operation{
					Client: i, StartNanos: start, EndNanos: start + 300, Command: lease.Command{Kind: lease.KindAcquire, Process: process},
					Result: lease.Result{OK: process == holder, Held: true, Holder: holder, Token: lease.Token(token + 1)},
				})
			}
		}
	}
	if got := checkHistory(history, testTimeout); got != porcupine.Ok {
		t.Errorf("%v of %d operations", got, len(history))
	}
	// Move all acquisitions that can have been granted the fifth token to after a result that shows this token.
	for i := range history {
		if op := &history[i]; op.Result.Token == 5 && op.Result.OK {
			op.StartNanos, op.EndNanos = op.StartNanos+400, op.EndNanos+400
		}
	}
	if got := checkHistory(history, testTimeout); got != porcupine.Illegal {
		t.Errorf("%v of a grant that was seen before it was requested", got)
	}
}
