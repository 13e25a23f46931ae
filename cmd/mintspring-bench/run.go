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

// runCmd runs experiments with real processes.
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

// testedProgram is a program that experiments are run with: the main program or one that it is compared with.
type testedProgram struct {
	name    string
	command []string
	isMain  bool
}

// Run implements the command.
func (c *runCmd) Run(ctx context.Context) error {
	programs, err := c.testedPrograms()
	if err != nil {
		return err
	}
	failed := 0
	for _, file := range c.Files {
		passed, err := c.runFile(ctx, file, programs)
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d experiments did not meet their expectations", failed, len(c.Files))
	}
	return nil
}

// testedPrograms returns the main program, followed by the programs that it is compared with.
func (c *runCmd) testedPrograms() ([]testedProgram, error) {
	program, err := nodeProgram(c.Program)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	mainTestedProgram := testedProgram{name: mainProgram, command: []string{program}, isMain: true}
	if c.TraceSyscalls != "" {
		mainTestedProgram.command = tracedCommand(self, c.TraceSyscalls, program)
	}
	if c.FailSyscalls != "" {
		if _, err := syscalltrace.ParseFaultPlan(c.FailSyscalls); err != nil {
			return nil, err
		}
		mainTestedProgram.command = tracedCommand(self, faultPlanPrefix+c.FailSyscalls, program)
	}
	programs := []testedProgram{mainTestedProgram}
	for _, name := range c.Against {
		if name == baseline.Random || name == baseline.Hash {
			programs = append(programs, testedProgram{name: name, command: []string{self, "baseline-node", "--policy", name}})
			continue
		}
		if _, err := os.Stat(name); err != nil {
			return nil, fmt.Errorf("--against: %w; it must be %s, %s or the path of a program", err, baseline.Random, baseline.Hash)
		}
		programs = append(programs, testedProgram{name: filepath.Base(name) + "-before", command: []string{name}})
	}
	return programs, nil
}

// runFile runs an experiment with each program, and reports whether the main program passed.
func (c *runCmd) runFile(ctx context.Context, file string, programs []testedProgram) (passed bool, err error) {
	x, err := experiment.Read(file)
	if err != nil {
		return false, err
	}
	var verdicts []experiment.Verdict
	for _, program := range programs {
		v, err := c.runProgram(ctx, x, program)
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

// runProgram runs an experiment with one program. It prints the verdict, and saves it if there is an output directory.
func (c *runCmd) runProgram(ctx context.Context, x *experiment.Experiment, program testedProgram) (experiment.Verdict, error) {
	options := processrunner.Options{
		Program: program.name, Command: program.command, NoOperatorFile: !program.isMain, Seed: c.Seed, Progress: progress(x.Name),
	}
	if c.Out != "" {
		options.Dir = filepath.Join(c.Out, x.Name+"-"+program.name)
	}
	run, err := processrunner.Play(ctx, x, options)
	if errors.Is(err, context.Canceled) {
		return experiment.Verdict{}, fmt.Errorf("%w; all started processes have ended", errInterrupted)
	}
	if err != nil {
		return experiment.Verdict{}, err
	}
	v := run.Verdict(program.isMain)
	if c.Out != "" {
		if err := v.Save(c.Out); err != nil {
			return v, err
		}
	}
	return v, printVerdict(&v, c.JSON)
}
