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
	catalog    *fakediscovery.Server
}

// testConfig is the configuration that tests change.
var testConfig = Config{
	StreamLimits: stream.Limits{MaxNames: 1000, MaxNameBytes: 256, LeaseMs: 400}, MaxConnections: 300, MaxStreams: 200, MaxStreamsPerConnection: 8,
	MaxRequestBytes: 1 << 16, AckTimeout: 500 * time.Millisecond, LoadReportInterval: 100 * time.Millisecond,
}

// catalogEntry is a server of the endpoint list, in one of two zones.
func catalogEntry(i int, phase string) string {
	return fakediscovery.EndpointJSON(i, []string{"a", "b"}[i%2], phase, 0)
}

// newTestbed starts a control plane with some servers in its endpoint list, and waits for the first snapshot.
func newTestbed(t *testing.T, servers int, creds credentials.TransportCredentials, changes ...func(*Config)) *testbed {
	t.Helper()
	b := &testbed{t: t, log: &logrecorder.Recorder{}}
	var all []string
	for i := range servers {
		all = append(all, catalogEntry(i, nodediscovery.PhaseInService))
	}
	var err error
	if b.catalog, err = fakediscovery.Start(all); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.catalog.Close)
	log := logrus.New()
	log.SetOutput(b.log)
	site := settings.Deployment{
		Zones: []string{"a", "b"}, Kinds: []string{"box", "origin"}, RequestClasses: []string{"read"}, NodeIndex: -1, ConnectTimeout: 250,
		Limits: fleet.Limits{
			Seed: 3, Nodes: 2, Zones: 2, OriginKind: 1, MaxAttempts: 4, PollWithin: 5000, StopSendingWithin: 500, Quantum: 5,
			Classes: []fleet.Class{{LatencyObjective: 200, ClientTimeout: 1000, PriorityWeight: 1, MaxAttempts: 4}},
		},
	}
	b.controller = controller.New(log, controller.Config{Cluster: "boxes", Deployment: site, BatchIntervalMs: 50, LoadReports: loadreport.Config{MinReporters: 2, MaxAgeMs: 10000, MaxProxies: 100}},
		b.catalog.Addr, nil)
	go b.controller.Run()
	config := testConfig
	for _, change := range changes {
		change(&config)
	}
	b.server = New(log, b.controller, config, creds)
	listener := loopbacktest.Listen(t)
	b.addr = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- b.server.Serve(listener) }()
	t.Cleanup(func() {
		b.server.Stop()
		b.controller.Stop()
		if err := <-served; err != nil {
			t.Errorf("serving: %v", err)
		}
	})
	b.waitFor("a snapshot", func() bool { return b.controller.Snapshot(0) != nil })
	return b
}

// waitFor waits until a condition holds.
func (b *testbed) waitFor(what string, condition func() bool) {
	b.t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("%s does not happen; the log has %s", what, b.log)
		}
	}
}

// announce publishes a change of the endpoint list. It returns the time when the control plane has applied it, from which its promise
// counts.
func (b *testbed) announce(line string) time.Time {
	b.t.Helper()
	previous := b.controller.Snapshot(0).Version
	b.catalog.Publish(line)
	b.waitFor("the change", func() bool { return previous.Before(b.controller.Snapshot(0).Version) })
	return time.Now()
}

// clientConfig is the configuration of a proxy.
func (b *testbed) clientConfig(name, zone string) client.Config {
	return client.Config{Addr: b.addr, Cluster: "boxes", NodeID: name, Zone: zone}
}

// usable reports whether a proxy may use its snapshot.
func usable(c *client.Client) (result bool) {
	c.WithCache(func(_ *ringcache.Cache, usable bool) { result = usable })
	return result
}

// startProxy starts a proxy that routes requests, and waits for its first lease.
func (b *testbed) startProxy(config client.Config) *fakeproxy.Proxy {
	b.t.Helper()
	p := fakeproxy.Start(config, time.Millisecond, 1)
	b.t.Cleanup(p.Close)
	b.waitFor("a lease", func() bool { return usable(p.Client) })
	return p
}

// dial returns a gRPC connection to an address. With credentials of nil it speaks plain text.
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
