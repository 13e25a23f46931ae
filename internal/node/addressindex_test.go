package node

import (
	"slices"
	"testing"

	"mintspring/internal/fleet"
)

// Servers are found at the address that they had last, in ascending order, and nothing is kept for an address that none has.
func TestAddressIndex(t *testing.T) {
	var x addressIndex
	x.move(2, "", "a")
	x.move(0, "", "a")
	x.move(1, "", "a")
	x.move(1, "a", "b")
	x.move(0, "a", "a")
	if got := x.at("a"); !slices.Equal(got, []fleet.ServerID{0, 2}) {
		t.Errorf("at a: %v", got)
	}
	if got := x.at("b"); !slices.Equal(got, []fleet.ServerID{1}) {
		t.Errorf("at b: %v", got)
	}
	x.move(0, "a", "")
	x.move(2, "a", "")
	x.move(1, "b", "")
	if len(x.slots) > 0 {
		t.Errorf("left over: %v", x.slots)
	}
}
