package main

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/controlplane/server"
)

// trafficLogInterval is the interval of the traffic line in the log.
const trafficLogInterval = 5 * time.Second

// trafficFields are the counters in the traffic line, with their field names.
var trafficFields = []struct {
	name    string
	counter func(*server.Counters) *atomic.Int64
}{
	{"streams_opened", func(c *server.Counters) *atomic.Int64 { return &c.StreamsOpened }},
	{"streams_rejected", func(c *server.Counters) *atomic.Int64 { return &c.StreamsRejected }},
	{"streams_timed_out", func(c *server.Counters) *atomic.Int64 { return &c.StreamsTimedOut }},
	{"responses", func(c *server.Counters) *atomic.Int64 { return &c.Responses }},
	{"response_bytes", func(c *server.Counters) *atomic.Int64 { return &c.ResponseBytes }},
	{"leases", func(c *server.Counters) *atomic.Int64 { return &c.Leases }},
	{"nacks", func(c *server.Counters) *atomic.Int64 { return &c.Nacks }},
}

// logTraffic logs the increments of the counters every trafficLogInterval, until stop is called.
func (p *controlPlane) logTraffic(log *logrus.Logger) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	previous := make([]int64, len(trafficFields))
	for {
		select {
		case <-p.stopping:
			return
		case <-ticker.C:
		}
		fields := logrus.Fields{"list_age_s": int(p.controller.ListAgeMs() / 1000)}
		if current := p.controller.Snapshot(0); current != nil {
			fields["snapshot"] = current.Version.String()
		}
		for i, field := range trafficFields {
			count := field.counter(p.server.Counters()).Load()
			fields[field.name] = count - previous[i]
			previous[i] = count
		}
		log.WithFields(fields).Info("traffic")
	}
}
