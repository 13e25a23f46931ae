package experiment

import (
	"fmt"
	"math"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/invariants"
)

// hysteresisMargin is how much less service on the way down is more than chance.
const hysteresisMargin = 0.03

// SaturationSweep returns an experiment whose rate is raised in even steps and lowered by the same ones, without any fault, so that what is
// served at a rate on the way up can be compared with what is served on the way down. Where the way down serves less, a state keeps itself
// alive after its cause has gone.
func (x *Experiment) SaturationSweep(from, to float64, steps int, hold time.Duration) (*Experiment, error) {
	if steps < 2 || from <= 0 || to <= from || hold < time.Second {
		return nil, fmt.Errorf("a sweep from %v to %v in %d steps of %v: a range above 0, two steps and 1s are the least", from, to, steps, hold)
	}
	y := *x
	y.Steps, y.Expectations = nil, nil
	y.Load.Rate = from
	last := 2*steps - 2
	y.Length = tomlfile.Duration(hold) * tomlfile.Duration(last+1)
	for i := range last + 1 {
		rate := from + (to-from)*float64(min(i, last-i))/float64(steps-1)
		y.Steps = append(y.Steps, Step{Time: tomlfile.Duration(hold) * tomlfile.Duration(i), Action: "rate", Value: rate / from})
	}
	return &y, y.validate()
}

// SweepFigures are what a fleet does at one rate, on the way up or on the way down.
type SweepFigures struct {
	ObjectiveShare    float64 // share of the priority weight within its latency objective
	HitShare          float64
	OriginUtilization float64
	Rejected          float64 // share of requests
}

// SweepStep is what a fleet does at one rate.
type SweepStep struct {
	Rate     float64
	Up, Down SweepFigures
}

// HasHysteresis reports whether the way down serves less by more than chance makes of it.
func (s *SweepStep) HasHysteresis() bool {
	return s.Down.ObjectiveShare < s.Up.ObjectiveShare-hysteresisMargin
}

// SweepSteps returns those of a run of a sweep. Of each step the second half counts, when what the step before has left is over.
func (r *Run) SweepSteps() []SweepStep {
	count := len(r.Experiment.Steps)
	steps := make([]SweepStep, (count+1)/2)
	holdMs := (r.ToMs - r.FromMs) / float64(count)
	for i, step := range r.Experiment.Steps {
		w := window(r.FromMs+holdMs*(float64(i)+0.5), r.FromMs+holdMs*float64(i+1))
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

// MeanSweep returns the means of the sweeps of several runs, step by step. All of them have the same rates.
func MeanSweep(runs [][]SweepStep) []SweepStep {
	if len(runs) == 0 {
		return nil
	}
	count := float64(len(runs))
	means := make([]SweepStep, len(runs[0]))
	for i := range means {
		means[i].Rate = runs[0][i].Rate
		for _, steps := range runs {
			means[i].Up.add(&steps[i].Up, count)
			means[i].Down.add(&steps[i].Down, count)
		}
	}
	return means
}

// add adds the part of other figures that one of so many has in a mean.
func (f *SweepFigures) add(o *SweepFigures, count float64) {
	f.ObjectiveShare += o.ObjectiveShare / count
	f.HitShare += o.HitShare / count
	f.OriginUtilization += o.OriginUtilization / count
	f.Rejected += o.Rejected / count
}
