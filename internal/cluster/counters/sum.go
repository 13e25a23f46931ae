package counters

import (
	"cmp"
	"slices"

	"mintspring/internal/cluster"
)

// Sum is the sum of one counter over the nodes of the fleet.
type Sum struct {
	Value       int     `json:"value"`
	Nodes       int     `json:"nodes"`  // number of nodes whose values are included
	OldestAgeMs float64 `json:"oldest"` // age of the oldest included value
}

// LabeledSum is the sum of a labeled counter.
type LabeledSum struct {
	Label uint32 `json:"name"`
	Name  string `json:"text,omitempty"` // the name whose hash is the label, if this node knows it
	Sum
}

// Sum returns the sum of a counter over the members of the fleet.
func (s *Store) Sum(now float64, key Key, isMember func(cluster.NodeID) bool) (sum Sum) {
	for i := range s.nodes {
		latest := s.nodes[i].samples[key]
		if latest == nil || now-latest.observedAt >= s.ttlMs || !isMember(cluster.NodeID(i)) {
			continue
		}
		sum.Value += int(latest.value)
		sum.Nodes++
		sum.OldestAgeMs = max(sum.OldestAgeMs, now-latest.observedAt)
	}
	return sum
}

// Sums returns the sums of all labeled counters of a kind in the order of Compare.
func (s *Store) Sums(now float64, kind uint8, isMember func(cluster.NodeID) bool) (sums []LabeledSum) {
	seen := map[uint32]bool{}
	for i := range s.nodes {
		for _, key := range s.nodes[i].order {
			if key.Kind != kind || seen[key.Label] {
				continue
			}
			seen[key.Label] = true
			if sum := s.Sum(now, key, isMember); sum.Nodes > 0 {
				sums = append(sums, LabeledSum{Label: key.Label, Sum: sum})
			}
		}
	}
	slices.SortFunc(sums, LabeledSum.Compare)
	return sums
}

// Compare orders labeled counters by value, the greatest first, and then by label.
func (l LabeledSum) Compare(other LabeledSum) int {
	return cmp.Or(cmp.Compare(other.Value, l.Value), cmp.Compare(l.Label, other.Label))
}
