//go:build review

package review

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases runs the script of each case: the rule that its claim quotes has to hold with the disruption and without it. The build of the
// deploy file and build.sh come first: go test -tags review -count=1 -run TestReviewCases ./review
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("*/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, script := range scripts {
		for _, trouble := range []string{"0", "1"} {
			t.Run(script+" TROUBLE="+trouble, func(t *testing.T) { runScript(t, script, trouble) })
		}
	}
}

// runScript runs a script and checks its exit code.
func runScript(t *testing.T, script, trouble string) {
	cmd := exec.Command("/bin/sh", script)
	cmd.Env = append(cmd.Environ(), "TROUBLE="+trouble)
	err := cmd.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 2:
		t.Skip("the case could not run; it needs the build of the deploy file and build.sh")
	default:
		t.Errorf("%s: %v; see record.txt beside it", script, err)
	}
}
