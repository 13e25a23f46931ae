package fakes

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"mintspring/internal/testbed/loopback"
	"mintspring/internal/testbed/servermodel"
)

// Phases of a server, with the names that discovery uses.
const (
	InService   = servermodel.InService
	Terminating = servermodel.Terminating
	Terminated  = servermodel.Terminated
)

// Heartbeat is how often a watch receives an empty line while nothing changes.
const Heartbeat = 2 * time.Second

// NotificationDeadlineMs is the time after a change from which nodes count as notified, even if no update reached them.
const NotificationDeadlineMs = 6000

// Notification is an update about a server that discovery sent to a node.
type Notification struct {
	AtMs      float64 // Unix ms
	Node      servermodel.NodeID
	Server    servermodel.ServerID
	Name      string // the id under which the server was listed
	Phase     string
	StartedMs float64 // Unix ms; 0: long ago
}

// Discovery is a fake discovery service with a separate address for each node. Its methods may be called from any goroutine.
type Discovery struct {
	fleet *Fleet
	done  chan struct{} // closed by close

	mu            sync.Mutex // guards the fields below; taken after the fleet's mutex
	endpoints     servermodel.EndpointList
	unavailable   bool
	stalled       bool
	clockOffset   float64        // of servers' clocks, in ms
	listeners     []net.Listener // by node
	httpServers   []*http.Server // by node
	notifications []Notification
	callCount     int
	bytesWritten  int
	changed       chan struct{} // closed and replaced at each change
}

// newDiscovery starts the service with all servers of the fleet listed as in service.
func newDiscovery(f *Fleet, nodes int) (*Discovery, error) {
	d := &Discovery{fleet: f, changed: make(chan struct{}), done: make(chan struct{})}
	for _, s := range f.servers {
		d.endpoints.Publish(0, servermodel.EndpointUpdate{Server: s.ID(), Name: s.Name, Phase: InService})
	}
	d.listeners, d.httpServers = make([]net.Listener, nodes), make([]*http.Server, nodes)
	for node := range nodes {
		if err := d.listen(node); err != nil {
			d.close()
			return nil, fmt.Errorf("starting the discovery service: %w", err)
		}
	}
	return d, nil
}

// listen serves a node at a new address. Called with the lock held, or while no other goroutine uses d.
func (d *Discovery) listen(node int) error {
	l, err := loopback.Listen()
	if err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, r *http.Request) { d.handle(servermodel.NodeID(node), w, r) }
	httpServer := &http.Server{Handler: http.HandlerFunc(handler)}
	d.listeners[node], d.httpServers[node] = l, httpServer
	go func() { // ends when the server is closed
		if err := httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("fake discovery service: %v", err))
		}
	}()
	return nil
}

// Addr returns the address at which a node reaches the service.
func (d *Discovery) Addr(node int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listeners[node].Addr().String()
}

// SetPhase publishes a phase of a server under its current id.
func (d *Discovery) SetPhase(s *Server, phase string) {
	name := s.ListedID()
	d.fleet.mu.Lock()
	started := s.startedMs
	d.fleet.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	update := servermodel.EndpointUpdate{Server: s.ID(), Name: name, Phase: phase, Started: started, ClockOffset: d.clockOffset}
	d.endpoints.Publish(NowMs(), update)
	d.notifyWatchers()
}

// notifyWatchers wakes all waiting calls, which then read the state again. Called with the lock held.
func (d *Discovery) notifyWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDelay sets the delay with which changes reach nodes from now on.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	d.endpoints.Delay = float64(delay) / float64(time.Millisecond)
	d.mu.Unlock()
}

// SetUnavailable makes every call fail and ends the watches, or makes the service available again.
func (d *Discovery) SetUnavailable(unavailable bool) {
	d.mu.Lock()
	d.unavailable = unavailable
	d.notifyWatchers()
	d.mu.Unlock()
}

// SetStalled starts or ends a stall. During a stall connections stay open, but calls get no response and watches receive nothing; they
// continue when the stall ends.
func (d *Discovery) SetStalled(stalled bool) {
	d.mu.Lock()
	d.stalled = stalled
	d.notifyWatchers()
	d.mu.Unlock()
}

// SetClockOffset sets by how many ms the servers' clocks are ahead of the nodes' clocks. Later updates list start times that are later by
// this offset.
func (d *Discovery) SetClockOffset(ms float64) {
	d.mu.Lock()
	d.clockOffset = ms
	d.mu.Unlock()
}

// ResetRevision restarts the revision numbers, as a service does that has lost its state.
func (d *Discovery) ResetRevision() {
	d.mu.Lock()
	d.endpoints.ResetRevision(NowMs())
	d.notifyWatchers()
	d.mu.Unlock()
}

// Relocate serves each node at a new address. The old addresses refuse connections.
func (d *Discovery) Relocate() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node := range d.listeners {
		_ = d.httpServers[node].Close() // the listener is closed even if this reports an error
		if err := d.listen(node); err != nil {
			return fmt.Errorf("moving the discovery service: %w", err)
		}
	}
	return nil
}

// close ends the service and all calls. It may be called more than once.
func (d *Discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.done:
		return
	default:
	}
	close(d.done)
	for _, httpServer := range d.httpServers {
		if httpServer != nil {
			_ = httpServer.Close() // the server ends even if this reports an error
		}
	}
}

// Notifications returns all notifications sent to nodes so far.
func (d *Discovery) Notifications() []Notification {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notifications
}

// CallCount returns how many calls nodes have made.
func (d *Discovery) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCount
}

// BytesWritten returns how many bytes of lists nodes have been sent.
func (d *Discovery) BytesWritten() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytesWritten
}

// notifiedOfStart reports whether a node was sent the given start time of a server.
func (d *Discovery) notifiedOfStart(node servermodel.NodeID, server servermodel.ServerID, startedMs float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range slices.Backward(d.notifications) {
		if n.Node == node && n.Server == server && n.StartedMs == startedMs {
			return true
		}
	}
	return false
}
