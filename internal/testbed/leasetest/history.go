package leasetest

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"mintspring/internal/cluster/lease"
)

// checkHistory checks whether a history of one lease is linearizable. The result is the same as that of searchOrder alone, whose time is unbounded
// in practice if many operations overlap or have no result. Therefore, checkHistory first gives each operation a result, rejects contradictory
// results, and separates the operations by the phases of the lease.
func checkHistory(history []Operation, timeout time.Duration) porcupine.CheckResult {
	completed, ok := completeHistory(history)
	if !ok || hasContradiction(completed) {
		return porcupine.Illegal
	}
	return searchOrder(separatePhases(completed), timeout)
}

// grantEpoch is what a history shows about the grant with one token.
type grantEpoch struct {
	holder      lease.Process
	holderKnown bool
	firstResult int64 // when the first result with this token or a later one arrived
	firstGrant  int64 // when the first acquisition was sent whose result confirms this token for its sender
}

// needsPendingGrant reports whether only an acquisition without a result can have made the grant: all acquisitions whose results confirm the grant were
// sent after a result had shown the token.
func (e *grantEpoch) needsPendingGrant() bool { return e.firstGrant > e.firstResult }

// completeHistory returns a history in which each operation has a result, and which is linearizable if and only if the given history is. It returns
// false if it detects that the given history is not linearizable.
//
// An operation without a result may have taken effect at any time after its start. Renewals and releases without a result are dropped, because the
// group may expire the lease at any time. An acquisition without a result matters only if it made a grant that no operation with a result can have
// made. These grants are known, because tokens increase by one with each grant and each result has a token. Each of these grants becomes the result of
// an acquisition that was sent in time: the holder's latest one, or, if no result shows the holder, the earliest remaining one of any process.
func completeHistory(history []Operation) ([]Operation, bool) {
	epochs := grantEpochs(history)
	completed := slices.DeleteFunc(slices.Clone(history), func(op Operation) bool { return op.EndNanos == 0 })
	pendingAcquires := slices.DeleteFunc(slices.Clone(history), func(op Operation) bool { return op.EndNanos != 0 || op.Command.Kind != lease.KindAcquire })
	slices.SortStableFunc(pendingAcquires, func(a, b Operation) int { return cmp.Compare(a.StartNanos, b.StartNanos) })
	addGrant := func(token, i int) {
		op := pendingAcquires[i]
		pendingAcquires = slices.Delete(pendingAcquires, i, i+1)
		op.EndNanos = math.MaxInt64
		op.Result = lease.Result{OK: true, Token: lease.Token(token), Held: true, Holder: op.Command.Process}
		completed = append(completed, op)
	}
	for token := len(epochs) - 1; token > 0; token-- {
		e := &epochs[token]
		if !e.needsPendingGrant() || !e.holderKnown {
			continue
		}
		i := len(pendingAcquires) - 1
		for i >= 0 && (pendingAcquires[i].Command.Process != e.holder || pendingAcquires[i].StartNanos > e.firstResult) {
			i--
		}
		if i < 0 {
			return nil, false
		}
		addGrant(token, i)
	}
	for token := 1; token < len(epochs); token++ {
		e := &epochs[token]
		if !e.needsPendingGrant() || e.holderKnown {
			continue
		}
		if len(pendingAcquires) == 0 || pendingAcquires[0].StartNanos > e.firstResult {
			return nil, false
		}
		addGrant(token, 0)
	}
	return completed, true
}

// grantEpochs returns what a history shows about each grant, by token.
func grantEpochs(history []Operation) []grantEpoch {
	highest := lease.Token(0)
	for _, op := range history {
		if op.EndNanos > 0 {
			highest = max(highest, op.Result.Token)
		}
	}
	epochs := make([]grantEpoch, highest+1)
	for t := range epochs {
		epochs[t].firstResult, epochs[t].firstGrant = math.MaxInt64, math.MaxInt64
	}
	for _, op := range history {
		if op.EndNanos > 0 {
			epochs[op.Result.Token].observe(op)
		}
	}
	for t := len(epochs) - 2; t >= 0; t-- {
		epochs[t].firstResult = min(epochs[t].firstResult, epochs[t+1].firstResult)
	}
	return epochs
}

// observe updates the epoch with an operation whose result has its token.
func (e *grantEpoch) observe(op Operation) {
	e.firstResult = min(e.firstResult, op.EndNanos)
	if op.Result.Held {
		e.holder, e.holderKnown = op.Result.Holder, true
	} else if op.Command.Kind == lease.KindRelease && op.Result.OK {
		e.holder, e.holderKnown = op.Command.Process, true
	}
	if op.Command.Kind == lease.KindAcquire && op.Result.OK {
		e.firstGrant = min(e.firstGrant, op.StartNanos)
	}
}

// phasesPerToken is the number of phases of a lease under one token: held, released by its holder, and free.
const phasesPerToken = 3

// phase returns the phase of the lease when an operation took effect. Phases never decrease.
func phase(op Operation) int64 {
	held := phasesPerToken * int64(op.Result.Token)
	released, free := held+1, held+2
	switch {
	case op.Result.Held:
		return held
	case op.Command.Kind == lease.KindRelease && op.Result.OK:
		return released // operations that found the lease free took effect after the release
	}
	return free
}

