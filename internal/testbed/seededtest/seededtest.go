// Package seededtest runs the property tests of a package with one fixed seed, so that the same inputs are generated in every run
// and the result does not vary. Only test files may import it.
package seededtest

import (
	"flag"
	"fmt"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that Main sets
)

// seed is the seed of generated inputs. Changing it changes the inputs of every property test of the project.
const seed = "11"

// exitUsage is the exit code for flags that cannot be set, the same as in package flag.
const exitUsage = 2

// Main runs the tests of a package with the fixed seed and exits. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, "seededtest:", err)
			os.Exit(exitUsage)
		}
	}
	os.Exit(m.Run())
}
