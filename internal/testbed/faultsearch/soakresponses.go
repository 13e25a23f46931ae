package faultsearch

import (
	"math"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/experiment"
)

// soakDuplicateFaults are the faults in which servers send responses twice.
var soakDuplicateFaults = []string{"surplus", "late_surplus", "crossing_surplus", "crossing_surplus"}

// soakDuplicates draws, for two of three runs, periods in which the origin or a share of the caches send responses twice, and how soon nodes
// reuse a connection. Only the first duplicates that a process receives find it unprepared, so that there are many periods at many servers.
func (s sampler) soakDuplicates(x *experiment.Experiment) {
	if s.IntN(3) == 0 {
		return
	}
	x.Rules.Probes = s.IntN(2) == 0
	x.Nodes.Quantum = []tomlfile.Duration{ms(1), ms(5)}[s.IntN(2)]
	for range 2 + s.IntN(3) {
		step := experiment.Step{
			Action: soakDuplicateFaults[s.IntN(len(soakDuplicateFaults))], Server: "origin", Value: roundToMilli(0.02 + 0.3*s.Float64()),
			Time: s.soakFaultTime(), Duration: s.soakFaultDuration(),
		}
		if step.Action != "surplus" {
			step.Delay = ms(1 + (maxDuplicateDelayMs-1)*s.Float64())
		}
		if s.IntN(2) == 0 {
			step.Server, step.Share = "", roundToMilli(0.3+0.7*s.Float64())
		}
		x.Steps = append(x.Steps, step)
	}
}

// soakStallFaults are the faults in which servers are silent or slow within answers and uploads.
var soakStallFaults = []string{"stalled_answers", "stalled_answers", "slow_answers", "slow_uploads"}

// soakStalls draws, for half of the runs, large values, and periods in which servers are silent or slow within answers and uploads. Such runs
// have less load and no bursts, since their values are a thousand times as large.
func (s sampler) soakStalls(x *experiment.Experiment) {
	if s.IntN(2) == 0 {
		return
	}
	x.Load.ValueBytes = minLargeValueBytes + s.IntN(maxLargeValueBytes-minLargeValueBytes)
	x.Load.Rate, x.Load.BurstClients, x.Load.PersistentClients = x.Load.Rate/largeValueLoadDivisor, 0, min(x.Load.PersistentClients, maxLargeValueClients)
	for range 3 + s.IntN(4) {
		step := experiment.Step{
			Action: soakStallFaults[s.IntN(len(soakStallFaults))], Server: "origin", Value: roundToMilli(0.1 + 0.8*s.Float64()),
			Time: s.soakFaultTime(), Duration: s.soakFaultDuration(),
		}
		if step.Action != "stalled_answers" {
			step.Delay = ms(maxStallPauseMs * math.Pow(s.Float64(), 3)) // most pauses are short, so that answers and uploads end in time
		}
		if s.IntN(2) == 0 {
			step.Server, step.Share = "", roundToMilli(0.2+0.5*s.Float64())
		}
		x.Steps = append(x.Steps, step)
	}
}

// soakPausedResponses draws, for half of the runs, periods in which all servers pause within their responses to a share of the requests, for up to
// nearly the longest timeout. Another attempt gains nothing then, and most of the pauses end in time.
func (s sampler) soakPausedResponses(x *experiment.Experiment) {
	if s.IntN(2) == 0 {
		return
	}
	for range 2 + s.IntN(3) {
		caches := experiment.Step{
			Action: "paused_answers", Share: 1, Value: roundToMilli(0.1 + 0.4*s.Float64()), Time: s.soakFaultTime(), Duration: s.soakFaultDuration(),
			Delay: ms(x.LongestTimeout().Seconds() * 1000 * (0.5 + 0.5*s.Float64())),
		}
		origin := caches
		origin.Share, origin.Server = 0, "origin"
		x.Steps = append(x.Steps, caches, origin)
	}
}

// soakFaultTime and soakFaultDuration draw when a fault of servers begins and how long it lasts.
func (s sampler) soakFaultTime() tomlfile.Duration {
	return tomlfile.Duration(s.Int64N(int64(soakLastFault))).Round(time.Millisecond)
}

func (s sampler) soakFaultDuration() tomlfile.Duration { return ms(500 + 2500*s.Float64()) }
