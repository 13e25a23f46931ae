package server

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"mintspring/internal/controlplane/ringcache"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/fleet"
	nodediscovery "mintspring/internal/node/discovery"
	"mintspring/internal/testbed/fakeproxy"
	"mintspring/internal/testbed/faultrounds"
)

// TestDrainOverAStalledStream checks that a proxy on a stalled link stops sending to a draining server within 500 ms, that a proxy on a
// healthy link stops within 200 ms, and that the stalled proxy gets the newest snapshot once its link works again. It runs with each
// variant on the stalled link.
func TestDrainOverAStalledStream(t *testing.T) {
	for _, incremental := range []bool{false, true} {
		delay := faultrounds.MeasureSchedulingDelay()
		bed := newTestbed(t, 6, nil)
		configA, configB := bed.clientConfig("a", "a"), bed.clientConfig("b", "b")
		configA.Incremental, configB.Incremental = incremental, !incremental
		healthy, stalled := bed.startProxy(configA), bed.startProxy(configB)
		stalled.Link.SetStalled(true)
		appliedAt := bed.publish(endpointJSON(1, "terminating"))
		time.Sleep(700 * time.Millisecond)
		if d := healthy.LastSent("s1").Sub(appliedAt); d > 200*time.Millisecond {
			t.Errorf("the healthy proxy sent a request to the draining server after %v", d)
		}
		if d := stalled.LastSent("s1").Sub(appliedAt); d > 500*time.Millisecond {
			t.Errorf("the stalled proxy sent a request to the draining server after %v", d)
		}
		if !usable(healthy.Client) || usable(stalled.Client) {
			t.Errorf("usable snapshot: healthy proxy %v, stalled proxy %v", usable(healthy.Client), usable(stalled.Client))
		}
		stalled.Link.SetStalled(false)
		bed.waitFor("the stalled proxy", func() bool { return usable(stalled.Client) })
		before := stalled.StreamsOpened()
		stalled.Link.SetStalled(true)
		bed.publish(endpointJSON(1, nodediscovery.PhaseTerminated))
		time.Sleep(100 * time.Millisecond)
		stalled.Link.Break()
		stalled.Link.SetStalled(false)
		bed.waitFor("the disconnected proxy", func() bool { return usable(stalled.Client) && stalled.StreamsOpened() > before })
		for zone, p := range []*fakeproxy.Proxy{healthy, stalled} {
			bed.waitFor("the newest snapshot", func() (newest bool) {
				p.WithCache(func(cache *ringcache.Cache, _ bool) {
					newest = cache.Digest() == bed.controller.Snapshot(zone).Digest && len(cache.Servers()) == 5
				})
				return newest
			})
		}
		checkMostlyUsable(t, healthy, delay())
	}
}

// TestRejectedResponse checks that a rejection is logged, that the rejected response is not sent again, and that the proxy gets the next
// snapshot.
func TestRejectedResponse(t *testing.T) {
	bed := newTestbed(t, 4, nil)
	var mu sync.Mutex
	reject := false
	config := bed.clientConfig("p", "a")
	config.Incremental = true
	config.Validate = func(typeURL snapshot.TypeURL) error {
		mu.Lock()
		defer mu.Unlock()
		if reject && typeURL == snapshot.RingPartType {
			return errors.New("not now")
		}
		return nil
	}
	p := bed.startProxy(config)
	mu.Lock()
	reject = true
	mu.Unlock()
	bed.publish(endpointJSON(0, "terminating"))
	bed.waitFor("the rejection", func() bool { return strings.Contains(bed.log.String(), "not now") })
	time.Sleep(100 * time.Millisecond)
	if n := p.ResponsesRejected(); n != 1 {
		t.Errorf("%d responses rejected, want 1", n)
	}
	mu.Lock()
	reject = false
	mu.Unlock()
	bed.publish(endpointJSON(1, "terminating"))
	bed.waitFor("the next snapshot", func() bool {
		ready := 0
		p.WithCache(func(cache *ringcache.Cache, usable bool) {
			for _, server := range cache.Servers() {
				if usable && server.State == fleet.Ready {
					ready++
				}
			}
		})
		return ready == 2
	})
}

