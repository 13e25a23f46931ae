package node

import (
	"bytes"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/replica"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
)

const (
	// claimTickMs is the time between two looks at what waits for the idempotency records.
	claimTickMs = 5

	// resultGraceMs is how long past its time the result of a claim is waited for: it arrives by then, or the replica has restarted and
	// never sends it.
	resultGraceMs = 20

	// responseMarginMs is what is left of a request's time after that, for the loop's next look and for the response's way to the client.
	// With no margin a request that no replica answered was rejected 20 ms after its client's deadline, with that for the look alone
	// 0.1 ms after.
	responseMarginMs = 3 * claimTickMs

	// settleTimeoutMs is how long a replica tries to settle a claim. Until then a retry of the request cannot learn what became of it.
	settleTimeoutMs = 5000

	// maxUploadMs is how long a client may take to send a large value (the operators' page of daily operation, "Less room").
	maxUploadMs = 20000
)

// claimTick is how long the loop may wait while idempotency records are kept.
var claimTick = clock.Duration(claimTickMs)

// claimPhase is how far a claimed request has come.
type claimPhase uint8

const (
	claiming  claimPhase = iota // waits for the replicas; the policy has not seen it
	executing                   // in flight
	settling                    // executed; its client waits until the replicas have the receipt
)

// claim is one request that needs a claim on its idempotency key.
type claim struct {
	gate     *claimGate
	id       uint64
	exchange *exchange.Exchange
	client   exchange.Client // of the exchange, while the claim receives its response
	key      idempotency.Key
	options  idempotency.ClaimOptions
	phase    claimPhase
	giveUpAt float64 // when the replicas are no longer waited for, in the phases claiming and settling

	allowWithoutQuorum bool    // it is executed also where no majority of replicas answers
	clientGone         bool    // while claiming
	bodyCompleteAt     float64 // while claiming; 0: the value is still being read, or was read from the start
}

// claimCounters are the claims since they were logged last, by what became of them.
type claimCounters struct {
	claimed        int
	heldElsewhere  int // another node executes a request with the key
	answeredBefore int // answered with the receipt of an earlier one
	unknown        int // an earlier one may or may not have been executed
	withoutQuorum  int
	notReplicated  int // answered before the replicas had the receipt
}

// claimGate holds requests that have an idempotency key and are not idempotent by themselves, between their clients and the policy: each
// is claimed with the replicas of the cluster before the policy sees it, and its receipt is replicated before its client has it. The
// loop owns it.
type claimGate struct {
	node       *Node
	settings   *operatorfile.Idempotency
	replica    *replica.Replica // nil until its address is free
	lastID     uint64
	claims     map[uint64]*claim
	byExchange map[*exchange.Exchange]*claim
	counters   claimCounters
	pending    int  // claims in the phase claiming
	closed     bool // the replica is being stopped: no more claims are made
}

// extraValue returns a value of a request's list of names and values, nil for none.
func extraValue(extra []byte, name string) []byte {
	for part := range bytes.SplitSeq(extra, []byte(",")) {
		if k, v, _ := bytes.Cut(part, []byte("=")); string(k) == name {
			return v
		}
	}
	return nil
}

// needsClaim reports whether requests of a class are claimed, where they bear a key.
func (g *claimGate) needsClaim(class string, effect fleet.Effect) bool {
	return effect != fleet.Idempotent && (len(g.settings.RequestClasses) == 0 || slices.Contains(g.settings.RequestClasses, class))
}

// claim claims a request that has arrived. It returns false for one that needs no claim.
func (g *claimGate) claim(now float64, x *exchange.Exchange) bool {
	className, keyValue := string(extraValue(x.Extra, "c")), extraValue(x.Extra, "k")
	class := g.node.frontend.Config().Classes[className]
	if class == nil || len(keyValue) == 0 || !g.needsClaim(className, class.Effect) {
		return false
	}
	g.lastID++
	c := &claim{
		gate:               g,
		id:                 g.lastID,
		exchange:           x,
		client:             x.Client,
		key:                idempotency.NewKey(className, x.Key, keyValue),
		options:            idempotency.ClaimOptions{TimeoutMs: timeLeft(now, x)},
		giveUpAt:           min(now+g.settings.ClaimTimeout.Milliseconds(), x.Deadline-resultGraceMs-responseMarginMs),
		allowWithoutQuorum: g.settings.ForwardsWithoutQuorum(className),
	}
	if class.Effect == fleet.Deduplicated && class.DedupScope == fleet.DedupAll {
		c.options.DedupWindowMs = class.DedupWindow
	}
	if g.closed {
		g.quorumUnavailable(now, c) // at once: the process ends, and a claim that waited for its result was never answered
		return true
	}
	g.node.classes.Acquire(x.Class) // its id stays valid while the claim waits
	g.claims[c.id], g.byExchange[x] = c, c
	g.pending++
	if g.replica != nil {
		g.replica.Claim(c.id, c.key, c.options, c.giveUpAt)
	}
	return true
}

