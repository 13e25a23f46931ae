// Command simhost hosts instances of the decision module for the operators' simulator, which it talks to over standard input and output. It
// exits with status 1 if the input is malformed or on an I/O error.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"mintspring/internal/simwire"
)

// gcPercent makes garbage collections rare: CPU time is scarce, and the common path does not allocate.
const gcPercent = 800

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.NewHost(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
