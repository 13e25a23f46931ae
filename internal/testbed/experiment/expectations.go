package experiment

import (
	"fmt"
	"math"
)

// ExpectationResult is an expectation with the measured value of its figure.
type ExpectationResult struct {
	Expectation string  `json:"Expect"`
	Value       float64 `json:"Value"`
	Held        bool    `json:"Held"`
	Binds       bool    `json:"Binds"` // it counts for the run's program; see Expectation.BindsBaselines
}

// evaluateExpectations evaluates each expectation of the experiment. All expectations bind the program under
// test; only those with BindsBaselines also bind a baseline.
func (r *Run) evaluateExpectations(isMain bool) []ExpectationResult {
	var results []ExpectationResult
	for _, e := range r.Experiment.Expectations {
		value := r.Figure(e)
		held := !math.IsNaN(value)
		if e.AtLeast != nil {
			held = held && value >= *e.AtLeast
		} else {
			held = held && value <= *e.AtMost
		}
		results = append(results, ExpectationResult{
			Expectation: e.describe(r.Experiment), Value: value, Held: held, Binds: isMain || e.BindsBaselines,
		})
	}
	return results
}

// describe returns the expectation as text.
func (e *Expectation) describe(x *Experiment) string {
	text := e.Figure
	for _, subject := range []string{e.Class, e.Server} {
		if subject != "" {
			text += " of " + subject
		}
	}
	if e.From > 0 || e.To > 0 {
		to := e.To
		if to == 0 {
			to = x.Length
		}
		text += fmt.Sprintf(" from %v to %v", e.From.Duration(), to.Duration())
	}
	if e.AtLeast != nil {
		return text + fmt.Sprintf(" at least %.4g", *e.AtLeast)
	}
	return text + fmt.Sprintf(" at most %.4g", *e.AtMost)
}