// timeLeft is how long the client of a request waits from now on, at most.
func timeLeft(now float64, x *exchange.Exchange) float64 {
	if left := x.Deadline - now; !math.IsInf(left, 1) {
		return left
	}
	return maxUploadMs + x.Timeout // its value is still being read
}

// resultArrived takes the result of a claim or of a settlement.
func (g *claimGate) resultArrived(now float64, result *idempotency.Result) {
	c := g.claims[result.Number]
	switch {
	case result.IsSettlement:
		if c != nil && c.phase == settling {
			if result.Decision != idempotency.DecisionGranted {
				g.counters.notReplicated++
			}
			g.deliver(c)
		}
	case c != nil && c.phase == claiming:
		g.node.guard(c.exchange, func() { g.claimResolved(now, c, result) })
	case result.Decision == idempotency.DecisionGranted:
		// Nobody waits for the claim any more. It must not keep a retry out.
		g.settle(now, result.Number, idempotency.OutcomeNotExecuted, nil)
	}
}

// claimResolved executes a claimed request, or answers it by what the replicas know of its key.
func (g *claimGate) claimResolved(now float64, c *claim, result *idempotency.Result) {
	x := c.exchange
	switch result.Decision {
	case idempotency.DecisionGranted:
		g.granted(now, c)
	case idempotency.DecisionNoQuorum:
		g.forget(now, c)
		g.quorumUnavailable(now, c)
	case idempotency.DecisionWait:
		g.forget(now, c)
		g.counters.heldElsewhere++
		g.reject(x, result.WaitMs)
	case idempotency.DecisionReplay:
		g.forget(now, c)
		g.counters.answeredBefore++
		g.node.inflight.Respond(x, exchange.Response{Kind: exchange.Completed, Value: result.Receipt})
	default:
		g.forget(now, c)
		g.counters.unknown++
		g.node.inflight.Respond(x, exchange.Response{Kind: exchange.Aborted, Reason: "it was tried before, and may or may not have been carried out"})
	}
}

// granted executes a request, unless nobody waits for it any more.
func (g *claimGate) granted(now float64, c *claim) {
	x := c.exchange
	if c.clientGone || now >= x.Deadline {
		g.forget(now, c)
		g.settle(now, c.id, idempotency.OutcomeNotExecuted, nil)
		g.reject(x, 0)
		return
	}
	g.counters.claimed++
	c.phase = executing
	g.pending--
	x.Client = c
	g.admit(now, c)
	g.node.classes.Release(now, x.Class) // the table of requests in flight has counted it
}

// admit passes a request to the policy, with what has happened to it while it was claimed.
func (g *claimGate) admit(now float64, c *claim) {
	g.node.inflight.Admit(now, c.exchange)
	if c.bodyCompleteAt > 0 {
		g.node.inflight.BodyComplete(now, c.exchange, c.bodyCompleteAt)
	}
	if c.clientGone {
		g.node.inflight.ClientGone(now, c.exchange)
	}
}

// quorumUnavailable ends a claim that no majority of replicas has answered in time.
func (g *claimGate) quorumUnavailable(now float64, c *claim) {
	g.counters.withoutQuorum++
	if c.allowWithoutQuorum && !c.clientGone && now < c.exchange.Deadline {
		g.admit(now, c)
		return
	}
	g.reject(c.exchange, g.node.frontend.Config().RetryAfter)
}

// reject rejects a request without an attempt, with a Retry-After of at most what the settings allow.
func (g *claimGate) reject(x *exchange.Exchange, retryAfter float64) {
	g.node.inflight.Respond(x, exchange.Response{
		Kind:       exchange.Rejected,
		RetryAfter: min(retryAfter, g.node.frontend.Config().RetryAfter),
	})
}

// forget removes a request in the phase claiming.
func (g *claimGate) forget(now float64, c *claim) {
	g.pending--
	g.remove(c)
	g.node.classes.Release(now, c.exchange.Class)
}

func (g *claimGate) remove(c *claim) {
	delete(g.claims, c.id)
	delete(g.byExchange, c.exchange)
}

