package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/simulator"
)

// sweepCmd raises the load of a simulated fleet past saturation and lowers it again.
type sweepCmd struct {
	File         string        `arg:"" help:"The experiment whose fleet it is; its faults are left out."`
	From         float64       `help:"Requests a second at the beginning and the end." required:""`
	To           float64       `help:"And in the middle." required:""`
	Steps        int           `help:"Of the way up, and of the way down." default:"6"`
	StepDuration time.Duration `help:"How long each lasts." default:"20s"`
	Seeds        string        `help:"A seed, or seeds from A to B as A..B; figures are their means."`
	Against      string        `help:"Play random, hash or oracle in place of the module." default:""`
}

// Run implements the command.
func (c *sweepCmd) Run(ctx context.Context) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	x, err := c.prepare()
	if err != nil {
		return err
	}
	runs, errs := make([][]experiment.SweepStep, len(seeds)), make([]error, len(seeds))
	forEachParallel(ctx, len(seeds), 0, func(i int) { runs[i], errs[i] = c.runSeed(ctx, x, seeds[i]) }, nil)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	printSweep(experiment.MeanSweep(runs))
	return nil
}

// prepare returns the experiment of the sweep, with the load raised and lowered in steps.
func (c *sweepCmd) prepare() (*experiment.Experiment, error) {
	x, err := experiment.Read(c.File)
	if err != nil {
		return nil, err
	}
	if x, err = x.SaturationSweep(c.From, c.To, c.Steps, c.StepDuration); err != nil {
		return nil, err
	}
	x, _, err = simulator.SupportedExperiment(x)
	return x, err
}

// runSeed simulates the sweep with a seed. It fails if an invariant is violated.
func (c *sweepCmd) runSeed(ctx context.Context, x *experiment.Experiment, seed uint64) ([]experiment.SweepStep, error) {
	options := simulator.Options{Program: "sweep", Seed: seed}
	if c.Against != "" {
		options.NewPolicy = newPolicyFunc(c.Against)
	}
	run, err := simulator.Run(ctx, x, options)
	if err != nil {
		return nil, err
	}
	if len(run.Violations) > 0 {
		return nil, errors.New(run.Violations[len(run.Violations)-1].String())
	}
	return run.SweepSteps(), nil
}

// printSweep prints a table row for each rate.
func printSweep(steps []experiment.SweepStep) {
	fmt.Printf("%8s  %-19s  %-19s  %-19s  %-19s\n%8s  %8s %10s  %8s %10s  %8s %10s  %8s %10s\n", "", "in SLO", "hits", "origin", "rejected", "a second",
		"way up", "way down", "way up", "way down", "way up", "way down", "way up", "way down")
	for i := range steps {
		step := &steps[i]
		note := ""
		if step.HasHysteresis() {
			note = "  the way down serves less: metastable failure"
		}
		fmt.Printf("%8.0f  %8.3f %10.3f  %8.3f %10.3f  %8.3f %10.3f  %8.3f %10.3f%s\n", step.Rate, step.Up.ObjectiveShare, step.Down.ObjectiveShare,
			step.Up.HitShare, step.Down.HitShare, step.Up.OriginUtilization, step.Down.OriginUtilization, step.Up.Rejected, step.Down.Rejected, note)
	}
}
