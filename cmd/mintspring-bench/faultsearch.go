package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/faultsearch"
	"mintspring/internal/testbed/simulator"
)

const (
	// maxEvents bounds the simulation of a generated experiment.
	maxEvents = 200_000_000
	// maxExperiments bounds the number of generated experiments.
	maxExperiments = 100_000
	// significantGap is the least difference from the oracle's share within the latency objective that the summary counts.
	significantGap = 0.02
	// shrunkGapShare is the share of the original gap that a shrunk scenario must still show.
	shrunkGapShare = 0.8
)

// searchCmd generates experiments, simulates them and shrinks the worst ones.
type searchCmd struct {
	File           string `arg:"" optional:"" help:"Ranges to draw from; the default ones otherwise."`
	Budget         int    `help:"Experiments to generate." default:"100"`
	From           uint64 `help:"The seed of the first." default:"1"`
	Keep           int    `help:"Experiments to keep, besides those that violate a rule." default:"10"`
	Jobs           int    `help:"Experiments at a time; one for each core otherwise."`
	Out            string `help:"Directory that the found experiments are written to." default:"hunted"`
	ShrinkAttempts int    `help:"How often a found experiment is played smaller." default:"40"`
}

// scenario is a generated experiment with its results: with the node's own decisions, and with the oracle as a reference.
type scenario struct {
	experiment           *experiment.Experiment
	objectiveShare       float64 // share of the priority weight within its latency objective
	oracleObjectiveShare float64
	recovery             float64 // s, or experiment.NeverRecovered
	oracleRecovery       float64
	violations           []string // invariants violated with the node's own decisions
	err                  error
}

// gap returns by how much the oracle's share within the latency objective is greater.
func (s *scenario) gap() float64 { return s.oracleObjectiveShare - s.objectiveShare }

// neverRecovers reports whether service does not recover although it does with the oracle.
func (s *scenario) neverRecovers() bool {
	return s.recovery == experiment.NeverRecovered && s.oracleRecovery != experiment.NeverRecovered
}

// reproduces reports whether a shrunk scenario still shows the violation, or most of the gap, of the original.
func (s *scenario) reproduces(original *scenario) bool {
	switch {
	case s.err != nil:
		return false
	case len(original.violations) > 0:
		return len(s.violations) > 0
	}
	return s.gap() >= shrunkGapShare*original.gap()
}

// String describes the scenario in one line.
func (s *scenario) String() string {
	x := s.experiment
	text := fmt.Sprintf("%s: %d nodes, %d caches, %.0f requests/s: in_slo %.3f, the reference %.3f", x.Name, x.Nodes.Count, x.CacheCount(), x.Load.Rate, s.objectiveShare, s.oracleObjectiveShare)
	if s.recovery == experiment.NeverRecovered {
		text += ", not recovered"
	}
	if len(s.violations) > 0 {
		text += "; BROKEN " + s.violations[0]
	}
	var steps []string
	for _, step := range x.Steps {
		description := fmt.Sprintf("%s at %v", step, step.Time.Duration())
		if step.Duration > 0 {
			description += fmt.Sprintf(" for %v", step.Duration.Duration())
		}
		steps = append(steps, description)
	}
	return text + "; " + cmp.Or(strings.Join(steps, ", "), "no fault")
}

// runScenario simulates an experiment with the node's own decisions and with the oracle.
func runScenario(ctx context.Context, x *experiment.Experiment) *scenario {
	s := &scenario{experiment: x}
	run, err := simulator.Run(ctx, x, simulator.Options{Program: mainProgram, MaxEvents: maxEvents})
	if err != nil {
		s.err = err
		return s
	}
	v := run.Verdict(true)
	s.objectiveShare, s.violations, s.recovery = v.Figures["in_slo"], v.Violations, v.Figures["recovery_s"]
	run, err = simulator.Run(ctx, x, simulator.Options{Program: oracleName, MaxEvents: maxEvents, NewPolicy: newPolicyFunc(oracleName)})
	if err != nil {
		s.err = fmt.Errorf("the reference: %w", err)
		return s
	}
	v = run.Verdict(false)
	s.oracleObjectiveShare, s.oracleRecovery = v.Figures["in_slo"], v.Figures["recovery_s"]
	return s
}

