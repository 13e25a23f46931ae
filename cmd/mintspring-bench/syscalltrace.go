package main

import (
	"errors"
	"fmt"
	"strings"

	"mintspring/internal/testbed/syscalltrace"
)

// errTraceUsage says how the hidden command is called.
var errTraceUsage = errors.New("trace-syscalls: a mode and a program are required")

// checkDynamicCmd says whether the platform can load its library into a program.
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

// faultsMode begins the mode of a traced program whose system calls fail by a plan.
const faultsMode = "faults:"

// tracedCommand returns how a node's program is started with its system calls traced in a mode. self is this program.
func tracedCommand(self, mode, program string) []string {
	return []string{self, "trace-syscalls", mode, program}
}

// syscallTraceCmd runs a node's program in place of itself: a mode, the program and its arguments.
type syscallTraceCmd struct {
	Args []string `arg:"" passthrough:""`
}

// Run implements the command.
func (c *syscallTraceCmd) Run() error {
	if len(c.Args) < 2 {
		return errTraceUsage
	}
	if text, found := strings.CutPrefix(c.Args[0], faultsMode); found {
		plan, err := syscalltrace.ParseFaultPlan(text)
		if err != nil {
			return err
		}
		return syscalltrace.RunWithFaults(c.Args[1:], plan)
	}
	return syscalltrace.Run(c.Args[1:], syscalltrace.Mode(c.Args[0]))
}
