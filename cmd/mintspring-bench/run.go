package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"mintspring/internal/testbed/baseline"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/processrunner"
	"mintspring/internal/testbed/syscalltrace"
)

// runCmd plays experiments with real processes.
type runCmd struct {
	Files         []string `arg:"" help:"Experiments."`
	Seed          uint64   `help:"In place of the files' own."`
	Out           string   `help:"Directory for verdicts and the logs of nodes."`
	JSON          bool     `name:"json" help:"Print verdicts as JSON."`
	Against       []string `help:"Also play it with random, hash, or another build's program." placeholder:"NAME"`
	Program       string   `help:"The node's program; the one beside this otherwise."`
	TraceSyscalls string   `help:"Trace the node's system calls, and fail those that the platform blocks, or end the node." enum:",deny,kill" default:""`
	FailSyscalls  string   `help:"Fail the node's system calls by a plan, such as calls=connect,errno=ENOBUFS,share=0.5,from=4s,for=1s,every=3s." placeholder:"PLAN"`
}

// competitor is a program that experiments are played with.
type competitor struct {
	name    string
	command []string
	isMain  bool
}

// Run implements the command.
func (c *runCmd) Run(ctx context.Context) error {
	competitors, err := c.competitors()
	if err != nil {
		return err
	}
	failed := 0
	for _, file := range c.Files {
		passed, err := c.playFile(ctx, file, competitors)
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d experiments fell short", failed, len(c.Files))
	}
	return nil
}

// competitors returns the main program and what it is compared with.
func (c *runCmd) competitors() ([]competitor, error) {
	program, err := nodeProgram(c.Program)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	judged := competitor{name: mainProgram, command: []string{program}, isMain: true}
	if c.TraceSyscalls != "" {
		judged.command = tracedCommand(self, c.TraceSyscalls, program)
	}
	if c.FailSyscalls != "" {
		if _, err := syscalltrace.ParseFaultPlan(c.FailSyscalls); err != nil {
			return nil, err
		}
		judged.command = tracedCommand(self, faultsMode+c.FailSyscalls, program)
	}
	all := []competitor{judged}
	for _, name := range c.Against {
		if name == baseline.Random || name == baseline.Hash {
			all = append(all, competitor{name: name, command: []string{self, "baseline-node", "--policy", name}})
			continue
		}
		if _, err := os.Stat(name); err != nil {
			return nil, fmt.Errorf("--against: %w; it is %s, %s or a program", err, baseline.Random, baseline.Hash)
		}
		all = append(all, competitor{name: filepath.Base(name) + "-before", command: []string{name}})
	}
	return all, nil
}

// playFile plays an experiment with each program, and reports whether the main one passed.
func (c *runCmd) playFile(ctx context.Context, file string, competitors []competitor) (passed bool, err error) {
	x, err := experiment.Read(file)
	if err != nil {
		return false, err
	}
	var verdicts []experiment.Verdict
	for _, competitor := range competitors {
		v, err := c.play(ctx, x, competitor)
		if err != nil {
			return false, fmt.Errorf("%s: %w", file, err)
		}
		verdicts = append(verdicts, v)
	}
	if len(verdicts) > 1 && !c.JSON {
		fmt.Print(experiment.FormatTable(verdicts))
	}
	return verdicts[0].Passed() && verdicts[0].IsValid, nil
}

// play plays an experiment with one program, prints the verdict and keeps it.
func (c *runCmd) play(ctx context.Context, x *experiment.Experiment, with competitor) (experiment.Verdict, error) {
	options := processrunner.Options{
		Program: with.name, Command: with.command, NoOperatorFile: !with.isMain, Seed: c.Seed, Progress: progress(x.Name),
	}
	if c.Out != "" {
		options.Dir = filepath.Join(c.Out, x.Name+"-"+with.name)
	}
	run, err := processrunner.Play(ctx, x, options)
	if errors.Is(err, context.Canceled) {
		return experiment.Verdict{}, fmt.Errorf("%w; all that was started has ended", errInterrupted)
	}
	if err != nil {
		return experiment.Verdict{}, err
	}
	v := run.Verdict(with.isMain)
	if c.Out != "" {
		if err := v.Save(c.Out); err != nil {
			return v, err
		}
	}
	return v, printVerdict(&v, c.JSON)
}
