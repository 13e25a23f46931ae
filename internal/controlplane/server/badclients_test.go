package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/testbed/fakeproxy"
)

// unknownPartRequest returns a request for a ring part that does not exist.
func unknownPartRequest() *discovery.DiscoveryRequest {
	return &discovery.DiscoveryRequest{TypeUrl: string(snapshot.RingPartType), ResourceNames: []string{"none"}}
}

// openStream opens a stream with a first request.
func openStream(ctx context.Context, conn *grpc.ClientConn, r *discovery.DiscoveryRequest) (discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient, error) {
	s, err := discovery.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.Send(r); err != nil && !errors.Is(err, io.EOF) { // after io.EOF, Recv returns the actual error
		return nil, err
	}
	return s, nil
}

// sendInvalidHTTP2 sends bytes that are not HTTP/2 and keeps the connection open until the test ends.
func sendInvalidHTTP2(t *testing.T, addr string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close() // the server may have closed it
	})
	// The write may fail, since the server may have closed the connection.
	_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\n\r\n\x00\x01\x02%s", strings.Repeat("noise", 100))
}

// requestWithoutReading requests the entire ring and never reads the response.
func requestWithoutReading(t *testing.T, addr string) {
	t.Helper()
	link := fakeproxy.NewLink()
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(link.Dial), grpc.WithInitialWindowSize(1<<16))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	})
	if _, err := openStream(context.Background(), conn, &discovery.DiscoveryRequest{TypeUrl: string(snapshot.RingPartType)}); err != nil {
		t.Fatal(err)
	}
}

// holdStreams opens streams, eight per connection, which stay open until the context ends. It returns the number of rejected streams.
func holdStreams(ctx context.Context, t *testing.T, addr string, count int) (rejected int) {
	t.Helper()
	const perConnection = 8
	for range count / perConnection {
		conn := dial(t, addr, nil)
		for range perConnection {
			err := holdStream(ctx, conn)
			if status.Code(err) == codes.ResourceExhausted {
				rejected++
			} else if err != nil {
				t.Fatal(err)
			}
		}
	}
	return rejected
}

// holdStream opens a stream and acknowledges the first response. Without the acknowledgement the stream would time out, on a slow machine
// before all streams are open.
func holdStream(ctx context.Context, conn *grpc.ClientConn) error {
	s, err := openStream(ctx, conn, unknownPartRequest())
	if err != nil {
		return err
	}
	response, err := s.Recv()
	if err != nil {
		return err
	}
	ack := unknownPartRequest()
	ack.VersionInfo, ack.ResponseNonce = response.GetVersionInfo(), response.GetNonce()
	return s.Send(ack)
}

// floodStreams opens many streams concurrently, 200 per connection, and calls during meanwhile. When all streams have ended, it returns
// the number of attempts.
func floodStreams(ctx context.Context, t *testing.T, addr string, count int, during func()) int64 {
	t.Helper()
	const perConnection = 200
	var tried atomic.Int64
	var clients sync.WaitGroup
	for range count / perConnection {
		conn := dial(t, addr, nil)
		for range perConnection {
			clients.Go(func() {
				defer tried.Add(1)
				ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
				defer cancel()
				s, err := openStream(ctx, conn, unknownPartRequest())
				for err == nil { // keep the stream open until its timeout
					_, err = s.Recv()
				}
			})
		}
	}
	during()
	clients.Wait()
	return tried.Load()
}

// TestBadClients checks that clients that send invalid data, open too many streams, or never read do not take a healthy proxy's lease,
// and that their streams end.
func TestBadClients(t *testing.T) {
	// The lease is ten times that of testConfig, so that scheduling delays on a busy machine do not end it. It ends only if the bad
	// clients keep the server from renewing it.
	bed := newTestbed(t, 2000, nil, func(config *Config) { config.StreamLimits.LeaseMs *= 10 })
	healthy := bed.startProxy(bed.clientConfig("good", "a"))
	_, before := healthy.Counts()
	for range 20 {
		sendInvalidHTTP2(t, bed.addr)
	}
	requestWithoutReading(t, bed.addr)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	heldCtx, releaseStreams := context.WithCancel(ctx)
	defer releaseStreams()
	rejected := holdStreams(heldCtx, t, bed.addr, 240)
	if rejected < 40 || rejected > 42 { // the healthy proxy has one stream, and the client that never reads may still have one
		t.Errorf("%d of 240 streams were rejected", rejected)
	}
	releaseStreams()

	tried := floodStreams(ctx, t, bed.addr, 10_000, func() {
		bed.waitFor("a timeout of the stream that is not read", func() bool { return bed.server.Counters().StreamsTimedOut.Load() > 0 })
	})
	if tried != 10_000 {
		t.Errorf("%d streams were tried", tried)
	}

	conn := dial(t, bed.addr, nil)
	for _, r := range []*discovery.DiscoveryRequest{
		{TypeUrl: "type.googleapis.com/other"},
		{TypeUrl: string(snapshot.EndpointType), ResourceNames: []string{strings.Repeat("x", 1<<17)}},
	} {
		s, err := openStream(ctx, conn, r)
		if err == nil {
			_, err = s.Recv()
		}
		if code := status.Code(err); code != codes.InvalidArgument && code != codes.ResourceExhausted {
			t.Errorf("%.40s ends with %v", r.TypeUrl, err)
		}
	}
	cancel()
	if sent, after := healthy.Counts(); after-before > sent/10 || !usable(healthy.Client) {
		t.Errorf("the healthy proxy found no usable snapshot %d times, and sent %d requests", after-before, sent)
	}
	bed.waitFor("the end of the bad clients' streams", func() bool { return len(bed.server.streamSlots) <= 1 })
}
