package experiment

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mintspring/internal/testbed/servermodel"
)

// Verdict is the evaluated result of a run. It is stored as JSON.
type Verdict struct {
	Experiment   string              `json:"experiment"`
	Program      string              `json:"program"`
	Seed         uint64              `json:"seed"`
	IsValid      bool                `json:"counts"` // the bench sent requests on time, see MaxLatenessMs
	LatenessMs   float64             `json:"lateness_p99_ms"`
	Expectations []ExpectationResult `json:"expects"`
	Violations   []string            `json:"breaches"`
	Crossings    []string            `json:"crossings,omitempty"` // attempts without a response that no rule forbids
	Figures      map[string]float64  `json:"figures"`             // by name
	Series       Series              `json:"series"`
	Servers      []string            `json:"boxes"` // names by index
	Events       []VerdictEvent      `json:"events"`
	About        string              `json:"about"`
	IsMain       bool                `json:"main"` // the run is of the program under test, not of a baseline
	Requests     int                 `json:"queries"`
	Size         RunSize             `json:"size"`
}

// VerdictEvent is a step that the timeline carried out.
type VerdictEvent struct {
	AtSeconds   float64 `json:"At"` // from the start of the measurement
	Description string  `json:"What"`
}

// RunSize is the size of an experiment.
type RunSize struct {
	Caches        int     `json:"boxes"`
	LengthSeconds float64 `json:"length_s"`
	Nodes         int     `json:"nodes"`
	Rate          float64 `json:"rate"`
}

// Series holds figures for each second of the measurement.
type Series struct {
	P50              []float64   `json:"P50"`
	P99              []float64   `json:"P99"`
	ObjectiveShare   []float64   `json:"InSLO"`
	OriginExecutions []float64   `json:"Origin"`
	Executions       [][]float64 `json:"Executions"` // by cache
	Utilization      [][]float64 `json:"Load"`       // by cache
}

// Verdict evaluates the run.
func (r *Run) Verdict(isMain bool) Verdict {
	x := r.Experiment
	v := Verdict{
		Experiment: x.Name, Program: r.Program, Seed: r.Seed, IsValid: r.LatenessMs <= MaxLatenessMs, LatenessMs: r.LatenessMs,
		Expectations: r.evaluateExpectations(isMain), Figures: map[string]float64{}, Series: r.series(), Servers: x.serverNames(),
		About: x.About, IsMain: isMain, Crossings: r.Crossings, Requests: len(r.Requests),
		Size: RunSize{Caches: x.CacheCount(), LengthSeconds: x.Length.Duration().Seconds(), Nodes: x.Nodes.Count, Rate: x.Load.Rate},
	}
	for _, violation := range r.Violations {
		v.Violations = append(v.Violations, violation.String())
	}
	for name, f := range figures {
		v.Figures[name] = f.measure(r, r.wholeRun())
	}
	for _, e := range r.Events {
		v.Events = append(v.Events, VerdictEvent{AtSeconds: (e.AtMs - r.FromMs) / msPerSec, Description: e.Description})
	}
	return v
}

// series returns the figures of each second of the run.
func (r *Run) series() Series {
	executions := map[serverSecond]float64{}
	for i := range r.Executions {
		executions[r.serverSecond(&r.Executions[i])]++
	}
	cacheCount := r.Experiment.CacheCount()
	s := Series{Executions: make([][]float64, cacheCount), Utilization: make([][]float64, cacheCount)}
	for second := range int(r.Experiment.Length.Duration() / time.Second) {
		w := timeWindow(r.FromMs+float64(second)*msPerSec, r.FromMs+float64(second+1)*msPerSec)
		s.P50 = append(s.P50, latencyQuantile(50)(r, w))
		s.P99 = append(s.P99, latencyQuantile(99)(r, w))
		s.ObjectiveShare = append(s.ObjectiveShare, r.objectiveShare(w))
		s.OriginExecutions = append(s.OriginExecutions, executions[serverSecond{servermodel.ServerID(r.originIndex), second}])
		for cache := range cacheCount {
			w.server = servermodel.ServerID(cache)
			s.Executions[cache] = append(s.Executions[cache], executions[serverSecond{w.server, second}])
			s.Utilization[cache] = append(s.Utilization[cache], peakUtilization(caches)(r, w))
		}
	}
	return s
}

