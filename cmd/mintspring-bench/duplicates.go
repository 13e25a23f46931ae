package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/processrunner"
	"mintspring/internal/testbed/simulator"
)

// lateDuplicates is the experiment action that makes a server send late duplicate responses.
const lateDuplicates = "late_surplus"

// duplicatesCmd measures how many wrong responses late duplicate responses cause.
type duplicatesCmd struct {
	Files    []string        `arg:"" help:"Experiments with late_surplus among their steps."`
	Shares   []float64       `help:"Shares of responses that are duplicated." default:"0.005,0.02,0.1"`
	Delays   []time.Duration `help:"How late the duplicates come." default:"500us,3ms,20ms,100ms"`
	Seeds    string          `help:"A seed, or seeds from A to B as A..B." default:"1..20"`
	Real     bool            `help:"With real processes."`
	Jobs     int             `help:"Runs at a time; one for each core, or one with real processes, otherwise."`
	Duration time.Duration   `help:"How long each is measured, in place of the files' own."`
}

// duplicatesRun is an experiment with a share of responses that are duplicated after a delay.
type duplicatesRun struct {
	experiment *experiment.Experiment
	share      float64
	delay      time.Duration
}

// Run runs each experiment without duplicates and with each combination of share and delay. For each it prints how many responses were
// wrong, how many of those came after the node first detected duplicates, and the cost in connections and latency.
func (c *duplicatesCmd) Run(ctx context.Context) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	program := ""
	if c.Real {
		if program, err = nodeProgram(""); err != nil {
			return err
		}
	}
	fmt.Print("| experiment | share | late | runs with a wrong answer | wrong | after the first sign | signs | opens a run | in SLO | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, file := range c.Files {
		runs, err := c.prepare(file)
		if err != nil {
			return err
		}
		for i := range runs {
			if err := c.runAndPrint(ctx, &runs[i], seeds, program); err != nil {
				return err
			}
		}
	}
	return nil
}

// prepare reads a file and returns its experiment without duplicates, and one for each combination of share and delay.
func (c *duplicatesCmd) prepare(file string) ([]duplicatesRun, error) {
	x, err := experiment.Read(file)
	if err != nil {
		return nil, err
	}
	isDuplicates := func(s experiment.Step) bool { return s.Action == lateDuplicates }
	if !slices.ContainsFunc(x.Steps, isDuplicates) {
		return nil, x.FieldErrorf("at", "at least one step must be %s", lateDuplicates)
	}
	if c.Duration > 0 {
		x.Length = tomlfile.Duration(c.Duration)
	}
	withoutDuplicates := *x
	withoutDuplicates.Steps = slices.DeleteFunc(slices.Clone(x.Steps), isDuplicates)
	runs := []duplicatesRun{{experiment: &withoutDuplicates}}
	for _, share := range c.Shares {
		for _, delay := range c.Delays {
			withDuplicates := *x
			withDuplicates.Steps = slices.Clone(x.Steps)
			for i := range withDuplicates.Steps {
				if s := &withDuplicates.Steps[i]; isDuplicates(*s) {
					s.Value, s.Delay = share, tomlfile.Duration(delay)
				}
			}
			runs = append(runs, duplicatesRun{&withDuplicates, share, delay})
		}
	}
	return runs, nil
}

// runAndPrint runs one experiment with each seed and prints one table row for all of them.
func (c *duplicatesCmd) runAndPrint(ctx context.Context, d *duplicatesRun, seeds []uint64, program string) error {
	runs, errs := make([]*experiment.Run, len(seeds)), make([]error, len(seeds))
	jobs := c.Jobs
	if c.Real {
		jobs = max(1, jobs)
	}
	forEachParallel(ctx, len(seeds), jobs, func(i int) { runs[i], errs[i] = c.runSeed(ctx, d.experiment, seeds[i], program) }, nil)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	wrongRuns, wrongResponses, afterDetection, detections := 0, 0, 0, 0
	for _, run := range runs {
		if len(run.WrongKeyResponses) > 0 {
			wrongRuns++
		}
		wrongResponses += len(run.WrongKeyResponses)
		afterDetection += int(run.FigureByName("wrong_after_sign"))
		detections += len(run.DuplicateDetections)
	}
	fmt.Printf("| %s | %.3g | %v | %d of %d | %d | %d | %d | %.0f | %.4f | %.2f | %.1f |\n", d.experiment.Name, d.share, d.delay, wrongRuns, len(runs),
		wrongResponses, afterDetection, detections, meanFigure(runs, "opens"), meanFigure(runs, "in_slo"), meanFigure(runs, "p50_ms"), meanFigure(runs, "p99_ms"))
	return nil
}

// runSeed runs an experiment with a seed.
func (c *duplicatesCmd) runSeed(ctx context.Context, x *experiment.Experiment, seed uint64, program string) (*experiment.Run, error) {
	if c.Real {
		return processrunner.Play(ctx, x, processrunner.Options{Program: mainProgram, Command: []string{program}, Seed: seed})
	}
	run, err := simulator.Run(ctx, x, simulator.Options{Program: mainProgram, Seed: seed})
	if err != nil {
		return nil, err
	}
	run.Executions = nil // saves memory: the table uses no figure of single executions
	return run, nil
}

// meanFigure returns the mean of a figure over all runs.
func meanFigure(runs []*experiment.Run, name string) (mean float64) {
	for _, run := range runs {
		mean += run.FigureByName(name) / float64(len(runs))
	}
	return mean
}
