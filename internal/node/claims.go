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
	// claimTickMs is the interval at which the deadlines of waiting claims are checked.
	claimTickMs = 5

	// resultGraceMs is how long a claim waits for its result beyond its deadline. The replica sends the result within that time, unless the
	// replica has restarted: it then sends none.
	resultGraceMs = 20

	// responseMarginMs is reserved between the end of the grace time and the client's deadline, for the next tick and for sending the
	// response. Without the margin, a request that no replica answered was rejected 20 ms after its client's deadline; with a margin of one
	// tick, it was rejected 0.1 ms after the deadline.
	responseMarginMs = 3 * claimTickMs

	// settleTimeoutMs is how long a replica tries to settle a claim. Until the claim is settled, a retry cannot learn the request's
	// outcome.
	settleTimeoutMs = 5000

	// maxUploadMs is how long a client may take to send a large value (the operators' page of daily operation, "Less room").
	maxUploadMs = 20000
)

// claimTick is the longest wait of the loop while idempotency records are kept.
var claimTick = clock.Duration(claimTickMs)

// claimPhase is the state of a request that has a claim.
type claimPhase uint8

const (
	claiming  claimPhase = iota // waits for the replicas to grant the claim; the policy does not know the request yet
	executing                   // in flight
	settling                    // executed; the response waits until the replicas have the receipt
)

// claim is the claim of a request on its idempotency key.
type claim struct {
	manager         *claimManager
	id              uint64
	exchange        *exchange.Exchange
	client          exchange.Client // original client of the exchange; once granted, the claim takes its place in exchange.Client
	key             idempotency.Key
	options         idempotency.ClaimOptions
	phase           claimPhase
	replicaDeadline float64 // end of the wait for the replicas, in the phases claiming and settling

	allowWithoutQuorum bool    // the request is executed even if no majority of replicas answers
	clientGone         bool    // the client has disconnected in the phase claiming
	bodyCompleteAt     float64 // time at which a streamed value was complete, if that was in the phase claiming; otherwise 0
}

// claimCounters counts claims by outcome since they were last logged.
type claimCounters struct {
	granted        int
	inProgress     int // another request with the key is being executed
	replayed       int // answered with the receipt of an earlier request
	outcomeUnknown int // an earlier request may or may not have been executed
	withoutQuorum  int
	notReplicated  int // answered before the replicas had the receipt
}

// claimManager stands between the clients and the policy for requests that have an idempotency key and are not idempotent by themselves:
// the key is claimed with the replicas of the cluster before the policy gets the request, and the receipt is replicated before the client
// gets it. The loop owns the claimManager.
type claimManager struct {
	node          *Node
	settings      *operatorfile.Idempotency
	replica       *replica.Replica // nil until its address is free
	lastID        uint64
	claims        map[uint64]*claim
	byExchange    map[*exchange.Exchange]*claim
	counters      claimCounters
	pendingClaims int  // claims in the phase claiming
	closed        bool // the replica is being stopped: no more claims are made
}

// extraValue returns the value of a name in the extra field of a request, a list of name=value pairs. It returns nil for an unknown name.
func extraValue(extra []byte, name string) []byte {
	for part := range bytes.SplitSeq(extra, []byte(",")) {
		if k, v, _ := bytes.Cut(part, []byte("=")); string(k) == name {
			return v
		}
	}
	return nil
}

// needsClaim reports whether requests of a class are claimed if they have a key.
func (m *claimManager) needsClaim(class string, effect fleet.Effect) bool {
	return effect != fleet.Idempotent && (len(m.settings.RequestClasses) == 0 || slices.Contains(m.settings.RequestClasses, class))
}

// claimIfNeeded claims a request that has arrived. It returns false if the request needs no claim.
func (m *claimManager) claimIfNeeded(now float64, x *exchange.Exchange) bool {
	className, keyValue := string(extraValue(x.Extra, "c")), extraValue(x.Extra, "k")
	class := m.node.frontend.Config().Classes[className]
	if class == nil || len(keyValue) == 0 || !m.needsClaim(className, class.Effect) {
		return false
	}
	m.lastID++
	c := &claim{
		manager:            m,
		id:                 m.lastID,
		exchange:           x,
		client:             x.Client,
		key:                idempotency.NewKey(className, x.Key, keyValue),
		options:            idempotency.ClaimOptions{TimeoutMs: timeLeft(now, x)},
		replicaDeadline:    min(now+m.settings.ClaimTimeout.Milliseconds(), x.Deadline-resultGraceMs-responseMarginMs),
		allowWithoutQuorum: m.settings.ForwardsWithoutQuorum(className),
	}
	if class.Effect == fleet.Deduplicated && class.DedupScope == fleet.DedupAll {
		c.options.DedupWindowMs = class.DedupWindow
	}
	if m.closed {
		m.quorumUnavailable(now, c) // no claim is made: the process may end before its result arrives
		return true
	}
	m.node.classes.Acquire(x.Class) // keeps the id of the class valid while the claim waits
	m.claims[c.id], m.byExchange[x] = c, c
	m.pendingClaims++
	if m.replica != nil {
		m.replica.Claim(c.id, c.key, c.options, c.replicaDeadline)
	}
	return true
}