// heldCount returns how many of the binding expectations held, and how many are binding.
func (v *Verdict) heldCount() (held, binding int) {
	for _, e := range v.Expectations {
		if e.Binds {
			if binding++; e.Held {
				held++
			}
		}
	}
	return held, binding
}

// Passed reports whether all binding expectations held and no rule was violated. A baseline may violate rules, since it only serves as a
// comparison.
func (v *Verdict) Passed() bool {
	held, binding := v.heldCount()
	return held == binding && (!v.IsMain || len(v.Violations) == 0)
}

// String returns the summary line that ends a run's output on the terminal.
func (v *Verdict) String() string {
	held, binding := v.heldCount()
	rules := "kept"
	if n := len(v.Violations); n > 0 {
		rules = "broken: " + v.Violations[0]
		if n > 1 {
			rules += fmt.Sprintf(" (and %d more)", n-1)
		}
	}
	name := v.Experiment
	if !v.IsMain {
		name += " (" + v.Program + ")"
	}
	return fmt.Sprintf("experiment %s seed %d: held %d of %d, rules %s", name, v.Seed, held, binding, rules)
}

// maxPrintedViolations is the greatest number of violations that Text prints.
const maxPrintedViolations = 5

// Text returns the expectations with their measured values, and the violations, for the terminal.
func (v *Verdict) Text() string {
	var b strings.Builder
	for _, e := range v.Expectations {
		status := "held "
		if !e.Held {
			status = "SHORT"
		}
		if !e.Binds {
			status = "     "
		}
		fmt.Fprintf(&b, "  %s  %-56s %.4g\n", status, e.Expectation, e.Value)
	}
	for i, violation := range v.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(&b, "  ... and %d more\n", len(v.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "  BROKEN %s\n", violation)
	}
	for _, crossing := range v.Crossings {
		fmt.Fprintf(&b, "  unanswered: %s\n", crossing)
	}
	return b.String()
}

// JSON returns the verdict on one line.
func (v *Verdict) JSON() (string, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return "", fmt.Errorf("encoding the verdict: %w", err)
	}
	return string(text), nil
}

// Save writes the verdict to a file in a folder, named after its experiment, program and seed.
func (v *Verdict) Save(dir string) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s-%s-%d.json", v.Experiment, v.Program, v.Seed)), text, 0o644)
	}
	if err != nil {
		return fmt.Errorf("saving the verdict: %w", err)
	}
	return nil
}

// LoadVerdicts reads the verdicts of a folder, sorted by file name.
func LoadVerdicts(dir string) ([]Verdict, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("%s holds no verdicts", dir)
	}
	slices.Sort(files)
	verdicts := make([]Verdict, len(files))
	for i, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("reading a verdict: %w", err)
		}
		if err := json.Unmarshal(text, &verdicts[i]); err != nil {
			return nil, fmt.Errorf("reading %s: %w", file, err)
		}
	}
	return verdicts, nil
}

// FormatTable returns a table of all figures with a column for each verdict.
func FormatTable(verdicts []Verdict) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-22s", "")
	for i := range verdicts {
		fmt.Fprintf(&b, " %14s", verdicts[i].Program)
	}
	b.WriteByte('\n')
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		fmt.Fprintf(&b, "%-22s", name)
		for i := range verdicts {
			fmt.Fprintf(&b, " %14.4g", verdicts[i].Figures[name])
		}
		b.WriteByte('\n')
	}
	return b.String()
}
