package simcluster

import (
	"fmt"

	pkgcluster "mintspring/internal/cluster"
	"mintspring/internal/cluster/idempotency"
)

const (
	// claimTimeoutMs is for how long a claim waits for its decision.
	claimTimeoutMs = 400
	// settleTimeoutMs is for how long a settlement is tried.
	settleTimeoutMs = 2000
)

// claimID identifies a claim.
type claimID struct {
	node        int
	incarnation pkgcluster.Incarnation
	number      uint64
}

func (id claimID) String() string { return fmt.Sprint(id.node, id.incarnation, id.number) }

// receipt returns the receipt of an execution by a claim.
func (id claimID) receipt() string { return "receipt " + id.String() }

// pendingClaim is a claim that waits for its decision or its settlement.
type pendingClaim struct {
	operation    int
	startedAt    float64
	afterReceipt bool // a receipt was settled before it began
	options      idempotency.ClaimOptions
}

// operation is what the oracle knows of one operation.
type operation struct {
	executions       int             // by granted claims, without repeats that servers drop
	owner            string          // the granted claim that nobody else may be granted beside; "": none
	receipt          string          // that was settled or replayed
	effectAt         float64         // when it was executed first or settled
	possibleReceipts map[string]bool // of settlements that were begun
	uncertain        bool            // a claim was granted or had no decision: it is allowed that nothing is known
}

// allows reports whether a receipt may be the operation's.
func (o *operation) allows(receipt string) bool {
	return o.possibleReceipts[receipt] && (o.receipt == "" || o.receipt == receipt)
}

// execution is how a granted claim goes on.
type execution uint8

const (
	notExecuted    execution = iota // it is given up before anything is sent
	neverSettled                    // it is executed, and its process never settles it
	unknownOutcome                  // it is executed, and its answer is lost
	completed
)

// drawExecution returns how a granted claim goes on: most complete.
func (c *cluster) drawExecution() execution {
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

// violation notes that a member did what it must not do.
func (c *cluster) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%.0f ms: ", c.now)+fmt.Sprintf(format, args...))
}

// claim has a node claim an operation, if it runs.
func (c *cluster) claim(node, operation int, options idempotency.ClaimOptions) {
	n := c.nodes[node]
	if !c.runs(n) {
		return
	}
	c.lastNumber++
	c.claims[claimID{node, n.incarnation, c.lastNumber}] = &pendingClaim{
		operation: operation, startedAt: c.now, afterReceipt: c.operations[operation].receipt != "", options: options,
	}
	n.core.Claim(c.localTime(n), c.lastNumber, recordKey(operation), options, c.localTime(n)+claimTimeoutMs)
}

// abandonClaims forgets the claims of a node whose process ends. It may have been granted some, or about to release some.
func (c *cluster) abandonClaims(node int) {
	n := c.nodes[node]
	for _, operation := range n.waitedOn {
		c.operations[operation].uncertain = true
	}
	n.waitedOn = nil
	for id, claim := range c.claims {
		if id.node == node {
			c.operations[claim.operation].uncertain = true
			delete(c.claims, id)
		}
	}
}

// handleResult checks a result of a node, and goes on with its claim.
func (c *cluster) handleResult(node int, result idempotency.Result) {
	id := claimID{node, c.nodes[node].incarnation, result.Number}
	claim := c.claims[id]
	if claim == nil {
		return
	}
	o := &c.operations[claim.operation]
	if result.IsSettlement {
		delete(c.claims, id)
		if result.Decision == idempotency.DecisionGranted && o.possibleReceipts[id.receipt()] {
			c.settled(claim.operation, id.receipt())
		}
		return
	}
	c.decisions[result.Decision]++
	c.checkUncertain(id, claim, result.Decision)
	switch result.Decision {
	case idempotency.DecisionGranted:
		c.checkGrant(id, claim)
		c.execute(id, claim)
		return // the claim is there until it is settled
	case idempotency.DecisionReplay:
		if receipt := string(result.Receipt); !o.allows(receipt) {
			c.violation("operation %d: %v is replayed %q, and %q was settled", claim.operation, id, receipt, o.receipt)
		}
		o.receipt = string(result.Receipt)
		c.replays++
	case idempotency.DecisionWait, idempotency.DecisionUnknown:
		n := c.nodes[node]
		n.waitedOn = append(n.waitedOn, claim.operation)
		if claim.afterReceipt {
			c.violation("operation %d: %v is decided %v, and %q was settled before", claim.operation, id, result.Decision, o.receipt)
		}
	}
	delete(c.claims, id)
}

// settled takes in that a receipt was settled.
func (c *cluster) settled(operation int, receipt string) {
	o := &c.operations[operation]
	if o.receipt != "" && o.receipt != receipt {
		c.violation("operation %d: two receipts were settled, %q and %q", operation, o.receipt, receipt)
	}
	o.receipt, o.effectAt = receipt, c.now
}

// checkUncertain checks that nothing is decided to be unknown unless some claim was granted, had no decision, or is in flight beyond its timeout.
func (c *cluster) checkUncertain(id claimID, claim *pendingClaim, decision idempotency.Decision) {
	o := &c.operations[claim.operation]
	switch decision {
	case idempotency.DecisionNoQuorum, idempotency.DecisionGranted:
		o.uncertain = true
	case idempotency.DecisionUnknown:
		for otherID, other := range c.claims {
			if other.operation == claim.operation && otherID != id {
				o.uncertain = true
			}
		}
		if !o.uncertain {
			c.violation("operation %d: %v is decided unknown, and no claim was granted or had no decision", claim.operation, id)
		}
	}
}

// checkGrant checks that a claim may be granted.
func (c *cluster) checkGrant(id claimID, claim *pendingClaim) {
	o := &c.operations[claim.operation]
	c.grantLatenciesMs = append(c.grantLatenciesMs, c.now-claim.startedAt)
	if claim.afterReceipt {
		c.violation("operation %d: %v is granted, and %q was settled before", claim.operation, id, o.receipt)
	}
	if o.owner != "" {
		c.violation("operation %d: %v is granted beside %s", claim.operation, id, o.owner)
	}
}

// execute goes on with a granted claim.
func (c *cluster) execute(id claimID, claim *pendingClaim) {
	o := &c.operations[claim.operation]
	o.owner = id.String()
	e := c.drawExecution()
	if e != notExecuted {
		c.countExecution(id, claim)
	}
	switch e {
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
		if o.possibleReceipts == nil {
			o.possibleReceipts = map[string]bool{}
		}
		o.possibleReceipts[id.receipt()] = true
		o.owner = "completed " + id.String()
		c.settle(id, idempotency.OutcomeCompleted, []byte(id.receipt()))
	}
}

// countExecution checks that an operation takes effect once. Servers drop repeats within the dedup window.
func (c *cluster) countExecution(id claimID, claim *pendingClaim) {
	o := &c.operations[claim.operation]
	if window := claim.options.DedupWindowMs; window > 0 && c.now-o.effectAt <= window {
		return
	}
	o.executions++
	if o.executions > 1 {
		c.violation("operation %d: a second effect, by %v", claim.operation, id)
	}
	o.effectAt = c.now
}

func (c *cluster) settle(id claimID, outcome idempotency.Outcome, receipt []byte) {
	n := c.nodes[id.node]
	n.core.Settle(c.localTime(n), id.number, outcome, receipt, c.localTime(n)+settleTimeoutMs)
}
