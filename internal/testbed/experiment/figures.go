package experiment

import (
	"cmp"
	"slices"

	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

const (
	allClasses                      = -1
	anyServer  servermodel.ServerID = -1
	msPerSec                        = 1000
)

// measureWindow selects the requests, executions and samples that a figure is measured over.
type measureWindow struct {
	class        int                  // or allClasses
	server       servermodel.ServerID // or anyServer
	fromMs, toMs float64
}

// timeWindow returns a window of time with all classes and servers.
func timeWindow(fromMs, toMs float64) measureWindow {
	return measureWindow{class: allClasses, server: anyServer, fromMs: fromMs, toMs: toMs}
}

// wholeRun returns the window of the whole measurement.
func (r *Run) wholeRun() measureWindow { return timeWindow(r.FromMs, r.ToMs) }

// includesClass reports whether the window includes a class.
func (w *measureWindow) includesClass(class int) bool {
	return w.class == allClasses || w.class == class
}

// includesServer reports whether the window includes a server.
func (w *measureWindow) includesServer(server servermodel.ServerID) bool {
	return w.server == anyServer || w.server == server
}

// includesTime reports whether the window includes a time.
func (w *measureWindow) includesTime(atMs float64) bool { return atMs >= w.fromMs && atMs < w.toMs }

// figure is a metric of a run.
type figure struct {
	unit    string
	measure func(*Run, measureWindow) float64
}

// figures holds all figures by their names in experiment files.
var figures = map[string]figure{
	"in_slo":               {"share of the priority weight of all requests", (*Run).objectiveShare},
	"completed":            {"share of requests", outcomeShare(invariants.Completed)},
	"rejected":             {"share of requests", outcomeShare(invariants.Rejected)},
	"aborted":              {"share of requests", outcomeShare(invariants.Aborted)},
	"unanswered":           {"share of requests", outcomeShare(invariants.Unanswered)},
	"p50_ms":               {"ms from due to response", latencyQuantile(50)},
	"p99_ms":               {"ms from due to response", latencyQuantile(99)},
	"p999_ms":              {"ms from due to response", latencyQuantile(99.9)},
	"tries_per_query":      {"attempts of clients for a request", (*Run).attemptsPerRequest},
	"executions_per_query": {"executions at servers for a request", (*Run).executionsPerRequest},
	"wrong":                {"responses with the value of another key", func(r *Run, _ measureWindow) float64 { return float64(len(r.WrongKeyResponses)) }},
	"wrong_after_sign":     {"of these, by executions sent after their node had detected a duplicate response of that server", (*Run).wrongKeysAfterDetection},
	"breaches":             {"violations of the rules", func(r *Run, _ measureWindow) float64 { return float64(len(r.Violations)) }},

	"hit_share":      {"share of reads at caches", (*Run).hitShare},
	"repeats":        {"effects beyond the first under an idempotency key", (*Run).repeatedEffects},
	"opens":          {"connections opened", connectionCount(false)},
	"opens_refused":  {"connections beyond a server's limit", connectionCount(true)},
	"opens_per_s":    {"greatest number at one cache in any interval of one second", (*Run).peakOpensPerSecond},
	"box_load":       {"greatest utilization of a cache in one second", peakUtilization(caches)},
	"box_queue":      {"greatest number waiting at a cache", peakQueue(caches)},
	"box_per_s":      {"greatest number of executions at one cache in one second", peakExecutionsPerSecond(caches)},
	"box_executions": {"executions at caches", (*Run).cacheExecutions},
	"boxes_fallen":   {"caches that collapsed while warming up", (*Run).collapsedCaches},
	"origin_load":    {"greatest utilization in one second", peakUtilization(origin)},
	"origin_queue":   {"greatest number waiting", peakQueue(origin)},
	"origin_per_s":   {"greatest number of executions in one second", peakExecutionsPerSecond(origin)},
	"origin_stops":   {"times that the origin collapsed", func(r *Run, _ measureWindow) float64 { return float64(r.OriginCollapses) }},

	"held_off_s":       {"s from `from` until nine in ten of the nodes that sent to a cache before avoid it; 1000000: they do not", (*Run).avoidanceSeconds},
	"drain_ms":         {"longest time from the notification of a drain to the last execution sent there", (*Run).longestDrainMs},
	"node_memory_mb":   {"greatest resident memory of a node", (*Run).peakNodeMemoryMB},
	"node_descriptors": {"greatest number of open descriptors of a node", (*Run).peakNodeDescriptors},
	"node_cpu_s":       {"processor time of a node from the start of its first process to the end of the last, mean", (*Run).meanNodeCPUSeconds},
	"recovery_s":       {"s from the end of the last fault until service is back to 0.95 of its level before the faults; 1000000: it does not recover", (*Run).recoverySeconds},
	"worst_second":     {"service in the worst second from the first fault on, as a share of its level before", (*Run).worstSecond},
	"list_calls":       {"calls of the discovery service", func(r *Run, _ measureWindow) float64 { return float64(r.DiscoveryCalls) }},
	"list_bytes":       {"bytes of lists that the discovery service has written to a node, mean", (*Run).meanListBytes},
	"keys_moved":       {"share of keys with another owner at the end; -1 if unknown, as with real nodes", func(r *Run, _ measureWindow) float64 { return r.MovedKeyShare }},
}

// isFigure reports whether a figure of that name exists.
func isFigure(name string) bool {
	_, known := figures[name]
	return known
}

// FigureDescription describes a figure.
type FigureDescription struct {
	Name, Unit string
}

// FigureDescriptions returns the descriptions of all figures, sorted by name.
func FigureDescriptions() []FigureDescription {
	var descriptions []FigureDescription
	for name, f := range figures {
		descriptions = append(descriptions, FigureDescription{name, f.unit})
	}
	slices.SortFunc(descriptions, func(a, b FigureDescription) int { return cmp.Compare(a.Name, b.Name) })
	return descriptions
}

// Figure measures the figure of an expectation.
func (r *Run) Figure(e Expectation) float64 {
	w := r.wholeRun()
	if e.Class != "" {
		w.class = slices.IndexFunc(r.Experiment.Classes, func(c ClassConfig) bool { return c.Name == e.Class })
	}
	if e.Server != "" {
		w.server = servermodel.ServerID(slices.Index(r.Experiment.serverNames(), e.Server))
	}
	if e.From > 0 {
		w.fromMs = r.FromMs + e.From.Milliseconds()
	}
	if e.To > 0 {
		w.toMs = r.FromMs + e.To.Milliseconds()
	}
	return figures[e.Figure].measure(r, w)
}

// FigureByName measures a figure over the whole run. It returns 0 if the figure does not exist.
func (r *Run) FigureByName(name string) float64 {
	f, known := figures[name]
	if !known {
		return 0
	}
	return f.measure(r, r.wholeRun())
}

// ratioOrZero returns a quotient, or 0 if the denominator is 0.
func ratioOrZero(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
