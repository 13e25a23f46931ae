package coreshare

import (
	"os/exec"
	"testing"
	"time"
)

// A busy process gets its share of a core and no more, and runs freely once the limit has ended.
func TestLimit(t *testing.T) {
	const share, period = 0.1, 2 * time.Second
	cmd := exec.CommandContext(t.Context(), "sh", "-c", "while :; do :; done")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	limiter := Limit(cmd.Process, share)
	time.Sleep(period)
	limiter.Stop()
	limited, err := CPUTime(cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if most := time.Duration(1.5 * share * float64(period)); limited > most || limited == 0 {
		t.Errorf("the process has used %v in %v, want some, and %v at most", limited, period, most)
	}
	deadline := time.Now().Add(20 * time.Second)
	for used := limited; used < 2*limited; time.Sleep(checkInterval) {
		if used, err = CPUTime(cmd.Process.Pid); err != nil || time.Now().After(deadline) {
			t.Fatalf("the process has used %v after the limit, %v", used-limited, err)
		}
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Error(err)
	}
	_ = cmd.Wait() // it was killed
}
