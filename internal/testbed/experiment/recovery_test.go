package experiment

import (
	"strings"
	"testing"
	"time"
)

// The figures tell a service that recovers after a fault, with its recovery time, from one that never does and from one that is not
// affected.
func TestRecovery(t *testing.T) {
	x := parse(t, strings.Replace(small, `length = "2s"`, `length = "20s"`, 1)+"[[at]]\ntime = \"5s\"\ndo = \"kill\"\nbox = \"box-0\"\nfor = \"2s\"\n")
	for name, c := range map[string]struct {
		recoversAt  float64 // time of the run, in s, from which service is as before the fault
		want, worst float64
	}{"at once": {7, 0, 0}, "after three seconds": {10, 3, 0}, "never": {99, NeverRecovered, 0}, "not affected": {5, 0, 1}} {
		r := NewRun(x, "test", 1, 0, 20000)
		for i := range 2000 {
			at := float64(i) * 10
			r.Requests = append(r.Requests, Request{DueMs: at, MetObjective: at < 5000 || at >= 1000*c.recoversAt})
		}
		got, worst := r.Figure(Expectation{Figure: "recovery_s"}), r.Figure(Expectation{Figure: "worst_second"})
		if got != c.want || worst != c.worst {
			t.Errorf("%s: recovery_s is %v, want %v; worst_second is %v, want %v", name, got, c.want, worst, c.worst)
		}
	}
}

// Service that drops at the top of a sweep and does not come back shows as hysteresis of the lower rates.
func TestSaturationSweep(t *testing.T) {
	x := parse(t, strings.Replace(small, `length = "2s"`, `length = "20s"`, 1))
	sweep, err := x.SaturationSweep(100, 300, 3, 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	r := NewRun(sweep, "test", 1, 0, sweep.Length.Milliseconds())
	for i := range int(r.ToMs) {
		r.Requests = append(r.Requests, Request{DueMs: float64(i), MetObjective: i < 12000 || i%2 == 0}) // half of the service is lost from the start of the way down
	}
	steps := r.SweepSteps()
	if len(steps) != 3 || steps[0].Rate != 100 || steps[2].Rate != 300 || steps[0].Up.ObjectiveShare != 1 || !steps[0].HasHysteresis() || !steps[1].HasHysteresis() || steps[2].HasHysteresis() {
		t.Errorf("%+v", steps)
	}
	if _, err := x.SaturationSweep(300, 100, 3, time.Second); err == nil {
		t.Error("a sweep from a higher to a lower rate is accepted")
	}
}
