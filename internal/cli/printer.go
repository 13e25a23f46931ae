// Package cli prints the results of commands. The programs share it.
package cli

import (
	"fmt"
	"io"

	"mintspring/internal/config/tomlfile"
)

// Printer writes formatted text until a write fails, and keeps that error.
type Printer struct {
	w   io.Writer
	err error
}

// NewPrinter returns a Printer that writes to w.
func NewPrinter(w io.Writer) *Printer { return &Printer{w: w} }

// Printf writes formatted text, unless an earlier write has failed.
func (p *Printer) Printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// Err returns the error of the first write that failed.
func (p *Printer) Err() error { return p.err }

// PrintFileErrors prints the errors of reading files; an error may be nil. If any is not nil, it returns an error with their number.
func (p *Printer) PrintFileErrors(errs ...error) error {
	unusable := 0
	for _, err := range errs {
		if err != nil {
			unusable++
			p.Printf("%v\n", err)
		}
	}
	if unusable > 0 {
		return fmt.Errorf("%d of the files cannot be used", unusable)
	}
	return nil
}

// PrintDeprecated prints a line for each deprecated name that a file uses.
func (p *Printer) PrintDeprecated(file string, deprecations []tomlfile.Deprecation) {
	for _, d := range deprecations {
		p.Printf("%s:%d: %s is deprecated, use %s\n", file, d.Line, d.Old, d.New)
	}
}
