package idempotency

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ReplicaSet lists the members that store records. The replicas of each key are chosen among them. Zones has the zone of each member,
// indexed by its number; an empty or missing string means no zone.
type ReplicaSet struct {
	Members []MemberID
	Zones   []string
}

func (s *ReplicaSet) zone(m MemberID) string {
	if int(m) < len(s.Zones) {
		return s.Zones[m]
	}
	return ""
}

// hash identifies the replica set in messages, where 0 means no replica set. In practice no replica set has the hash 0.
func (s *ReplicaSet) hash() uint32 {
	digest := xxhash.New()
	for _, m := range s.Members {
		_, _ = digest.Write([]byte{byte(m >> 8), byte(m)}) // a hash returns no error
		_, _ = digest.WriteString(s.zone(m))
		_, _ = digest.Write([]byte{0})
	}
	return uint32(digest.Sum64())
}

// candidate is a member and its score for a key.
type candidate struct {
	member MemberID
	score  uint64
}

// typicalMemberCount is the number of candidates that can be scored without an allocation.
const typicalMemberCount = 16

// replicas returns the members that store a key: those with the highest scores for it (rendezvous hashing), one of each zone first.
// Removing a member moves only its own keys.
func (s *ReplicaSet) replicas(key Key, count int) []MemberID {
	candidates := s.appendCandidates(make([]candidate, 0, typicalMemberCount), key)
	count = min(count, len(candidates))
	chosen := make([]MemberID, 0, count)
	for len(chosen) < count {
		best := bestCandidate(candidates, func(m MemberID) bool { return !s.sharesZone(m, chosen) })
		if best < 0 { // each zone has a replica already
			best = bestCandidate(candidates, func(MemberID) bool { return true })
		}
		chosen = append(chosen, candidates[best].member)
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chosen
}

func (s *ReplicaSet) appendCandidates(candidates []candidate, key Key) []candidate {
	var input [len(key) + 2]byte
	copy(input[:], key[:])
	for _, m := range s.Members {
		input[len(key)], input[len(key)+1] = byte(m>>8), byte(m)
		candidates = append(candidates, candidate{m, xxhash.Sum64(input[:])})
	}
	return candidates
}

// bestCandidate returns the index of the allowed member with the highest score, or -1 if no member is allowed. Among equal scores the
// lowest member number wins.
func bestCandidate(candidates []candidate, allowed func(MemberID) bool) int {
	best := -1
	for i, c := range candidates {
		if !allowed(c.member) {
			continue
		}
		if best < 0 || c.score > candidates[best].score || c.score == candidates[best].score && c.member < candidates[best].member {
			best = i
		}
	}
	return best
}

func (s *ReplicaSet) sharesZone(m MemberID, others []MemberID) bool {
	zone := s.zone(m)
	return zone != "" && slices.ContainsFunc(others, func(o MemberID) bool { return s.zone(o) == zone })
}

// replicaGroup lists the replicas of one key in one replica set.
type replicaGroup []MemberID

// quorum returns the number of members that form a majority.
func (g replicaGroup) quorum() int { return len(g)/2 + 1 }

// replicaGroups lists the replicas of one key in each replica set. A change of a record needs a quorum of each group.
type replicaGroups []replicaGroup

func (groups replicaGroups) contains(m MemberID) bool {
	return slices.ContainsFunc(groups, func(g replicaGroup) bool { return slices.Contains(g, m) })
}

// members returns the members of all groups, without duplicates.
func (groups replicaGroups) members() []MemberID {
	if len(groups) == 1 {
		return groups[0]
	}
	var members []MemberID
	for _, g := range groups {
		for _, m := range g {
			if !slices.Contains(members, m) {
				members = append(members, m)
			}
		}
	}
	return members
}