// timeLeft returns how long the client of a request still waits, at most.
func timeLeft(now float64, x *exchange.Exchange) float64 {
	if left := x.Deadline - now; !math.IsInf(left, 1) {
		return left
	}
	return maxUploadMs + x.Timeout // its value is still being read
}

// handleResult applies the result of a claim or of a settlement.
func (m *claimManager) handleResult(now float64, result *idempotency.Result) {
	c := m.claims[result.Number]
	switch {
	case result.IsSettlement:
		if c != nil && c.phase == settling {
			if result.Decision != idempotency.DecisionGranted {
				m.counters.notReplicated++
			}
			m.deliver(c)
		}
	case c != nil && c.phase == claiming:
		m.node.withRecovery(c.exchange, func() { m.handleClaimResult(now, c, result) })
	case result.Decision == idempotency.DecisionGranted:
		// The request no longer waits for its claim. Until the claim is settled, it would block a retry.
		m.settle(now, result.Number, idempotency.OutcomeNotExecuted, nil)
	}
}

// handleClaimResult executes a request whose claim was granted, or answers it from what the replicas know about its key.
func (m *claimManager) handleClaimResult(now float64, c *claim, result *idempotency.Result) {
	x := c.exchange
	switch result.Decision {
	case idempotency.DecisionGranted:
		m.handleGranted(now, c)
	case idempotency.DecisionNoQuorum:
		m.removeWaiting(now, c)
		m.quorumUnavailable(now, c)
	case idempotency.DecisionWait:
		m.removeWaiting(now, c)
		m.counters.inProgress++
		m.reject(x, result.WaitMs)
	case idempotency.DecisionReplay:
		m.removeWaiting(now, c)
		m.counters.replayed++
		m.node.inflight.Respond(x, exchange.Response{Kind: exchange.Completed, Value: result.Receipt})
	default:
		m.removeWaiting(now, c)
		m.counters.outcomeUnknown++
		m.node.inflight.Respond(x, exchange.Response{Kind: exchange.Aborted, Reason: "it was tried before, and may or may not have been carried out"})
	}
}

// handleGranted executes a request unless its client is gone or its deadline has passed.
func (m *claimManager) handleGranted(now float64, c *claim) {
	x := c.exchange
	if c.clientGone || now >= x.Deadline {
		m.removeWaiting(now, c)
		m.settle(now, c.id, idempotency.OutcomeNotExecuted, nil)
		m.reject(x, 0)
		return
	}
	m.counters.granted++
	c.phase = executing
	m.pendingClaims--
	x.Client = c
	m.admit(now, c)
	m.node.classes.Release(now, x.Class) // Admit has acquired the class for the request in flight
}

// admit passes a request to the policy, followed by the client events recorded in the phase claiming.
func (m *claimManager) admit(now float64, c *claim) {
	m.node.inflight.Admit(now, c.exchange)
	if c.bodyCompleteAt > 0 {
		m.node.inflight.BodyComplete(now, c.exchange, c.bodyCompleteAt)
	}
	if c.clientGone {
		m.node.inflight.ClientGone(now, c.exchange)
	}
}

// quorumUnavailable ends a claim that no majority of replicas has answered in time.
func (m *claimManager) quorumUnavailable(now float64, c *claim) {
	m.counters.withoutQuorum++
	if c.allowWithoutQuorum && !c.clientGone && now < c.exchange.Deadline {
		m.admit(now, c)
		return
	}
	m.reject(c.exchange, m.node.frontend.Config().RetryAfter)
}

// reject rejects a request without an attempt, with a Retry-After limited by the settings.
func (m *claimManager) reject(x *exchange.Exchange, retryAfter float64) {
	m.node.inflight.Respond(x, exchange.Response{
		Kind:       exchange.Rejected,
		RetryAfter: min(retryAfter, m.node.frontend.Config().RetryAfter),
	})
}

// removeWaiting removes a claim in the phase claiming.
func (m *claimManager) removeWaiting(now float64, c *claim) {
	m.pendingClaims--
	m.remove(c)
	m.node.classes.Release(now, c.exchange.Class)
}

func (m *claimManager) remove(c *claim) {
	delete(m.claims, c.id)
	delete(m.byExchange, c.exchange)
}

