package experiment

import (
	"slices"
	"sort"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// serverRole selects the servers that a figure is about.
type serverRole uint8

const (
	caches serverRole = iota
	origin
)

// roleOf returns the role of a server.
func (r *Run) roleOf(server servermodel.ServerID) serverRole {
	if int(server) == r.originIndex {
		return origin
	}
	return caches
}

// executionRole returns the role of the server of an execution.
func (r *Run) executionRole(e *ExecutionRecord) serverRole {
	return r.roleOf(servermodel.ServerID(e.Server))
}

// eachExecution calls f for the executions whose first byte arrived in a window.
func (r *Run) eachExecution(w measureWindow, f func(*ExecutionRecord)) {
	for i := range r.Executions {
		e := &r.Executions[i]
		if w.includesTime(e.FirstByteMs) && w.includesServer(servermodel.ServerID(e.Server)) && w.includesClass(int(e.Class)) {
			f(e)
		}
	}
}

// countExecutions counts the executions of a window that meet a condition.
func (r *Run) countExecutions(w measureWindow, condition func(*ExecutionRecord) bool) (count int) {
	r.eachExecution(w, func(e *ExecutionRecord) {
		if condition(e) {
			count++
		}
	})
	return count
}

// repeatedEffects counts effects beyond the first under an idempotency key.
func (r *Run) repeatedEffects(w measureWindow) float64 {
	return float64(r.countExecutions(w, func(e *ExecutionRecord) bool { return e.RepeatedEffect }))
}

// cacheExecutions counts the executions at caches.
func (r *Run) cacheExecutions(w measureWindow) float64 {
	return float64(r.countExecutions(w, func(e *ExecutionRecord) bool { return r.executionRole(e) == caches }))
}

// hitShare returns the share of reads at caches that were hits.
func (r *Run) hitShare(w measureWindow) float64 {
	hits, reads := 0, 0
	r.eachExecution(w, func(e *ExecutionRecord) {
		switch {
		case e.Write || r.executionRole(e) == origin:
		case e.Outcome == servermodel.Served:
			hits, reads = hits+1, reads+1
		case e.Outcome == servermodel.CacheMiss:
			reads++
		}
	})
	return ratioOrZero(float64(hits), float64(reads))
}

// eachConnection calls f for the refused connections of a window, or for the accepted ones.
func (r *Run) eachConnection(w measureWindow, refused bool, f func(*fakes.ConnectionEvent)) {
	for i := range r.ConnectionEvents {
		if c := &r.ConnectionEvents[i]; c.Refused == refused && w.includesTime(c.AtMs) && w.includesServer(c.Server) {
			f(c)
		}
	}
}

// connectionCount measures the number of connections that were refused, or that were accepted.
func connectionCount(refused bool) func(*Run, measureWindow) float64 {
	return func(r *Run, w measureWindow) float64 {
		count := 0
		r.eachConnection(w, refused, func(*fakes.ConnectionEvent) { count++ })
		return float64(count)
	}
}

// peakOpensPerSecond returns the greatest number of connections opened to one cache in any interval of one second. The intervals are not
// aligned to seconds of the run.
func (r *Run) peakOpensPerSecond(w measureWindow) float64 {
	opened := map[servermodel.ServerID][]float64{}
	r.eachConnection(w, false, func(c *fakes.ConnectionEvent) {
		if r.roleOf(c.Server) == caches {
			opened[c.Server] = append(opened[c.Server], c.AtMs)
		}
	})
	peak := 0
	for _, times := range opened {
		slices.Sort(times)
		first := 0
		for i := range times {
			for times[i]-times[first] >= msPerSec {
				first++
			}
			peak = max(peak, i-first+1)
		}
	}
	return float64(peak)
}

// serverSecond is one second of the run at one server.
type serverSecond struct {
	server servermodel.ServerID
	second int
}

// serverSecond returns the server of an execution and the second of the run in which its first byte arrived.
func (r *Run) serverSecond(e *ExecutionRecord) serverSecond {
	return serverSecond{servermodel.ServerID(e.Server), int((e.FirstByteMs - r.FromMs) / msPerSec)}
}

// peakExecutionsPerSecond measures the greatest number of executions at one server of a role in one second of the run.
func peakExecutionsPerSecond(role serverRole) func(*Run, measureWindow) float64 {
	return func(r *Run, w measureWindow) float64 {
		counts, peak := map[serverSecond]int{}, 0
		r.eachExecution(w, func(e *ExecutionRecord) {
			if r.executionRole(e) == role {
				key := r.serverSecond(e)
				counts[key]++
				peak = max(peak, counts[key])
			}
		})
		return float64(peak)
	}
}

// collapsedCaches counts the caches that collapsed under overload.
func (r *Run) collapsedCaches(measureWindow) float64 {
	count := 0
	for _, c := range r.Collapses {
		if !c.Origin {
			count++
		}
	}
	return float64(count)
}

// Bounds of the time between two samples that count as one second apart, in ms.
const (
	minSamplePairMs = 900
	maxSamplePairMs = 1050
)

// snapshotPair holds two snapshots of a server that are about a second apart.
type snapshotPair struct {
	server        servermodel.ServerID
	before, after *fakes.ServerSnapshot
	elapsedMs     float64
}

// eachSnapshotPair calls f for each sample of a window and each server of a role, with the server's snapshots in that sample and in one
// about a second earlier. Samples without an earlier one are left out.
func (r *Run) eachSnapshotPair(w measureWindow, role serverRole, f func(snapshotPair)) {
	for i := range r.Samples {
		after := &r.Samples[i]
		if after.AtMs < w.fromMs || after.AtMs > w.toMs {
			continue
		}
		before := &r.Samples[sort.Search(i, func(j int) bool { return r.Samples[j].AtMs > after.AtMs-maxSamplePairMs })]
		elapsedMs := after.AtMs - before.AtMs
		if elapsedMs < minSamplePairMs {
			continue
		}
		for index := range after.Servers {
			if server := servermodel.ServerID(index); r.roleOf(server) == role && w.includesServer(server) {
				f(snapshotPair{server, &before.Servers[index], &after.Servers[index], elapsedMs})
			}
		}
	}
}

// peakUtilization measures the greatest utilization of any server of a role in one second.
func peakUtilization(role serverRole) func(*Run, measureWindow) float64 {
	return func(r *Run, w measureWindow) float64 {
		peak := 0.0
		r.eachSnapshotPair(w, role, func(p snapshotPair) {
			peak = max(peak, (p.after.BusyMs-p.before.BusyMs)/p.elapsedMs/float64(r.Experiment.coresOf(p.server)))
		})
		return peak
	}
}

// peakQueue measures the greatest number of executions that waited at any server of a role.
func peakQueue(role serverRole) func(*Run, measureWindow) float64 {
	return func(r *Run, w measureWindow) float64 {
		peak := 0
		r.eachSnapshotPair(w, role, func(p snapshotPair) { peak = max(peak, p.after.QueueLength) })
		return float64(peak)
	}
}

// originUtilization returns the utilization of the origin over a window.
func (r *Run) originUtilization(w measureWindow) float64 {
	var first, last *Sample
	for i := range r.Samples {
		if sample := &r.Samples[i]; sample.AtMs >= w.fromMs && sample.AtMs <= w.toMs {
			if first == nil {
				first = sample
			}
			last = sample
		}
	}
	if first == nil || last == first {
		return 0
	}
	busyMs := last.Servers[r.originIndex].BusyMs - first.Servers[r.originIndex].BusyMs
	return busyMs / (last.AtMs - first.AtMs) / float64(r.Experiment.Fleet.Origin.Cores)
}
