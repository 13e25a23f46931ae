//go:build !(linux && (amd64 || arm64))

package syscalltrace

import "errors"

// Run returns an error that wraps errors.ErrUnsupported: tracing needs Linux on amd64 or arm64.
func Run([]string, Mode) error { return errors.ErrUnsupported }

// RunWithFaults returns an error that wraps errors.ErrUnsupported, as Run does.
func RunWithFaults([]string, *FaultPlan) error { return errors.ErrUnsupported }