// Run implements the command.
func (c *searchCmd) Run(ctx context.Context) error {
	scenarios, err := c.generateAndRun(ctx)
	if err != nil {
		return err
	}
	violating := 0
	for _, s := range scenarios {
		if s.err != nil {
			return fmt.Errorf("%s: %w", s.experiment.Name, s.err)
		}
		if len(s.violations) > 0 {
			violating++
		}
	}
	printSummary(scenarios, violating)
	worst := c.selectWorst(scenarios)
	if err := c.write(worst, c.shrinkAll(ctx, worst)); err != nil {
		return err
	}
	if violating > 0 {
		return fmt.Errorf("%d of %d experiments violate an invariant", violating, len(scenarios))
	}
	return nil
}

// generateAndRun generates experiments and simulates them.
func (c *searchCmd) generateAndRun(ctx context.Context) ([]*scenario, error) {
	ranges := faultsearch.DefaultRanges()
	if c.File != "" {
		var err error
		if ranges, err = faultsearch.ReadRanges(c.File); err != nil {
			return nil, err
		}
	}
	if c.Budget < 1 || c.Budget > maxExperiments || c.From < 1 {
		return nil, fmt.Errorf("--budget must be between 1 and %d, and --from above 0", maxExperiments)
	}
	scenarios := make([]*scenario, c.Budget)
	forEachParallel(ctx, c.Budget, c.Jobs, func(i int) {
		seed := c.From + uint64(i)
		x, err := ranges.Generate(seed)
		if err != nil {
			scenarios[i] = &scenario{err: err, experiment: &experiment.Experiment{Name: fmt.Sprint("seed ", seed)}}
			return
		}
		scenarios[i] = runScenario(ctx, x)
	}, progress("search"))
	if ctx.Err() != nil {
		return nil, errInterrupted
	}
	return scenarios, nil
}

// printSummary prints how the results compare with the oracle's.
func printSummary(scenarios []*scenario, violating int) {
	worse, better, unrecovered := 0, 0, 0
	sum := 0.0
	for _, s := range scenarios {
		sum += s.gap()
		switch {
		case s.gap() > significantGap:
			worse++
		case s.gap() < -significantGap:
			better++
		}
		if s.neverRecovers() {
			unrecovered++
		}
	}
	fmt.Printf("%d experiments: %d with an invariant violated, %d over %.2f behind the reference and %d ahead of it, on average %.3f behind; in %d service does not recover although the reference's does\n",
		len(scenarios), violating, worse, significantGap, better, sum/float64(len(scenarios)), unrecovered)
}

// selectWorst returns all scenarios that violate an invariant, and up to Keep others with the largest gap to the oracle.
func (c *searchCmd) selectWorst(scenarios []*scenario) []*scenario {
	var worst []*scenario
	for _, s := range scenarios {
		if len(s.violations) > 0 {
			worst = append(worst, s)
		}
	}
	limit := len(worst) + c.Keep
	byGap := slices.Clone(scenarios)
	slices.SortStableFunc(byGap, func(a, b *scenario) int { return cmp.Compare(b.gap(), a.gap()) })
	for _, s := range byGap {
		if len(s.violations) == 0 && len(worst) < limit && s.gap() > 0 {
			worst = append(worst, s)
		}
	}
	return worst
}

// shrinkAll returns, for each scenario, the smallest one found that reproduces it.
func (c *searchCmd) shrinkAll(ctx context.Context, scenarios []*scenario) []*scenario {
	smallest := make([]*scenario, len(scenarios))
	forEachParallel(ctx, len(scenarios), c.Jobs, func(i int) {
		smallest[i] = scenarios[i]
		faultsearch.Shrink(scenarios[i].experiment, c.ShrinkAttempts, func(x *experiment.Experiment) bool {
			s := runScenario(ctx, x)
			if !s.reproduces(scenarios[i]) {
				return false
			}
			smallest[i] = s
			return true
		})
	}, nil)
	return smallest
}

// write saves the shrunk scenarios as experiment files, and prints each found scenario with its shrunk one.
func (c *searchCmd) write(found, smallest []*scenario) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("creating the output directory: %w", err)
	}
	for i, s := range found {
		if smallest[i] == nil {
			return errInterrupted
		}
		text, err := faultsearch.EncodeTOML(smallest[i].experiment)
		if err == nil {
			err = os.WriteFile(filepath.Join(c.Out, s.experiment.Name+".toml"), []byte(text), 0o644)
		}
		if err != nil {
			return fmt.Errorf("writing a found experiment: %w", err)
		}
		fmt.Println(s)
		fmt.Println("   shrunk:", smallest[i])
	}
	return nil
}
