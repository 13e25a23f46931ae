package idempotency

import (
	"crypto/sha256"
	"encoding/binary"

	"mintspring/internal/cluster"
)

// Key identifies an operation: a digest of its request class, its routing key and the idempotency key that its client gave it.
type Key [16]byte

// NewKey returns the key of a request. The same idempotency key with another class or routing key identifies another operation.
func NewKey(class string, routingKey, idempotencyKey []byte) Key {
	digest := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(class), routingKey, idempotencyKey} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		digest.Write(size[:])
		digest.Write(part)
	}
	return Key(digest.Sum(nil)[:len(Key{})])
}

// MemberID is the number of a member of the fleet. All members use the same numbers.
type MemberID uint16

// StorageIncarnation identifies a data directory of a member by the incarnation of the process that created it. A member that has lost its
// disk returns with a later one. 0 means no storage.
type StorageIncarnation = cluster.Incarnation

// ClaimID identifies a claim: the member that made it, the incarnation of that member's process, and a number that is unique within the
// process.
type ClaimID struct {
	Member      MemberID
	Incarnation cluster.Incarnation
	Number      uint64
}

// State is the execution state of an operation.
type State uint8

// States of an operation. The numbers are stored and sent.
const (
	StateUnclaimed     State = iota // it was not executed, and no attempt is in flight
	StateInFlight                   // it is claimed, and an attempt may be in flight
	StateIndeterminate              // no more attempts are sent, and whether one was executed is unknown
	StateCompleted                  // it was executed
)

// String returns the name in status output.
func (s State) String() string { return [...]string{"free", "out", "open", "done"}[s&3] }

// Record is the state of an operation that the replicas of its key agree on.
type Record struct {
	State           State
	Claim           ClaimID // the last claim
	TimeoutMs       float64 // from the claim until its owner gives up
	MayHaveExecuted bool    // an attempt of an earlier claim may have been executed
	HasReceipt      bool    // with StateCompleted: Receipt is stored, and may be empty
	Receipt         []byte
}

// ClaimOptions are the time limits of a claim.
type ClaimOptions struct {
	TimeoutMs     float64 // how long it may be in flight
	DedupWindowMs float64 // time from the first claim during which any server drops a duplicate; 0: servers do not deduplicate
}

// Decision is the answer to a claim or a settlement.
type Decision uint8

// Decisions. For a settlement, DecisionGranted means that the outcome is recorded.
const (
	DecisionNoQuorum Decision = iota // no quorum of replicas answered in time: nothing is granted
	DecisionGranted                  // the claim may be executed
	DecisionWait                     // another claim is in flight and has not timed out
	DecisionReplay                   // the operation was executed, and its receipt is returned
	DecisionUnknown                  // whether it was executed is unknown, or its receipt was not stored
)

// String returns the name in status output.
func (d Decision) String() string {
	return [...]string{"none", "go", "wait", "earlier", "lost"}[min(d, DecisionUnknown)]
}

// Outcome is how a granted claim ended.
type Outcome uint8

// Outcomes of a claim.
const (
	OutcomeNotExecuted Outcome = iota // it was not executed, and no attempt is in flight
	OutcomeUnknown                    // no more attempts are sent, and one may have been executed
	OutcomeCompleted                  // it was executed
)

// decideClaim decides on a claim, given the current record, which was first claimed ageMs ago and last changed unchangedMs ago (+Inf if
// unknown). It returns the record to write if the claim is granted, and how long to wait with DecisionWait. docs/notes/idempotency.md has
// the decision table.
func decideClaim(r Record, ageMs, unchangedMs float64, id ClaimID, options ClaimOptions) (decision Decision, next Record, waitMs float64) {
	claimed := Record{State: StateInFlight, Claim: id, TimeoutMs: options.TimeoutMs}
	switch r.State {
	case StateUnclaimed:
		return DecisionGranted, claimed, 0
	case StateInFlight:
		if r.Claim == id {
			return DecisionGranted, r, 0 // the claim was already accepted, but its proposer did not receive the votes
		}
		if unchangedMs < r.TimeoutMs {
			return DecisionWait, r, r.TimeoutMs - unchangedMs
		}
		// The owner may be paused and send the request at any later time. Only the owner knows when it sends no more attempts.
		return DecisionUnknown, r, 0
	case StateIndeterminate:
		if options.DedupWindowMs > 0 && ageMs+options.TimeoutMs <= options.DedupWindowMs {
			claimed.MayHaveExecuted = true
			return DecisionGranted, claimed, 0
		}
		return DecisionUnknown, r, 0
	}
	if r.HasReceipt {
		return DecisionReplay, r, 0
	}
	return DecisionUnknown, r, 0
}

// settlement is the outcome to record for a granted claim.
type settlement struct {
	outcome    Outcome
	hasReceipt bool
	receipt    []byte
}

// apply returns the record with the claim settled. A record that is already settled stays unchanged. It returns false if the record does
// not belong to the claim.
func (s settlement) apply(r Record, id ClaimID) (Record, bool) {
	if r.Claim != id || r.State == StateUnclaimed {
		return r, false
	}
	if r.State != StateInFlight {
		return r, true
	}
	next := Record{Claim: id, MayHaveExecuted: r.MayHaveExecuted}
	switch {
	case s.outcome == OutcomeCompleted:
		next.State, next.HasReceipt, next.Receipt = StateCompleted, s.hasReceipt, s.receipt
	case s.outcome == OutcomeNotExecuted && !r.MayHaveExecuted:
		next.State = StateUnclaimed
	default:
		next.State = StateIndeterminate // also if this claim was not executed but an earlier one may have been
	}
	return next, true
}
