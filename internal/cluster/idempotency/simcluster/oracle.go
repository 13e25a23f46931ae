package simcluster

import (
	"fmt"

	pkgcluster "mintspring/internal/cluster"
	"mintspring/internal/cluster/idempotency"
)

const (
	// claimTimeoutMs is the time from a claim to the deadline of its decision.
	claimTimeoutMs = 400
	// settleTimeoutMs is the time from a settlement to its deadline.
	settleTimeoutMs = 2000
)

// claimID identifies a claim.
type claimID struct {
	node        int
	incarnation pkgcluster.Incarnation
	number      uint64
}

func (id claimID) String() string { return fmt.Sprint(id.node, id.incarnation, id.number) }

// receipt returns the receipt that an execution under this claim produces.
func (id claimID) receipt() string { return "receipt " + id.String() }

// pendingClaim is a claim that waits for its decision or its settlement.
type pendingClaim struct {
	operation    int
	startedAt    float64
	afterReceipt bool // a receipt was settled before the claim was made
	options      idempotency.ClaimOptions
}

// operation is the oracle's state of one operation.
type operation struct {
	executions       int             // under granted claims, without duplicates that servers drop
	owner            string          // the granted claim that rules out further grants; "": none
	receipt          string          // the receipt that was settled or replayed; "": none
	executedAt       float64         // when it was first executed, or settled
	proposedReceipts map[string]bool // receipts of all proposed settlements
	unknownAllowed   bool            // a claim was granted or had no decision, so DecisionUnknown is a valid answer
}

// allowsReceipt reports whether a claim of the operation may be answered with a receipt.
func (o *operation) allowsReceipt(receipt string) bool {
	return o.proposedReceipts[receipt] && (o.receipt == "" || o.receipt == receipt)
}

// executionOutcome is what happens after a claim is granted.
type executionOutcome uint8

const (
	notExecuted    executionOutcome = iota // abandoned before anything is sent
	neverSettled                           // executed, and never settled
	unknownOutcome                         // executed, and the response is lost
	completed                              // executed, and settled with a receipt
)

// randomExecutionOutcome returns a random outcome; half of all are completed.
func (c *cluster) randomExecutionOutcome() executionOutcome {
	switch draw := c.rng.IntN(10); {
	case draw <= 1:
		return notExecuted
	case draw == 2:
		return neverSettled
	case draw <= 4:
		return unknownOutcome
	default:
		return completed
	}
}

// addViolation records a violation of the guarantees by a member.
func (c *cluster) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%.0f ms: ", c.now)+fmt.Sprintf(format, args...))
}

// claim claims an operation through a node if the node is running.
func (c *cluster) claim(node, operation int, options idempotency.ClaimOptions) {
	n := c.nodes[node]
	if !c.running(n) {
		return
	}
	c.lastClaimNumber++
	c.claims[claimID{node, n.incarnation, c.lastClaimNumber}] = &pendingClaim{
		operation: operation, startedAt: c.now, afterReceipt: c.operations[operation].receipt != "", options: options,
	}
	n.core.Claim(c.localTime(n), c.lastClaimNumber, recordKey(operation), options, c.localTime(n)+claimTimeoutMs)
}

// abandonClaims forgets the claims of a node whose process ends. Some of them may have been granted, and claims that were not granted may
// not have been released yet, so that DecisionUnknown is allowed for all their operations.
func (c *cluster) abandonClaims(node int) {
	n := c.nodes[node]
	for _, operation := range n.unresolvedOperations {
		c.operations[operation].unknownAllowed = true
	}
	n.unresolvedOperations = nil
	for id, claim := range c.claims {
		if id.node == node {
			c.operations[claim.operation].unknownAllowed = true
			delete(c.claims, id)
		}
	}
}

