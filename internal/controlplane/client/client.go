// Package client is the client of the control plane for proxies written in Go. It keeps an xDS stream open over gRPC, applies responses
// to a ringcache.Cache, requests leases, and reconnects when the stream is lost.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/controlplane/ringcache"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
)

const (
	leaseRequestInterval = 100 * time.Millisecond // a lease of 400 ms outlives the loss of three requests
	leaseTimeout         = time.Second            // a stream without a lease for this long is considered lost

	// The backoff doubles from minBackoff to maxBackoff. The delay before a reconnect is random, between half the backoff and all of it.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	maxResponseBytes = 16 << 20

	userAgent = "mintspring-follow" // sent to the control plane
)

// Config configures a Client: the control plane, the identity of the proxy, and its subscriptions.
type Config struct {
	Addr              string // host:port of the control plane
	Cluster           string // name of the cluster, which prefixes resource names
	NodeID            string // of the proxy
	Zone              string // of the proxy
	Incremental       bool   // use the incremental variant instead of state of the world
	WatchEndpoints    bool   // also subscribe to the cluster and its endpoints
	ForgetOnReconnect bool   // do not send the held versions on a reconnect

	Credentials credentials.TransportCredentials                         // nil for plain text
	Dial        func(ctx context.Context, addr string) (net.Conn, error) // nil for TCP

	// Validate, if set, is called before a response is applied; an error rejects the response. OnApplied, if set, is called after each
	// applied snapshot. Both run on the goroutine of Run with the Client's lock held, and must not
	// call the Client's methods.
	Validate  func(snapshot.TypeURL) error
	OnApplied func(version snapshot.Version, digest uint64)
}

// ErrNoUsableSnapshot is returned while no snapshot may be used: there is no valid lease, or a server was taken out of service after the
// snapshot.
var ErrNoUsableSnapshot = errors.New("no usable snapshot")

// Client receives snapshots and leases from the control plane while Run runs. All other methods are safe for concurrent use.
type Client struct {
	config Config
	start  time.Time

	mu            sync.Mutex // guards the fields below
	cache         *ringcache.Cache
	endpoints     *endpoint.ClusterLoadAssignment
	streamCount   int
	rejectedCount int
	leasedAt      time.Time // when the last lease arrived, or when the stream started
}

// New returns a client without a snapshot.
func New(config Config) *Client {
	return &Client{config: config, start: time.Now(), cache: ringcache.New(config.Cluster)}
}

// nowMs returns the time since New in milliseconds. It is monotonic, so that setting the system clock back does not extend a lease.
func (c *Client) nowMs() float64 { return float64(time.Since(c.start)) / float64(time.Millisecond) }

// Run keeps a stream to the control plane open until the context ends.
func (c *Client) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		c.mu.Lock()
		c.streamCount++
		c.mu.Unlock()
		started := time.Now()
		_ = c.runStream(ctx) // any error leads to a new stream
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + time.Duration(rand.Int64N(int64(backoff/2)))):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// runStream opens a connection and a stream, and applies responses until the stream ends.
func (c *Client) runStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := c.connect()
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // the connection is not used any more
	stream, err := c.openStream(ctx, discovery.NewAggregatedDiscoveryServiceClient(conn))
	if err != nil {
		return err
	}
	if err := c.subscribe(stream); err != nil {
		return err
	}
	go c.leaseLoop(ctx, cancel, stream)
	for {
		r, err := stream.recv()
		if err != nil {
			return err
		}
		rejection := c.handleResponse(r)
		if r.typeURL == snapshot.LeaseType {
			continue // the next lease request acknowledges the lease
		}
		if err := stream.acknowledge(r.typeURL, r.version, r.nonce, rejection); err != nil {
			return err
		}
	}
}

// connect returns a connection to the control plane, which is dialed on first use.
func (c *Client) connect() (*grpc.ClientConn, error) {
	creds := c.config.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
	}
	if c.config.Dial != nil {
		options = append(options, grpc.WithContextDialer(c.config.Dial))
	}
	return grpc.NewClient("passthrough:///"+c.config.Addr, options...)
}

// openStream opens a stream of the configured variant.
func (c *Client) openStream(ctx context.Context, service discovery.AggregatedDiscoveryServiceClient) (messageStream, error) {
	node := &core.Node{
		Id:            c.config.NodeID,
		Cluster:       c.config.Cluster,
		Locality:      &core.Locality{Zone: c.config.Zone},
		UserAgentName: userAgent,
	}
	if c.config.Incremental {
		stream, err := service.DeltaAggregatedResources(ctx)
		if err != nil {
			return nil, err
		}
		return newDeltaStream(stream, node), nil
	}
	stream, err := service.StreamAggregatedResources(ctx)
	if err != nil {
		return nil, err
	}
	return newSotwStream(stream, node, c.config.Cluster), nil
}

