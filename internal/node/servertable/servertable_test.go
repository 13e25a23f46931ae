package servertable

import (
	"fmt"
	"testing"

	"mintspring/internal/fleet"
)

// TestSlotsAreReused: the slot of a server is reused once the server has been gone for longer than the retention, and not before, because
// attempts may still be in flight. A server that comes back before its slot is reused gets the same slot.
func TestSlotsAreReused(t *testing.T) {
	table := New(1000)
	a, added, _ := table.Assign(0, "a")
	table.SetState(0, a, fleet.Ready)
	if !added || table.State(a) != fleet.Ready {
		t.Fatal("a is not ready")
	}
	table.SetState(100, a, fleet.Gone)
	if b, _, replaced := table.Assign(1100, "b"); b == a || replaced != "" {
		t.Error("b has the slot of a server that has not been gone for longer than the retention")
	}
	if again, added, _ := table.Assign(1100, "a"); again != a || added {
		t.Error("a got another slot when it came back")
	}
	c, added, replaced := table.Assign(1101, "c")
	if c != a || !added || replaced != "a" || table.SlotByID["c"] != a {
		t.Errorf("c has slot %d and replaced %q", c, replaced)
	}
	if _, known := table.SlotByID["a"]; known {
		t.Error("a still has a slot")
	}
	for i := range 100 {
		id, _, _ := table.Assign(float64(2000*i+4000), fmt.Sprint(i))
		table.SetState(float64(2000*i+4000), id, fleet.Ready)
		table.SetState(float64(2000*i+4001), id, fleet.Gone)
	}
	if len(table.slots) > 3 {
		t.Errorf("%d slots for one server at a time", len(table.slots))
	}
	if missing := table.Missing([]fleet.Endpoint{{ID: 0}}); len(missing) != len(table.slots)-1 {
		t.Errorf("missing: %v", missing)
	}
}

// The slot of a server is not reused while a request in flight has an attempt there, however long the server has been gone.
func TestSlotsOfAttemptsAreNotReused(t *testing.T) {
	table := New(1000)
	a, _, _ := table.Assign(0, "a")
	request := fleet.Request{Attempts: [fleet.MaxAttempts]fleet.Attempt{{Server: a}, {Server: a}}, NumAttempts: 2}
	table.AddAttempt(a)
	table.AddAttempt(a)
	table.SetState(0, a, fleet.Gone)
	if b, _, _ := table.Assign(1e6, "b"); b == a {
		t.Error("b has the slot of a server at which a request in flight has an attempt")
	}
	table.ReleaseAttempts(&request)
	if c, _, replaced := table.Assign(1e6, "c"); c != a || replaced != "a" {
		t.Errorf("c has slot %d and replaced %q", c, replaced)
	}
}

// Servers that leave and come back again and again leave no records of that behind, and a slot is reused after its server has been gone for long, not
// after it was gone for the first time.
func TestServersThatComeBackAgainAndAgain(t *testing.T) {
	table := New(1000)
	a, _, _ := table.Assign(0, "a")
	table.SetState(0, a, fleet.Ready)
	now := 0.0
	for range 1000 {
		now += 2000
		table.SetState(now, a, fleet.Gone)
		table.SetState(now+1, a, fleet.Ready)
	}
	if len(table.removals) > 4 {
		t.Errorf("%d removals are kept of one server", len(table.removals))
	}
	table.SetState(now+2, a, fleet.Gone)
	if b, _, _ := table.Assign(now+1001, "b"); b == a {
		t.Error("b has the slot of a server that has been gone for less than the retention")
	}
	if c, _, _ := table.Assign(now+1003, "c"); c != a {
		t.Errorf("c has slot %d, want that of a", c)
	}
}
