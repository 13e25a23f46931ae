package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/grpc/credentials"

	"mintspring/internal/cli"
	"mintspring/internal/controlplane/client"
	"mintspring/internal/controlplane/ringcache"
	"mintspring/internal/fleet"
	"mintspring/internal/node/clients"
)

// showNodeID is the node ID that show sends to the control plane. It keeps the program's original name, since control planes receive it.
const showNodeID = "mintcontrol show"

// errNoSnapshot is returned by show when no usable snapshot arrives in time.
var errNoSnapshot = errors.New("no usable snapshot")

// showPollInterval is the interval at which show checks for a usable snapshot.
const showPollInterval = 10 * time.Millisecond

// showCmd connects as a proxy and prints the snapshot that it receives.
type showCmd struct {
	Addr    string        `arg:"" help:"Address of the control plane."`
	Cluster string        `default:"mintspring" help:"Name of the resources."`
	Zone    string        `help:"Zone of the proxy to act as."`
	Changes bool          `help:"Use the incremental variant."`
	Keys    []string      `help:"Show which servers own these keys." placeholder:"KEY"`
	Within  time.Duration `help:"How long to wait for a snapshot." default:"3s"`
	Cert    string        `help:"Certificate of the proxy, PEM."`
	Key     string        `help:"Its key, PEM."`
	CA      string        `name:"ca" help:"Authorities that sign the control plane's certificate, PEM."`
	Name    string        `help:"Name in the control plane's certificate."`
}

// Run prints the first usable snapshot.
func (c *showCmd) Run(ctx context.Context) error {
	creds, err := c.credentials()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	proxy := client.New(client.Config{
		Addr:           c.Addr,
		Cluster:        c.Cluster,
		NodeID:         showNodeID,
		Zone:           c.Zone,
		Incremental:    c.Changes,
		WatchEndpoints: true,
		Credentials:    creds,
	})
	go proxy.Run(ctx)
	if !waitUsable(ctx, proxy) {
		return fmt.Errorf("%w within %v from %s for cluster %s", errNoSnapshot, c.Within, c.Addr, c.Cluster)
	}
	endpoints := proxy.Endpoints()
	proxy.WithCache(func(cache *ringcache.Cache, _ bool) { err = c.print(os.Stdout, endpoints, cache) })
	return err
}

// waitUsable waits until a proxy has a usable snapshot and endpoints. It reports false if the context ends first.
func waitUsable(ctx context.Context, proxy *client.Client) bool {
	ticker := time.NewTicker(showPollInterval)
	defer ticker.Stop()
	for {
		var ready bool
		proxy.WithCache(func(_ *ringcache.Cache, usable bool) { ready = usable })
		if ready && proxy.Endpoints() != nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// credentials loads the credentials from the files in the flags. It returns nil for plain text.
func (c *showCmd) credentials() (credentials.TransportCredentials, error) {
	if c.Cert == "" && c.CA == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	if err != nil {
		return nil, fmt.Errorf("--cert, --key: %w", err)
	}
	text, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("--ca: %s contains no certificate", c.CA)
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authorities,
		ServerName:   c.Name,
	}), nil
}

// stateNames are the printed names of server states.
var stateNames = map[fleet.State]string{fleet.Gone: "gone", fleet.Draining: "draining", fleet.Ready: "ready"}

// print prints a snapshot: its servers with their arcs and weights, and the owners of the keys.
func (c *showCmd) print(out io.Writer, endpoints *endpoint.ClusterLoadAssignment, cache *ringcache.Cache) error {
	p := cli.NewPrinter(out)
	version, _ := cache.Version()
	p.Printf("snapshot %v, digest %016x; discovery was heard %.1f s before the lease\n", version, cache.Digest(), cache.ListAgeMs()/1000)
	weights := map[string]uint32{}
	for _, locality := range endpoints.GetEndpoints() {
		for _, e := range locality.LbEndpoints {
			weights[e.GetEndpoint().Hostname] = e.LoadBalancingWeight.GetValue()
		}
	}
	arcs, zoneArcs := cache.Arcs(), cache.ZoneArcs()
	p.Printf("%-20s %-21s %-12s %-8s %8s %8s %8s\n", "server", "address", "zone", "state", "arc %", "zone's %", "weight")
	for _, s := range cache.Servers() {
		p.Printf("%-20s %-21s %-12s %-8s %8.3f %8.3f %8d\n", s.ID, s.Addr, s.Zone, stateNames[s.State],
			100*arcs[s.Slot], 100*zoneArcs[s.Slot], weights[s.ID])
	}
	for _, key := range c.Keys {
		owner := "no server"
		if s := cache.Owner(clients.RingPoint([]byte(key))); s != nil {
			owner = s.ID
		}
		p.Printf("key %s: %s\n", key, owner)
	}
	return p.Err()
}
