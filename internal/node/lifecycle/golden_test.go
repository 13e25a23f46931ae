package lifecycle

import "testing"

// TestGolden checks the texts of the phases, which are part of replies on the admin port.
func TestGolden(t *testing.T) {
	for phase, want := range map[Phase]string{Starting: "starting", Ready: "ready", Standby: "on standby", Stopping: "ending"} {
		if got := phase.String(); got != want {
			t.Errorf("phase %d is %q, want %q", phase, got, want)
		}
	}
}
