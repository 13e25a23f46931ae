package idempotency

import (
	"math"
	"testing"
)

// The decision table of docs/notes/idempotency.md.
func TestDecideClaim(t *testing.T) {
	own, other := ClaimID{1, 10, 5}, ClaimID{2, 20, 7}
	unknown := math.Inf(1)
	inFlight := Record{State: StateInFlight, Claim: other, TimeoutMs: 500}
	indeterminate := Record{State: StateIndeterminate, Claim: other}
	for name, c := range map[string]struct {
		record             Record
		ageMs, unchangedMs float64
		dedupWindowMs      float64
		want               Decision
		waitMs             float64
		mayHaveExecuted    bool
	}{
		"first claim":                                {record: Record{}, want: DecisionGranted},
		"earlier claim was not executed":             {record: Record{State: StateUnclaimed, Claim: other}, ageMs: 50, unchangedMs: 10, want: DecisionGranted},
		"in flight":                                  {record: inFlight, ageMs: 100, unchangedMs: 100, want: DecisionWait, waitMs: 400},
		"in flight beyond its timeout":               {record: inFlight, ageMs: 600, unchangedMs: 600, dedupWindowMs: 10000, want: DecisionUnknown},
		"in flight for an unknown time":              {record: inFlight, ageMs: unknown, unchangedMs: unknown, dedupWindowMs: 10000, want: DecisionUnknown},
		"own claim whose answers were lost":          {record: Record{State: StateInFlight, Claim: own, TimeoutMs: 500}, ageMs: 900, unchangedMs: 900, want: DecisionGranted},
		"indeterminate, no deduplication":            {record: indeterminate, ageMs: 100, unchangedMs: 10, want: DecisionUnknown},
		"indeterminate, within the dedup window":     {record: indeterminate, ageMs: 100, unchangedMs: 10, dedupWindowMs: 700, want: DecisionGranted, mayHaveExecuted: true},
		"indeterminate, beyond the dedup window":     {record: indeterminate, ageMs: 300, unchangedMs: 10, dedupWindowMs: 700, want: DecisionUnknown},
		"indeterminate, time of first claim unknown": {record: indeterminate, ageMs: unknown, unchangedMs: 10, dedupWindowMs: 700, want: DecisionUnknown},
		"completed":                          {record: Record{State: StateCompleted, Claim: other, HasReceipt: true, Receipt: []byte("r")}, ageMs: 9, unchangedMs: 9, want: DecisionReplay},
		"completed with too large a receipt": {record: Record{State: StateCompleted, Claim: other}, ageMs: 9, unchangedMs: 9, want: DecisionUnknown},
	} {
		decision, next, waitMs := decideClaim(c.record, c.ageMs, c.unchangedMs, own, ClaimOptions{TimeoutMs: 500, DedupWindowMs: c.dedupWindowMs})
		if decision != c.want || waitMs != c.waitMs {
			t.Errorf("%s: %v, wait %v ms; want %v, %v", name, decision, waitMs, c.want, c.waitMs)
		}
		if decision == DecisionGranted && (next.Claim != own || next.State != StateInFlight || next.MayHaveExecuted != c.mayHaveExecuted) {
			t.Errorf("%s: writes %+v", name, next)
		}
	}
}

func TestSettlementApply(t *testing.T) {
	own, other := ClaimID{1, 10, 5}, ClaimID{2, 20, 7}
	for name, c := range map[string]struct {
		record     Record
		settlement settlement
		want       State
		wantOK     bool
	}{
		"not executed": {Record{State: StateInFlight, Claim: own}, settlement{outcome: OutcomeNotExecuted}, StateUnclaimed, true},
		"not executed, earlier claim may have been": {Record{State: StateInFlight, Claim: own, MayHaveExecuted: true}, settlement{outcome: OutcomeNotExecuted}, StateIndeterminate, true},
		"record of another claim":                   {Record{State: StateInFlight, Claim: other}, settlement{outcome: OutcomeCompleted, hasReceipt: true}, StateInFlight, false},
		"already settled":                           {Record{State: StateCompleted, Claim: own, HasReceipt: true, Receipt: []byte("r")}, settlement{outcome: OutcomeUnknown}, StateCompleted, true},
	} {
		next, ok := c.settlement.apply(c.record, own)
		if next.State != c.want || ok != c.wantOK {
			t.Errorf("%s: %+v, %v; want %v, %v", name, next, ok, c.want, c.wantOK)
		}
	}
}
