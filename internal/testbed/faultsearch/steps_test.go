package faultsearch

import (
	"slices"
	"testing"

	"mintspring/internal/testbed/simulator"
)

// The simulator supports every kind of fault, and each of them is drawn.
func TestEveryFaultCanBeSimulated(t *testing.T) {
	r := DefaultRanges()
	r.Faults = [2]int{3, 3}
	drawn := map[string]bool{}
	for seed := range uint64(120) {
		x, err := r.Generate(seed + 1)
		if err != nil {
			t.Fatal(err)
		}
		if _, skipped, err := simulator.SupportedExperiment(x); err != nil || len(skipped) > 0 {
			t.Fatalf("seed %d: %v, %v", seed+1, skipped, err)
		}
		for _, s := range x.Steps {
			kind := s.Action
			if s.Server == "origin" {
				kind = "origin_" + kind
			}
			drawn[kind] = true
		}
	}
	for _, k := range r.FaultKinds {
		if !drawn[k] {
			t.Errorf("%s was never drawn in 120 experiments", k)
		}
	}
	if !slices.IsSorted(r.FaultKinds) {
		t.Error("the kinds are not sorted, so a seed does not determine the experiment")
	}
}
