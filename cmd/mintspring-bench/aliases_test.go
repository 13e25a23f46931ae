package main

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"mintspring/internal/commandalias"
)

// newTestParser returns a parser of the program's command line that fails the test instead of exiting the program.
func newTestParser(t *testing.T) *kong.Kong {
	t.Helper()
	return newParser(&commandLine{}, kong.Exit(func(int) { t.Error("the parser exits the program") }))
}

// Command lines with former names resolve to the current names, and the program's parser accepts the resolved lines.
func TestAliases(t *testing.T) {
	for _, test := range []struct {
		old, want string
		replaced  int
	}{
		{"serve --node", "serve --node", 0},
		{"ask greeting good --workload write --mark sale-1", "request greeting good --class write --idempotency-key sale-1", 3},
		{"load 127.0.0.1:7379 --workload=read --for 5s", "load 127.0.0.1:7379 --class=read --duration 5s", 2},
		{"run a.toml --traced kill", "run a.toml --trace-syscalls kill", 1},
		{"run a.toml --traced=refuse", "run a.toml --trace-syscalls=deny", 2},
		{"run a.toml --traced refuse --out refuse", "run a.toml --trace-syscalls deny --out refuse", 2},
		{"emulate a.toml --boxes 10 --against seer", "simulate a.toml --servers 10 --against oracle", 3},
		{"simulate a.toml --against=random,seer,hash", "simulate a.toml --against=random,oracle,hash", 1},
		{"sweep a.toml --from 1 --to 2 --against seer", "sweep a.toml --from 1 --to 2 --against oracle", 1},
		{"knee a.toml --from 1 --to 2 --hold 20s", "sweep a.toml --from 1 --to 2 --step-duration 20s", 2},
		{"hunt --budget 3 --from 2 --tries 5", "search --budget 3 --from 2 --shrink-attempts 5", 2},
		{"leases --deaths --blind --for 4s --length 400ms", "leases --kill-holders --unchecked --duration 4s --ttl 400ms", 4},
		{"copies --members 3 --slow 1ms --calm --for 4s", "idempotency --replicas 3 --sync-delay 1ms --no-faults --duration 4s", 5},
		{"copies --off --emulate", "idempotency --no-records --simulate", 3},
		{"mesh --lies --for 1m --nodes 10", "gossip --false-evidence --duration 1m --nodes 10", 3},
		{"echoes a.toml --late 3ms --length 10s --real", "duplicates a.toml --delays 3ms --duration 10s --real", 3},
		{"moves --for 3s", "adjustments --duration 3s", 2},
		{"drains --rounds 2", "drains --rounds 2", 0},
		{"dynamic bin/mintspring", "check-dynamic bin/mintspring", 1},
		{"names", "figures", 1},
		{"node --policy hash", "baseline-node --policy hash", 1},
		{"part x", "lease-process x", 1},
		{"seller x", "idempotency-process x", 1},
		{"follow 127.0.0.1:1 --streams 2 --changes=true", "proxies 127.0.0.1:1 --streams 2 --incremental=true", 2},
		{"traced refuse bin/mintspring run --for x", "trace-syscalls deny bin/mintspring run --for x", 2},
	} {
		resolved, replaced := aliases.Resolve(strings.Fields(test.old))
		if got := strings.Join(resolved, " "); got != test.want || len(replaced) != test.replaced {
			t.Errorf("%q: %q with %v replaced, want %q with %d", test.old, got, replaced, test.want, test.replaced)
		}
		if _, err := newTestParser(t).Parse(resolved); err != nil {
			t.Errorf("%q: %v", strings.Join(resolved, " "), err)
		}
	}
}

// flagsByCommand returns the flags of each command of the program, with their dashes.
func flagsByCommand(t *testing.T) map[string][]string {
	t.Helper()
	flags := map[string][]string{}
	for _, command := range newTestParser(t).Model.Children {
		flags[command.Name] = nil
		for _, flag := range command.Flags {
			flags[command.Name] = append(flags[command.Name], "--"+flag.Name)
		}
	}
	return flags
}

// checkAliasTargets checks that the current names of an alias table exist and that the former names do not.
func checkAliasTargets(t *testing.T, context string, names commandalias.Renames, existing []string) {
	t.Helper()
	for former, current := range names {
		if !slices.Contains(existing, current) {
			t.Errorf("%s, alias %s: its target %s does not exist", context, former, current)
		}
		if slices.Contains(existing, former) {
			t.Errorf("%s: alias %s hides an existing name", context, former)
		}
	}
}

// Each alias resolves to an existing command or flag and does not hide another one.
func TestAliasTargets(t *testing.T) {
	flags := flagsByCommand(t)
	checkAliasTargets(t, "commands", aliases.Commands, slices.Collect(maps.Keys(flags)))
	for command, names := range aliases.Flags {
		checkAliasTargets(t, command, names, flags[command])
	}
	for command, values := range aliases.Values {
		for flag := range values {
			if !slices.Contains(flags[command], flag) {
				t.Errorf("values of %s %s: the flag does not exist", command, flag)
			}
		}
	}
}

// Each former name of a command is replaced by an existing command, with one line of warning. No other argument changes.
func TestFormerCommands(t *testing.T) {
	var commands []string
	for _, node := range newTestParser(t).Model.Children {
		commands = append(commands, node.Name)
	}
	for former, current := range aliases.Commands {
		var warnings strings.Builder
		got := aliases.ResolveWithWarnings(programName, []string{former, "--seeds", "emulate"}, &warnings)
		if want := []string{current, "--seeds", "emulate"}; !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", former, got, want)
		}
		if text := warnings.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, current) {
			t.Errorf("%s: the warning is %q", former, text)
		}
		if !slices.Contains(commands, current) || slices.Contains(commands, former) {
			t.Errorf("want the command %s and not its former name %s among %v", current, former, commands)
		}
	}
	for _, args := range [][]string{nil, {"run", "emulate"}, {"--help"}} {
		var warnings strings.Builder
		if got := aliases.ResolveWithWarnings(programName, args, &warnings); !slices.Equal(got, args) || warnings.Len() > 0 {
			t.Errorf("%v: %v, %q", args, got, warnings.String())
		}
	}
}
