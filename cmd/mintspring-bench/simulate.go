package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"

	"mintspring/internal/fleet"
	"mintspring/internal/node/inflight"
	"mintspring/internal/testbed/baseline"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/simulator"
)

const (
	// oracleName is the name of the simulator's oracle on the command line and in reports.
	oracleName = "oracle"
	// oldOracleName is the former name of the oracle, which is still accepted.
	oldOracleName = "seer"
	// oracleDelayMs is the age of the oracle's knowledge of servers: the time of a few responses, and less than load reports take.
	oracleDelayMs = 100
)

// simulateCmd runs experiments on a virtual clock.
type simulateCmd struct {
	Files   []string `arg:"" help:"Experiments."`
	Nodes   int      `help:"So many nodes, in place of the files' own."`
	Servers int      `help:"So many caches."`
	Rate    float64  `help:"So many requests a second, without retries."`
	Seeds   string   `help:"A seed, or seeds from A to B as A..B, in place of the files' own."`
	Jobs    int      `help:"Runs at a time; one for each core otherwise."`
	Against []string `help:"Also play it with random, hash, or the oracle." placeholder:"NAME"`
	Out     string   `help:"Directory for verdicts."`
	JSON    bool     `name:"json" help:"Print verdicts as JSON."`
}

// simulatedRun is one run of an experiment with a program and a seed, and its result.
type simulatedRun struct {
	experiment *experiment.Experiment
	options    simulator.Options
	verdict    experiment.Verdict
	err        error
	done       chan struct{} // closed once verdict or err is set
}

// Run implements the command.
func (c *simulateCmd) Run(ctx context.Context) error {
	runs, err := c.prepare()
	if err != nil {
		return err
	}
	jobs := c.Jobs
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	if len(runs) == 1 {
		runs[0].options.Progress = progress(runs[0].experiment.Name)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go forEachParallel(ctx, len(runs), jobs, func(i int) { runs[i].execute(ctx) }, nil) // ends after the last run or with the context
	return c.printRuns(ctx, runs)
}

// prepare reads the files and returns a run for each seed and program.
func (c *simulateCmd) prepare() ([]*simulatedRun, error) {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return nil, err
	}
	for _, name := range c.Against {
		if name != baseline.Random && name != baseline.Hash && name != oracleName {
			return nil, fmt.Errorf("--against: %q is none of %s, %s and %s; use %s run for other programs",
				name, baseline.Random, baseline.Hash, oracleName, programName)
		}
	}
	var runs []*simulatedRun
	for _, file := range c.Files {
		x, err := c.prepareExperiment(file)
		if err != nil {
			return nil, err
		}
		for _, seed := range seeds {
			runs = append(runs, newSimulatedRun(x, simulator.Options{Program: mainProgram, Seed: seed}))
			for _, name := range c.Against {
				runs = append(runs, newSimulatedRun(x, simulator.Options{
					Program: name, Seed: seed, NoOperatorFile: true, NewPolicy: newPolicyFunc(name),
				}))
			}
		}
	}
	return runs, nil
}

// prepareExperiment reads an experiment for simulation, and prints the expectations that cannot be evaluated there.
func (c *simulateCmd) prepareExperiment(file string) (*experiment.Experiment, error) {
	x, err := experiment.Read(file)
	if err != nil {
		return nil, err
	}
	if x, err = x.WithSize(c.Nodes, c.Servers, c.Rate); err != nil {
		return nil, err
	}
	x, skipped, err := simulator.SupportedExperiment(x)
	if err != nil {
		return nil, err
	}
	if len(skipped) > 0 {
		fmt.Printf("%s: not evaluated, since simulated nodes do not have these figures: %s\n", x.Name, strings.Join(skipped, ", "))
	}
	return x, nil
}

func newSimulatedRun(x *experiment.Experiment, options simulator.Options) *simulatedRun {
	return &simulatedRun{experiment: x, options: options, done: make(chan struct{})}
}

// isMain reports whether the run is of the main program rather than of a baseline.
func (r *simulatedRun) isMain() bool { return r.options.Program == mainProgram }

// execute simulates the run and sets its verdict or error.
func (r *simulatedRun) execute(ctx context.Context) {
	defer close(r.done)
	run, err := simulator.Run(ctx, r.experiment, r.options)
	if err != nil {
		r.err = fmt.Errorf("%s, %s, seed %d: %w", r.experiment.Name, r.options.Program, r.options.Seed, err)
		return
	}
	r.verdict = run.Verdict(r.isMain())
}

// wait waits until the run has ended, and returns its error.
func (r *simulatedRun) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return errors.Join(errInterrupted, ctx.Err())
	}
}

// printRuns prints the verdicts in the order of the runs. After the last program of each experiment and seed it prints a table of them.
func (c *simulateCmd) printRuns(ctx context.Context, runs []*simulatedRun) error {
	failed, evaluated := 0, 0
	var verdicts []experiment.Verdict
	for i, run := range runs {
		if err := run.wait(ctx); err != nil {
			return err
		}
		if err := c.saveAndPrint(&run.verdict); err != nil {
			return err
		}
		if run.verdict.IsMain {
			if evaluated++; !run.verdict.Passed() {
				failed++
			}
		}
		verdicts = append(verdicts, run.verdict)
		if isLast := i+1 == len(runs) || runs[i+1].isMain(); isLast {
			c.printTable(verdicts)
			verdicts = nil
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs did not meet their expectations", failed, evaluated)
	}
	return nil
}

// saveAndPrint writes a verdict to the output directory, if there is one, and prints it.
func (c *simulateCmd) saveAndPrint(verdict *experiment.Verdict) error {
	if c.Out != "" {
		if err := verdict.Save(c.Out); err != nil {
			return err
		}
	}
	return printVerdict(verdict, c.JSON)
}

// printTable compares the verdicts of several programs.
func (c *simulateCmd) printTable(verdicts []experiment.Verdict) {
	if len(verdicts) > 1 && !c.JSON {
		fmt.Print(experiment.FormatTable(verdicts))
	}
}

// newPolicyFunc returns the constructor of the policy with the given name. Each call for the oracle returns that of a new oracle.
func newPolicyFunc(name string) simulator.NewPolicyFunc {
	if name == oracleName {
		return simulator.NewOracle(oracleDelayMs).NewPolicy
	}
	return func(_ *simulator.Simulation, _ int, now float64, limits fleet.Limits, _ *fleet.Slab) inflight.Policy {
		policy, err := baseline.New(name, now, limits)
		if err != nil {
			panic(err) // simulateCmd.prepare has checked the name
		}
		return policy
	}
}
