// Package loadreport aggregates the load reports that many proxies send about a server into one. It does no I/O.
//
// The decision module adjusts ring points by the aggregates, so a single faulty proxy must not change them, however many responses it
// claims.
package loadreport

import (
	"maps"
	"math"
	"slices"

	"mintspring/internal/fleet"
)

// Report holds the load metrics of one server as one proxy reports them. A metric that the proxy does not report is NaN.
type Report struct {
	Utilization float64 // 0 to 1
	QueueLength float64 // waiting requests
	HitRate     float64 // hits as a fraction of all reads, 0 to 1
	Responses   float64 // responses from the server to this proxy since the proxy's previous report
}

// maxQueueLength is the largest queue length that a valid report may contain.
const maxQueueLength = 1e6

// valid reports whether the report is based on at least one response and every reported metric is in range.
func (r *Report) valid() bool {
	return r.Responses > 0 && inRange(r.Utilization, 1) && inRange(r.QueueLength, maxQueueLength) && inRange(r.HitRate, 1)
}

// inRange reports whether a metric is unreported (NaN) or between 0 and a limit.
func inRange(value, limit float64) bool { return math.IsNaN(value) || value >= 0 && value <= limit }

// Config sets which reports are aggregated.
type Config struct {
	MinReporters int     // proxies that an aggregate needs; with 1 a single proxy is trusted
	MaxAgeMs     float64 // reports older than this are dropped
	MaxProxies   int     // limit on the proxies whose reports on one server are kept
}

// Aggregator keeps the latest report of each proxy on each server. It is not safe for concurrent use. Times are milliseconds; all of
// them must come from the same clock.
type Aggregator struct {
	config  Config
	servers map[string]proxyReports // by server ID
}

// proxyReports holds the reports on one server, by proxy.
type proxyReports map[string]receivedReport

type receivedReport struct {
	Report
	receivedAtMs float64
}

// New returns an Aggregator without reports.
func New(config Config) *Aggregator {
	return &Aggregator{config: config, servers: map[string]proxyReports{}}
}

// Add stores a proxy's report on a server, replacing that proxy's previous one. It returns false if the report is invalid, or if the
// server already has fresh reports of MaxProxies other proxies.
func (a *Aggregator) Add(now float64, proxy, server string, report Report) bool {
	if !report.valid() {
		return false
	}
	reports := a.servers[server]
	if reports == nil {
		reports = proxyReports{}
		a.servers[server] = reports
	}
	if _, known := reports[proxy]; !known && len(reports) >= a.config.MaxProxies {
		a.evictStale(now, reports)
		if len(reports) >= a.config.MaxProxies {
			return false
		}
	}
	reports[proxy] = receivedReport{Report: report, receivedAtMs: now}
	return true
}

// Retain drops the reports on every server for which keep returns false.
func (a *Aggregator) Retain(keep func(server string) bool) {
	maps.DeleteFunc(a.servers, func(server string, _ proxyReports) bool { return !keep(server) })
}

func (a *Aggregator) evictStale(now float64, reports proxyReports) {
	maps.DeleteFunc(reports, func(_ string, r receivedReport) bool { return now-r.receivedAtMs > a.config.MaxAgeMs })
}

// metric defines how one metric of the reports is read, compared and stored in the aggregate.
type metric struct {
	value  func(*Report) float64
	set    func(*fleet.LoadReport, float64)
	maxGap func(larger float64) float64 // largest difference at which two values agree, given the larger one
}

// Largest differences at which two values agree. They apply when only two proxies report a metric, since neither can outvote the other.
const (
	maxRatioGap = 0.2
	maxQueueGap = 3.0 // requests; half of the larger value if that is more
)

func ratioGap(float64) float64        { return maxRatioGap }
func queueGap(larger float64) float64 { return max(maxQueueGap, larger/2) }

var metrics = []metric{
	{
		value:  func(r *Report) float64 { return r.Utilization },
		set:    func(r *fleet.LoadReport, value float64) { r.Util = value },
		maxGap: ratioGap,
	},
	{
		value:  func(r *Report) float64 { return r.QueueLength },
		set:    func(r *fleet.LoadReport, value float64) { r.Queue = value },
		maxGap: queueGap,
	},
	{
		value:  func(r *Report) float64 { return r.HitRate },
		set:    func(r *fleet.LoadReport, value float64) { r.HitRatio = value },
		maxGap: ratioGap,
	},
}

// Aggregate returns the load report of a server that its proxies agree on. It returns false if they do not agree or too few report.
//
// Each proxy has one vote, however many responses it claims. The median of three or more values stays within the range of the honest
// proxies as long as fewer than half are faulty; two values have to agree. A metric that at least half of the proxies report but on
// which they disagree invalidates the entire aggregate: the decision module adds the metrics up, so that a missing one would make the
// server look less or more loaded than it is.
func (a *Aggregator) Aggregate(now float64, server string) (aggregate fleet.LoadReport, ok bool) {
	reports := a.servers[server]
	a.evictStale(now, reports)
	aggregate = fleet.NewLoadReport()
	if len(reports) < max(1, a.config.MinReporters) {
		return aggregate, false
	}
	for i := range metrics {
		values := reports.reportedValues(&metrics[i])
		if 2*len(values) < len(reports) {
			continue
		}
		if len(values) < a.config.MinReporters || len(values) == 2 && values[1]-values[0] > metrics[i].maxGap(values[1]) {
			return fleet.NewLoadReport(), false
		}
		metrics[i].set(&aggregate, median(values))
		aggregate.Present = true
	}
	return aggregate, aggregate.Present
}

// reportedValues returns the reported values of a metric in ascending order.
func (p proxyReports) reportedValues(m *metric) []float64 {
	var values []float64
	for _, r := range p {
		if value := m.value(&r.Report); !math.IsNaN(value) {
			values = append(values, value)
		}
	}
	slices.Sort(values)
	return values
}

// median returns the median of values in ascending order.
func median(values []float64) float64 {
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
