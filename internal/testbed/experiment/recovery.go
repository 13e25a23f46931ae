package experiment

import (
	"math"
	"slices"
	"time"
)

// NeverRecovered is the value of recovery_s when service does not recover before the run ends.
const NeverRecovered = neverSeconds

const (
	// recoveredShare is the share of the service before the first fault that counts as recovered.
	recoveredShare = 0.95
	// steadySeconds is the number of consecutive seconds for which service must reach recoveredShare.
	steadySeconds = 2
)

// faultWindow is the time span of a run's faults, with the service level before it.
type faultWindow struct {
	fromMs, toMs  float64 // from the first step of the timeline to the last
	serviceBefore float64 // objective share before the first step
}

// faultWindow returns the time span of the run's faults. It returns false if there were no faults, or no service before them.
func (r *Run) faultWindow() (w faultWindow, ok bool) {
	w.fromMs = math.Inf(1)
	for _, event := range r.Experiment.Timeline() {
		atMs := r.FromMs + float64(event.At)/float64(time.Millisecond)
		w.fromMs, w.toMs = min(w.fromMs, atMs), max(w.toMs, atMs)
		ok = true
	}
	if !ok {
		return w, false
	}
	w.serviceBefore = r.objectiveShare(timeWindow(r.FromMs, w.fromMs))
	return w, w.serviceBefore > 0
}

// servicePerSecond returns the objective share of each second from a time on, without the seconds in which no request was due.
func (r *Run) servicePerSecond(fromMs float64) (service []float64) {
	const roundingMs = 1
	for at := fromMs; at+msPerSec <= r.ToMs+roundingMs; at += msPerSec {
		if second := timeWindow(at, at+msPerSec); r.requestCount(second) > 0 {
			service = append(service, r.objectiveShare(second))
		}
	}
	return service
}

// recoverySeconds returns the time from the end of the last fault until service has recovered, which means that it stays at or above
// recoveredShare of the service before the first fault for steadySeconds. The result is 0 if there is no fault, no service before the first
// fault, or too little time after the last one. The result is NeverRecovered if service does not recover before the run ends: then the
// failure is metastable and sustains itself after its cause has gone.
func (r *Run) recoverySeconds(measureWindow) float64 {
	faults, ok := r.faultWindow()
	if !ok {
		return 0
	}
	service := r.servicePerSecond(faults.toMs)
	if len(service) < steadySeconds {
		return 0
	}
	isBelow := func(share float64) bool { return share < recoveredShare*faults.serviceBefore }
	for i := range len(service) - steadySeconds + 1 {
		if !slices.ContainsFunc(service[i:i+steadySeconds], isBelow) {
			return float64(i)
		}
	}
	return NeverRecovered
}

// worstSecond returns the service in the worst second from the first fault on, as a share of the service before that fault.
func (r *Run) worstSecond(measureWindow) float64 {
	faults, ok := r.faultWindow()
	if !ok {
		return 1
	}
	worst := 1.0
	for _, share := range r.servicePerSecond(faults.fromMs) {
		worst = min(worst, share/faults.serviceBefore)
	}
	return worst
}
