package faultsearch

import (
	"math"
	"slices"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/experiment"
)

const (
	minShrunkFault  = 500 * tomlfile.Duration(time.Millisecond)
	minShrunkLength = 3 * tomlfile.Duration(time.Second)
)

// change makes an experiment smaller in one way. It returns false if that is not possible.
type change func(*experiment.Experiment) bool

// shrinker holds the state of Shrink.
type shrinker struct {
	current      *experiment.Experiment // the smallest that reproduces the failure
	attemptsLeft int                    // remaining calls of reproduces
	reproduces   func(*experiment.Experiment) bool
}

// Shrink returns a smaller experiment that still reproduces a failure: with fewer and shorter faults, fewer nodes, servers and retries,
// and less time. It calls reproduces at most attempts times.
func Shrink(x *experiment.Experiment, attempts int, reproduces func(*experiment.Experiment) bool) *experiment.Experiment {
	s := &shrinker{current: x, attemptsLeft: attempts, reproduces: reproduces}
	for s.shrinkOnce() && s.attemptsLeft > 0 {
	}
	return s.current
}

// shrinkOnce tries each change once and reports whether any was kept.
func (s *shrinker) shrinkOnce() (isSmaller bool) {
	for i := len(s.current.Steps) - 1; i >= 0; i-- {
		isSmaller = s.try(removeStep(i)) || isSmaller
	}
	for i := range s.current.Steps {
		isSmaller = s.try(halveFault(i)) || isSmaller
	}
	for _, c := range []change{halveNodes, halveFleet, shortenRun, removeRetry} {
		isSmaller = s.try(c) || isSmaller
	}
	return isSmaller
}

// try applies a change and keeps it if the experiment still reproduces the failure.
func (s *shrinker) try(c change) bool {
	candidate := *s.current
	candidate.Steps = slices.Clone(s.current.Steps)
	candidate.Fleet.Groups = slices.Clone(s.current.Fleet.Groups)
	if s.attemptsLeft <= 0 || !c(&candidate) {
		return false
	}
	normalized, err := normalize(&candidate)
	if err != nil {
		return false // a step refers to a node or server that the change removed
	}
	s.attemptsLeft--
	if !s.reproduces(normalized) {
		return false
	}
	s.current = normalized
	return true
}

func removeStep(i int) change {
	return func(x *experiment.Experiment) bool {
		x.Steps = slices.Delete(x.Steps, i, i+1)
		return true
	}
}

func halveFault(i int) change {
	return func(x *experiment.Experiment) bool {
		x.Steps[i].Duration = (x.Steps[i].Duration / 2).Round(time.Millisecond)
		return x.Steps[i].Duration > minShrunkFault
	}
}

func halveNodes(x *experiment.Experiment) bool {
	x.Nodes.Count /= 2
	return x.Nodes.Count >= 1
}

// halveFleet halves the number of caches, the origin's capacity and the request rate.
func halveFleet(x *experiment.Experiment) bool {
	group, origin := &x.Fleet.Groups[0], &x.Fleet.Origin
	group.Count, x.Load.Rate = group.Count/2, math.Round(x.Load.Rate/2)
	origin.Cores, origin.QueueLimit = max(1, origin.Cores/2), max(1, origin.QueueLimit/2)
	return group.Count >= len(x.Fleet.Zones)
}

func shortenRun(x *experiment.Experiment) bool {
	lastEnd := tomlfile.Duration(0)
	for _, step := range x.Steps {
		lastEnd = max(lastEnd, step.Time+step.Duration)
	}
	x.Length = (x.Length * 3 / 4).Round(time.Millisecond)
	return x.Length > lastEnd && x.Length >= minShrunkLength
}

func removeRetry(x *experiment.Experiment) bool {
	x.Load.Retries--
	return x.Load.Retries >= 0
}
