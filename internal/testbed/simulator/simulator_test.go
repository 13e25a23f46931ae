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

// small is a fleet of four caches and three nodes.
const small = `name = "small"
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

func parse(t *testing.T, text string) *experiment.Experiment {
	t.Helper()
	x, err := parseText(text)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// play plays an experiment.
func play(t *testing.T, x *experiment.Experiment, o Options) *experiment.Run {
	t.Helper()
	r, err := Run(context.Background(), x, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// step is a step of a timeline, with more fields.
func step(seconds float64, action, fields string) string {
	return fmt.Sprintf("[[at]]\ntime = \"%dms\"\ndo = %q\n%s\n", int(1000*seconds), action, fields)
}

// faultSteps are all kinds of faults, one after the other and some at once, but for late duplicate responses: those break rule 1 now and
// then, where all connections of a server are busy, by a risk that the pools take knowingly (docs/ROADMAP.md, open points), and have a
// test of their own.
var faultSteps = step(0.5, "kill", "box = \"box-0\"\nfor = \"1s\"") + step(0.6, "drain", "box = \"box-1\"\nfor = \"1s\"") + step(0.8, "kill_node", "node = 1\nfor = \"1s\"") +
	step(1, "cut", "zone = \"b\"\nfor = \"700ms\"") + step(1.2, "lost_answers", "share = 0.5\nvalue = 0.3\nfor = \"600ms\"") + step(2, "replace", "box = \"box-2\"") +
	step(2.2, "resets", "share = 0.5\nvalue = 0.2\nfor = \"500ms\"") + step(2.4, "half_answers", "box = \"box-3\"\nvalue = 0.3\nfor = \"300ms\"") +
	step(2.5, "stop_node", "node = 2\nfor = \"1s\"") + step(2.6, "discovery_down", "for = \"500ms\"") +
	step(3, "halt", "box = \"box-3\"\nfor = \"200ms\"") + step(3.2, "refuse", "box = \"box-1\"\nfor = \"200ms\"") + step(3.3, "cut", "box = \"box-1\"\nnode = 0\nfor = \"300ms\"") +
	step(3.5, "discovery_anew", "") + step(3.6, "rate", "value = 3.0\nfor = \"500ms\"") + step(3.8, "spoilt", "share = 0.3\nvalue = 0.3\nfor = \"200ms\"") +
	step(4, "surplus", "share = 0.3\nvalue = 0.3\nfor = \"200ms\"") + step(4.2, "errors", "share = 0.5\nvalue = 0.3\nfor = \"200ms\"") +
	step(4.3, "reset", "share = 1.0") + step(4.4, "slow", "box = \"origin\"\nvalue = 4.0\nfor = \"300ms\"") + step(4.5, "discovery_late", "value = 700.0\nfor = \"200ms\"") +
	step(4.6, "remove", "box = \"box-0\"")

// A seed gives the same run, to the byte, however many play beside it and whatever happens; another seed gives another.
func TestSameSeedSameRun(t *testing.T) {
	x := parse(t, small+faultSteps)
	verdicts := make([]string, 8)
	var done sync.WaitGroup
	for i := range verdicts {
		done.Go(func() {
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
	done.Wait()
	for i, v := range verdicts {
		if same := v == verdicts[i/4*4]; !same || len(v) < 10000 {
			t.Errorf("run %d of its seed differs: %v", i%4, !same)
		}
	}
	if verdicts[0] == verdicts[4] {
		t.Error("two seeds give the same run")
	}
}

// A duplicate response that comes late is seen for what it is: a value of another key that reaches a client is a violation, never a good
// response, and the server's connections cool down for longer once one was met. What the risk costs is measured by
// experiments/surplus.toml.
func TestLateDuplicatesAreSeen(t *testing.T) {
	x := parse(t, small+step(0.5, "late_surplus", "share = 1.0\nvalue = 0.3"))
	met, wrong := int64(0), 0
	for seed := range uint64(6) {
		sim, err := newSimulation(x, Options{Seed: seed + 1})
		if err == nil {
			err = sim.play(context.Background())
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range sim.nodes {
			met += n.process.poolCounters.Unsolicited.Load()
		}
		for _, violation := range sim.result.Violations {
			if wrong++; violation.Rule != 1 || !strings.Contains(violation.Description, "a value of another key") {
				t.Errorf("seed %d: %s", seed+1, violation)
			}
		}
	}
	if met < 100 || wrong > int(met)/20 {
		t.Errorf("%d late duplicates met an idle connection, %d reached a client", met, wrong)
	}
	t.Logf("%d late duplicates met an idle connection, %d reached a client", met, wrong)
}

// Fleets of extreme sizes, and faults at one time.
func TestHardCases(t *testing.T) {
	smallest := strings.NewReplacer(`zones = ["a", "b"]`, `zones = ["a"]`, "count = 4", "count = 1\ncores = 8", "count = 3", "count = 1").Replace(small)
	for name, c := range map[string]struct {
		text       string
		minService float64 // share within the latency objective
	}{
		"one cache, one zone, one node":           {smallest, 0.95},
		"many nodes with little load":             {strings.NewReplacer("count = 3", "count = 60", "rate = 300", "rate = 240").Replace(small), 0.95},
		"a node killed with requests in flight":   {small + step(2, "kill_node", "node = 0\nfor = \"500ms\""), 0.9},
		"faults over before they are noticed":     {small + step(2, "cut", "box = \"box-0\"\nfor = \"1ms\"") + step(3, "drain", "box = \"box-1\"\nfor = \"10ms\""), 0.95},
		"all at one time":                         {small + step(2, "kill", "box = \"box-0\"\nfor = \"500ms\"") + step(2, "kill_node", "node = 0\nfor = \"500ms\"") + step(2, "discovery_down", "for = \"500ms\"") + step(2, "reset", "share = 1.0"), 0.85},
		"every cache dead, and back":              {small + step(2, "kill", "share = 1.0\nfor = \"300ms\""), 0.5},
		"clocks that differ by node":              {strings.Replace(small, "[nodes]", "[nodes]\nclock_skew = \"400ms\"", 1) + step(2, "replace", "box = \"box-0\""), 0.9},
		"a run of two hours":                      {strings.NewReplacer("rate = 300", "rate = 3", `length = "5s"`, `length = "2h"`).Replace(small) + step(3600, "kill", "box = \"box-0\"\nfor = \"600s\""), 0.95},
		"few descriptors":                         {strings.NewReplacer("[nodes]", "[nodes]\nsockets = 64", "count = 4", "count = 30").Replace(small) + step(2, "slow", "share = 0.5\nvalue = 2.0\nfor = \"500ms\""), 0.9},
		"a cache dies while discovery is stalled": {small + step(1, "discovery_silent", "for = \"3s\"") + step(2, "kill", "box = \"box-0\"\nfor = \"1s\""), 0.85},
		"caches without an origin":                {strings.Replace(small, "[fleet]", "[fleet]\nfetch = true", 1) + step(2, "kill", "box = \"box-0\"\nfor = \"500ms\""), 0.9},
		"every node dead but one":                 {small + step(2, "kill_node", "node = 0\nfor = \"1s\"") + step(2, "kill_node", "node = 1\nfor = \"1s\""), 0.6},
		"a restart announced late":                {strings.Replace(small, "[fleet]", "[fleet]\ndiscovery_late = \"3s\"", 1) + step(1, "kill", "box = \"box-0\"\nfor = \"2s\""), 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := play(t, parse(t, c.text), Options{Program: "p"})
			if got := r.Figure(experiment.Expectation{Figure: "in_slo"}); len(r.Violations) > 0 || got < c.minService || r.Figure(experiment.Expectation{Figure: "unanswered"}) > 0.02 {
				t.Errorf("in_slo %.3f, unanswered %.3f, %v", got, r.Figure(experiment.Expectation{Figure: "unanswered"}), r.Violations)
			}
		})
	}
}

// A node whose processor is too slow for its requests looks so, and one with time to spare does not.
func TestSlowNodes(t *testing.T) {
	playWithCost := func(cost string) (p50, service float64) {
		r := play(t, parse(t, strings.Replace(small, "[nodes]", "[nodes]\nquery_cost = \""+cost+"\"", 1)), Options{Program: "p"})
		return r.Figure(experiment.Expectation{Figure: "p50_ms"}), r.Figure(experiment.Expectation{Figure: "in_slo"})
	}
	free, _ := playWithCost("0s")
	light, goodService := playWithCost("1ms") // a tenth of what each node has
	heavy, badService := playWithCost("20ms") // twice what it has
	if light < free+0.5 || light > free+4 || goodService < 0.95 {
		t.Errorf("p50 is %.2f ms with 1 ms a request and %.2f without, the service %.2f", light, free, goodService)
	}
	if heavy < 10*free || badService > 0.6 {
		t.Errorf("with twice the work that it can do p50 is %.1f ms, the service %.2f", heavy, badService)
	}
}

// No node ever holds more descriptors than it may, and each one is released.
func TestDescriptorsAreReleased(t *testing.T) {
	sim, err := newSimulation(parse(t, strings.Replace(small, "[nodes]", "[nodes]\nsockets = 60", 1)+faultSteps), Options{})
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
	if err := sim.play(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, n := range sim.nodes {
		p, open := n.process, n.process.idleClients
		for _, l := range p.links {
			s := l.pool.State()
			open += s.Open + s.Dialing
		}
		if held := p.descriptors.Held(); held != open+len(p.clientAttempts) {
			t.Errorf("node %d holds %d descriptors for %d connections and %d requests", n.index, held, open, len(p.clientAttempts))
		}
	}
	if peak > 36 || peak < 5 {
		t.Errorf("at most %d descriptors were held, of 36 that connections may take", peak)
	}
}

// What cannot be simulated is refused with its name and line.
func TestPrepareRefusesWhatCannotBeSimulated(t *testing.T) {
	for text, want := range map[string]string{
		small + step(1, "replace_node", "node = 0"):                   "small.toml:41: at[0].do: replace_node cannot be simulated",
		strings.Replace(small, "[load]", "[load]\nbytes = 100000", 1): "load.bytes: 100000 cannot be simulated",
	} {
		if _, _, err := Prepare(parse(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	limit := 40.0
	x := parse(t, small)
	x.Expectations = []experiment.Expectation{{Figure: "node_memory_mb", AtMost: &limit}, {Figure: "p50_ms", AtMost: &limit}}
	y, skipped, err := Prepare(x)
	if err != nil || len(skipped) != 1 || len(y.Expectations) != 1 || len(x.Expectations) != 2 {
		t.Errorf("skipped %v, %d of %d expectations, %v", skipped, len(y.Expectations), len(x.Expectations), err)
	}
	if _, err := Run(context.Background(), x, Options{MaxEvents: 1000}); err == nil || !strings.Contains(err.Error(), "over 1000 events") {
		t.Errorf("%v", err)
	}
	if _, err := x.WithSize(0, 2000, 0); err == nil {
		t.Error("2000 caches were accepted")
	}
}
