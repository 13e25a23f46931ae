// Package coreshare limits a process to a share of a processor core, as on a machine that many nodes share: work of the process then takes
// longer in proportion. The process is suspended (SIGSTOP) whenever it has used more than its share.
package coreshare

import (
	"fmt"
	"math"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two readings of the processor time.
	checkInterval = time.Millisecond
	// maxPause is the longest time for which a process is suspended without a break. It is well below the hold-up that the operators' page of
	// the standing test allows (0.15 s).
	maxPause = 40 * time.Millisecond
)

// cpuClockScheduled selects the time that a process has run in clock IDs of processes (include/linux/posix-timers.h of Linux).
const cpuClockScheduled = 2

// CPUTime returns the processor time that a process has used.
func CPUTime(pid int) (time.Duration, error) {
	var used unix.Timespec
	if err := unix.ClockGettime(^int32(pid)<<3|cpuClockScheduled, &used); err != nil {
		return 0, fmt.Errorf("reading the processor time of process %d: %w", pid, err)
	}
	return time.Duration(used.Nano()), nil
}

// Limiter limits one process until Stop is called or the process has ended.
type Limiter struct {
	process *os.Process
	share   float64

	suspended sync.Mutex // held while the process is suspended

	stopOnce sync.Once
	stopping chan struct{}
	ended    chan struct{}
}

// Limit limits a child process to a share of a core.
func Limit(process *os.Process, share float64) *Limiter {
	l := &Limiter{process: process, share: share, stopping: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

// Stop ends the limit, and resumes the process if it is suspended. It may be called more than once.
func (l *Limiter) Stop() {
	l.stopOnce.Do(func() { close(l.stopping) })
	<-l.ended
}

func (l *Limiter) run() {
	defer close(l.ended)
	before, err := CPUTime(l.process.Pid)
	excess := time.Duration(0)
	for last := time.Now(); err == nil && l.wait(checkInterval); {
		var used time.Duration
		if used, err = CPUTime(l.process.Pid); err != nil {
			return
		}
		now := time.Now()
		allowed := time.Duration(float64(now.Sub(last)) * l.share)
		excess = max(0, excess+used-before-allowed)
		before, last = used, now
		if excess > 0 && !l.suspend(l.repayTime(excess)) {
			return
		}
	}
}

// repayTime returns how long a process has to be suspended until its share amounts to an excess of processor time.
func (l *Limiter) repayTime(excess time.Duration) time.Duration {
	return min(maxPause, time.Duration(math.Round(float64(excess)/l.share)))
}

// suspend suspends the process for a while, and reports whether the limit goes on.
func (l *Limiter) suspend(pause time.Duration) bool {
	l.suspended.Lock()
	defer l.suspended.Unlock()
	if l.process.Signal(syscall.SIGSTOP) != nil {
		return false // it has ended
	}
	goesOn := l.wait(pause)
	return l.process.Signal(syscall.SIGCONT) == nil && goesOn
}

// Hold suspends the process for all of a duration, in which the limiter does not resume it.
func (l *Limiter) Hold(duration time.Duration) {
	l.suspended.Lock()
	defer l.suspended.Unlock()
	_ = l.process.Signal(syscall.SIGSTOP) // it may have ended
	time.Sleep(duration)
	_ = l.process.Signal(syscall.SIGCONT)
}

// wait waits, and reports false once Stop is called.
func (l *Limiter) wait(d time.Duration) bool {
	select {
	case <-l.stopping:
		return false
	case <-time.After(d):
		return true
	}
}
