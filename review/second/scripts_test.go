//go:build review

package main

import (
	"errors"
	"os/exec"
	"testing"
)

// TestSecondReviewCases runs the script of each case of the second review: the rule that its claim quotes has to hold with the disruption and
// without it. The build of the deploy file and build-2.sh come first:
// go test -tags review -count=1 -timeout 30m -run TestSecondReviewCases ./review/second
func TestSecondReviewCases(t *testing.T) {
	for _, folder := range []string{"6", "7", "8", "9", "10"} {
		for _, trouble := range []string{"0", "1"} {
			t.Run(folder+" TROUBLE="+trouble, func(t *testing.T) { runCaseScript(t, "../"+folder+"/run.sh", trouble) })
		}
	}
}

// runCaseScript runs a script and checks its exit code.
func runCaseScript(t *testing.T, script, trouble string) {
	cmd := exec.Command("/bin/sh", script)
	cmd.Env = append(cmd.Environ(), "TROUBLE="+trouble)
	err := cmd.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 2:
		t.Skip("the case could not run; it needs the build of the deploy file and build-2.sh")
	default:
		t.Errorf("%s: %v; see record.txt beside it", script, err)
	}
}
