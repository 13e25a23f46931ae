package idempotency

import "math/rand/v2"

const (
	// firstInternalNumber is where the numbers begin of proposals that a member makes by itself.
	firstInternalNumber = 1 << 48
	// settlementBit tells the number of a settlement from that of the claim that it ends.
	settlementBit = 1 << 63
	// maxGranted bounds the granted claims that are remembered until they are settled.
	maxGranted = 1 << 16
)

// Times of a proposal, in multiples of RetryIntervalMs.
const (
	releaseTimeout    = 200 // for which a claim that came to nothing is tried to be released
	repairTimeout     = 64  // for which a repair is tried
	repairPatience    = 4   // for which a repair waits for votes of all replicas, and not just of a quorum
	rejectionPatience = 4   // backoff from which on replicas that have not answered are taken to be gone
	maxRestartBackoff = 8   // longest backoff before a proposal starts again
)

// Jitter of retries, as parts of the backoff.
const (
	minRetryJitter   = 0.8
	retryJitter      = 0.4
	maxRestartJitter = 0.25
)

// proposer drives proposals through the two phases of Paxos.
type proposer struct {
	config     *Config
	out        *outbox
	rng        *rand.Rand
	counts     *Counts
	onRepaired func(Key) // called at the end of each repair

	proposals map[uint64]*proposal // by number, with settlementBit for settlements
	order     []uint64             // numbers of the proposals, as they began
	granted   map[uint64]*proposal // claims that were granted and are not settled
	minRound  uint32               // rounds up to there have been rejected
	results   []Result
}

func newProposer(config *Config, out *outbox, counts *Counts, onRepaired func(Key)) *proposer {
	return &proposer{
		config:     config,
		out:        out,
		rng:        rand.New(rand.NewPCG(config.Seed, uint64(config.Incarnation))),
		counts:     counts,
		onRepaired: onRepaired,
		proposals:  map[uint64]*proposal{},
		granted:    map[uint64]*proposal{},
	}
}

// claim proposes a claim.
func (pr *proposer) claim(now float64, number uint64, key Key, options ClaimOptions, deadline float64) {
	p := &proposal{kind: claimProposal, number: number, key: key, claim: pr.claimID(number), options: options, deadline: deadline}
	pr.start(now, p)
	pr.startPrepare(now, p)
}

// settle proposes the end of a granted claim.
func (pr *proposer) settle(now float64, number uint64, s settlement, deadline float64) {
	granted := pr.granted[number]
	if granted == nil {
		pr.results = append(pr.results, Result{Number: number, IsSettlement: true})
		return
	}
	delete(pr.granted, number)
	p := &proposal{
		kind: settleProposal, number: number | settlementBit, key: granted.key, claim: granted.claim,
		settlement: s, deadline: deadline, round: granted.round,
	}
	pr.start(now, p)
	// Replicas that voted for the claim have promised the next ballot to it, so that the first phase can be left out.
	next, ok := s.apply(granted.proposed, granted.claim)
	if !ok || granted.proposed.State != StateInFlight {
		pr.startPrepare(now, p)
		return
	}
	p.ballot = granted.ballot.next()
	p.round = p.ballot.Round
	p.proposed, p.decision = next, DecisionGranted
	p.ageMs = now - granted.startedAt + granted.ageMs
	pr.startPhase(now, p, accepting)
}

// release settles a claim that was not granted and may have been accepted by some replicas nevertheless. Nothing was executed by it. Without a
// release whoever claims the key next would be answered to wait, and then that nothing is known.
func (pr *proposer) release(now float64, claim *proposal) {
	p := &proposal{
		kind: settleProposal, number: claim.number | settlementBit, key: claim.key, claim: claim.claim,
		settlement: settlement{outcome: OutcomeNotExecuted}, deadline: now + releaseTimeout*pr.config.RetryIntervalMs, round: claim.round, internal: true,
	}
	pr.start(now, p)
	pr.startPrepare(now, p)
}

// repair proposes the latest record of a key again, under a new ballot, so that all its replicas store it. Records are not copied without one: what
// this member may have promised while it stored nothing has to hold for them too.
func (pr *proposer) repair(now float64, number uint64, key Key) {
	p := &proposal{kind: repairProposal, number: number, key: key, claim: pr.claimID(number), deadline: now + repairTimeout*pr.config.RetryIntervalMs}
	pr.start(now, p)
	pr.startPrepare(now, p)
}

func (pr *proposer) claimID(number uint64) ClaimID {
	return ClaimID{pr.config.Self, pr.config.Incarnation, number}
}

func (pr *proposer) start(now float64, p *proposal) {
	p.groups, p.startedAt = pr.config.replicaGroups(p.key), now
	p.latestStorage = map[MemberID]StorageIncarnation{}
	pr.proposals[p.number] = p
	pr.order = append(pr.order, p.number)
}

// startPrepare begins the first phase with a ballot above all that the proposal has used and all rounds that were rejected.
func (pr *proposer) startPrepare(now float64, p *proposal) {
	p.round = max(p.round, pr.minRound) + 1
	p.ballot = Ballot{p.round, p.claim}
	pr.startPhase(now, p, preparing)
}

func (pr *proposer) startPhase(now float64, p *proposal, ph phase) {
	p.phase = ph
	p.votes, p.rejections = map[MemberID]*Message{}, map[MemberID]bool{}
	p.phaseStartedAt, p.backoffMs = now, pr.config.RetryIntervalMs
	pr.sendRequests(now, p)
}