// separatePhases shifts the times of operations so that all operations of one phase end before those of the next phase start, which is their order in
// every linearization. The history must have no contradictions. The search then only has to order operations within a phase, which do not affect each
// other.
func separatePhases(history []Operation) []Operation {
	first, last := int64(math.MaxInt64), int64(0)
	for _, op := range history {
		first, last = min(first, op.StartNanos), max(last, op.StartNanos)
		if op.EndNanos < math.MaxInt64 {
			last = max(last, op.EndNanos)
		}
	}
	phaseLength := last - first + 2
	inPhase := func(op Operation, nanos int64) int64 {
		return phase(op)*phaseLength + min(nanos, last+1) - first + 1
	}
	separated := slices.Clone(history)
	for i, op := range history {
		separated[i].StartNanos, separated[i].EndNanos = inPhase(op, op.StartNanos), inPhase(op, op.EndNanos)
	}
	return separated
}

// hasContradiction reports whether the results alone show that no linearization exists: two results name different holders under one token, or an
// operation that was sent after another one's result arrived shows an earlier phase of the lease. The search would find the same, but only after trying
// all orders.
func hasContradiction(history []Operation) bool {
	holders := map[lease.Token]lease.Process{}
	completed := slices.DeleteFunc(slices.Clone(history), func(op Operation) bool { return op.EndNanos == 0 })
	for _, op := range completed {
		if !op.Result.Held {
			continue
		}
		if holder, known := holders[op.Result.Token]; known && holder != op.Result.Holder {
			return true
		}
		holders[op.Result.Token] = op.Result.Holder
	}
	byStart := slices.SortedFunc(slices.Values(completed), func(a, b Operation) int { return cmp.Compare(a.StartNanos, b.StartNanos) })
	byEnd := slices.SortedFunc(slices.Values(completed), func(a, b Operation) int { return cmp.Compare(a.EndNanos, b.EndNanos) })
	ended, latestPhase := 0, int64(0)
	for _, op := range byStart {
		for ; ended < len(byEnd) && byEnd[ended].EndNanos < op.StartNanos; ended++ {
			latestPhase = max(latestPhase, phase(byEnd[ended]))
		}
		if phase(op) < latestPhase {
			return true
		}
	}
	return false
}

// leaseModel is the state of the lease in the sequential specification. With only one lease, each grant increases the token by one.
type leaseModel struct {
	Held   bool
	Holder lease.Process
	Token  lease.Token
}

// expired returns the state after the group expires the lease.
func (m leaseModel) expired() leaseModel { return leaseModel{Token: m.Token} }

// outcome is a possible outcome of a command: the state after it, and whether the command took effect.
type outcome struct {
	next leaseModel
	ok   bool
}

// outcomes returns the possible outcomes of a command in a state. An acquisition of a free lease may be granted or queued.
func outcomes(m leaseModel, c lease.Command) []outcome {
	isHolder := m.Held && m.Holder == c.Process
	switch c.Kind {
	case lease.KindAcquire:
		if m.Held {
			return []outcome{{m, isHolder}}
		}
		granted := leaseModel{Held: true, Holder: c.Process, Token: m.Token + 1}
		return []outcome{{granted, true}, {m, false}}
	case lease.KindRenew:
		return []outcome{{m, isHolder && m.Token == c.Token}}
	case lease.KindRelease:
		if isHolder && m.Token == c.Token {
			return []outcome{{leaseModel{Token: m.Token}, true}}
		}
	}
	return []outcome{{m, false}}
}

// allows reports whether the outcome agrees with the result of an operation. Any outcome agrees with an operation without a result.
func (o outcome) allows(op Operation) bool {
	if op.EndNanos == 0 {
		return true
	}
	r := op.Result
	sameHolder := !r.Held || r.Holder == o.next.Holder
	return r.OK == o.ok && r.Token == o.next.Token && r.Held == o.next.Held && sameHolder
}

// statesAfter returns the states that an operation may lead to. The group may have expired the lease before the operation, and an operation without
// a result may not have taken effect.
func statesAfter(m leaseModel, op Operation) []leaseModel {
	before := []leaseModel{m}
	if m.Held {
		before = append(before, m.expired())
	}
	var after []leaseModel
	add := func(s leaseModel) {
		if !slices.Contains(after, s) {
			after = append(after, s)
		}
	}
	for _, s := range before {
		for _, o := range outcomes(s, op.Command) {
			if o.allows(op) {
				add(o.next)
			}
		}
	}
	if op.EndNanos == 0 {
		add(m)
	}
	return after
}

// searchOrder searches for a linearization of a history: each operation takes effect once between its start and its end. An operation without a result
// takes effect at any time after its start, or never.
func searchOrder(history []Operation, timeout time.Duration) porcupine.CheckResult {
	operations := make([]porcupine.Operation, 0, len(history))
	for i, op := range history {
		end := op.EndNanos
		if end == 0 {
			end = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: op, Call: op.StartNanos, Output: op.Result, Return: end})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{leaseModel{}} },
		Step: func(state, input, _ any) []any {
			var next []any
			for _, s := range statesAfter(state.(leaseModel), input.(Operation)) {
				next = append(next, s)
			}
			return next
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations, timeout)
}
