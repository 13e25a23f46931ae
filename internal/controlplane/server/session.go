package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mintspring/internal/controlplane/stream"
)

// maxLoggedDetail is the number of characters of an error detail that are logged.
const maxLoggedDetail = 300

// messageStream is the gRPC stream of an xDS stream, in either variant.
type messageStream interface {
	Context() context.Context
	recv() (*stream.Request, *core.Node, error)
	send(*stream.Response) error
}

// recvResult is the result of one receive in the read loop: a request and its node, or an error.
type recvResult struct {
	request *stream.Request
	node    *core.Node
	err     error
}

// session serves one stream. The read loop and the write loop run on separate goroutines; everything else runs on the goroutine of
// run. A proxy that does not read blocks only the write loop of its own session.
type session struct {
	server     *Server
	variant    stream.Variant
	grpcStream messageStream

	requests  chan recvResult
	responses chan *stream.Response
	written   chan error // result of each send

	// Owned by run's goroutine.
	proxy            proxyIdentity
	stream           *stream.Stream // nil until the first request
	writing          bool           // the write loop has a response whose send has not returned
	writingStartedMs float64
}

// serveStream serves a stream, or rejects it if Config.MaxStreams are open.
func (s *Server) serveStream(variant stream.Variant, grpcStream messageStream) error {
	release, err := s.acquireStream()
	if err != nil {
		return err
	}
	defer release()
	session := &session{
		server:     s,
		variant:    variant,
		grpcStream: grpcStream,
		requests:   make(chan recvResult),
		responses:  make(chan *stream.Response),
		written:    make(chan error, 1),
	}
	return session.run()
}

// run serves the stream until it ends. The read loop ends after run returns; the write loop ends after run returns and gRPC has
// canceled any send in progress.
func (s *session) run() error {
	ctx, cancel := context.WithCancel(s.grpcStream.Context())
	defer cancel()
	go s.readLoop(ctx)
	go s.writeLoop()
	defer close(s.responses)

	updated, cancelWatch := s.server.controller.Watch()
	defer cancelWatch()
	timer := time.NewTimer(s.server.config.AckTimeout)
	defer timer.Stop()
	for {
		waitMs, err := s.advance(s.server.nowMs())
		if err != nil {
			return err
		}
		timer.Reset(time.Duration(waitMs*float64(time.Millisecond)) + time.Millisecond)
		select {
		case r := <-s.requests:
			if errors.Is(r.err, io.EOF) {
				return nil
			}
			if r.err != nil {
				return r.err
			}
			if err := s.handle(ctx, r); err != nil {
				return err
			}
		case err := <-s.written:
			if err != nil {
				return err
			}
			s.writing = false
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *session) readLoop(ctx context.Context) {
	for {
		request, node, err := s.grpcStream.recv()
		select {
		case s.requests <- recvResult{request: request, node: node, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func (s *session) writeLoop() {
	for response := range s.responses {
		s.written <- s.grpcStream.send(response)
	}
}

// handle applies a request.
func (s *session) handle(ctx context.Context, r recvResult) error {
	controller := s.server.controller
	if s.stream == nil {
		s.proxy = s.server.identify(ctx, r.node)
		s.stream = stream.New(s.variant, s.server.config.StreamLimits, controller, nil)
	}
	if held, ok := r.request.HeldVersion(); ok {
		if newest := controller.Snapshot(s.proxy.zoneIndex); newest != nil && newest.Version.Before(held) {
			controller.ObserveVersion(held)
		}
	}
	if detail := r.request.ErrorDetail; detail != "" {
		s.server.counters.Nacks.Add(1)
		s.server.log.WithField("proxy", s.proxy.name).WithField("type", r.request.TypeURL).
			WithField("detail", fmt.Sprintf("%.*s", maxLoggedDetail, detail)).Warn("proxy rejected a response")
	}
	if err := s.stream.HandleRequest(r.request); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	return nil
}

// advance sends the next response if one is due. It returns the time until the next call is needed, and an error if the proxy has not
// acknowledged a response in time.
func (s *session) advance(now float64) (waitMs float64, err error) {
	waitMs = milliseconds(s.server.config.AckTimeout)
	if s.stream == nil {
		return waitMs, nil
	}
	if !s.writing {
		s.stream.SetSnapshot(s.server.controller.Snapshot(s.proxy.zoneIndex))
		if response, due := s.stream.Next(now); due {
			s.writing, s.writingStartedMs = true, now
			s.responses <- &response // the write loop is waiting for it
		} else if streamWaitMs := s.stream.WaitMs(now); streamWaitMs >= 0 {
			waitMs = min(waitMs, streamWaitMs)
		}
	}
	remainingMs, err := s.checkAckTimeout(now)
	return min(waitMs, remainingMs), err
}

// checkAckTimeout returns the remaining time for the proxy to acknowledge a response, and an error if the timeout has passed. The
// timeout bounds how long an unread or unacknowledged response is buffered for a slow proxy.
func (s *session) checkAckTimeout(now float64) (remainingMs float64, err error) {
	timeoutMs := milliseconds(s.server.config.AckTimeout)
	sinceMs, pending := s.stream.OldestUnacknowledged()
	if s.writing && (!pending || s.writingStartedMs < sinceMs) {
		sinceMs, pending = s.writingStartedMs, true
	}
	if !pending {
		return timeoutMs, nil
	}
	if now-sinceMs >= timeoutMs {
		s.server.counters.StreamsTimedOut.Add(1)
		s.server.log.WithField("proxy", s.proxy.name).Warn("proxy does not acknowledge responses, ending its stream")
		return 0, status.Errorf(codes.DeadlineExceeded, "a response was not answered for %v", s.server.config.AckTimeout)
	}
	return timeoutMs - (now - sinceMs), nil
}