// sendRequests sends the requests of the current phase to all replicas that have not answered.
func (pr *proposer) sendRequests(now float64, p *proposal) {
	p.retryAt = now + p.backoffMs*(minRetryJitter+retryJitter*pr.rng.Float64())
	p.backoffMs = pr.config.nextBackoff(p.backoffMs)
	for _, m := range p.groups.members() {
		if p.votes[m] != nil || p.rejections[m] {
			continue
		}
		pr.out.send(pr.newRequest(now, p, m))
	}
}

func (pr *proposer) newRequest(now float64, p *proposal, to MemberID) *Message {
	kind := MsgPrepare
	if p.phase == accepting {
		kind = MsgAccept
	}
	request := pr.config.newMessage(kind, to)
	request.Number, request.Key, request.Ballot = p.number, p.key, p.ballot
	if p.phase == accepting {
		request.Record, request.AgeMs = p.proposed, p.ageMs+now-p.phaseStartedAt
		if p.kind == repairProposal {
			request.UnchangedMs = p.unchangedMs + now - p.phaseStartedAt
		}
	}
	return request
}

// handleReply takes in a vote or a rejection.
func (pr *proposer) handleReply(now float64, m *Message) {
	p := pr.proposals[m.Number]
	if p == nil || p.key != m.Key || p.ballot != m.Ballot || p.phase == backingOff {
		return
	}
	p.learnStorage(m)
	switch {
	case m.Type == MsgRejected:
		pr.minRound = max(pr.minRound, m.PromiseFloor)
		p.rejections[m.From] = true
	case m.Type == MsgPromise && p.phase == preparing, m.Type == MsgAccepted && p.phase == accepting:
		p.votes[m.From] = m
	default:
		return
	}
	switch {
	case p.hasQuorum():
		if p.kind != repairProposal || pr.isAnswered(now, p) {
			pr.advance(now, p)
		}
	case p.cannotReachQuorum():
		pr.restart(now, p)
	case p.restarts == 0 && p.phase == preparing && p.rejections[m.From]:
		pr.restart(now, p) // its first ballot was a guess
	}
}

// advance ends the current phase, whose quorum is there.
func (pr *proposer) advance(now float64, p *proposal) {
	if p.phase == accepting {
		pr.finish(now, p, p.decision)
		return
	}
	if p.evaluatePromises(now) {
		p.sentAccept = true
		pr.startPhase(now, p, accepting)
		return
	}
	pr.finish(now, p, p.decision)
}

// restart begins a proposal again, from the second time on after a random time that grows with each.
func (pr *proposer) restart(now float64, p *proposal) {
	pr.counts.BallotRetries++
	p.restarts++
	if p.restarts == 1 {
		pr.startPrepare(now, p)
		return
	}
	p.phase = backingOff
	p.backoffMs = min(max(p.backoffMs, pr.config.RetryIntervalMs), maxRestartBackoff*pr.config.RetryIntervalMs)
	p.retryAt = now + p.backoffMs*maxRestartJitter*pr.rng.Float64()
}

// isAnswered reports whether all replicas have answered, or those that have not have had their time: a repair is wanted at each of them.
func (pr *proposer) isAnswered(now float64, p *proposal) bool {
	return len(p.votes)+len(p.rejections) == len(p.groups.members()) || now-p.phaseStartedAt >= repairPatience*pr.config.RetryIntervalMs
}

// tick does what is due at a time.
func (pr *proposer) tick(now float64) {
	numbers := pr.order
	pr.order = nil // what starts meanwhile comes behind
	remaining := numbers[:0]
	for _, number := range numbers {
		p := pr.proposals[number]
		if p == nil {
			continue
		}
		pr.tickProposal(now, p)
		if pr.proposals[number] == p {
			remaining = append(remaining, number)
		}
	}
	pr.order = append(remaining, pr.order...)
}

func (pr *proposer) tickProposal(now float64, p *proposal) {
	switch {
	case now >= p.deadline:
		pr.finish(now, p, DecisionNoQuorum)
	case p.kind == repairProposal && p.phase != backingOff && p.hasQuorum() && pr.isAnswered(now, p):
		pr.advance(now, p)
	case now < p.retryAt:
	case p.phase == backingOff:
		pr.startPrepare(now, p)
	case len(p.rejections) > 0 && p.backoffMs >= rejectionPatience*pr.config.RetryIntervalMs:
		pr.restart(now, p)
	default:
		pr.sendRequests(now, p)
	}
}

// finish ends a proposal.
func (pr *proposer) finish(now float64, p *proposal, decision Decision) {
	delete(pr.proposals, p.number)
	switch p.kind {
	case repairProposal:
		if decision == DecisionGranted {
			pr.counts.RepairedRecords++
		}
		pr.onRepaired(p.key)
	case settleProposal:
		pr.counts.Settlements++
		if decision != DecisionGranted {
			pr.counts.FailedSettlements++
		}
		if !p.internal {
			pr.results = append(pr.results, Result{Number: p.number &^ settlementBit, IsSettlement: true, Decision: decision, DurationMs: now - p.startedAt})
		}
	case claimProposal:
		pr.finishClaim(now, p, decision)
	}
}

func (pr *proposer) finishClaim(now float64, p *proposal, decision Decision) {
	pr.counts.Claims[decision]++
	result := Result{Number: p.number, Decision: decision, DurationMs: now - p.startedAt}
	switch decision {
	case DecisionGranted:
		if len(pr.granted) < maxGranted {
			pr.granted[p.number] = p
		}
	case DecisionReplay:
		result.Receipt = p.proposed.Receipt
	case DecisionWait:
		result.WaitMs = p.waitMs
	}
	if decision == DecisionNoQuorum || decision != DecisionGranted && p.sentAccept {
		pr.release(now, p)
	}
	pr.results = append(pr.results, result)
}
