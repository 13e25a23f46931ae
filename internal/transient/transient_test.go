package transient

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// A call is made again until it succeeds, fails for good, or the patience is over.
func TestRetry(t *testing.T) {
	shortage := fmt.Errorf("reading: %w", &os.PathError{Op: "open", Path: "f", Err: syscall.ENFILE})
	final := os.ErrNotExist
	for name, c := range map[string]struct {
		failures int // before the last result
		last     error
		want     error
		calls    int
	}{
		"at once":       {0, nil, nil, 1},
		"in the end":    {3, nil, nil, 4},
		"for good":      {0, final, final, 1},
		"for good then": {2, final, final, 3},
		"too long":      {1000, nil, syscall.ENFILE, 6},
	} {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			err := Retry(5*retryInterval-time.Millisecond, func() error {
				if calls++; calls <= c.failures {
					return shortage
				}
				return c.last
			})
			if !errors.Is(err, c.want) || calls != c.calls {
				t.Errorf("%s: %v after %d calls, want %v after %d", name, err, calls, c.want, c.calls)
			}
		})
	}
}
