// Package logrecorder records the log of a node or a process, for tests that wait for a line. Only test files may import it.
package logrecorder

import (
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// waitTimeout is how long WaitFor waits for a line. It is generous because machines that run tests may be busy.
	waitTimeout = 10 * time.Second
	// pollInterval is how often WaitFor searches the log.
	pollInterval = 2 * time.Millisecond
)

// Recorder is an io.Writer that can be read while it is written to. The zero value is ready to use. Its methods may be called from any
// goroutine, except for WaitFor.
type Recorder struct {
	mu   sync.Mutex // guards text
	text strings.Builder
}

// Write appends to the recorded log. It never fails.
func (r *Recorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

// String returns all that has been logged so far.
func (r *Recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// WaitFor waits until a text has been logged, and fails the test after waitTimeout. It must be called from the goroutine of the test.
func (r *Recorder) WaitFor(t *testing.T, text string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !strings.Contains(r.String(), text); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%q was not logged within %v. The log is:\n%s", text, waitTimeout, r)
		}
	}
}