// subscribe sends the subscriptions on a new stream, with the held versions of the ring parts.
func (c *Client) subscribe(stream messageStream) error {
	if c.config.WatchEndpoints {
		if err := errors.Join(
			stream.subscribe(snapshot.ClusterType, nil, nil, ""),
			stream.subscribe(snapshot.EndpointType, []string{c.config.Cluster}, nil, ""),
		); err != nil {
			return err
		}
	}
	c.mu.Lock()
	if c.config.ForgetOnReconnect {
		c.cache.ForgetVersion()
	}
	held := c.cache.Versions()
	c.leasedAt = time.Now()
	c.mu.Unlock()
	return stream.subscribe(snapshot.RingPartType, nil, held, held[snapshot.HeadName(c.config.Cluster)])
}

// leaseLoop requests leases until the stream ends. It cancels the stream if no lease arrives within leaseTimeout.
func (c *Client) leaseLoop(ctx context.Context, cancel context.CancelFunc, stream messageStream) {
	ticker := time.NewTicker(leaseRequestInterval)
	defer ticker.Stop()
	previous := ""
	for i := 0; ; i++ {
		name := strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(i) //nolint:forbidigo // a name, not a time
		c.mu.Lock()
		c.cache.RecordLeaseRequest(c.nowMs(), name)
		lost := time.Since(c.leasedAt) > leaseTimeout
		c.mu.Unlock()
		if lost || stream.requestLease(name, previous) != nil {
			cancel()
			return
		}
		previous = name
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handleResponse applies a response. An error rejects the response; its text is sent to the control plane.
func (c *Client) handleResponse(r *response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.apply(r)
	if err != nil {
		c.rejectedCount++
	}
	return err
}

// apply applies a response. The caller holds the lock.
func (c *Client) apply(r *response) error {
	if c.config.Validate != nil {
		if err := c.config.Validate(r.typeURL); err != nil {
			return err
		}
	}
	switch r.typeURL {
	case snapshot.LeaseType:
		return c.applyLeases(r)
	case snapshot.EndpointType:
		return c.applyEndpoints(r)
	case snapshot.RingPartType:
		return c.applyRing(r)
	default:
		return nil
	}
}

func (c *Client) applyLeases(r *response) error {
	for _, body := range r.resources {
		var lease wire.Lease
		if err := proto.Unmarshal(body.GetValue(), &lease); err != nil {
			return err
		}
		c.cache.ApplyLease(&lease)
		c.leasedAt = time.Now()
	}
	return nil
}

func (c *Client) applyEndpoints(r *response) error {
	for _, body := range r.resources {
		if body.GetTypeUrl() != string(snapshot.EndpointType) {
			continue // a heartbeat has no body
		}
		assignment := &endpoint.ClusterLoadAssignment{}
		if err := body.UnmarshalTo(assignment); err != nil {
			return err
		}
		c.endpoints = assignment
	}
	return nil
}

func (c *Client) applyRing(r *response) error {
	parts := map[string][]byte{}
	for name, body := range r.byName {
		parts[name] = body.GetValue()
	}
	applied, err := c.cache.Apply(ringcache.Update{Complete: r.complete, Parts: parts, Removed: r.removed})
	if err != nil {
		return err
	}
	if applied && c.config.OnApplied != nil {
		version, _ := c.cache.Version()
		c.config.OnApplied(version, c.cache.Digest())
	}
	return nil
}

// Owner returns the server that currently owns a key. The error wraps ErrNoUsableSnapshot.
func (c *Client) Owner(key fleet.Key) (ringcache.Server, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cache.Usable(c.nowMs()) {
		return ringcache.Server{}, ErrNoUsableSnapshot
	}
	owner := c.cache.Owner(key)
	if owner == nil {
		return ringcache.Server{}, fmt.Errorf("%w: no server in service", ErrNoUsableSnapshot)
	}
	return *owner, nil
}

// WithCache calls a function with the ring cache and whether the cache is usable now. The function must not retain the cache.
func (c *Client) WithCache(do func(cache *ringcache.Cache, usable bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do(c.cache, c.cache.Usable(c.nowMs()))
}

// Endpoints returns the last received endpoint assignment, which has weights in place of ring points. It is nil before the first one.
func (c *Client) Endpoints() *endpoint.ClusterLoadAssignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints
}

// StreamsOpened returns the number of attempts to open a stream, failed ones included.
func (c *Client) StreamsOpened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streamCount
}

// ResponsesRejected returns the number of rejected responses.
func (c *Client) ResponsesRejected() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejectedCount
}
