package idempotency

// proposalKind is the purpose of a proposal.
type proposalKind uint8

const (
	claimProposal  proposalKind = iota // to claim a key
	settleProposal                     // to record how a granted claim ended
	repairProposal                     // to have all replicas store the latest record
)

// phase is the current step of a proposal.
type phase uint8

const (
	preparing  phase = iota // waits for promises
	accepting               // waits for acceptors to accept the proposed record
	backingOff              // waits before it restarts, so that two proposers of one key stop preempting each other
)

// proposal is a change of a record that this member proposes, from the first request to the result. Times are of this member's clock.
type proposal struct {
	kind       proposalKind
	number     uint64 // of the claim or repair; a settlement has the number of its claim with settlementBit
	key        Key
	claim      ClaimID
	options    ClaimOptions // of a claim
	settlement settlement
	isRelease  bool // settlement of a claim that was not granted; no caller waits for the result
	groups     replicaGroups
	startedAt  float64
	deadline   float64

	phase          phase
	phaseStartedAt float64
	ballot         Ballot
	maxRound       uint32 // highest round that it has used
	restarts       int
	retryAt        float64
	backoffMs      float64
	votes          map[MemberID]*Message           // answers of the current phase: MsgPromise or MsgAccepted
	rejections     map[MemberID]bool               // members that have rejected the current ballot
	latestStorage  map[MemberID]StorageIncarnation // latest incarnation of each member that an answer has reported

	proposed    Record // record that the second phase writes
	ageMs       float64
	unchangedMs float64
	decision    Decision // result once a quorum has accepted the proposed record, or at once if the second phase is not needed
	waitMs      float64  // with DecisionWait
	sentAccept  bool     // the second phase was started at least once
}

// updateLatestStorage records the storage incarnation of an answer's sender and those that the answer lists. Before a member with new
// storage votes, it announces that storage to the other replicas and reads their records (acceptor.mayVote). So a vote from its previous
// storage no longer counts once any answer lists the new storage.
func (p *proposal) updateLatestStorage(m *Message) {
	p.latestStorage[m.From] = max(p.latestStorage[m.From], m.StorageIncarnation)
	for _, known := range m.KnownStorage {
		p.latestStorage[known.Member] = max(p.latestStorage[known.Member], known.Incarnation)
	}
}

// validVote returns the vote of a member in the current phase, or nil if there is none or it comes from lost storage.
func (p *proposal) validVote(m MemberID) *Message {
	if v := p.votes[m]; v != nil && v.StorageIncarnation == p.latestStorage[m] {
		return v
	}
	return nil
}

// hasQuorum reports whether a quorum of each group has voted for the proposal.
func (p *proposal) hasQuorum() bool {
	for _, g := range p.groups {
		votes := 0
		for _, m := range g {
			if p.validVote(m) != nil {
				votes++
			}
		}
		if votes < g.quorum() {
			return false
		}
	}
	return true
}

// cannotReachQuorum reports whether in some group too few members for a quorum are left, because the others have rejected the ballot or
// lost their storage.
func (p *proposal) cannotReachQuorum() bool {
	for _, g := range p.groups {
		unavailable := 0
		for _, m := range g {
			if p.rejections[m] || p.votes[m] != nil && p.validVote(m) == nil {
				unavailable++
			}
		}
		if len(g)-unavailable < g.quorum() {
			return true
		}
	}
	return false
}

// evaluatePromises decides the proposal by the promises of a quorum. It returns true if the second phase has to write the proposed record,
// and false if the proposal ends at once.
func (p *proposal) evaluatePromises(now float64) bool {
	summary := p.summarizePromises()
	if summary.exists {
		summary.ageMs += now - p.phaseStartedAt
	}
	p.ageMs, p.unchangedMs = summary.ageMs, summary.unchangedMs
	switch p.kind {
	case claimProposal:
		return p.evaluateClaim(summary)
	case settleProposal:
		return p.evaluateSettlement(summary)
	default:
		p.proposed, p.decision = summary.record, DecisionNoQuorum
		if summary.exists {
			p.decision = DecisionGranted
		}
		return summary.exists
	}
}

func (p *proposal) evaluateClaim(summary promiseSummary) bool {
	p.decision, p.proposed, p.waitMs = decideClaim(summary.record, summary.ageMs, summary.unchangedMs, p.claim, p.options)
	switch p.decision {
	case DecisionGranted:
		if summary.record.State == StateUnclaimed {
			p.ageMs = 0
		}
		return true
	case DecisionReplay:
		// A record that the whole quorum reports is agreed on. Any other record is written first, or another claim might get a different
		// answer.
		return !summary.unanimous
	}
	return false
}

func (p *proposal) evaluateSettlement(summary promiseSummary) bool {
	next, ok := p.settlement.apply(summary.record, p.claim)
	switch {
	case ok:
		p.proposed, p.decision = next, DecisionGranted
		return true
	case p.isRelease && summary.record.State == StateInFlight:
		// The record belongs to another claim, and may not be agreed on. It is written to a quorum, so that the proposer of that claim
		// finds and releases it. Otherwise two releases that each find only the record of the other claim would leave an operation in
		// flight that nobody executes.
		p.proposed, p.decision = summary.record, DecisionUnknown
		return true
	}
	p.decision = DecisionUnknown
	return false
}

// promiseSummary summarizes the promises of a quorum for a key.
type promiseSummary struct {
	record      Record // the one with the highest accepted ballot
	exists      bool
	unanimous   bool // all promises report this record
	ageMs       float64
	unchangedMs float64
}

func (p *proposal) summarizePromises() promiseSummary {
	latest, ageMs := p.latestPromise()
	if latest == nil {
		return promiseSummary{}
	}
	summary := promiseSummary{record: latest.Record, exists: true, unanimous: true, ageMs: ageMs}
	for _, m := range p.groups.members() {
		v := p.validVote(m)
		switch {
		case v == nil:
		case v.HasRecord && v.AcceptedBallot == latest.AcceptedBallot:
			summary.unchangedMs = max(summary.unchangedMs, v.UnchangedMs)
		default:
			summary.unanimous = false
		}
	}
	return summary
}

// latestPromise returns the promise with the highest accepted ballot, or nil if no promise has a record. ageMs is the greatest age of any
// record.
func (p *proposal) latestPromise() (latest *Message, ageMs float64) {
	for _, m := range p.groups.members() {
		v := p.validVote(m)
		if v == nil || !v.HasRecord {
			continue
		}
		ageMs = max(ageMs, v.AgeMs)
		if latest == nil || latest.AcceptedBallot.less(v.AcceptedBallot) {
			latest = v
		}
	}
	return latest, ageMs
}
