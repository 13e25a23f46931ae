package idempotency

import "math/rand/v2"

const (
	// repairNumberBase lies above the numbers of all claims and below those of all repairs.
	repairNumberBase = 1 << 48
	// settlementBit distinguishes the number of a settlement from that of its claim.
	settlementBit = 1 << 63
	// maxGrantedClaims bounds the granted claims that are remembered until they are settled.
	maxGrantedClaims = 1 << 16
)

// Timeouts and backoffs of a proposal, in multiples of RetryIntervalMs.
const (
	releaseTimeoutFactor          = 200 // timeout of the release of a claim that was not granted
	repairTimeoutFactor           = 64  // timeout of a repair
	repairVoteWaitFactor          = 4   // how long a repair waits for the votes of all replicas instead of a quorum
	rejectionRestartBackoffFactor = 4   // backoff at which a rejected proposal restarts without the remaining answers
	maxRestartBackoffFactor       = 8   // limits the backoff before a restart
)

// Jitter of retries and restarts, as fractions of the backoff.
const (
	minRetryJitter   = 0.8
	retryJitterRange = 0.4
	maxRestartJitter = 0.25
)

// proposer drives proposals through the two phases of Paxos.
type proposer struct {
	config           *Config
	outbox           *outbox
	rng              *rand.Rand
	counts           *Counts
	onRepairFinished func(Key) // called at the end of each repair

	proposals        map[uint64]*proposal // by number, with settlementBit for settlements
	proposalOrder    []uint64             // numbers of the proposals in the order of their start
	grantedClaims    map[uint64]*proposal // granted claims that are not settled yet, by number
	maxRejectedRound uint32               // highest round in a rejection
	results          []Result
}

func newProposer(config *Config, out *outbox, counts *Counts, onRepairFinished func(Key)) *proposer {
	return &proposer{
		config:           config,
		outbox:           out,
		rng:              rand.New(rand.NewPCG(config.Seed, uint64(config.Incarnation))),
		counts:           counts,
		onRepairFinished: onRepairFinished,
		proposals:        map[uint64]*proposal{},
		grantedClaims:    map[uint64]*proposal{},
	}
}

// claim proposes to claim a key.
func (pr *proposer) claim(now float64, number uint64, key Key, options ClaimOptions, deadline float64) {
	p := &proposal{kind: claimProposal, number: number, key: key, claim: pr.claimID(number), options: options, deadline: deadline}
	pr.start(now, p)
	pr.startPrepare(now, p)
}

// settle proposes to record the outcome of a granted claim.
func (pr *proposer) settle(now float64, number uint64, s settlement, deadline float64) {
	granted := pr.grantedClaims[number]
	if granted == nil {
		pr.results = append(pr.results, Result{Number: number, IsSettlement: true})
		return
	}
	delete(pr.grantedClaims, number)
	p := &proposal{
		kind: settleProposal, number: number | settlementBit, key: granted.key, claim: granted.claim,
		settlement: s, deadline: deadline, maxRound: granted.maxRound,
	}
	pr.start(now, p)
	// Replicas that accepted the claim have promised its next ballot, so the first phase can be skipped.
	next, ok := s.apply(granted.proposed, granted.claim)
	if !ok || granted.proposed.State != StateInFlight {
		pr.startPrepare(now, p)
		return
	}
	p.ballot = granted.ballot.next()
	p.maxRound = p.ballot.Round
	p.proposed, p.decision = next, DecisionGranted
	p.ageMs = now - granted.startedAt + granted.ageMs
	pr.startPhase(now, p, accepting)
}

// release settles a claim that was not granted, and hence not executed, but that some replicas may have accepted. Without a release the
// next claim of the key would get DecisionWait, and DecisionUnknown after the timeout.
func (pr *proposer) release(now float64, claim *proposal) {
	p := &proposal{
		kind: settleProposal, number: claim.number | settlementBit, key: claim.key, claim: claim.claim,
		settlement: settlement{outcome: OutcomeNotExecuted}, deadline: now + releaseTimeoutFactor*pr.config.RetryIntervalMs,
		maxRound: claim.maxRound, isRelease: true,
	}
	pr.start(now, p)
	pr.startPrepare(now, p)
}

// repair proposes the latest record of a key again under a new ballot, so that all its replicas store it. Copying the record without a new
// ballot could break promises that this member made for the key while it did not have the record.
func (pr *proposer) repair(now float64, number uint64, key Key) {
	p := &proposal{
		kind: repairProposal, number: number, key: key, claim: pr.claimID(number),
		deadline: now + repairTimeoutFactor*pr.config.RetryIntervalMs,
	}
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
	pr.proposalOrder = append(pr.proposalOrder, p.number)
}

