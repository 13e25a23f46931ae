package serverstart

import (
	"reflect"
	"testing"
)

const (
	hour = 3_600_000.0
	now  = 1_000_000_000.0
)

// TestObserveUsesPlausibleStart: a listed time is used if it is plausible; otherwise the start counts as having happened now, however far
// the clocks are apart.
func TestObserveUsesPlausibleStart(t *testing.T) {
	for _, test := range []struct {
		name                string
		listed, confirmedAt float64
		want                float64
	}{
		{"long ago", 0, now - 1000, 0},
		{"clocks agree", now - 1500, now - 1000, now - 1500},
		{"the earliest plausible time", now - 1000 - maxListDelayMs, now - 1000, now - 1000 - maxListDelayMs},
		{"just before that", now - 1001 - maxListDelayMs, now - 1000, now},
		{"the node's clock is an hour ahead", now - hour, now - 1000, now},
		{"the node's clock is 40 s ahead", now - 40_000, now - 1000, now},
		{"the node's clock is an hour behind", now + hour, now - 1000, now},
		{"the node's clock is a moment behind", now + 1, now - 1000, now},
		{"discovery was down for a minute", now - 50_000, now - 60_000, now - 50_000},
		{"the first list", now - hour, NeverConfirmed(), now - hour},
		{"the first list, clock behind", now + hour, NeverConfirmed(), now},
	} {
		var tracker Tracker
		if got := tracker.Observe(now, "s", test.listed, test.confirmedAt); got != test.want {
			t.Errorf("%s: started at %.0f, want %.0f", test.name, got-now, test.want-now)
		}
	}
}

// TestStartsAreStable: the time of a start does not change until the server starts again, even across a hot restart.
func TestStartsAreStable(t *testing.T) {
	var tracker Tracker
	first := tracker.Observe(now, "s", now+hour, now)
	if later := tracker.Observe(now+9000, "s", now+hour, now+8000); later != first {
		t.Errorf("the start moved by %.0f ms", later-first)
	}
	var successor Tracker
	successor.Import(tracker.Export())
	if !reflect.DeepEqual(successor, tracker) {
		t.Errorf("imported %v, want %v", successor, tracker)
	}
	if again := successor.Observe(now+20_000, "s", now+hour+20_000, now+19_000); again != now+20_000 {
		t.Errorf("the next start is at %.0f", again-now)
	}
	successor.Forget("s")
	if len(successor.Export()) != 0 {
		t.Error("the start is not forgotten")
	}
}
