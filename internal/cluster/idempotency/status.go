package idempotency

// Counts counts the operations and messages of a member since its start.
type Counts struct {
	Claims             [DecisionUnknown + 1]int `json:"claims"` // by decision
	Settlements        int                      `json:"settled"`
	FailedSettlements  int                      `json:"settlements_failed"`
	BallotRetries      int                      `json:"ballots_again"`
	RepairedRecords    int                      `json:"mended"`
	CorruptDatagrams   int                      `json:"spoilt"`      // datagrams that could not be decoded
	ForeignReplicaSets int                      `json:"other_lists"` // messages of members that share no replica set
	ReceivedMessages   int                      `json:"messages"`
}

// Status is the state of a member, as shown to operators.
type Status struct {
	Self               MemberID           `json:"self"`
	StorageIncarnation StorageIncarnation `json:"folder"`
	State              string             `json:"state"`
	Records            int                `json:"records"`
	ByState            map[string]int     `json:"by_state"` // number of records in each state
	Promises           int                `json:"promises"`
	PromiseFloor       uint32             `json:"floor"` // ballots of this round or a lower one are rejected for every key
	GrantedClaims      int                `json:"out"`   // granted to this member and not settled yet
	OpenProposals      int                `json:"asking"`
	PendingRepairs     int                `json:"to_mend"`
	CaughtUpWith       []MemberID         `json:"caught_up_with,omitempty"`
	ConsistentMs       float64            `json:"same_for_ms"`                 // how long scans have needed no repair; -1: the last scan needed some, or no scan has ended
	UnresponsivePeers  []MemberID         `json:"not_compared_with,omitempty"` // members that did not answer in the last scan
	Counts             Counts             `json:"counts"`
	Members            []MemberStatus     `json:"members"`
}

// MemberStatus is the latest known storage incarnation of a member.
type MemberStatus struct {
	Member             MemberID           `json:"member"`
	StorageIncarnation StorageIncarnation `json:"folder"`
}

// Status returns the state of the member.
func (c *Core) Status(now float64) Status {
	a := c.acceptor
	s := Status{
		Self:               c.config.Self,
		StorageIncarnation: c.config.StorageIncarnation,
		State:              c.State(),
		Records:            len(a.records),
		ByState:            map[string]int{},
		Promises:           len(a.promises),
		PromiseFloor:       a.promiseFloor,
		GrantedClaims:      len(c.proposer.grantedClaims),
		OpenProposals:      len(c.proposer.proposals),
		PendingRepairs:     len(c.antiEntropy.repairQueue),
		ConsistentMs:       -1,
		UnresponsivePeers:  c.antiEntropy.unresponsivePeers(),
		Counts:             c.counts,
	}
	if since := c.antiEntropy.consistentSince; since > 0 {
		s.ConsistentMs = now - since
	}
	for _, r := range a.records {
		s.ByState[r.record.State.String()]++
	}
	for _, m := range sortedMembers(a.catchUps) {
		if a.catchUps[m].done {
			s.CaughtUpWith = append(s.CaughtUpWith, m)
		}
	}
	for _, m := range sortedMembers(a.knownStorage) {
		s.Members = append(s.Members, MemberStatus{m, a.knownStorage[m]})
	}
	return s
}

// State describes whether this member stores records, for the log and the admin port.
func (c *Core) State() string {
	switch {
	case c.config.StorageIncarnation == 0:
		return "asks only"
	case c.acceptor.storageFailed:
		return "its disk has failed: asks only"
	case c.acceptor.superseded:
		return "another process has its number"
	case !c.acceptor.caughtUp:
		return "catches up"
	}
	return "holds"
}