// handleResult checks a result of a node, and executes the claim if it was granted.
func (c *cluster) handleResult(node int, result idempotency.Result) {
	id := claimID{node, c.nodes[node].incarnation, result.Number}
	claim := c.claims[id]
	if claim == nil {
		return
	}
	o := &c.operations[claim.operation]
	if result.IsSettlement {
		delete(c.claims, id)
		if result.Decision == idempotency.DecisionGranted && o.proposedReceipts[id.receipt()] {
			c.recordSettlement(claim.operation, id.receipt())
		}
		return
	}
	c.decisions[result.Decision]++
	c.checkUnknownDecision(id, claim, result.Decision)
	switch result.Decision {
	case idempotency.DecisionGranted:
		c.checkGrant(id, claim)
		c.execute(id, claim)
		return // the claim is kept until it is settled
	case idempotency.DecisionReplay:
		if receipt := string(result.Receipt); !o.allowsReceipt(receipt) {
			c.addViolation("operation %d: %v is answered with receipt %q, and %q was settled", claim.operation, id, receipt, o.receipt)
		}
		o.receipt = string(result.Receipt)
		c.replays++
	case idempotency.DecisionWait, idempotency.DecisionUnknown:
		n := c.nodes[node]
		n.unresolvedOperations = append(n.unresolvedOperations, claim.operation)
		if claim.afterReceipt {
			c.addViolation("operation %d: %v is decided %v, and %q was settled before", claim.operation, id, result.Decision, o.receipt)
		}
	}
	delete(c.claims, id)
}

// recordSettlement records a settled receipt, and checks that no other receipt was settled before.
func (c *cluster) recordSettlement(operation int, receipt string) {
	o := &c.operations[operation]
	if o.receipt != "" && o.receipt != receipt {
		c.addViolation("operation %d: two receipts were settled, %q and %q", operation, o.receipt, receipt)
	}
	o.receipt, o.executedAt = receipt, c.now
}

// checkUnknownDecision checks that DecisionUnknown is given only if another claim of the operation was granted, had no decision or is still
// pending.
func (c *cluster) checkUnknownDecision(id claimID, claim *pendingClaim, decision idempotency.Decision) {
	o := &c.operations[claim.operation]
	switch decision {
	case idempotency.DecisionNoQuorum, idempotency.DecisionGranted:
		o.unknownAllowed = true
	case idempotency.DecisionUnknown:
		for otherID, other := range c.claims {
			if other.operation == claim.operation && otherID != id {
				o.unknownAllowed = true
			}
		}
		if !o.unknownAllowed {
			c.addViolation("operation %d: %v is decided unknown, and no claim was granted or had no decision", claim.operation, id)
		}
	}
}

// checkGrant checks that the oracle allows a claim to be granted.
func (c *cluster) checkGrant(id claimID, claim *pendingClaim) {
	o := &c.operations[claim.operation]
	c.grantLatenciesMs = append(c.grantLatenciesMs, c.now-claim.startedAt)
	if claim.afterReceipt {
		c.addViolation("operation %d: %v is granted, and %q was settled before", claim.operation, id, o.receipt)
	}
	if o.owner != "" {
		c.addViolation("operation %d: %v is granted in addition to %s", claim.operation, id, o.owner)
	}
}

// execute simulates the execution of a granted claim and settles it, unless the outcome is neverSettled.
func (c *cluster) execute(id claimID, claim *pendingClaim) {
	o := &c.operations[claim.operation]
	o.owner = id.String()
	outcome := c.randomExecutionOutcome()
	if outcome != notExecuted {
		c.countExecution(id, claim)
	}
	switch outcome {
	case notExecuted:
		o.owner = ""
		c.settle(id, idempotency.OutcomeNotExecuted, nil)
	case neverSettled:
		delete(c.claims, id)
	case unknownOutcome:
		if claim.options.DedupWindowMs > 0 {
			o.owner = ""
		}
		c.settle(id, idempotency.OutcomeUnknown, nil)
	case completed:
		if o.proposedReceipts == nil {
			o.proposedReceipts = map[string]bool{}
		}
		o.proposedReceipts[id.receipt()] = true
		o.owner = "completed " + id.String()
		c.settle(id, idempotency.OutcomeCompleted, []byte(id.receipt()))
	}
}

// countExecution counts an execution, and checks that it is the operation's only one. Servers drop duplicates within the dedup window.
func (c *cluster) countExecution(id claimID, claim *pendingClaim) {
	o := &c.operations[claim.operation]
	if window := claim.options.DedupWindowMs; window > 0 && c.now-o.executedAt <= window {
		return
	}
	o.executions++
	if o.executions > 1 {
		c.addViolation("operation %d: executed a second time, by %v", claim.operation, id)
	}
	o.executedAt = c.now
}

func (c *cluster) settle(id claimID, outcome idempotency.Outcome, receipt []byte) {
	n := c.nodes[id.node]
	n.core.Settle(c.localTime(n), id.number, outcome, receipt, c.localTime(n)+settleTimeoutMs)
}
