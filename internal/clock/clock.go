// Package clock is the time of a node: Unix milliseconds at its start plus what has passed since by the monotonic clock. So it compares
// with the start times of servers in the endpoint list, and no step of the wall clock is seen.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the one clock of a node. It is safe for concurrent use.
type Clock struct {
	start   time.Time
	startMs float64 // as Unix ms
}

// New starts a clock.
func New() *Clock {
	now := time.Now()
	return &Clock{start: now, startMs: float64(now.UnixMicro()) / 1000} //nolint:forbidigo // read once; from here on the monotonic clock counts
}

// StartAt starts a clock at a time in Unix milliseconds: the clock of another process goes on.
func StartAt(ms float64) *Clock { return &Clock{start: time.Now(), startMs: ms} }

// Now is the time in Unix milliseconds.
func (c *Clock) Now() float64 {
	return c.startMs + float64(time.Since(c.start))/float64(time.Millisecond)
}

// Monotonic returns the time of the system's monotonic clock in milliseconds, which all processes of a machine have in common until it starts
// anew; 0: the system does not say.
func Monotonic() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return float64(t.Nano()) / float64(time.Millisecond)
}

// Duration converts milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