// maxSchedulingDelayMs is the scheduling delay below which the leases of a proxy with a healthy link must hold.
const maxSchedulingDelayMs = 100

// checkMostlyUsable checks that a proxy with a healthy link nearly always had a usable snapshot. If the stalled link of another proxy
// delayed it, it would have none half of the time. A scheduling delay of a quarter of a lease or more can end leases on healthy links
// too, and is only logged.
func checkMostlyUsable(t *testing.T, p *fakeproxy.Proxy, delayMs float64) {
	t.Helper()
	sent, unusable := p.Counts()
	if unusable <= sent/20 {
		return
	}
	report := t.Errorf
	if delayMs >= maxSchedulingDelayMs {
		report = t.Logf
	}
	report("the proxy with a healthy link found no usable snapshot %d times, and sent %d requests; scheduling delay %.0f ms", unusable, sent, delayMs)
}

// loadStats returns a load report on four servers. Server 1 has the given utilization, the others 0.5; the increment is added to all.
func loadStats(t *testing.T, proxy string, utilization, increment float64) *lrs.LoadStatsRequest {
	t.Helper()
	var endpoints []string
	for i := range 4 {
		u := 0.5
		if i == 1 {
			u = utilization
		}
		endpoints = append(endpoints, fmt.Sprintf(`{"address":{"socketAddress":{"address":"127.0.0.1","portValue":%d}},"totalSuccessfulRequests":"10",
			"loadMetricStats":[{"metricName":"util","numRequestsFinishedWithMetric":"10","totalMetricValue":%f}]}`, 1000+i, 10*(u+increment)))
	}
	text := fmt.Sprintf(`{"node":{"id":%q},"clusterStats":[{"clusterName":"boxes","upstreamLocalityStats":[{"upstreamEndpointStats":[%s]}]}]}`,
		proxy, strings.Join(endpoints, ","))
	message := &lrs.LoadStatsRequest{}
	if err := protojson.Unmarshal([]byte(text), message); err != nil {
		t.Fatal(err)
	}
	return message
}

// reportLoads sends three load reports on behalf of a proxy, with slightly increasing utilizations.
func (b *testbed) reportLoads(proxy string, utilization float64) {
	b.t.Helper()
	s, err := lrs.NewLoadReportingServiceClient(dial(b.t, b.addr, nil)).StreamLoadStats(context.Background())
	if err != nil {
		b.t.Fatal(err)
	}
	for i := range 3 {
		if err := s.Send(loadStats(b.t, proxy, utilization, float64(i)/100)); err != nil {
			b.t.Fatal(err)
		}
	}
	response, err := s.Recv()
	if err != nil || !response.SendAllClusters || response.LoadReportingInterval.AsDuration() != testConfig.LoadReportInterval {
		b.t.Errorf("%v, %v", response, err)
	}
}

// TestLoadReports checks that points are adjusted by the load reports of two proxies, the required minimum, but not by those of one.
func TestLoadReports(t *testing.T) {
	bed := newTestbed(t, 4, nil)
	before := bed.controller.Snapshot(0).Digest
	bed.reportLoads("p1", 0.95)
	time.Sleep(600 * time.Millisecond)
	if bed.controller.Snapshot(0).Digest != before {
		t.Error("the reports of one proxy have adjusted points")
	}
	bed.reportLoads("p2", 0.93)
	bed.waitFor("an adjustment", func() bool { return bed.controller.Snapshot(0).Digest != before })
}

// TestDiscoveryIsLost checks that leases are still granted while discovery is unavailable, and that they contain the age of the endpoint
// list.
func TestDiscoveryIsLost(t *testing.T) {
	bed := newTestbed(t, 3, nil)
	p := bed.startProxy(bed.clientConfig("p", "a"))
	before := bed.controller.Snapshot(0)
	bed.discovery.Close()
	bed.waitFor("the age of the list", func() bool {
		age := 0.0
		p.WithCache(func(cache *ringcache.Cache, _ bool) { age = cache.ListAgeMs() })
		return age > 600
	})
	if !usable(p.Client) || bed.controller.Snapshot(0) != before || !strings.Contains(bed.log.String(), "keeping the last endpoint list") {
		t.Errorf("usable %v; %s", usable(p.Client), bed.log)
	}
}
