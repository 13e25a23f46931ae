package hotrestart

import (
	"testing"
	"time"

	"mintspring/internal/clock"
)

// The clock of a predecessor goes on while its state is on its way, whatever the wall clock does. Without the machine's monotonic time, as
// from another build, it is what it was.
func TestClockNow(t *testing.T) {
	const hourAgo = 1.7e12
	s := State{Clock: hourAgo, Monotonic: clock.Monotonic()}
	if s.Monotonic == 0 {
		t.Fatal("the system has no monotonic clock")
	}
	time.Sleep(50 * time.Millisecond)
	if late := s.ClockNow() - hourAgo; late < 50 || late > 5000 {
		t.Errorf("after 50 ms it is %.0f ms later", late)
	}
	for _, s := range []State{{Clock: hourAgo}, {Clock: hourAgo, Monotonic: clock.Monotonic() + 1e9}} {
		if now := s.ClockNow(); now != hourAgo {
			t.Errorf("with %+v it is %.0f", s, now)
		}
	}
	if now := (&State{Monotonic: 1}).ClockNow(); now != 0 {
		t.Errorf("without a clock it is %.0f", now)
	}
}
