package experiment

import (
	"math"
	"slices"
	"sort"

	"mintspring/internal/testbed/fakes"
)

// neverSeconds is the value of a time figure whose event does not happen before the run ends. It is longer than any experiment.
const neverSeconds = 1e6

// Definition of avoiding a server.
const (
	avoidanceWindowMs  = 3000 // executions are counted over this time
	avoidanceSendShare = 0.5  // a node sends at most this share of the executions that it sent before
	avoidanceNodeShare = 0.9  // this share of the nodes avoids the server
)

// avoidanceSeconds returns the time from the start of the window until a cache is avoided by nine in ten of the nodes that sent to the cache
// before the window. A node avoids the cache as soon as the node sends it at most half of the usual number of executions over three seconds.
// The limit is above 0 because a node that avoids a failing server still sends trial requests to that server.
func (r *Run) avoidanceSeconds(w measureWindow) float64 {
	sentTimes := map[int32][]float64{} // by node
	r.eachExecution(measureWindow{class: w.class, server: w.server, fromMs: r.FromMs, toMs: r.ToMs}, func(e *ExecutionRecord) {
		if r.executionRole(e) == caches {
			sentTimes[e.Node] = append(sentTimes[e.Node], e.FirstByteMs)
		}
	})
	var delays []float64
	for _, times := range sentTimes {
		if usual := usualCount(times, r.FromMs, w.fromMs); usual >= 1 { // lower counts are too small to compare with
			delays = append(delays, avoidanceDelay(times, w, avoidanceSendShare*usual))
		}
	}
	if len(delays) == 0 {
		return neverSeconds
	}
	slices.Sort(delays)
	return min(neverSeconds, delays[int(math.Ceil(avoidanceNodeShare*float64(len(delays))))-1])
}

// usualCount returns the mean number of executions that a node sent per avoidanceWindowMs before a time.
func usualCount(times []float64, runFromMs, beforeMs float64) float64 {
	return float64(sort.SearchFloat64s(times, beforeMs)) / max(1, beforeMs-runFromMs) * avoidanceWindowMs
}

// avoidanceDelay returns the time until a node sends at most maxCount executions in the following avoidanceWindowMs, in s from the start of
// the measured window. It is +Inf if that does not happen.
func avoidanceDelay(times []float64, w measureWindow, maxCount float64) float64 {
	const justAfterMs, justBeforeMs = 1e-6, 1e-9
	countBefore := func(ms float64) int { return sort.SearchFloat64s(times, ms) }
	for i, from := range append([]float64{w.fromMs}, times[countBefore(w.fromMs):]...) {
		if from+avoidanceWindowMs > w.toMs {
			break
		}
		if i == 0 {
			from -= justBeforeMs // to hold off at once it has to send nothing
		}
		if float64(countBefore(from+avoidanceWindowMs)-countBefore(from+justAfterMs)) <= maxCount {
			return max(0, (from-w.fromMs)/msPerSec)
		}
	}
	return math.Inf(1)
}

// longestDrainMs returns the longest time from a node's notification of a drain to the last execution that the node sent to the draining
// server, in ms.
func (r *Run) longestDrainMs(w measureWindow) float64 {
	type nodeServer struct{ node, server int32 }
	drainedAt := map[nodeServer]float64{}
	longest := 0.0
	notifications := r.Notifications
	for i := range r.Executions {
		e := &r.Executions[i]
		for len(notifications) > 0 && notifications[0].AtMs <= e.FirstByteMs {
			n := notifications[0]
			key := nodeServer{int32(n.Node), int32(n.Server)}
			if n.Phase == fakes.InService {
				delete(drainedAt, key)
			} else if _, isDraining := drainedAt[key]; !isDraining {
				drainedAt[key] = n.AtMs
			}
			notifications = notifications[1:]
		}
		if at, isDraining := drainedAt[nodeServer{e.Node, e.Server}]; isDraining && w.includesTime(e.FirstByteMs) {
			longest = max(longest, e.FirstByteMs-at)
		}
	}
	return longest
}

// peakNodeMemoryMB returns the greatest resident memory of a node.
func (r *Run) peakNodeMemoryMB(measureWindow) float64 {
	return greatestSampled(r.Samples, func(s *Sample) []float64 { return s.NodeMemoryMB })
}

// peakNodeDescriptors returns the greatest number of open descriptors of a node.
func (r *Run) peakNodeDescriptors(measureWindow) float64 {
	return float64(greatestSampled(r.Samples, func(s *Sample) []int { return s.NodeDescriptors }))
}

// meanNodeCPUSeconds returns the mean processor time of the nodes, or 0 if it is unknown.
func (r *Run) meanNodeCPUSeconds(measureWindow) float64 {
	sum := 0.0
	for _, seconds := range r.NodeCPUSeconds {
		sum += seconds
	}
	return ratioOrZero(sum, float64(len(r.NodeCPUSeconds)))
}

// meanListBytes returns how many bytes of lists a node has received.
func (r *Run) meanListBytes(measureWindow) float64 {
	return ratioOrZero(float64(r.DiscoveryBytes), float64(r.Experiment.Nodes.Count))
}

// greatestSampled returns the greatest value of any node in any sample, or 0 if there is none.
func greatestSampled[T int | float64](samples []Sample, byNode func(*Sample) []T) T {
	var greatest T
	for i := range samples {
		for _, value := range byNode(&samples[i]) {
			greatest = max(greatest, value)
		}
	}
	return greatest
}
