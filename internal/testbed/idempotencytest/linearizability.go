package idempotencytest

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// operationState is the progress of an operation in the model.
type operationState uint8

const (
	unclaimed operationState = iota
	inFlight
	indeterminate
	completed
)

// unknownReceipt is the receipt in the model of an execution whose client got no answer.
const unknownReceipt = "?"

// modelState is the state of an operation in the model.
type modelState struct {
	state   operationState
	attempt int    // if inFlight: the index of the attempt that holds the claim
	receipt string // if completed
}

// step is either the claim or the settlement of an attempt. Between the two, which is a long time if the process is paused, other attempts may be
// answered that the outcome is unknown.
type step struct {
	attempt
	number  int
	settles bool
}

// checkLinearizable checks whether the attempts of one operation are linearizable. Steps that an answer confirms took effect between the request and the
// answer. A settlement that the answer does not confirm may take effect later, or never.
func checkLinearizable(attempts []attempt, timeout time.Duration) porcupine.CheckResult {
	model := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{modelState{}} },
		Step:  func(state, input, _ any) []any { return input.(step).apply(state.(modelState)) },
		Equal: func(a, b any) bool { return a == b },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), history(attempts), timeout)
}

// history returns the steps of all attempts, each with the time by which it took effect.
func history(attempts []attempt) []porcupine.Operation {
	var steps []porcupine.Operation
	add := func(number int, settles bool, deadline int64) {
		a := attempts[number]
		steps = append(steps, porcupine.Operation{
			ClientId: len(steps), Input: step{a, number, settles}, Call: int64(a.start), Output: a.answer, Return: deadline,
		})
	}
	const never = math.MaxInt64
	for i, a := range attempts {
		switch {
		case a.answer == answerWait: // another attempt was in flight, or the process of that attempt had been killed
		case !a.decided():
			add(i, false, never)
			add(i, true, never)
		case a.answer == answerCompleted:
			add(i, false, int64(a.end))
			add(i, true, int64(a.end))
		case a.answer == answerReplayed || a.answer == answerUnknown:
			add(i, false, int64(a.end))
		default:
			add(i, false, int64(a.end))
			add(i, true, never)
		}
	}
	return steps
}

// decided reports whether the attempt's claim is known to have been decided. An undecided claim may still have been recorded.
func (a attempt) decided() bool { return a.answered() && a.answer != answerNoQuorum }

// apply returns the states that the step may lead to from a state, or none if the step is impossible in it.
func (s step) apply(before modelState) []any {
	if s.settles {
		return s.settle(before)
	}
	return s.claim(before)
}

func (s step) claim(before modelState) []any {
	claimedState := modelState{state: inFlight, attempt: s.number}
	switch {
	case s.answer == answerReplayed:
		if before.state == completed && (before.receipt == s.receipt || before.receipt == unknownReceipt) {
			return []any{modelState{state: completed, receipt: s.receipt}}
		}
		return nil
	case s.answer == answerUnknown:
		if before.state == indeterminate || before.state == inFlight {
			return []any{before}
		}
		return nil
	case !s.decided() && before.state == unclaimed:
		return []any{before, claimedState}
	case !s.decided():
		return []any{before}
	case before.state == unclaimed:
		return []any{claimedState}
	}
	return nil
}

func (s step) settle(before modelState) []any {
	releasedState, indeterminateState := modelState{}, modelState{state: indeterminate}
	completedState := modelState{state: completed, receipt: s.receipt}
	isOwnClaim := before.state == inFlight && before.attempt == s.number
	switch {
	case s.answer == answerCompleted && isOwnClaim:
		return []any{completedState}
	case s.answer == answerCompleted:
		return nil
	case !isOwnClaim:
		return []any{before}
	case s.answer == answerUnsettled:
		return []any{before, completedState}
	case s.answer == answerMayHaveExecuted:
		return []any{before, indeterminateState}
	case s.answer == answerNotExecuted, s.answer == answerNoQuorum:
		return []any{before, releasedState}
	}
	return []any{before, releasedState, indeterminateState, modelState{state: completed, receipt: unknownReceipt}}
}
