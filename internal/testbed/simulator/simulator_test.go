package simulator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"mintspring/internal/testbed/experiment"
)

// smallFleet is an experiment with four caches and three nodes.
const smallFleet = `name = "small"
settle = "1s"
length = "5s"
[fleet]
zones = ["a", "b"]
[[fleet.boxes]]
count = 4
keeps = 300
[fleet.origin]
cores = 4
[nodes]
count = 3
[load]
rate = 300
keys = 400
retries = 2
[[workloads]]
name = "read"
share = 0.8
slo = "250ms"
timeout = "1s"
box_work = "6ms"
spread = 0.6
[[workloads]]
name = "note"
share = 0.1
write = true
effect = "deduplicated"
dedup_span = "5s"
timeout = "1s"
importance = 3.0
[[workloads]]
name = "sale"
share = 0.1
write = true
effect = "non-idempotent"
timeout = "1s"
importance = 8.0
`

func parseText(text string) (*experiment.Experiment, error) {
	return experiment.Parse("small.toml", text)
}

func parseExperiment(t *testing.T, text string) *experiment.Experiment {
	t.Helper()
	x, err := parseText(text)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// runExperiment runs an experiment and fails the test on an error.
func runExperiment(t *testing.T, x *experiment.Experiment, o Options) *experiment.Run {
	t.Helper()
	r, err := Run(context.Background(), x, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// stepTOML returns the TOML text of a timeline step with additional fields.
func stepTOML(seconds float64, action, fields string) string {
	return fmt.Sprintf("[[at]]\ntime = \"%dms\"\ndo = %q\n%s\n", int(1000*seconds), action, fields)
}

// faultSteps are faults of all kinds except late duplicate responses; some of the faults overlap. TestLateDuplicatesAreDetected covers late
// duplicates.
var faultSteps = stepTOML(0.5, "kill", "box = \"box-0\"\nfor = \"1s\"") + stepTOML(0.6, "drain", "box = \"box-1\"\nfor = \"1s\"") + stepTOML(0.8, "kill_node", "node = 1\nfor = \"1s\"") +
	stepTOML(1, "cut", "zone = \"b\"\nfor = \"700ms\"") + stepTOML(1.2, "lost_answers", "share = 0.5\nvalue = 0.3\nfor = \"600ms\"") + stepTOML(2, "replace", "box = \"box-2\"") +
	stepTOML(2.2, "resets", "share = 0.5\nvalue = 0.2\nfor = \"500ms\"") + stepTOML(2.4, "half_answers", "box = \"box-3\"\nvalue = 0.3\nfor = \"300ms\"") +
	stepTOML(2.5, "stop_node", "node = 2\nfor = \"1s\"") + stepTOML(2.6, "discovery_down", "for = \"500ms\"") +
	stepTOML(3, "halt", "box = \"box-3\"\nfor = \"200ms\"") + stepTOML(3.2, "refuse", "box = \"box-1\"\nfor = \"200ms\"") + stepTOML(3.3, "cut", "box = \"box-1\"\nnode = 0\nfor = \"300ms\"") +
	stepTOML(3.5, "discovery_anew", "") + stepTOML(3.6, "rate", "value = 3.0\nfor = \"500ms\"") + stepTOML(3.8, "spoilt", "share = 0.3\nvalue = 0.3\nfor = \"200ms\"") +
	stepTOML(4, "surplus", "share = 0.3\nvalue = 0.3\nfor = \"200ms\"") + stepTOML(4.2, "errors", "share = 0.5\nvalue = 0.3\nfor = \"200ms\"") +
	stepTOML(4.3, "reset", "share = 1.0") + stepTOML(4.4, "slow", "box = \"origin\"\nvalue = 4.0\nfor = \"300ms\"") + stepTOML(4.5, "discovery_late", "value = 700.0\nfor = \"200ms\"") +
	stepTOML(4.6, "remove", "box = \"box-0\"")

// Runs with the same seed are identical to the byte, also if several simulations run concurrently. Another seed gives a different run.
func TestSameSeedSameRun(t *testing.T) {
	x := parseExperiment(t, smallFleet+faultSteps)
	verdicts := make([]string, 8)
	var wg sync.WaitGroup
	for i := range verdicts {
		wg.Go(func() {
			r, err := Run(context.Background(), x, Options{Program: "p", Seed: uint64(1 + i/4)})
			if err != nil {
				t.Error(err)
				return
			}
			v := r.Verdict(true)
			if verdicts[i], err = v.JSON(); err != nil {
				t.Error(err)
			}
			for _, e := range r.Executions {
				verdicts[i] += fmt.Sprint(e)
			}
			for _, violation := range r.Violations {
				t.Errorf("seed %d: %s", 1+i/4, violation)
			}
		})
	}
	wg.Wait()
	for i, v := range verdicts {
		if identical := v == verdicts[i/4*4]; !identical || len(v) < 10000 {
			t.Errorf("run %d of its seed differs: %v", i%4, !identical)
		}
	}
	if verdicts[0] == verdicts[4] {
		t.Error("two seeds give identical runs")
	}
}

// No late duplicate response reaches a client as the response to another request: it meets an idle connection, or is recognized.
func TestLateDuplicatesAreDetected(t *testing.T) {
	x := parseExperiment(t, smallFleet+stepTOML(0.5, "late_surplus", "share = 1.0\nvalue = 0.3"))
	detected := int64(0)
	for seed := range uint64(6) {
		sim, err := newSimulation(x, Options{Seed: seed + 1})
		if err == nil {
			err = sim.run(context.Background())
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range sim.nodes {
			detected += n.process.poolCounters.Unsolicited.Load()
		}
		for _, violation := range sim.result.Violations {
			t.Errorf("seed %d: %s", seed+1, violation)
		}
	}
	if detected < 100 {
		t.Errorf("%d late duplicates were detected", detected)
	}
}

// Fleets of extreme sizes and simultaneous faults must not break a rule, and must keep a minimum share of requests within the objective.
func TestExtremeFleetsAndSimultaneousFaults(t *testing.T) {
	smallest := strings.NewReplacer(`zones = ["a", "b"]`, `zones = ["a"]`, "count = 4", "count = 1\ncores = 8", "count = 3", "count = 1").Replace(smallFleet)
	for name, c := range map[string]struct {
		text           string
		minInObjective float64 // share within the latency objective
	}{
		"one cache, one zone, one node":           {smallest, 0.95},
		"many nodes with little load":             {strings.NewReplacer("count = 3", "count = 60", "rate = 300", "rate = 240").Replace(smallFleet), 0.95},
		"a node killed with requests in flight":   {smallFleet + stepTOML(2, "kill_node", "node = 0\nfor = \"500ms\""), 0.9},
		"faults over before they are noticed":     {smallFleet + stepTOML(2, "cut", "box = \"box-0\"\nfor = \"1ms\"") + stepTOML(3, "drain", "box = \"box-1\"\nfor = \"10ms\""), 0.95},
		"all at one time":                         {smallFleet + stepTOML(2, "kill", "box = \"box-0\"\nfor = \"500ms\"") + stepTOML(2, "kill_node", "node = 0\nfor = \"500ms\"") + stepTOML(2, "discovery_down", "for = \"500ms\"") + stepTOML(2, "reset", "share = 1.0"), 0.85},
		"every cache dead, and back":              {smallFleet + stepTOML(2, "kill", "share = 1.0\nfor = \"300ms\""), 0.5},
		"clocks that differ by node":              {strings.Replace(smallFleet, "[nodes]", "[nodes]\nclock_skew = \"400ms\"", 1) + stepTOML(2, "replace", "box = \"box-0\""), 0.9},
		"a run of two hours":                      {strings.NewReplacer("rate = 300", "rate = 3", `length = "5s"`, `length = "2h"`).Replace(smallFleet) + stepTOML(3600, "kill", "box = \"box-0\"\nfor = \"600s\""), 0.95},
		"few descriptors":                         {strings.NewReplacer("[nodes]", "[nodes]\nsockets = 64", "count = 4", "count = 30").Replace(smallFleet) + stepTOML(2, "slow", "share = 0.5\nvalue = 2.0\nfor = \"500ms\""), 0.9},
		"a cache dies while discovery is stalled": {smallFleet + stepTOML(1, "discovery_silent", "for = \"3s\"") + stepTOML(2, "kill", "box = \"box-0\"\nfor = \"1s\""), 0.85},
		"caches without an origin":                {strings.Replace(smallFleet, "[fleet]", "[fleet]\nfetch = true", 1) + stepTOML(2, "kill", "box = \"box-0\"\nfor = \"500ms\""), 0.9},
		"every node dead but one":                 {smallFleet + stepTOML(2, "kill_node", "node = 0\nfor = \"1s\"") + stepTOML(2, "kill_node", "node = 1\nfor = \"1s\""), 0.6},
		"a restart announced late":                {strings.Replace(smallFleet, "[fleet]", "[fleet]\ndiscovery_late = \"3s\"", 1) + stepTOML(1, "kill", "box = \"box-0\"\nfor = \"2s\""), 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runExperiment(t, parseExperiment(t, c.text), Options{Program: "p"})
			if got := r.Figure(experiment.Expectation{Figure: "in_slo"}); len(r.Violations) > 0 || got < c.minInObjective || r.Figure(experiment.Expectation{Figure: "unanswered"}) > 0.02 {
				t.Errorf("in_slo %.3f, unanswered %.3f, %v", got, r.Figure(experiment.Expectation{Figure: "unanswered"}), r.Violations)
			}
		})
	}
}

// A node whose processor is too slow for its requests shows high latencies, and one with spare capacity does not.
func TestSlowNodes(t *testing.T) {
	runWithCost := func(cost string) (p50, inObjective float64) {
		r := runExperiment(t, parseExperiment(t, strings.Replace(smallFleet, "[nodes]", "[nodes]\nquery_cost = \""+cost+"\"", 1)), Options{Program: "p"})
		return r.Figure(experiment.Expectation{Figure: "p50_ms"}), r.Figure(experiment.Expectation{Figure: "in_slo"})
	}
	noCostP50, _ := runWithCost("0s")
	lightP50, lightInObjective := runWithCost("1ms")  // 10% of the capacity of each node
	heavyP50, heavyInObjective := runWithCost("20ms") // 200% of the capacity
	if lightP50 < noCostP50+0.5 || lightP50 > noCostP50+4 || lightInObjective < 0.95 {
		t.Errorf("p50 is %.2f ms with a cost of 1 ms per request and %.2f ms without, in_slo %.2f", lightP50, noCostP50, lightInObjective)
	}
	if heavyP50 < 10*noCostP50 || heavyInObjective > 0.6 {
		t.Errorf("at 200%% of the capacity p50 is %.1f ms, in_slo %.2f", heavyP50, heavyInObjective)
	}
}

// No node holds more descriptors than its limit, and every descriptor is released.
func TestDescriptorsAreReleased(t *testing.T) {
	sim, err := newSimulation(parseExperiment(t, strings.Replace(smallFleet, "[nodes]", "[nodes]\nsockets = 60", 1)+faultSteps), Options{})
	if err != nil {
		t.Fatal(err)
	}
	peak := 0
	for i := range time.Duration(700) {
		sim.schedule(simTime(startupLead)+simTime(i*10*time.Millisecond), actionFunc(func() {
			for _, n := range sim.nodes {
				peak = max(peak, n.process.descriptors.Held())
			}
		}))
	}
	if err := sim.run(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, n := range sim.nodes {
		p, connections := n.process, n.process.idleClients
		for _, l := range p.links {
			s := l.pool.State()
			connections += s.Open + s.Dialing
		}
		if held := p.descriptors.Held(); held != connections+len(p.clientAttempts) {
			t.Errorf("node %d holds %d descriptors for %d connections and %d requests", n.index, held, connections, len(p.clientAttempts))
		}
	}
	if peak > 36 || peak < 5 {
		t.Errorf("at most %d descriptors were held, the limit for connections is 36", peak)
	}
}

// SupportedExperiment rejects a feature that cannot be simulated. The error names the feature and, for a step, the line of the step.
// Expectations on unsupported figures are dropped and reported as skipped.
func TestUnsupportedFeaturesAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		smallFleet + stepTOML(1, "replace_node", "node = 0"):               "small.toml:41: at[0].do: replace_node cannot be simulated",
		strings.Replace(smallFleet, "[load]", "[load]\nbytes = 100000", 1): "load.bytes: 100000 cannot be simulated",
	} {
		if _, _, err := SupportedExperiment(parseExperiment(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	limit := 40.0
	x := parseExperiment(t, smallFleet)
	x.Expectations = []experiment.Expectation{{Figure: "node_memory_mb", AtMost: &limit}, {Figure: "p50_ms", AtMost: &limit}}
	supported, skipped, err := SupportedExperiment(x)
	if err != nil || len(skipped) != 1 || len(supported.Expectations) != 1 || len(x.Expectations) != 2 {
		t.Errorf("skipped %v, %d of %d expectations, %v", skipped, len(supported.Expectations), len(x.Expectations), err)
	}
	if _, err := Run(context.Background(), x, Options{MaxEvents: 1000}); err == nil || !strings.Contains(err.Error(), "over 1000 events") {
		t.Errorf("%v", err)
	}
	if _, err := x.WithSize(0, 3201, 0); err == nil {
		t.Error("3201 caches were accepted")
	}
}
