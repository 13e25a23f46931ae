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

// A call is retried until it succeeds, fails permanently, or the timeout is over.
func TestRetry(t *testing.T) {
	transientErr := fmt.Errorf("reading: %w", &os.PathError{Op: "open", Path: "f", Err: syscall.ENFILE})
	permanentErr := os.ErrNotExist
	for name, c := range map[string]struct {
		failures int // transient ones, before the last result
		last     error
		want     error
		calls    int
	}{
		"success":                     {0, nil, nil, 1},
		"success after retries":       {3, nil, nil, 4},
		"permanent error":             {0, permanentErr, permanentErr, 1},
		"permanent error after retry": {2, permanentErr, permanentErr, 3},
		"timeout":                     {1000, nil, syscall.ENFILE, 6},
	} {
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			err := Retry(5*retryInterval-time.Millisecond, func() error {
				if calls++; calls <= c.failures {
					return transientErr
				}
				return c.last
			})
			if !errors.Is(err, c.want) || calls != c.calls {
				t.Errorf("%s: %v after %d calls, want %v after %d", name, err, calls, c.want, c.calls)
			}
		})
	}
}
