package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestClockFollowsElapsedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		start := c.Now()
		if want := float64(time.Now().UnixMilli()); start < want-1 || start > want+1 {
			t.Errorf("the clock starts at %v, want %v", start, want)
		}
		time.Sleep(1500 * time.Microsecond)
		if elapsed := c.Now() - start; elapsed < 1.499 || elapsed > 1.501 {
			t.Errorf("%v ms elapsed, want 1.5", elapsed)
		}
	})
}

func TestDuration(t *testing.T) {
	if got := Duration(1.5); got != 1500*time.Microsecond {
		t.Errorf("got %v", got)
	}
}
