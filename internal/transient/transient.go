// Package transient recognizes transient failures of system calls and retries such calls.
package transient

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// retryInterval is the pause before each retry.
const retryInterval = 20 * time.Millisecond

// transientErrors are the errors that Linux documents for open(2), socket(2), connect(2) and dup(2) when a resource is temporarily
// exhausted, a call was interrupted, or a device failed.
var transientErrors = [...]error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EIO,
}

// Is reports whether an error is transient.
func Is(err error) bool {
	return slices.ContainsFunc(transientErrors[:], func(target error) bool { return errors.Is(err, target) })
}

// Retry calls a function and retries it while its error is transient. The timeout runs from the end of the first call. Retry returns the
// last error.
func Retry(timeout time.Duration, call func() error) error {
	return RetryIf(timeout, Is, call)
}

// RetryIf is like Retry, but retries the errors that isTransient reports.
func RetryIf(timeout time.Duration, isTransient func(error) bool, call func() error) error {
	err := call() // may block for a long time, which does not count towards the timeout
	for deadline := time.Now().Add(timeout); isTransient(err) && time.Now().Before(deadline); err = call() {
		time.Sleep(retryInterval)
	}
	return err
}
