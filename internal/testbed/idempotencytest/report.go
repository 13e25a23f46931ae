package idempotencytest

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the check of one operation's history.
const checkTimeout = 5 * time.Second

// noAnswer is the key in Report.Answers of attempts without an answer.
const noAnswer = "no answer"

// Report holds the observations of the executor and the history check in a round.
type Report struct {
	Seed                uint64
	Operations          int // with at least one attempt
	Executions          int
	DuplicateExecutions int            // executions after the first of each operation
	Answers             map[string]int // number of attempts by answer
	ChangedReceipts     int            // receipts that differ from the operation's first one or belong to no execution
	LostReceipts        int            // answers that do not replay a receipt, to requests sent after it was recorded
	NonLinearizable     int            // operations whose history is not linearizable
	Histories           []string       // attempts of the operations that are not linearizable
	Undecided           int            // operations whose check timed out
	WipedDisks          int
	CatchUpMs           []float64 // time of each member with a new disk until it had caught up
	ExecuteMs           []float64 // latencies of attempts that were executed and settled
	ReplayMs            []float64 // latencies of attempts that were answered with an earlier receipt
	Crashes             []string  // members that exited without being killed
	Faults              []string  // injected faults, in order
}

// Passed reports whether the round found no violation and no crash.
func (r *Report) Passed() bool {
	return r.DuplicateExecutions == 0 && r.ChangedReceipts == 0 && r.LostReceipts == 0 && r.NonLinearizable == 0 && len(r.Crashes) == 0
}

// evaluate completes the report once all processes have ended.
func (r *round) evaluate() {
	r.report.Faults, r.report.Crashes = r.Faults, r.Failures
	r.report.Operations = r.clients.operations
	executions := r.executor.executions()
	for _, receipts := range executions {
		r.report.Executions += len(receipts)
		r.report.DuplicateExecutions += len(receipts) - 1
	}
	byOperation := map[int][]attempt{}
	for _, a := range r.clients.attempts {
		r.report.countAnswer(a)
		byOperation[a.operation] = append(byOperation[a.operation], a)
	}
	for operation, attempts := range byOperation {
		r.report.ChangedReceipts += changedReceipts(attempts, executions[operationName(operation)])
		r.report.LostReceipts += lostReceipts(attempts)
		r.report.checkHistory(attempts)
	}
}

func (r *Report) countAnswer(a attempt) {
	if !a.answered() {
		r.Answers[noAnswer]++
		return
	}
	r.Answers[a.answer]++
	switch latencyMs := milliseconds(a.end - a.start); a.answer {
	case answerCompleted:
		r.ExecuteMs = append(r.ExecuteMs, latencyMs)
	case answerReplayed:
		r.ReplayMs = append(r.ReplayMs, latencyMs)
	}
}

// changedReceipts counts the receipts of an operation that differ from its first receipt or belong to no execution.
func changedReceipts(attempts []attempt, executedReceipts []string) int {
	first, changed := "", 0
	for _, a := range attempts {
		if a.receipt == "" {
			continue
		}
		first = cmp.Or(first, a.receipt)
		if a.receipt != first || !slices.Contains(executedReceipts, a.receipt) {
			changed++
		}
	}
	return changed
}

// lostReceipts counts the answers that do not replay an operation's receipt, to requests sent after the receipt was recorded. Answers without a quorum
// do not count.
func lostReceipts(attempts []attempt) int {
	recordedBy := time.Duration(math.MaxInt64)
	for _, a := range attempts {
		if a.answered() && (a.answer == answerCompleted || a.answer == answerReplayed) {
			recordedBy = min(recordedBy, a.end)
		}
	}
	lost := 0
	for _, a := range attempts {
		if a.answered() && a.start > recordedBy && a.answer != answerReplayed && a.answer != answerNoQuorum {
			lost++
		}
	}
	return lost
}

// checkHistory checks the attempts of one operation for linearizability.
func (r *Report) checkHistory(attempts []attempt) {
	switch checkLinearizable(attempts, checkTimeout) {
	case porcupine.Illegal:
		r.NonLinearizable++
		slices.SortFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.start, b.start) })
		for _, a := range attempts {
			r.Histories = append(r.Histories, fmt.Sprintf("operation %d: %.1f to %.1f ms: %s %s", a.operation, milliseconds(a.start), milliseconds(a.end), a.answer, a.receipt))
		}
	case porcupine.Unknown:
		r.Undecided++
	case porcupine.Ok:
	}
}
