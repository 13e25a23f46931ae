package hotrestart

import (
	"testing"
	"time"

	"mintspring/internal/clock"
)

// TestClockNow: the predecessor's clock advances by monotonic time while the state is transferred, whatever the wall clock does. If the state
// has no valid monotonic time, as from another build, ClockNow returns the clock as it was sent.
func TestClockNow(t *testing.T) {
	const predecessorTime = 1.7e12
	s := State{Clock: predecessorTime, Monotonic: clock.Monotonic()}
	if s.Monotonic == 0 {
		t.Fatal("the system has no monotonic clock")
	}
	time.Sleep(50 * time.Millisecond)
	if elapsed := s.ClockNow() - predecessorTime; elapsed < 50 || elapsed > 5000 {
		t.Errorf("after 50 ms the clock is %.0f ms later", elapsed)
	}
	for _, s := range []State{{Clock: predecessorTime}, {Clock: predecessorTime, Monotonic: clock.Monotonic() + 1e9}} {
		if now := s.ClockNow(); now != predecessorTime {
			t.Errorf("with %+v the clock is %.0f", s, now)
		}
	}
	if now := (&State{Monotonic: 1}).ClockNow(); now != 0 {
		t.Errorf("without a clock ClockNow returns %.0f", now)
	}
}
