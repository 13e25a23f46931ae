package simulator

import (
	"context"
	"strings"
	"testing"
)

// BenchmarkSimulation measures the cost of simulating a request in a fleet of 100 nodes and 100 caches.
func BenchmarkSimulation(b *testing.B) {
	text := strings.NewReplacer("count = 4", "count = 100\nconnections = 500", "keeps = 300", "keeps = 1000", "cores = 4", "cores = 100\nroom = 1000",
		"count = 3", "count = 100", "rate = 300", "rate = 10000", "keys = 400", "keys = 20000").Replace(smallFleet)
	for b.Loop() {
		x, err := parseText(text)
		if err != nil {
			b.Fatal(err)
		}
		sim, err := newSimulation(x, Options{})
		if err == nil {
			err = sim.run(context.Background())
		}
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(sim.firedCount)/float64(len(sim.result.Requests)), "events/request")
	}
}
