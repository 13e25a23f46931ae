package main

import (
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"mintspring/internal/commandalias"
)

// TestDeprecatedNames checks that deprecated names on the command line are replaced by the current ones, and that the result is a valid
// command.
func TestDeprecatedNames(t *testing.T) {
	for _, c := range []struct {
		old, new string
		replaced []commandalias.Replacement
	}{
		{"", "", nil},
		{"run --operator book", "run --operator book", nil},
		{"--config state", "--config state", nil},
		{"version", "version", nil},
		{"peers :1 --json", "peers :1 --json", nil},
		{"state show f", "snapshot show f", []commandalias.Replacement{{Old: "state", New: "snapshot"}}},
		{"state check state --config c", "snapshot check state --config c", []commandalias.Replacement{{Old: "state", New: "snapshot"}}},
		{"snapshot show f", "snapshot show f", nil},
		{"roll show :1", "rolling-restart show :1", []commandalias.Replacement{{Old: "roll", New: "rolling-restart"}}},
		{"roll go-on :1", "rolling-restart resume :1", []commandalias.Replacement{{Old: "roll", New: "rolling-restart"}, {Old: "go-on", New: "resume"}}},
		{
			"roll start :1 --servers go-on,b --most 2", "rolling-restart start :1 --servers go-on,b --max-unavailable 2",
			[]commandalias.Replacement{{Old: "roll", New: "rolling-restart"}, {Old: "--most", New: "--max-unavailable"}},
		},
		{
			"rolling-restart start :1 --servers a --most=2", "rolling-restart start :1 --servers a --max-unavailable=2",
			[]commandalias.Replacement{{Old: "--most", New: "--max-unavailable"}},
		},
		{"council found --operator f", "consensus init --operator f", []commandalias.Replacement{{Old: "council", New: "consensus"}, {Old: "found", New: "init"}}},
		{"council take-in :1 2 1", "consensus rejoin :1 2 1", []commandalias.Replacement{{Old: "council", New: "consensus"}, {Old: "take-in", New: "rejoin"}}},
		{"council add :1 4", "consensus add :1 4", []commandalias.Replacement{{Old: "council", New: "consensus"}}},
		{"council drop :1 2", "consensus remove :1 2", []commandalias.Replacement{{Old: "council", New: "consensus"}, {Old: "drop", New: "remove"}}},
		{"book show :1", "idempotency show :1", []commandalias.Replacement{{Old: "book", New: "idempotency"}}},
		{"book found --operator f --member 2", "idempotency init --operator f --member 2", []commandalias.Replacement{{Old: "book", New: "idempotency"}, {Old: "found", New: "init"}}},
		{"book verify found", "idempotency verify found", []commandalias.Replacement{{Old: "book", New: "idempotency"}}},
		{"book restore a b --all-lost", "idempotency restore a b --all-lost", []commandalias.Replacement{{Old: "book", New: "idempotency"}}},
	} {
		resolved, replaced := aliases.Resolve(strings.Fields(c.old))
		if got := strings.Join(resolved, " "); got != c.new || !slices.Equal(replaced, c.replaced) {
			t.Errorf("%q is %q with %v replaced, want %q with %v", c.old, got, replaced, c.new, c.replaced)
		}
		parser, err := kong.New(&commandLine{}, kong.Exit(func(int) { t.Errorf("%q ends the program", c.old) }))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parser.Parse(resolved); err != nil {
			t.Errorf("%q: %v", c.old, err)
		}
	}
}
