// Package transient tells failures of system calls that may be over in a moment from others, and makes such calls again.
package transient

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// retryInterval is the time between two tries of a call.
const retryInterval = 20 * time.Millisecond

// errnos are those that Linux documents for open(2), socket(2), connect(2) and dup(2) where the machine is short of something for the moment,
// where a call was interrupted, and where a device failed.
var errnos = [...]error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR, syscall.EIO,
}

// Is reports whether an error may be over in a moment.
func Is(err error) bool {
	return slices.ContainsFunc(errnos[:], func(errno error) bool { return errors.Is(err, errno) })
}

// Retry makes a call, and makes it again as long as its error may be over in a moment, for so long from the first failure on. It returns the
// last error.
func Retry(patience time.Duration, call func() error) error {
	return RetryIf(patience, Is, call)
}

// RetryIf is Retry for errors of the caller's choice.
func RetryIf(patience time.Duration, mayPass func(error) bool, call func() error) error {
	err := call() // may have waited for long
	for deadline := time.Now().Add(patience); mayPass(err) && time.Now().Before(deadline); err = call() {
		time.Sleep(retryInterval)
	}
	return err
}
