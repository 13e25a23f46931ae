// Package fakediscovery is a minimal discovery service for tests that need only an endpoint list and updates to it. Package fakes has one
// with fake servers and faults.
package fakediscovery

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"mintspring/internal/testbed/loopback"
)

const (
	// heartbeatInterval is how often a watch receives an empty line while nothing changes.
	heartbeatInterval = time.Second
	// firstPort is the port of endpoint 0; nothing listens there.
	firstPort = 1000
	// listRevision is the revision of the initial list. Updates count up from it.
	listRevision = 1
)

// EndpointID returns the id of endpoint number i.
func EndpointID(i int) string { return fmt.Sprintf("s%d", i) }

// EndpointAddr returns the host:port of endpoint number i.
func EndpointAddr(i int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+i) }

// EndpointJSON returns endpoint number i as an object of the discovery protocol: a cache server with its id and address. startedMs
// is the time at which it started, in Unix ms, or 0 for long ago.
func EndpointJSON(i int, zone, phase string, startedMs int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"box","phase":%q,"up_since_ms":%d}`,
		EndpointID(i), EndpointAddr(i), zone, phase, startedMs)
}

// Server is a running discovery service. Its methods may be called from any goroutine.
type Server struct {
	Addr string // host:port

	httpServer *http.Server
	fullList   string // the response to a poll, and the first line of a watch

	mu      sync.Mutex    // guards the fields below
	updates []string      // lines that watches receive after the full list
	changed chan struct{} // closed and replaced at each update
}

// Start starts a discovery service with a list of endpoints, each as EndpointJSON returns it. It runs until Close.
func Start(endpoints []string) (*Server, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, fmt.Errorf("starting a fake discovery service: %w", err)
	}
	s := &Server{
		Addr:     listener.Addr().String(),
		changed:  make(chan struct{}),
		fullList: fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, listRevision, strings.Join(endpoints, ",")),
	}
	s.httpServer = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { // ends with Close
		if err := s.httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("fake discovery service: %v", err))
		}
	}()
	return s, nil
}

// handle answers a poll with the list, and streams the list and each update to a watch until the client leaves.
func (s *Server) handle(w http.ResponseWriter, request *http.Request) {
	if _, err := fmt.Fprintln(w, s.fullList); err != nil || !request.URL.Query().Has("watch") {
		return
	}
	for sent := 0; ; {
		updates, changed := s.updatesFrom(sent)
		for _, line := range updates {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return
			}
		}
		sent += len(updates)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
			if _, err := fmt.Fprintln(w); err != nil {
				return
			}
		case <-request.Context().Done():
			return
		}
	}
}

// updatesFrom returns the updates after the first sent ones, and a channel that is closed at the next one.
func (s *Server) updatesFrom(sent int) ([]string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updates[sent:], s.changed
}

// Publish sends all watches a change of one endpoint, as EndpointJSON returns it.
func (s *Server) Publish(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := listRevision + len(s.updates) + 1
	s.updates = append(s.updates, fmt.Sprintf(`{"revision":%d,"members":[%s]}`, revision, endpoint))
	close(s.changed)
	s.changed = make(chan struct{})
}

// Close ends the service and all watches.
func (s *Server) Close() {
	_ = s.httpServer.Close() // fails only if the listener is already closed
}