func (g *claimGate) settle(now float64, id uint64, outcome idempotency.Outcome, receipt []byte) {
	g.replica.Settle(id, outcome, receipt, now+settleTimeoutMs)
}

// ResponseReady takes the response of a request in flight, in place of its client. One that was not completed is passed on at once, a
// receipt when the replicas have it, or at the client's deadline. It implements exchange.Client; the loop calls it.
func (c *claim) ResponseReady(x *exchange.Exchange) {
	response := x.Response()
	if response.Kind != exchange.Completed || c.phase != executing {
		c.client.ResponseReady(x)
		return
	}
	now := c.gate.node.clock.Now()
	c.phase = settling
	c.giveUpAt = min(now+c.gate.settings.CommitTimeout.Milliseconds(), x.Deadline-responseMarginMs)
	var receipt []byte // none of a value that is streamed
	if response.Stream == nil {
		receipt = append([]byte{}, response.Value...)
	}
	c.gate.settle(now, c.id, idempotency.OutcomeCompleted, receipt)
}

// deliver gives a client the response that waited for the replicas.
func (g *claimGate) deliver(c *claim) {
	g.remove(c)
	c.client.ResponseReady(c.exchange)
}

// released settles a claim whose request was answered otherwise than by a receipt, now that no attempt is out: a retry learns what
// became of the attempts.
func (g *claimGate) released(now float64, entry *inflightEntry) {
	c := g.byExchange[entry.Exchange]
	if c == nil || c.phase != executing {
		return
	}
	g.remove(c)
	g.settle(now, c.id, outcomeOf(entry.Request), entry.Receipt)
}

// outcomeOf says whether a request was executed, from the results of its attempts.
func outcomeOf(request *fleet.Request) idempotency.Outcome {
	outcome := idempotency.OutcomeNotExecuted
	for i := range request.Attempts[:request.NumAttempts] {
		switch result := request.Attempts[i].Result; {
		case result == fleet.Completed:
			return idempotency.OutcomeCompleted // too late for its client
		case !result.NotExecuted():
			outcome = idempotency.OutcomeUnknown
		}
	}
	return outcome
}

// bodyComplete takes the end of a streamed value. It returns false for a request that is not being claimed.
func (g *claimGate) bodyComplete(x *exchange.Exchange, at float64) bool {
	c := g.byExchange[x]
	if c == nil || c.phase != claiming {
		return false
	}
	c.bodyCompleteAt = at
	return true
}

// clientGone takes that a client is gone. It returns false for a request that is not being claimed.
func (g *claimGate) clientGone(x *exchange.Exchange) bool {
	c := g.byExchange[x]
	if c == nil || c.phase != claiming {
		return false
	}
	c.clientGone = true
	return true
}

// tick ends what has waited for the replicas for too long.
func (g *claimGate) tick(now float64) {
	for _, id := range g.claimIDs() {
		switch c := g.claims[id]; {
		case c.phase == settling && now >= c.giveUpAt:
			g.counters.notReplicated++
			g.deliver(c)
		case c.phase == claiming && now >= c.giveUpAt+resultGraceMs:
			g.forget(now, c)
			g.quorumUnavailable(now, c)
		}
	}
}

// claimIDs are the ids of all claims, in the order of their arrival.
func (g *claimGate) claimIDs() []uint64 {
	ids := make([]uint64, 0, len(g.claims))
	for id := range g.claims {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// hasWaitingClients reports whether a client waits for the replicas.
func (g *claimGate) hasWaitingClients() bool {
	for _, c := range g.claims {
		if c.phase != executing {
			return true
		}
	}
	return false
}

// abortAll answers every client that waits for the replicas: nothing of what is being claimed was executed, and what was executed has its
// receipt.
func (g *claimGate) abortAll(now float64) {
	for _, id := range g.claimIDs() {
		switch c := g.claims[id]; c.phase {
		case claiming:
			g.forget(now, c)
			g.reject(c.exchange, 0)
		case settling:
			g.deliver(c)
		}
	}
}

// drainCounters returns the counters as fields of the log, and begins anew.
func (g *claimGate) drainCounters() logrus.Fields {
	counters := g.counters
	g.counters = claimCounters{}
	return logrus.Fields{
		"claims_granted":          counters.claimed,
		"claims_held_elsewhere":   counters.heldElsewhere,
		"claims_answered_before":  counters.answeredBefore,
		"claims_unknown":          counters.unknown,
		"claims_without_quorum":   counters.withoutQuorum,
		"receipts_not_replicated": counters.notReplicated,
		"claims_waiting":          len(g.claims),
	}
}
