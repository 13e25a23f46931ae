package leasetest

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"mintspring/internal/testbed/processtest"
)

// processArgument has the test program run a process of a round in place of its tests.
const processArgument = "lease-process"

const testTTL = 400 * time.Millisecond

func TestMain(m *testing.M) { processtest.Main(m, processArgument, RunProcess) }

func runTestRound(t *testing.T, config Config) *Report {
	t.Helper()
	config.Argv, config.Voters, config.Contenders, config.TTL = []string{os.Args[0], processArgument}, 5, 4, testTTL
	report, err := RunRound(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Five voters and four contenders through drawn faults: no two steps that take effect overlap, none has a lower token than one before it, none are
// concurrent at all where no process is paused, and the history is linearizable.
func TestTwoHoldersNeverActAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		freeze := seed%2 == 1
		t.Run(fmt.Sprintf("seed %d, freezes %v", seed+1, freeze), func(t *testing.T) {
			t.Parallel()
			report := runTestRound(t, Config{Duration: 5 * time.Second, PauseProcesses: freeze, Seed: seed + 1})
			t.Logf("%d steps, %d rejected, %d concurrent, %d grants, %d operations", report.Steps, report.Rejected, report.Concurrent, report.Grants, report.Operations)
			if !report.Passed(freeze) {
				t.Errorf("%+v", report)
			}
			if report.Steps == 0 {
				t.Errorf("no step took effect:\n%s", strings.Join(report.FaultLog, "\n"))
			}
		})
	}
}

// Replicas are added and removed while others are killed, cut off and muted.
func TestMembershipChanges(t *testing.T) {
	t.Parallel()
	report := runTestRound(t, Config{Duration: 6 * time.Second, Spares: 2, Seed: 12})
	if !report.Passed(false) || report.Steps == 0 {
		t.Errorf("%+v", report)
	}
	if !slices.ContainsFunc(report.FaultLog, func(s string) bool { return strings.Contains(s, "is added") || strings.Contains(s, "is removed") }) {
		t.Errorf("no replica was added or removed: %v", report.FaultLog)
	}
}

// The holder is killed, again and again: another contender acts soon after the lease has expired, and never at the same time.
func TestHolderDeaths(t *testing.T) {
	const maxFailoverMillis = 2000
	t.Parallel()
	report := runTestRound(t, Config{Duration: 5 * time.Second, KillHolders: true, Seed: 9})
	if !report.Passed(false) || len(report.FailoverMillis) < 2 {
		t.Fatalf("%+v", report)
	}
	for _, millis := range report.FailoverMillis {
		if millis > maxFailoverMillis+report.SchedulingDelayMillis {
			t.Errorf("no contender acts for %.0f ms after a death, with a lease of %s", millis, testTTL)
		}
	}
}
