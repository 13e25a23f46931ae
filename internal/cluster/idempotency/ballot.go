package idempotency

import "math"

// Ballot orders the proposals for one key. Ballots are unique: each contains its claim, and a claim uses a higher round for each proposal.
type Ballot struct {
	Round uint32
	Claim ClaimID
}

// less reports whether b is ordered before other.
func (b Ballot) less(other Ballot) bool {
	switch {
	case b.Round != other.Round:
		return b.Round < other.Round
	case b.Claim.Member != other.Claim.Member:
		return b.Claim.Member < other.Claim.Member
	case b.Claim.Incarnation != other.Claim.Incarnation:
		return b.Claim.Incarnation < other.Claim.Incarnation
	}
	return b.Claim.Number < other.Claim.Number
}

// next returns the ballot of the same claim in the next round.
func (b Ballot) next() Ballot { return Ballot{b.Round + 1, b.Claim} }

// lastBallot returns the greatest ballot of a round.
func lastBallot(round uint32) Ballot {
	return Ballot{Round: round, Claim: ClaimID{Member: math.MaxUint16, Incarnation: math.MaxUint64, Number: math.MaxUint64}}
}
