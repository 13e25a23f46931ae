package cli

import (
	"errors"
	"strings"
	"testing"

	"mintspring/internal/config/tomlfile"
)

var errWrite = errors.New("disk full")

// failingWriter accepts one write and then fails.
type failingWriter struct{ writes int }

func (w *failingWriter) Write(b []byte) (int, error) {
	if w.writes++; w.writes > 1 {
		return 0, errWrite
	}
	return len(b), nil
}

// TestPrinterKeepsTheFirstError checks that nothing more is written after a failed write, and that its error is kept.
func TestPrinterKeepsTheFirstError(t *testing.T) {
	writer := &failingWriter{}
	p := NewPrinter(writer)
	for range 3 {
		p.Printf("%d\n", 1)
	}
	if !errors.Is(p.Err(), errWrite) || writer.writes != 2 {
		t.Errorf("%v after %d writes", p.Err(), writer.writes)
	}
}

// TestPrintFileErrorsAndWarnings checks that errors of files are printed and counted, and that deprecated names are printed with their
// lines.
func TestPrintFileErrorsAndWarnings(t *testing.T) {
	var out strings.Builder
	p := NewPrinter(&out)
	if err := p.PrintFileErrors(nil, nil); err != nil {
		t.Error(err)
	}
	if err := p.PrintFileErrors(errors.New("a.json: missing"), nil); err == nil || err.Error() != "1 of the files cannot be used" {
		t.Error(err)
	}
	p.PrintDeprecated("op.toml", []tomlfile.Deprecation{{Line: 3, Old: "ttl", New: "endpoint_ttl"}})
	if got := out.String(); got != "a.json: missing\nop.toml:3: ttl is deprecated, use endpoint_ttl\n" || p.Err() != nil {
		t.Errorf("printed %q, %v", got, p.Err())
	}
}
