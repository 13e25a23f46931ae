package experiment

import (
	"fmt"
	"math"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/invariants"
)

// hysteresisMargin is the greatest loss of service on the way down, as a share, that counts as random variation.
const hysteresisMargin = 0.03

// SaturationSweep returns an experiment that raises the rate in equal steps and lowers it by the same steps, without any fault. It compares
// the service at each rate on the way up and on the way down. Less service on the way down indicates a metastable failure: an overload that
// sustains itself after its cause has gone.
func (x *Experiment) SaturationSweep(from, to float64, steps int, stepDuration time.Duration) (*Experiment, error) {
	if steps < 2 || from <= 0 || to <= from || stepDuration < time.Second {
		return nil, fmt.Errorf("sweep from %v to %v in %d steps of %v: the rates must be above 0 and rise, in at least 2 steps of at least 1s", from, to, steps, stepDuration)
	}
	sweep := *x
	sweep.Steps, sweep.Expectations = nil, nil
	sweep.Load.Rate = from
	lastIndex := 2*steps - 2
	sweep.Length = tomlfile.Duration(stepDuration) * tomlfile.Duration(lastIndex+1)
	for i := range lastIndex + 1 {
		rate := from + (to-from)*float64(min(i, lastIndex-i))/float64(steps-1)
		sweep.Steps = append(sweep.Steps, Step{Time: tomlfile.Duration(stepDuration) * tomlfile.Duration(i), Action: "rate", Value: rate / from})
	}
	return &sweep, sweep.validate()
}

// SweepFigures holds the figures of a sweep at one rate, on the way up or on the way down.
type SweepFigures struct {
	ObjectiveShare    float64 // share of the priority weight completed within the latency objective
	HitShare          float64
	OriginUtilization float64
	Rejected          float64 // share of requests
}

// SweepStep holds the figures of a sweep at one rate, in both directions.
type SweepStep struct {
	Rate     float64
	Up, Down SweepFigures
}

// HasHysteresis reports whether service on the way down is lower than on the way up by more than random variation.
func (s *SweepStep) HasHysteresis() bool {
	return s.Down.ObjectiveShare < s.Up.ObjectiveShare-hysteresisMargin
}

// SweepSteps returns the steps of a run of SaturationSweep, one for each rate. Only the second half of each step is measured: the first
// half still shows the effects of the step before.
func (r *Run) SweepSteps() []SweepStep {
	count := len(r.Experiment.Steps)
	steps := make([]SweepStep, (count+1)/2)
	stepMs := (r.ToMs - r.FromMs) / float64(count)
	for i, step := range r.Experiment.Steps {
		w := timeWindow(r.FromMs+stepMs*(float64(i)+0.5), r.FromMs+stepMs*float64(i+1))
		figures := SweepFigures{
			ObjectiveShare: r.objectiveShare(w), HitShare: r.hitShare(w), OriginUtilization: r.originUtilization(w),
			Rejected: outcomeShare(invariants.Rejected)(r, w),
		}
		s := &steps[min(i, count-1-i)]
		s.Rate = math.Round(r.Experiment.Load.Rate * step.Value)
		if i <= count/2 {
			s.Up = figures
		}
		if i >= count/2 {
			s.Down = figures
		}
	}
	return steps
}

// MeanSweep returns the means of several runs of one sweep, step by step.
func MeanSweep(runs [][]SweepStep) []SweepStep {
	if len(runs) == 0 {
		return nil
	}
	runCount := float64(len(runs))
	means := make([]SweepStep, len(runs[0]))
	for i := range means {
		means[i].Rate = runs[0][i].Rate
		for _, steps := range runs {
			means[i].Up.add(&steps[i].Up, runCount)
			means[i].Down.add(&steps[i].Down, runCount)
		}
	}
	return means
}

// add adds other figures divided by the number of runs, for a mean.
func (f *SweepFigures) add(other *SweepFigures, runCount float64) {
	f.ObjectiveShare += other.ObjectiveShare / runCount
	f.HitShare += other.HitShare / runCount
	f.OriginUtilization += other.OriginUtilization / runCount
	f.Rejected += other.Rejected / runCount
}