func (m *claimManager) settle(now float64, id uint64, outcome idempotency.Outcome, receipt []byte) {
	m.replica.Settle(id, outcome, receipt, now+settleTimeoutMs)
}

// ResponseReady receives the response of a request in flight in place of its client. A rejection or an abort is passed on at once, a
// receipt once the replicas have it or replicaDeadline has passed. ResponseReady implements exchange.Client; the loop calls it.
func (c *claim) ResponseReady(x *exchange.Exchange) {
	response := x.Response()
	if response.Kind != exchange.Completed || c.phase != executing {
		c.client.ResponseReady(x)
		return
	}
	now := c.manager.node.clock.Now()
	c.phase = settling
	c.replicaDeadline = min(now+c.manager.settings.CommitTimeout.Milliseconds(), x.Deadline-responseMarginMs)
	var receipt []byte // nil for a streamed value
	if response.Stream == nil {
		receipt = append([]byte{}, response.Value...)
	}
	c.manager.settle(now, c.id, idempotency.OutcomeCompleted, receipt)
}

// deliver passes a response that waited for the replicas to its client.
func (m *claimManager) deliver(c *claim) {
	m.remove(c)
	c.client.ResponseReady(c.exchange)
}

// handleReleased settles the claim of a request that was answered without a receipt. It is called once none of the request's attempts is
// running, so that a retry learns the outcome of the attempts.
func (m *claimManager) handleReleased(now float64, entry *inflightEntry) {
	c := m.byExchange[entry.Exchange]
	if c == nil || c.phase != executing {
		return
	}
	m.remove(c)
	m.settle(now, c.id, outcomeOf(entry.Request), entry.Receipt)
}

// outcomeOf reports whether a request was executed, derived from the results of the request's attempts.
func outcomeOf(request *fleet.Request) idempotency.Outcome {
	outcome := idempotency.OutcomeNotExecuted
	for i := range request.Attempts[:request.NumAttempts] {
		switch result := request.Attempts[i].Result; {
		case result == fleet.Completed:
			return idempotency.OutcomeCompleted // the response came too late for the client
		case !result.NotExecuted():
			outcome = idempotency.OutcomeUnknown
		}
	}
	return outcome
}

// bodyComplete records when a streamed value was complete. It returns false for a request that is not in the phase claiming.
func (m *claimManager) bodyComplete(x *exchange.Exchange, at float64) bool {
	c := m.byExchange[x]
	if c == nil || c.phase != claiming {
		return false
	}
	c.bodyCompleteAt = at
	c.replicaDeadline = min(c.replicaDeadline, x.Deadline-resultGraceMs-responseMarginMs)
	return true
}

// clientGone records that a client has disconnected. It returns false for a request that is not in the phase claiming.
func (m *claimManager) clientGone(x *exchange.Exchange) bool {
	c := m.byExchange[x]
	if c == nil || c.phase != claiming {
		return false
	}
	c.clientGone = true
	return true
}

// tick ends each wait for the replicas whose deadline has passed.
func (m *claimManager) tick(now float64) {
	for _, id := range m.claimIDs() {
		switch c := m.claims[id]; {
		case c.phase == settling && now >= c.replicaDeadline:
			m.counters.notReplicated++
			m.deliver(c)
		case c.phase == claiming && now >= c.replicaDeadline+resultGraceMs:
			m.removeWaiting(now, c)
			m.quorumUnavailable(now, c)
		}
	}
}

// claimIDs returns the ids of all claims in order of arrival.
func (m *claimManager) claimIDs() []uint64 {
	ids := make([]uint64, 0, len(m.claims))
	for id := range m.claims {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// hasWaitingClients reports whether a client waits for the replicas.
func (m *claimManager) hasWaitingClients() bool {
	for _, c := range m.claims {
		if c.phase != executing {
			return true
		}
	}
	return false
}

// abortAll answers every client that waits for the replicas. Requests in the phase claiming were not executed and are rejected; those in
// the phase settling get their receipt.
func (m *claimManager) abortAll(now float64) {
	for _, id := range m.claimIDs() {
		switch c := m.claims[id]; c.phase {
		case claiming:
			m.removeWaiting(now, c)
			m.reject(c.exchange, 0)
		case settling:
			m.deliver(c)
		}
	}
}

// takeCounters returns the counters as log fields and resets them.
func (m *claimManager) takeCounters() logrus.Fields {
	counters := m.counters
	m.counters = claimCounters{}
	return logrus.Fields{
		"claims_granted":          counters.granted,
		"claims_held_elsewhere":   counters.inProgress,
		"claims_answered_before":  counters.replayed,
		"claims_unknown":          counters.outcomeUnknown,
		"claims_without_quorum":   counters.withoutQuorum,
		"receipts_not_replicated": counters.notReplicated,
		"claims_waiting":          len(m.claims),
	}
}
