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

// processArgument is the argument that makes the test program run a process of a round instead of its tests.
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

// Five voters and four contenders run under drawn faults. Steps that take effect neither overlap nor have a lower token than the previous one, the
// history is linearizable, and no steps at all are concurrent unless processes are paused.
func TestTwoHoldersNeverActAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		pause := seed%2 == 1
		t.Run(fmt.Sprintf("seed %d, pauses %v", seed+1, pause), func(t *testing.T) {
			t.Parallel()
			report := runTestRound(t, Config{Duration: 5 * time.Second, PauseProcesses: pause, Seed: seed + 1})
			t.Logf("%d steps, %d rejected, %d concurrent, %d grants, %d operations", report.Steps, report.Rejected, report.Concurrent, report.Grants, report.Operations)
			if !report.Passed(pause) {
				t.Errorf("%+v", report)
			}
			if report.Steps == 0 {
				t.Errorf("no step took effect:\n%s", strings.Join(report.FaultLog, "\n"))
			}
		})
	}
}

// The guarantees hold while replicas are added and removed, and others are killed, cut off or prevented from sending.
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

// After each kill of the holder, another contender takes a step within maxFailoverMillis, and no two steps overlap.
func TestHolderDeaths(t *testing.T) {
	const maxFailoverMillis = 2000
	t.Parallel()
	report := runTestRound(t, Config{Duration: 5 * time.Second, KillHolders: true, Seed: 9})
	if !report.Passed(false) || len(report.FailoverMillis) < 2 {
		t.Fatalf("%+v", report)
	}
	for _, millis := range report.FailoverMillis {
		if millis > maxFailoverMillis+report.SchedulingDelayMillis {
			t.Errorf("no contender took a step for %.0f ms after the holder was killed, with a lease of %s", millis, testTTL)
		}
	}
}
