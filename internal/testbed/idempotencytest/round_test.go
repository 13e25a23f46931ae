package idempotencytest

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"mintspring/internal/testbed/processtest"
)

// memberArg is the argument that makes the test program run as a member.
const memberArg = "as-member"

func TestMain(m *testing.M) { processtest.Main(m, memberArg, RunMember) }

func runRound(t *testing.T, config Config) *Report {
	t.Helper()
	config.Argv = []string{os.Args[0], memberArg}
	report, err := RunRound(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d operations, %d executions, answers %v, %d disks lost, caught up after %.0f ms", report.Operations, report.Executions, report.Answers, report.WipedDisks, report.CatchUpMs)
	return report
}

// While members lose their disks, are killed, paused and cut off, clients attempt each operation at all members: no operation is executed twice, all
// answers have the same receipt, and no settled receipt is lost.
func TestNothingSettledIsLost(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			config := Config{Members: 5, Duration: 5 * time.Second, Rate: 150, WipeDisks: true, Seed: seed + 1}
			if seed == 2 {
				config.Members, config.SyncDelay = 3, 30*time.Millisecond
			}
			report := runRound(t, config)
			if !report.Passed() {
				report.ExecuteMs, report.ReplayMs = nil, nil
				t.Errorf("%+v", report)
			}
			if report.Answers[answerCompleted] < 20 || report.Answers[answerReplayed] < 20 || report.WipedDisks == 0 {
				t.Errorf("too few completed or replayed attempts, or no disk lost:\n%s", strings.Join(report.Faults, "\n"))
			}
		})
	}
}

// Without records, the same clients cause duplicate executions, and the executor counts them.
func TestWithoutRecords(t *testing.T) {
	report := runRound(t, Config{Members: 3, Duration: time.Second, Rate: 150, WithoutRecords: true, Seed: 9})
	if report.DuplicateExecutions == 0 {
		t.Error("no operation was executed twice")
	}
}

// The check rejects histories with answers that no order of the attempts allows.
func TestCheckLinearizable(t *testing.T) {
	newAttempt := func(start, end time.Duration, answer, receipt string) attempt {
		return attempt{0, start, end, answer, receipt}
	}
	for name, c := range map[string]struct {
		attempts []attempt
		want     porcupine.CheckResult
	}{
		"completed and replayed":        {[]attempt{newAttempt(1, 2, answerCompleted, "a"), newAttempt(3, 4, answerReplayed, "a")}, porcupine.Ok},
		"completed twice":               {[]attempt{newAttempt(1, 2, answerCompleted, "a"), newAttempt(3, 4, answerCompleted, "b")}, porcupine.Illegal},
		"another receipt":               {[]attempt{newAttempt(1, 2, answerCompleted, "a"), newAttempt(3, 4, answerReplayed, "b")}, porcupine.Illegal},
		"lost receipt":                  {[]attempt{newAttempt(1, 2, answerCompleted, "a"), newAttempt(3, 4, answerUnknown, "")}, porcupine.Illegal},
		"replayed without an execution": {[]attempt{newAttempt(1, 2, answerNotExecuted, ""), newAttempt(3, 4, answerReplayed, "a")}, porcupine.Illegal},
		"unknown before all attempts":   {[]attempt{newAttempt(1, 2, answerUnknown, ""), newAttempt(3, 4, answerCompleted, "a")}, porcupine.Illegal},
		"paused, unknown, released": {[]attempt{
			newAttempt(1, 9, answerNotExecuted, ""), newAttempt(3, 4, answerUnknown, ""), newAttempt(10, 11, answerCompleted, "a"),
		}, porcupine.Ok},
		"paused, unknown, completed": {[]attempt{
			newAttempt(1, 9, answerCompleted, "a"), newAttempt(3, 4, answerUnknown, ""), newAttempt(10, 11, answerReplayed, "a"),
		}, porcupine.Ok},
		"replayed after no answer": {[]attempt{
			newAttempt(1, 0, "", ""), newAttempt(3, 4, answerReplayed, "a"), newAttempt(5, 6, answerReplayed, "a"),
		}, porcupine.Ok},
		"replayed and then unknown": {[]attempt{
			newAttempt(1, 0, "", ""), newAttempt(3, 4, answerReplayed, "a"), newAttempt(5, 6, answerUnknown, ""),
		}, porcupine.Illegal},
	} {
		if result := checkLinearizable(c.attempts, time.Second); result != c.want {
			t.Errorf("%s: %v, want %v", name, result, c.want)
		}
	}
}
