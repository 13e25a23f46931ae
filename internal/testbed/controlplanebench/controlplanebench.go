// Package controlplanebench measures the control plane on loopback: how soon a drain holds at proxies whose links fail, and what ring
// point adjustments cost with many endpoints and streams. The control plane runs in this process, with a fake discovery service
// and fake proxies.
package controlplanebench

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/settings"
	"mintspring/internal/controlplane/config"
	"mintspring/internal/controlplane/controller"
	"mintspring/internal/controlplane/server"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/testbed/fakediscovery"
	"mintspring/internal/testbed/loopback"
)

// clusterName names the resources of the control plane.
const clusterName = "boxes"

// timeoutFactor is the ratio of the request class's client timeout to its latency objective.
const timeoutFactor = 10

// How long and how often waitUntil checks its condition.
const (
	waitTimeout  = 20 * time.Second
	waitInterval = 2 * time.Millisecond
)

// zones are the zones of the deployment. Servers and proxies are assigned to them in turn.
var zones = []string{"a", "b"}

// zoneOf returns the zone of server or proxy number i.
func zoneOf(i int) string { return zones[i%len(zones)] }

// endpointJSON returns the discovery entry of server number i in a phase.
func endpointJSON(i int, phase string) string {
	return fakediscovery.EndpointJSON(i, zoneOf(i), phase, 0)
}

// controlPlane is a running control plane with its fake discovery service.
type controlPlane struct {
	discovery  *fakediscovery.Server
	controller *controller.Controller
	server     *server.Server
	addr       string         // host:port of the server
	running    sync.WaitGroup // the controller's and the server's goroutines
}

// newDeployment returns a deployment with one request class. Its ring points are adjusted once per latency objective.
func newDeployment(seed uint64, latencyObjectiveMs float64) settings.Deployment {
	class := fleet.Class{LatencyObjective: latencyObjectiveMs, ClientTimeout: timeoutFactor * latencyObjectiveMs, PriorityWeight: 1, MaxAttempts: 4}
	return settings.Deployment{
		Zones: zones, Kinds: []string{"box", "origin"}, RequestClasses: []string{"read"}, NodeIndex: -1, ConnectTimeout: 250,
		Limits: fleet.Limits{
			Seed: seed, Nodes: 2, Zones: len(zones), OriginKind: 1, MaxAttempts: 4, PollWithin: 5000, StopSendingWithin: 500, Quantum: 5,
			Classes: []fleet.Class{class},
		},
	}
}

// startControlPlane starts a control plane for a number of cache servers, and returns once it has a snapshot. It runs until close.
func startControlPlane(serverCount int, seed uint64, latencyObjectiveMs float64) (*controlPlane, error) {
	defaults, err := config.Read("")
	if err != nil {
		return nil, fmt.Errorf("reading the control plane's defaults: %w", err)
	}
	var endpoints []string
	for i := range serverCount {
		endpoints = append(endpoints, endpointJSON(i, discovery.PhaseInService))
	}
	listener, err := loopback.Listen()
	if err != nil {
		return nil, fmt.Errorf("listening for proxies: %w", err)
	}
	c := &controlPlane{addr: listener.Addr().String()}
	if c.discovery, err = fakediscovery.Start(endpoints); err != nil {
		_ = listener.Close() // the error of the discovery service is returned
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.controller = controller.New(log, controller.Config{
		Cluster: clusterName, Deployment: newDeployment(seed, latencyObjectiveMs),
		BatchIntervalMs: defaults.BatchInterval.Milliseconds(), LoadReports: defaults.LoadReportConfig(),
	}, c.discovery.Addr, nil)
	c.server = server.New(log, c.controller, defaults.ServerConfig(), nil)
	c.running.Go(c.controller.Run)
	c.running.Go(func() {
		if err := c.server.Serve(listener); err != nil {
			panic(fmt.Sprintf("control plane of the bench: %v", err))
		}
	})
	if err := waitUntil("the first snapshot", func() bool { return c.controller.Snapshot(0) != nil }); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// close stops the control plane and the discovery service, and waits until the goroutines have ended.
func (c *controlPlane) close() {
	c.server.Stop()
	c.controller.Stop()
	c.discovery.Close()
	c.running.Wait()
}

// waitUntil waits until a condition is true, and fails after waitTimeout.
func waitUntil(event string, condition func() bool) error {
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(waitInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited %v for %s", waitTimeout, event)
		}
	}
	return nil
}
