// Package loadreport combines what many proxies report of a server into one load report. It does no I/O.
//
// The decision module adjusts ring points by these reports, so a faulty proxy must adjust nothing, whatever number of responses it
// claims.
package loadreport

import (
	"maps"
	"math"
	"slices"

	"mintspring/internal/fleet"
)

// Report is what one proxy reports of one server. Figures that it does not state are NaN.
type Report struct {
	Utilization float64 // 0 to 1
	QueueLength float64 // requests that wait
	HitRate     float64 // fraction of reads that find their value, 0 to 1
	Responses   float64 // that the proxy got from the server since its last report
}

// maxQueueLength is the largest queue length that a report may state.
const maxQueueLength = 1e6

// valid reports whether all figures stated are in range and rest on a response.
func (r *Report) valid() bool {
	return r.Responses > 0 && inRange(r.Utilization, 1) && inRange(r.QueueLength, maxQueueLength) && inRange(r.HitRate, 1)
}

// inRange reports whether a figure is not stated, or between 0 and a limit.
func inRange(figure, limit float64) bool { return math.IsNaN(figure) || figure >= 0 && figure <= limit }

// Config says which reports count.
type Config struct {
	MinReporters int     // proxies that have to agree; with 1 a single one is believed
	MaxAgeMs     float64 // after which a report is dropped
	MaxProxies   int     // whose reports of one server are kept
}

// Aggregator keeps the last report of each proxy of each server. It is not safe for concurrent use. Times are milliseconds of any
// one clock.
type Aggregator struct {
	config  Config
	servers map[string]proxyReports // by server
}

// proxyReports are the reports of one server by proxy.
type proxyReports map[string]receivedReport

type receivedReport struct {
	Report
	receivedAtMs float64
}

// New returns an Aggregator without reports.
func New(config Config) *Aggregator {
	return &Aggregator{config: config, servers: map[string]proxyReports{}}
}

// Add keeps a report, in place of the proxy's last one of the server. It reports false for one that is out of range, or from one proxy
// more than are kept.
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

// Retain drops the reports of all servers but those that a function accepts.
func (a *Aggregator) Retain(listed func(server string) bool) {
	maps.DeleteFunc(a.servers, func(server string, _ proxyReports) bool { return !listed(server) })
}

func (a *Aggregator) evictStale(now float64, reports proxyReports) {
	maps.DeleteFunc(reports, func(_ string, r receivedReport) bool { return now-r.receivedAtMs > a.config.MaxAgeMs })
}

// figure is one figure of a report.
type figure struct {
	of     func(*Report) float64
	set    func(*fleet.LoadReport, float64)
	maxGap func(larger float64) float64 // between two proxies that agree
}

// maxRatioGap and maxQueueGap are how far apart the figures of two proxies that agree may be. Two alone cannot outvote each other.
const (
	maxRatioGap = 0.2
	maxQueueGap = 3.0 // or half of the larger one
)

func ratioGap(float64) float64        { return maxRatioGap }
func queueGap(larger float64) float64 { return max(maxQueueGap, larger/2) }

var figures = []figure{
	{
		of:     func(r *Report) float64 { return r.Utilization },
		set:    func(r *fleet.LoadReport, value float64) { r.Util = value },
		maxGap: ratioGap,
	},
	{
		of:     func(r *Report) float64 { return r.QueueLength },
		set:    func(r *fleet.LoadReport, value float64) { r.Queue = value },
		maxGap: queueGap,
	},
	{
		of:     func(r *Report) float64 { return r.HitRate },
		set:    func(r *fleet.LoadReport, value float64) { r.HitRatio = value },
		maxGap: ratioGap,
	},
}

// Aggregate returns the load report of a server that its proxies agree on, if there is one.
//
// Each proxy has one vote, however many responses it claims: the median of three or more cannot be moved out of the honest proxies'
// range by fewer than half of them, and two have to agree. A figure that at least half of the proxies state and do not agree on
// invalidates the others too: the decision module adds them up, and without one of them a server would look less or more loaded.
func (a *Aggregator) Aggregate(now float64, server string) (aggregate fleet.LoadReport, ok bool) {
	reports := a.servers[server]
	a.evictStale(now, reports)
	aggregate = fleet.NewLoadReport()
	if len(reports) < max(1, a.config.MinReporters) {
		return aggregate, false
	}
	for i := range figures {
		values := reports.stated(&figures[i])
		if 2*len(values) < len(reports) {
			continue
		}
		if len(values) < a.config.MinReporters || len(values) == 2 && values[1]-values[0] > figures[i].maxGap(values[1]) {
			return fleet.NewLoadReport(), false
		}
		figures[i].set(&aggregate, median(values))
		aggregate.Present = true
	}
	return aggregate, aggregate.Present
}

// stated returns the values that proxies state of a figure, in ascending order.
func (p proxyReports) stated(f *figure) []float64 {
	var values []float64
	for _, r := range p {
		if value := f.of(&r.Report); !math.IsNaN(value) {
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
