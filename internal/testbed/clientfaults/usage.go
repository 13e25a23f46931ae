package clientfaults

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// usageInterval is the time between two readings of a process's usage.
const usageInterval = 20 * time.Millisecond

// Usage is what a process used at most.
type Usage struct {
	PeakMB      float64 // resident memory
	Descriptors int
}

// WatchUsage reads the usage of a process until the context ends. The returned function waits for that and returns the maximum.
func WatchUsage(ctx context.Context, processID int) func() Usage {
	var peak Usage
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			peak.PeakMB = max(peak.PeakMB, residentMB(processID))
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", processID)); err == nil {
				peak.Descriptors = max(peak.Descriptors, len(entries))
			}
			time.Sleep(usageInterval)
		}
	})
	return func() Usage {
		running.Wait()
		return peak
	}
}

// residentMB returns the resident memory of a process, or 0 if it has ended.
func residentMB(processID int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", processID))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	n, err := strconv.Atoi(kilobytes)
	if err != nil {
		return 0
	}
	return float64(n) / 1024
}
