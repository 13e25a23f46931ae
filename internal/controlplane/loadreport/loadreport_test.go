package loadreport

import (
	"fmt"
	"math"
	"testing"
)

// unreported is the value of a metric that the proxy does not report.
var unreported = math.NaN()

// TestAggregate checks which reports on one server are aggregated, and their aggregate.
func TestAggregate(t *testing.T) {
	for _, test := range []struct {
		name        string
		reports     []Report
		utilization float64 // NaN: no aggregate
	}{
		{"no report", nil, unreported},
		{"single report", []Report{{0.9, 1, unreported, 5}}, unreported},
		{"two that agree", []Report{{0.5, 1, unreported, 5}, {0.6, 2, unreported, 5}}, 0.55},
		{"two that disagree", []Report{{0.1, 1, unreported, 5}, {0.9, 1, unreported, 5}}, unreported},
		{"two that disagree on another metric", []Report{{0.5, 1, unreported, 5}, {0.5, 90, unreported, 5}}, unreported},
		{"median of three", []Report{{0.5, 1, unreported, 5}, {0.6, 1, unreported, 5}, {1, 1, unreported, 1e9}}, 0.6},
		{"median of four", []Report{{0.4, 1, unreported, 5}, {0.5, 1, unreported, 5}, {0.7, 1, unreported, 1}, {0, 1, unreported, 1}}, 0.45},
		{"one of three reports one more metric", []Report{{0.5, 1, unreported, 5}, {0.6, 1, unreported, 5}, {0.6, 1, 0.1, 5}}, 0.6},
		{"one of two reports one more metric", []Report{{0.5, 1, unreported, 5}, {0.5, 1, 0.1, 5}}, unreported},
		{"no responses", []Report{{0.5, 1, unreported, 0}, {0.5, 1, unreported, 0}}, unreported},
		{"no metric", []Report{{unreported, unreported, unreported, 5}, {unreported, unreported, unreported, 5}}, unreported},
		{"out of range", []Report{{1.5, 1, unreported, 5}, {-1, 1, unreported, 5}, {0.5, math.Inf(1), unreported, 5}}, unreported},
	} {
		a := New(Config{MinReporters: 2, MaxAgeMs: 1000, MaxProxies: 10})
		for i, report := range test.reports {
			a.Add(0, fmt.Sprint("p", i), "s", report)
		}
		aggregate, ok := a.Aggregate(10, "s")
		if ok == math.IsNaN(test.utilization) || ok && math.Abs(aggregate.Util-test.utilization) > 1e-9 {
			t.Errorf("%s: %v, %v", test.name, aggregate.Util, ok)
		}
	}
}

// TestStaleExcessAndRemovedReportsAreDropped checks that stale reports, reports of more than MaxProxies proxies and reports on removed
// servers are dropped.
func TestStaleExcessAndRemovedReportsAreDropped(t *testing.T) {
	a := New(Config{MinReporters: 2, MaxAgeMs: 1000, MaxProxies: 3})
	for i := range 5 {
		if kept := a.Add(float64(i), fmt.Sprint("p", i), "s", Report{0.5, 1, unreported, 1}); kept != (i < 3) {
			t.Errorf("proxy %d: %v", i, kept)
		}
	}
	if _, ok := a.Aggregate(1001.5, "s"); ok {
		t.Error("aggregate of one fresh report, want two reports to be required")
	}
	if !a.Add(1002, "p9", "s", Report{0.5, 1, unreported, 1}) {
		t.Error("report rejected although the stored ones are stale")
	}
	a.Retain(func(string) bool { return false })
	if len(a.servers) > 0 {
		t.Error("reports on a removed server are kept")
	}
}
