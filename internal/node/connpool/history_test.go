package connpool

import (
	"testing"

	"mintspring/internal/fleet"
)

// Guards against a second copy of a value that is not recognized because its server put a newer load report into it.
func TestDigestOfValueIgnoresLoadReport(t *testing.T) {
	older, newer := fleet.NewLoadReport(), fleet.NewLoadReport()
	older.Queue, newer.Queue = 1, 2
	value := []byte("the value of a key")
	if DigestOf(fleet.Completed, value, 0, &older) != DigestOf(fleet.Completed, value, 0, &newer) {
		t.Error("the digest of a value depends on the load report")
	}
	if DigestOf(fleet.Missed, nil, 0, &older) == DigestOf(fleet.Missed, nil, 0, &newer) {
		t.Error("misses with different load reports have one digest")
	}
}
