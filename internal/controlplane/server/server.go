// Package server serves the control plane to proxies over gRPC: aggregated xDS streams in both variants, load reports, and TLS.
//
// Package stream decides what is sent on a stream. This package isolates proxies from one another: it limits connections, streams and
// request sizes, and ends the streams of proxies that do not acknowledge responses.
package server

import (
	"net"
	"sync/atomic"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/stream"
)

// Controller provides snapshots and receives load reports. Its methods are called concurrently from the goroutines of all streams.
type Controller interface {
	stream.Source
	ZoneIndex(zone string) int
	Snapshot(zoneIndex int) *snapshot.Snapshot // nil before the first one
	Watch() (updated <-chan struct{}, cancel func())
	ObserveVersion(held snapshot.Version)
	AddLoadReports(proxy string, reports map[string]loadreport.Report)
}

// Config limits the resources that proxies may use, and sets the timeout and the interval of the protocol.
type Config struct {
	StreamLimits            stream.Limits
	MaxConnections          int           // open at the same time; further ones wait
	MaxStreams              int           // open at the same time, over all connections
	MaxStreamsPerConnection uint32        // open at the same time
	MaxRequestBytes         int           // size limit of one request
	AckTimeout              time.Duration // a stream ends when sending a response and receiving its acknowledgement takes longer
	LoadReportInterval      time.Duration // requested from proxies
}

const (
	keepaliveTime        = 10 * time.Second // the server pings a connection that was idle for this long
	keepaliveTimeout     = 5 * time.Second  // the server closes a connection whose ping is not answered in time
	keepaliveMinInterval = time.Second      // minimum interval between pings from a proxy
	handshakeTimeout     = 5 * time.Second

	maxHeaderBytes  = 16 << 10
	readBufferSize  = 8 << 10
	writeBufferSize = 16 << 10
)

// Server serves proxies.
type Server struct {
	log         *logrus.Logger
	controller  Controller
	config      Config
	grpc        *grpc.Server
	streamSlots chan struct{} // holds one value for each open stream
	counters    Counters
	start       time.Time
}

// Counters hold totals since the server started. The control plane logs their increments; tests and benchmarks read them.
type Counters struct {
	StreamsOpened   atomic.Int64
	StreamsRejected atomic.Int64 // over Config.MaxStreams
	StreamsTimedOut atomic.Int64 // over Config.AckTimeout
	Responses       atomic.Int64
	ResponseBytes   atomic.Int64
	Leases          atomic.Int64
	Nacks           atomic.Int64 // responses rejected by proxies
}

// New returns a server. Without credentials it serves plain text.
func New(log *logrus.Logger, controller Controller, config Config, creds credentials.TransportCredentials) *Server {
	s := &Server{
		log:         log,
		controller:  controller,
		config:      config,
		streamSlots: make(chan struct{}, config.MaxStreams),
		start:       time.Now(),
	}
	options := []grpc.ServerOption{
		grpc.MaxConcurrentStreams(config.MaxStreamsPerConnection),
		grpc.MaxRecvMsgSize(config.MaxRequestBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ReadBufferSize(readBufferSize),
		grpc.WriteBufferSize(writeBufferSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveMinInterval, PermitWithoutStream: true}),
	}
	if creds != nil {
		options = append(options, grpc.Creds(creds))
	}
	s.grpc = grpc.NewServer(options...)
	discovery.RegisterAggregatedDiscoveryServiceServer(s.grpc, adsService{server: s})
	lrs.RegisterLoadReportingServiceServer(s.grpc, loadReportService{server: s})
	return s
}

// Serve accepts connections until Stop is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.grpc.Serve(netutil.LimitListener(listener, s.config.MaxConnections))
}

// Stop closes all connections and ends Serve.
func (s *Server) Stop() { s.grpc.Stop() }

// Counters returns the counters since the start.
func (s *Server) Counters() *Counters { return &s.counters }

// nowMs returns the monotonic time since the server was created, in milliseconds.
func (s *Server) nowMs() float64 { return milliseconds(time.Since(s.start)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// acquireStream reserves one of the Config.MaxStreams slots. The caller must call release when the stream ends.
func (s *Server) acquireStream() (release func(), err error) {
	select {
	case s.streamSlots <- struct{}{}:
		s.counters.StreamsOpened.Add(1)
		return func() { <-s.streamSlots }, nil
	default:
		s.counters.StreamsRejected.Add(1)
		return nil, status.Errorf(codes.ResourceExhausted, "all %d streams are taken; come again later", s.config.MaxStreams)
	}
}
