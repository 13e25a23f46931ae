package server

import (
	"testing"
	"time"
)

// TestHeartbeatsReachWeightedProxies checks in both variants that heartbeats renew endpoints with a TTL, and that the proxy accepts them
// without replacing its endpoints.
func TestHeartbeatsReachWeightedProxies(t *testing.T) {
	const observationPeriod = 400 * time.Millisecond
	bed := newTestbed(t, 4, nil, func(config *Config) { config.StreamLimits.TTLMs = 150 })
	for _, incremental := range []bool{false, true} {
		config := bed.clientConfig("p", "a")
		config.WatchEndpoints, config.Incremental = true, incremental
		proxy := bed.startProxy(config)
		bed.waitFor("weights", func() bool { return proxy.Endpoints() != nil })
		heartbeats := func() int64 {
			return bed.server.Counters().Responses.Load() - bed.server.Counters().Leases.Load()
		}
		before := heartbeats()
		time.Sleep(observationPeriod)
		if n := heartbeats() - before; n < 3 {
			t.Errorf("incremental %v: %d renewals in %v", incremental, n, observationPeriod)
		}
		if proxy.StreamsOpened() != 1 || proxy.ResponsesRejected() > 0 || len(proxy.Endpoints().Endpoints) != 2 {
			t.Errorf("incremental %v: %d streams, %d rejections, %v", incremental, proxy.StreamsOpened(), proxy.ResponsesRejected(), proxy.Endpoints())
		}
		proxy.Close()
	}
}
