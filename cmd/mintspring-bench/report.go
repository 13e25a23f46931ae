package main

import (
	"fmt"

	"mintspring/internal/testbed/experiment"
)

// reportCmd writes one page about the runs in a folder.
type reportCmd struct {
	Dir string `arg:""`
}

// Run implements the command.
func (c *reportCmd) Run() error {
	file, err := experiment.WriteReport(c.Dir)
	if err == nil {
		fmt.Println(file)
	}
	return err
}

// compareCmd prints the figures of matching runs in two folders side by side.
type compareCmd struct {
	A string `arg:""`
	B string `arg:""`
}

// Run implements the command.
func (c *compareCmd) Run() error {
	inA, err := experiment.LoadVerdicts(c.A)
	if err != nil {
		return err
	}
	inB, err := experiment.LoadVerdicts(c.B)
	if err != nil {
		return err
	}
	for i := range inA {
		for j := range inB {
			if a, b := &inA[i], &inB[j]; isComparable(a, b) {
				fmt.Printf("%s, %s seed %d: %s and %s\n", a.Experiment, a.Program, a.Seed, c.A, c.B)
				fmt.Print(experiment.FormatTable([]experiment.Verdict{*a, *b}))
			}
		}
	}
	return nil
}

// isComparable reports whether two verdicts are of the same experiment and program. Two main programs match even if their names differ.
func isComparable(a, b *experiment.Verdict) bool {
	return a.Experiment == b.Experiment && a.IsMain == b.IsMain && (currentName(a.Program) == currentName(b.Program) || a.IsMain)
}

// currentName returns the current name of a program. Verdicts saved by earlier versions may have its former name.
func currentName(program string) string {
	if program == oldOracleName {
		return oracleName
	}
	return program
}

// figuresCmd lists the figures that an expectation can name.
type figuresCmd struct{}

// Run implements the command.
func (c *figuresCmd) Run() error { //nolint:unparam // kong asks for a method with an error
	for _, d := range experiment.FigureDescriptions() {
		fmt.Printf("%-22s %s\n", d.Name, d.Unit)
	}
	return nil
}
