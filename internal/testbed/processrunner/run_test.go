package processrunner

import (
	"context"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"mintspring/internal/testbed/experiment"
)

// smallExperiment returns the text of the small experiment in testdata.
func smallExperiment(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../experiment/testdata/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func parseExperiment(t *testing.T, text string) *experiment.Experiment {
	t.Helper()
	x, err := experiment.Parse("small.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// playInProcess runs an experiment with nodes within this process.
func playInProcess(t *testing.T, x *experiment.Experiment, serve ServeFunc) *experiment.Run {
	t.Helper()
	run, err := Play(context.Background(), x, Options{Program: "test", InProcess: serve, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	return run
}

// The real node violates no invariant, even while one cache server is killed and another one is drained.
func TestRealNode(t *testing.T) {
	t.Parallel()
	x := parseExperiment(t, smallExperiment(t)+`
[[at]]
time = "500ms"
do = "kill"
box = "box-0"
for = "500ms"
[[at]]
time = "700ms"
do = "drain"
box = "box-2"
[[expect]]
what = "drain_ms"
at_most = 250
`)
	r := playInProcess(t, x, ServeInProcess)
	v := r.Verdict(true)
	if !v.Passed() || v.Requests < 250 || len(r.Executions) == 0 || v.Figures["hit_share"] == 0 || v.Figures["p50_ms"] <= 0 {
		t.Errorf("%s\n%s%+v", v.String(), v.Text(), v.Figures)
	}
	dir := t.TempDir()
	if err := v.Save(dir); err != nil {
		t.Fatal(err)
	}
	file, err := experiment.WriteReport(dir)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(file)
	if err != nil || strings.Count(string(page), "<svg") != 5 || !strings.Contains(string(page), v.String()) {
		t.Errorf("the report has %d plots, %v", strings.Count(string(page), "<svg"), err)
	}
}

// A node that cannot be started is reported in a one-line error, and a run stops when its context ends.
func TestStartsThatFail(t *testing.T) {
	x := parseExperiment(t, smallExperiment(t))
	for name, c := range map[string]struct {
		argv []string
		want string
	}{
		"no program": {[]string{"/nowhere/node"}, "starting node 0"},
		"ends":       {[]string{"/bin/sh", "-c", "echo cannot read this >&2; exit 3"}, "cannot read this"},
	} {
		_, err := Play(context.Background(), x, Options{Command: c.argv, Dir: t.TempDir()})
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	if _, err := Play(ctx, x, Options{InProcess: ServeInProcess, Dir: t.TempDir()}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("interrupted: %v", err)
	}
}

// Sizes and settings that only the simulator supports are rejected before any process is started.
func TestSizesForRealProcesses(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"count = 2", "count = 100", "nodes.count: 100 is over 64"},
		{"rate = 150", "rate = 60000", "load.rate: 60000 is over 50000"},
		{`length = "2s"`, `length = "1h"`, "length: 1h0m0s is over 10m0s"},
		{"[fleet]", "[fleet]\nfetch = true", "fleet.fetch: the protocol"},
		{"[nodes]", "[nodes]\nquery_cost = \"1ms\"", "nodes.query_cost: real processes"},
		{"[nodes]", "[nodes]\nclock_skew = \"1s\"", "nodes.clock_skew: real processes"},
	} {
		_, err := Play(context.Background(), parseExperiment(t, strings.Replace(smallExperiment(t), c.old, c.new, 1)), Options{Command: []string{"/nowhere/node"}, Dir: t.TempDir()})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
}
