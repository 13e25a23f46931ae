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
	// maxBudget bounds how many are generated.
	maxBudget = 100_000
	// gapMargin is the difference of service from the oracle's that counts.
	gapMargin = 0.02
	// shrunkGapShare is the share of a scenario's gap that a smaller one has to have.
	shrunkGapShare = 0.8
)

// searchCmd generates experiments, simulates them and shrinks the worst.
type searchCmd struct {
	File           string `arg:"" optional:"" help:"Ranges to draw from; the default ones otherwise."`
	Budget         int    `help:"Experiments to generate." default:"100"`
	From           uint64 `help:"The seed of the first." default:"1"`
	Keep           int    `help:"Experiments to keep, besides those that violate a rule." default:"10"`
	Jobs           int    `help:"Experiments at a time; one for each core otherwise."`
	Out            string `help:"Directory that the found experiments are written to." default:"hunted"`
	ShrinkAttempts int    `help:"How often a found experiment is played smaller." default:"40"`
}

// scenario is a generated experiment that was played, with the module and with the oracle.
type scenario struct {
	experiment     *experiment.Experiment
	service        float64 // share of the priority weight within its latency objective
	oracleService  float64
	recovery       float64 // s, or experiment.NeverRecovered
	oracleRecovery float64
	violations     []string // of the module
	err            error
}

// gap returns how much better the oracle's service is.
func (s *scenario) gap() float64 { return s.oracleService - s.service }

// neverRecovers reports whether service does not come back where the oracle's does.
func (s *scenario) neverRecovers() bool {
	return s.recovery == experiment.NeverRecovered && s.oracleRecovery != experiment.NeverRecovered
}

// isAsBadAs reports whether a smaller scenario still shows what another one did.
func (s *scenario) isAsBadAs(original *scenario) bool {
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
	text := fmt.Sprintf("%s: %d nodes, %d caches, %.0f requests/s: in_slo %.3f, the reference %.3f", x.Name, x.Nodes.Count, x.CacheCount(), x.Load.Rate, s.service, s.oracleService)
	if s.recovery == experiment.NeverRecovered {
		text += ", not back"
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

// playScenario plays an experiment with the module and with the oracle.
func playScenario(ctx context.Context, x *experiment.Experiment) *scenario {
	s := &scenario{experiment: x}
	run, err := simulator.Run(ctx, x, simulator.Options{Program: mainProgram, MaxEvents: maxEvents})
	if err != nil {
		s.err = err
		return s
	}
	v := run.Verdict(true)
	s.service, s.violations, s.recovery = v.Figures["in_slo"], v.Violations, v.Figures["recovery_s"]
	run, err = simulator.Run(ctx, x, simulator.Options{Program: oracleName, MaxEvents: maxEvents, NewPolicy: newPolicyFunc(oracleName)})
	if err != nil {
		s.err = fmt.Errorf("the reference: %w", err)
		return s
	}
	v = run.Verdict(false)
	s.oracleService, s.oracleRecovery = v.Figures["in_slo"], v.Figures["recovery_s"]
	return s
}

// Run implements the command.
func (c *searchCmd) Run(ctx context.Context) error {
	scenarios, err := c.playAll(ctx)
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

// playAll generates and plays experiments.
func (c *searchCmd) playAll(ctx context.Context) ([]*scenario, error) {
	ranges := faultsearch.DefaultRanges()
	if c.File != "" {
		var err error
		if ranges, err = faultsearch.ReadRanges(c.File); err != nil {
			return nil, err
		}
	}
	if c.Budget < 1 || c.Budget > maxBudget || c.From < 1 {
		return nil, fmt.Errorf("--budget is wanted between 1 and %d, and --from above 0", maxBudget)
	}
	scenarios := make([]*scenario, c.Budget)
	forEachParallel(ctx, c.Budget, c.Jobs, func(i int) {
		seed := c.From + uint64(i)
		x, err := ranges.Generate(seed)
		if err != nil {
			scenarios[i] = &scenario{err: err, experiment: &experiment.Experiment{Name: fmt.Sprint("seed ", seed)}}
			return
		}
		scenarios[i] = playScenario(ctx, x)
	}, progress("search"))
	if ctx.Err() != nil {
		return nil, errInterrupted
	}
	return scenarios, nil
}

// printSummary prints how the module compares with the oracle.
func printSummary(scenarios []*scenario, violating int) {
	behind, ahead, never := 0, 0, 0
	sum := 0.0
	for _, s := range scenarios {
		sum += s.gap()
		switch {
		case s.gap() > gapMargin:
			behind++
		case s.gap() < -gapMargin:
			ahead++
		}
		if s.neverRecovers() {
			never++
		}
	}
	fmt.Printf("%d experiments: %d with an invariant violated, %d over %.2f behind the reference and %d ahead of it, on average %.3f behind; on %d service does not come back where the reference's does\n",
		len(scenarios), violating, behind, gapMargin, ahead, sum/float64(len(scenarios)), never)
}

// selectWorst returns the scenarios that violate a rule, and those that are furthest behind the oracle.
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

// shrinkAll returns a smaller scenario for each one that still shows what it did.
func (c *searchCmd) shrinkAll(ctx context.Context, scenarios []*scenario) []*scenario {
	smallest := make([]*scenario, len(scenarios))
	forEachParallel(ctx, len(scenarios), c.Jobs, func(i int) {
		smallest[i] = scenarios[i]
		faultsearch.Shrink(scenarios[i].experiment, c.ShrinkAttempts, func(x *experiment.Experiment) bool {
			s := playScenario(ctx, x)
			if !s.isAsBadAs(scenarios[i]) {
				return false
			}
			smallest[i] = s
			return true
		})
	}, nil)
	return smallest
}

// write writes the smallest scenarios as experiments and prints what was found.
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
			return fmt.Errorf("writing what was found: %w", err)
		}
		fmt.Println(s)
		fmt.Println("   least:", smallest[i])
	}
	return nil
}
