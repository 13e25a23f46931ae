// Package processtest lets the tests of a package start the package's own test binary as a child process. Only test files may import it.
package processtest

import (
	"fmt"
	"os"
	"testing"
)

// Main runs the tests of a package and exits. If the first command-line argument is the given one, it calls run with the second
// argument, the configuration of the child process, instead. Call it from TestMain.
func Main(m *testing.M, argument string, run func(config string) error) {
	if len(os.Args) <= 2 || os.Args[1] != argument {
		os.Exit(m.Run())
	}
	if err := run(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}
