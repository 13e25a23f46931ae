// Package client is a proxy's side of the control plane over gRPC: it keeps an xDS stream open, applies responses to a
// ringcache.Cache, requests leases, and reconnects when the stream is lost. Proxies written in Go can use it as it is.
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
	leaseRequestInterval = 100 * time.Millisecond // of a lease of 400 ms three requests may be lost
	leaseTimeout         = time.Second            // without a lease the stream is taken for lost

	// The time before a reconnect is drawn from the second half of a backoff that doubles from the first to the second of these.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	maxResponseBytes = 16 << 20

	userAgent = "mintspring-follow" // sent to the control plane
)

// Config says what a Client follows, and how it identifies itself.
type Config struct {
	Addr              string // host:port of the control plane
	Cluster           string // names the resources
	NodeID            string // of the proxy
	Zone              string // of the proxy
	Incremental       bool   // use the incremental variant in place of state of the world
	WatchEndpoints    bool   // subscribe to the cluster and its endpoints too
	ForgetOnReconnect bool   // reconnect without stating what is held

	Credentials credentials.TransportCredentials                         // nil: plain text
	Dial        func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP

	// Validate, if set, is called before a response is applied; its error rejects the response. OnApplied, if set, is called for each
	// snapshot applied. Both run on the Client's goroutine and must not call the Client.
	Validate  func(snapshot.TypeURL) error
	OnApplied func(version snapshot.Version, digest uint64)
}

// ErrNoUsableSnapshot is returned while no snapshot may be used: the lease has ended, or a server was taken out of service since the
// snapshot.
var ErrNoUsableSnapshot = errors.New("no usable snapshot")

// Client follows the control plane while Run runs. All other methods may be called from any goroutine.
type Client struct {
	config Config
	start  time.Time

	mu            sync.Mutex // guards what follows
	cache         *ringcache.Cache
	endpoints     *endpoint.ClusterLoadAssignment
	streamCount   int
	rejectedCount int
	leasedAt      time.Time // of the last lease, or the start of the stream
}

// New returns a client without a snapshot.
func New(config Config) *Client {
	return &Client{config: config, start: time.Now(), cache: ringcache.New(config.Cluster)}
}

// nowMs returns the time since the start in milliseconds. It is monotonic: a lease must not outlive a clock that is set back.
func (c *Client) nowMs() float64 { return float64(time.Since(c.start)) / float64(time.Millisecond) }

// Run follows the control plane until the context ends.
func (c *Client) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		c.mu.Lock()
		c.streamCount++
		c.mu.Unlock()
		started := time.Now()
		_ = c.runStream(ctx) // whatever ended the stream, the answer is another one
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

// runStream follows the control plane over one connection until that is lost.
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
			continue // the next request acknowledges it
		}
		if err := stream.acknowledge(r.typeURL, r.version, r.nonce, rejection); err != nil {
			return err
		}
	}
}

// connect returns a connection to the control plane, which is dialled when it is used.
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

// subscribe subscribes to the resources on a new stream, and states what is held of the ring.
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

// leaseLoop requests leases, and cancels a stream on which none arrive. It ends with the stream.
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

// handleResponse applies a response. An error says why it is rejected; its text is sent to the control plane.
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
			continue // a heartbeat, which has no body
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

// Owner returns the server that a new request of a key goes to now. The error is ErrNoUsableSnapshot.
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

// WithCache calls a function with the ring cache, which it must not keep, and whether the cache is usable now.
func (c *Client) WithCache(do func(cache *ringcache.Cache, usable bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do(c.cache, c.cache.Usable(c.nowMs()))
}

// Endpoints returns the last endpoints for proxies that know weights only, nil before any have arrived.
func (c *Client) Endpoints() *endpoint.ClusterLoadAssignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints
}

// StreamsOpened returns how many streams were opened, or tried, so far.
func (c *Client) StreamsOpened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streamCount
}

// ResponsesRejected returns how many responses were rejected so far.
func (c *Client) ResponsesRejected() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejectedCount
}