// startPrepare starts the first phase in a round above all that the proposal has used and all that were rejected.
func (pr *proposer) startPrepare(now float64, p *proposal) {
	p.maxRound = max(p.maxRound, pr.maxRejectedRound) + 1
	p.ballot = Ballot{p.maxRound, p.claim}
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
	p.retryAt = now + p.backoffMs*(minRetryJitter+retryJitterRange*pr.rng.Float64())
	p.backoffMs = pr.config.nextBackoff(p.backoffMs)
	for _, m := range p.groups.members() {
		if p.votes[m] != nil || p.rejections[m] {
			continue
		}
		pr.outbox.send(pr.newRequest(now, p, m))
	}
}

func (pr *proposer) newRequest(now float64, p *proposal, to MemberID) *Message {
	messageType := MsgPrepare
	if p.phase == accepting {
		messageType = MsgAccept
	}
	request := pr.config.newMessage(messageType, to)
	request.Number, request.Key, request.Ballot = p.number, p.key, p.ballot
	if p.phase == accepting {
		request.Record, request.AgeMs = p.proposed, p.ageMs+now-p.phaseStartedAt
		if p.kind == repairProposal {
			request.UnchangedMs = p.unchangedMs + now - p.phaseStartedAt
		}
	}
	return request
}

// handleReply handles a vote or a rejection.
func (pr *proposer) handleReply(now float64, m *Message) {
	p := pr.proposals[m.Number]
	if p == nil || p.key != m.Key || p.ballot != m.Ballot || p.phase == backingOff {
		return
	}
	p.updateLatestStorage(m)
	switch {
	case m.Type == MsgRejected:
		pr.maxRejectedRound = max(pr.maxRejectedRound, m.PromiseFloor)
		p.rejections[m.From] = true
	case m.Type == MsgPromise && p.phase == preparing, m.Type == MsgAccepted && p.phase == accepting:
		p.votes[m.From] = m
	default:
		return
	}
	switch {
	case p.hasQuorum():
		if p.kind != repairProposal || pr.repairVotesComplete(now, p) {
			pr.advance(now, p)
		}
	case p.cannotReachQuorum():
		pr.restart(now, p)
	case p.restarts == 0 && p.phase == preparing && p.rejections[m.From]:
		pr.restart(now, p) // the proposal's first round was only a guess
	}
}

// advance ends the current phase once it has a quorum.
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

// restart restarts a proposal, the first time at once and from then on after a random part of the backoff.
func (pr *proposer) restart(now float64, p *proposal) {
	pr.counts.BallotRetries++
	p.restarts++
	if p.restarts == 1 {
		pr.startPrepare(now, p)
		return
	}
	p.phase = backingOff
	p.backoffMs = min(max(p.backoffMs, pr.config.RetryIntervalMs), maxRestartBackoffFactor*pr.config.RetryIntervalMs)
	p.retryAt = now + p.backoffMs*maxRestartJitter*pr.rng.Float64()
}

// repairVotesComplete reports whether all replicas have answered a repair or the wait for them is over. A repair should reach every
// replica, not just a quorum.
func (pr *proposer) repairVotesComplete(now float64, p *proposal) bool {
	return len(p.votes)+len(p.rejections) == len(p.groups.members()) || now-p.phaseStartedAt >= repairVoteWaitFactor*pr.config.RetryIntervalMs
}

// tick does the work that is due.
func (pr *proposer) tick(now float64) {
	numbers := pr.proposalOrder
	pr.proposalOrder = nil // proposals that start meanwhile are added at the end
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
	pr.proposalOrder = append(remaining, pr.proposalOrder...)
}

func (pr *proposer) tickProposal(now float64, p *proposal) {
	switch {
	case now >= p.deadline:
		pr.finish(now, p, DecisionNoQuorum)
	case p.kind == repairProposal && p.phase != backingOff && p.hasQuorum() && pr.repairVotesComplete(now, p):
		pr.advance(now, p)
	case now < p.retryAt:
	case p.phase == backingOff:
		pr.startPrepare(now, p)
	case len(p.rejections) > 0 && p.backoffMs >= rejectionRestartBackoffFactor*pr.config.RetryIntervalMs:
		pr.restart(now, p)
	default:
		pr.sendRequests(now, p)
	}
}

// finish ends a proposal with a decision.
func (pr *proposer) finish(now float64, p *proposal, decision Decision) {
	delete(pr.proposals, p.number)
	switch p.kind {
	case repairProposal:
		if decision == DecisionGranted {
			pr.counts.RepairedRecords++
		}
		pr.onRepairFinished(p.key)
	case settleProposal:
		pr.counts.Settlements++
		if decision != DecisionGranted {
			pr.counts.FailedSettlements++
		}
		if !p.isRelease {
			pr.results = append(pr.results, Result{
				Number: p.number &^ settlementBit, IsSettlement: true, Decision: decision, DurationMs: now - p.startedAt,
			})
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
		if len(pr.grantedClaims) < maxGrantedClaims {
			pr.grantedClaims[p.number] = p
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
