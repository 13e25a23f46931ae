package cluster

import "testing"

// Incarnations are ordered by start time, then by random part, and Next is greater than every incarnation with the same start time.
func TestIncarnationOrder(t *testing.T) {
	const start = 1_700_000_000_000
	first, second := NewIncarnation(start, 0), NewIncarnation(start, 0.9999)
	later := NewIncarnation(start+1, 0)
	if first >= second || second >= later {
		t.Errorf("%d, %d and %d are not in order", first, second, later)
	}
	if first.Next() != later || second.Next() != later {
		t.Errorf("Next is %d after %d and %d, want %d", second.Next(), first, second, later)
	}
	if got := NewIncarnation(-5, 0); got != 0 {
		t.Errorf("a start before 1970 gives incarnation %d, want 0", got)
	}
}

// Consecutive incarnations have different tags.
func TestIncarnationTag(t *testing.T) {
	incarnation := NewIncarnation(1_700_000_000_000, 0.5)
	seen := map[uint16]bool{}
	for range 1000 {
		if seen[incarnation.Tag()] {
			t.Fatalf("%d has the tag of an earlier incarnation", incarnation)
		}
		seen[incarnation.Tag()] = true
		incarnation = incarnation.Next()
	}
}
