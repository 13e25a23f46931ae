// Package clock provides a node's time: Unix milliseconds at its start, advanced by the monotonic clock. Its times can be compared with the
// start times of servers in the endpoint list, and steps of the wall clock do not affect it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a node's clock. It is safe for concurrent use.
type Clock struct {
	start   time.Time
	startMs float64 // Unix ms
}

// New returns a clock that starts at the current wall time.
func New() *Clock {
	now := time.Now()
	return &Clock{start: now, startMs: float64(now.UnixMicro()) / 1000} //nolint:forbidigo // read once; afterwards the monotonic clock is used
}

// StartAt returns a clock that starts at a given time in Unix milliseconds, to continue the clock of another process.
func StartAt(ms float64) *Clock { return &Clock{start: time.Now(), startMs: ms} }

// Now returns the time in Unix milliseconds.
func (c *Clock) Now() float64 {
	return c.startMs + float64(time.Since(c.start))/float64(time.Millisecond)
}

// Monotonic returns the system's monotonic clock in milliseconds, or 0 if it cannot be read. All processes on a machine share this clock
// until the next boot.
func Monotonic() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return float64(t.Nano()) / float64(time.Millisecond)
}

// Duration converts milliseconds to a time.Duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
