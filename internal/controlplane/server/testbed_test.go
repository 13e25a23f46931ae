package server

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"mintspring/internal/config/settings"
	"mintspring/internal/controlplane/client"
	"mintspring/internal/controlplane/controller"
	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/ringcache"
	"mintspring/internal/controlplane/stream"
	"mintspring/internal/fleet"
	nodediscovery "mintspring/internal/node/discovery"
	"mintspring/internal/testbed/fakediscovery"
	"mintspring/internal/testbed/fakeproxy"
	"mintspring/internal/testbed/logrecorder"
	"mintspring/internal/testbed/loopbacktest"
)

// testbed is a control plane on loopback, with a fake discovery service and fake proxies.
type testbed struct {
	t          *testing.T
	controller *controller.Controller
	server     *Server
	addr       string
	log        *logrecorder.Recorder
	discovery  *fakediscovery.Server
}

// testConfig is the default configuration, which a test may change in newTestbed.
var testConfig = Config{
	StreamLimits: stream.Limits{MaxNames: 1000, MaxNameBytes: 256, LeaseMs: 400}, MaxConnections: 300, MaxStreams: 200, MaxStreamsPerConnection: 8,
	MaxRequestBytes: 1 << 16, AckTimeout: 500 * time.Millisecond, LoadReportInterval: 100 * time.Millisecond,
}

// endpointJSON returns the entry of a server in the endpoint list. Servers alternate between two zones.
func endpointJSON(i int, phase string) string {
	return fakediscovery.EndpointJSON(i, []string{"a", "b"}[i%2], phase, 0)
}

// newTestbed starts a control plane with a number of servers in its endpoint list, and waits for the first snapshot.
func newTestbed(t *testing.T, servers int, creds credentials.TransportCredentials, changes ...func(*Config)) *testbed {
	t.Helper()
	b := &testbed{t: t, log: &logrecorder.Recorder{}}
	var endpoints []string
	for i := range servers {
		endpoints = append(endpoints, endpointJSON(i, nodediscovery.PhaseInService))
	}
	var err error
	if b.discovery, err = fakediscovery.Start(endpoints); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.discovery.Close)
	log := logrus.New()
	log.SetOutput(b.log)
	deployment := settings.Deployment{
		Zones: []string{"a", "b"}, Kinds: []string{"box", "origin"}, RequestClasses: []string{"read"}, NodeIndex: -1, ConnectTimeout: 250,
		Limits: fleet.Limits{
			Seed: 3, Nodes: 2, Zones: 2, OriginKind: 1, MaxAttempts: 4, PollWithin: 5000, StopSendingWithin: 500, Quantum: 5,
			Classes: []fleet.Class{{LatencyObjective: 200, ClientTimeout: 1000, PriorityWeight: 1, MaxAttempts: 4}},
		},
	}
	b.controller = controller.New(log, controller.Config{Cluster: "boxes", Deployment: deployment, BatchIntervalMs: 50, LoadReports: loadreport.Config{MinReporters: 2, MaxAgeMs: 10000, MaxProxies: 100}},
		b.discovery.Addr, nil)
	go b.controller.Run()
	config := testConfig
	for _, change := range changes {
		change(&config)
	}
	b.server = New(log, b.controller, config, creds)
	listener := loopbacktest.Listen(t)
	b.addr = listener.Addr().String()
	serveErr := make(chan error, 1)
	go func() { serveErr <- b.server.Serve(listener) }()
	t.Cleanup(func() {
		b.server.Stop()
		b.controller.Stop()
		if err := <-serveErr; err != nil {
			t.Errorf("serving: %v", err)
		}
	})
	b.waitFor("a snapshot", func() bool { return b.controller.Snapshot(0) != nil })
	return b
}

// waitFor waits until a condition holds, and fails the test after ten seconds.
func (b *testbed) waitFor(event string, condition func() bool) {
	b.t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("timed out waiting for %s; log: %s", event, b.log)
		}
	}
}

// publish publishes a change of the endpoint list. It returns the time by which the control plane has applied the change: the limit
// for sending to a draining server counts from then.
func (b *testbed) publish(endpoint string) time.Time {
	b.t.Helper()
	previous := b.controller.Snapshot(0).Version
	b.discovery.Publish(endpoint)
	b.waitFor("the change", func() bool { return previous.Before(b.controller.Snapshot(0).Version) })
	return time.Now()
}

// clientConfig returns the configuration of a proxy.
func (b *testbed) clientConfig(name, zone string) client.Config {
	return client.Config{Addr: b.addr, Cluster: "boxes", NodeID: name, Zone: zone}
}

// usable reports whether a proxy may use its snapshot.
func usable(c *client.Client) (result bool) {
	c.WithCache(func(_ *ringcache.Cache, usable bool) { result = usable })
	return result
}

// startProxy starts a proxy that sends a request every millisecond, and waits for its first lease.
func (b *testbed) startProxy(config client.Config) *fakeproxy.Proxy {
	b.t.Helper()
	p := fakeproxy.Start(config, time.Millisecond, 1)
	b.t.Cleanup(p.Close)
	b.waitFor("a lease", func() bool { return usable(p.Client) })
	return p
}

// dial returns a gRPC connection to an address. Without credentials it uses plain text.
func dial(t *testing.T, addr string, creds credentials.TransportCredentials) *grpc.ClientConn {
	t.Helper()
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(creds))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	})
	return conn
}
