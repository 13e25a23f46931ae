// Package version describes the build of a program.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Describe returns one line with the name of the program, the revision that it was built from, and the version of Go.
func Describe(program string) string {
	revision, modified := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				revision = setting.Value
			case setting.Key == "vcs.modified" && setting.Value == "true":
				modified = " with changes"
			}
		}
	}
	return fmt.Sprintf("%s %s%s, %s", program, revision, modified, runtime.Version())
}
