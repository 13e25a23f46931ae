package main

import (
	"errors"
	"fmt"
	"strings"

	"mintspring/internal/testbed/syscalltrace"
)

// errTraceUsage reports missing arguments of the hidden command.
var errTraceUsage = errors.New("trace-syscalls: a mode and a program are required")

// checkDynamicCmd checks whether the platform can load its library into a program.
type checkDynamicCmd struct {
	Program string `arg:""`
}

// Run implements the command.
func (c *checkDynamicCmd) Run() error {
	err := syscalltrace.CheckDynamic(c.Program)
	if err == nil {
		fmt.Printf("%s: dynamic, with the C library\n", c.Program)
	}
	return err
}

// faultPlanPrefix is the prefix of a mode that makes system calls fail by a plan; the plan follows it.
const faultPlanPrefix = "faults:"

// tracedCommand returns the command that starts a node's program with its system calls traced in a mode. self is the path of this program.
func tracedCommand(self, mode, program string) []string {
	return []string{self, "trace-syscalls", mode, program}
}

// syscallTraceCmd runs a program with its system calls traced. Its arguments are a mode, the program and the program's arguments.
type syscallTraceCmd struct {
	Args []string `arg:"" passthrough:""`
}

// Run implements the command.
func (c *syscallTraceCmd) Run() error {
	if len(c.Args) < 2 {
		return errTraceUsage
	}
	if text, found := strings.CutPrefix(c.Args[0], faultPlanPrefix); found {
		plan, err := syscalltrace.ParseFaultPlan(text)
		if err != nil {
			return err
		}
		return syscalltrace.RunWithFaults(c.Args[1:], plan)
	}
	return syscalltrace.Run(c.Args[1:], syscalltrace.Mode(c.Args[0]))
}
