package leasetest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"mintspring/internal/cluster/lease"
)

// maxSchedulingDelayMillis is the longest scheduling delay of a machine on which processes count as not paused: half of a contender's step allowance.
// With longer delays, a contender may be paused between its check of the lease and its request.
const maxSchedulingDelayMillis = stepAllowanceMillis / 2

// checkTimeout bounds the check of a history.
const checkTimeout = 10 * time.Second

// Report holds the observations of the resource and the history check in a round.
type Report struct {
	Seed                  uint64
	Steps                 int // steps that took effect
	Rejected              int // steps whose token was rejected at their start or end, or that did not end
	Overlaps              int // steps that took effect and began before the end of the previous one
	TokenRegressions      int // steps that took effect under a lower token than the previous one
	Concurrent            int // steps that began while another was open, whether or not they took effect
	Grants                int
	Operations            int
	Linearizable          bool
	Inconclusive          bool    // the check of the history timed out
	SchedulingDelayMillis float64 // longest scheduling delay of the test process
	LongestIdleMillis     float64 // longest time without a step
	Faults                int
	FailedVoters          []string  // replicas that exited without being killed
	FailoverMillis        []float64 // with Config.KillHolders: from each kill of a holder to the start of the next step that took effect
	FaultLog              []string  // injected faults, in order
}

// Passed reports whether the round found no violation and no crash. Concurrent steps are a violation only if no process was paused, neither by the round
// nor by a busy machine: a contender may begin a step after its lease has expired if it is paused after checking the lease. An inconclusive round does
// not pass.
func (r *Report) Passed(paused bool) bool {
	paused = paused || r.SchedulingDelayMillis > maxSchedulingDelayMillis
	return r.Overlaps == 0 && r.TokenRegressions == 0 && r.Linearizable && (paused || r.Concurrent == 0) && len(r.FailedVoters) == 0
}

// evaluate completes the report once all processes have ended.
func (r *round) evaluate() {
	r.report.FailedVoters = r.Failures
	r.report.FaultLog = r.Faults
	r.report.Faults = len(r.Faults)
	r.report.Concurrent = r.resource.concurrent
	r.report.evaluateSteps(r.resource.steps)
	r.report.evaluateHistory(r.operations())
}

func (r *Report) evaluateSteps(steps []*Step) {
	effective := slices.DeleteFunc(slices.Clone(steps), func(s *Step) bool { return s.Rejected || s.EndMillis == 0 })
	r.Steps = len(effective)
	r.Rejected = len(steps) - len(effective)
	slices.SortStableFunc(effective, func(a, b *Step) int { return cmp.Compare(a.StartMillis, b.StartMillis) })
	lastEnd := 0.0
	for i, s := range effective {
		r.LongestIdleMillis = max(r.LongestIdleMillis, s.StartMillis-lastEnd)
		lastEnd = s.EndMillis
		if i == 0 {
			continue
		}
		previous := effective[i-1]
		if s.StartMillis < previous.EndMillis {
			r.Overlaps++
		}
		if s.Token < previous.Token {
			r.TokenRegressions++
		}
	}
}

func (r *Report) evaluateHistory(history []Operation) {
	r.Operations = len(history)
	granted := map[lease.Token]struct{}{}
	for _, op := range history {
		if op.EndNanos > 0 && op.Result.OK && op.Command.Kind == lease.KindAcquire {
			granted[op.Result.Token] = struct{}{}
		}
	}
	r.Grants = len(granted)
	result := checkHistory(history, checkTimeout)
	r.Linearizable, r.Inconclusive = result == porcupine.Ok, result == porcupine.Unknown
}

// operations returns the operations of all contenders in all of their runs.
func (r *round) operations() []Operation {
	var all []Operation
	for _, n := range r.Nodes {
		for _, output := range n.Outputs() {
			all = append(all, decodeOperations(output.Bytes())...)
		}
	}
	return all
}

// decodeOperations decodes the output of one run of a contender. An operation with a result was written twice.
func decodeOperations(output []byte) []Operation {
	type key struct {
		client     int
		startNanos int64
		kind       lease.Kind
	}
	var operations []Operation
	written := map[key]int{}
	for decoder := json.NewDecoder(bytes.NewReader(output)); ; {
		var op Operation
		if decoder.Decode(&op) != nil {
			return operations // the end, or a line that was truncated because the process was killed
		}
		k := key{op.Client, op.StartNanos, op.Command.Kind}
		if i, ok := written[k]; ok {
			operations[i] = op
			continue
		}
		written[k] = len(operations)
		operations = append(operations, op)
	}
}
