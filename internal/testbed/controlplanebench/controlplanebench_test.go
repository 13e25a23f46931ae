package controlplanebench

import (
	"context"
	"errors"
	"strings"
	"testing"
)

// Each round is counted once, under the fault drawn from its seed, and a cancelled measurement starts no round.
func TestMeasureDrains(t *testing.T) {
	const rounds = 3
	want := map[string]int{}
	for seed := range uint64(rounds) {
		want[newDrainRound(seed).fault.String()]++
	}
	var lastProgress float64
	results, err := MeasureDrains(t.Context(), rounds, rounds, func(done float64) { lastProgress = done })
	if err != nil {
		t.Fatal(err)
	}
	for _, result := range results {
		if result.Rounds != want[result.Fault] {
			t.Errorf("fault %q: %d rounds, want %d", result.Fault, result.Rounds, want[result.Fault])
		}
	}
	if len(results) != int(linkFaultCount) || lastProgress != 1 {
		t.Errorf("%d results, progress %v, want %d and 1", len(results), lastProgress, linkFaultCount)
	}

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	results, err = MeasureDrains(cancelled, rounds, 1, nil)
	if !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled measurement: %v", err)
	}
	for _, result := range results {
		if result.Rounds != 0 {
			t.Errorf("cancelled measurement: %d rounds with fault %q", result.Rounds, result.Fault)
		}
	}
}

// readApplied reads the lines that writeTo writes, and returns an error for other text.
func TestAppliedSnapshotLines(t *testing.T) {
	want := []appliedSnapshot{{version: "7.1", unixNanos: 1}, {version: "7.2", unixNanos: 1 << 60}}
	var text strings.Builder
	for _, line := range want {
		line.writeTo(&text)
	}
	lines := strings.NewReader(text.String())
	for _, line := range want {
		if got, err := readApplied(lines); err != nil || got != line {
			t.Errorf("read %+v, %v, want %+v", got, err, line)
		}
	}
	if _, err := readApplied(lines); err == nil {
		t.Error("read a line after the last one")
	}
	if _, err := readApplied(strings.NewReader("7.1 soon\n")); err == nil {
		t.Error("read a line without a time")
	}
}
