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

// Phases of a server, as discovery names them.
const (
	InService   = servermodel.InService
	Terminating = servermodel.Terminating
	Terminated  = servermodel.Terminated
)

// Heartbeat is how often a watch receives an empty line while nothing changes.
const Heartbeat = 2 * time.Second

// NotificationDeadlineMs is when nodes count as notified of a change, whether or not it reached them, in ms.
const NotificationDeadlineMs = 6000

// Notification is an update about a server that discovery sent to a node.
type Notification struct {
	AtMs      float64 // Unix ms
	Node      servermodel.NodeID
	Server    servermodel.ServerID
	Name      string // under which it was listed
	Phase     string
	StartedMs float64 // Unix ms; 0: long ago
}

// Discovery is a fake discovery service, at an address of its own for each node. Its methods may be called from any goroutine.
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
	changed       chan struct{} // closed and replaced at each change
}

// newDiscovery starts the service with all servers of the fleet in its list.
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

// listen serves a node at a new address. Called with the lock held, or before anybody else knows of d.
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

// SetPhase changes the phase of a server in the list, under the id that it has now.
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

// notifyWatchers has all calls look at the state again. Called with the lock held.
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

// SetUnavailable makes every call fail and ends the watches, or has the service work again.
func (d *Discovery) SetUnavailable(unavailable bool) {
	d.mu.Lock()
	d.unavailable = unavailable
	d.notifyWatchers()
	d.mu.Unlock()
}

// SetStalled delays all responses while connections stay open: calls are not answered, watches receive nothing. When the stall is
// over they go on.
func (d *Discovery) SetStalled(stalled bool) {
	d.mu.Lock()
	d.stalled = stalled
	d.notifyWatchers()
	d.mu.Unlock()
}

// SetClockOffset sets how far the clocks of servers are ahead of the nodes', in ms: starts that are listed from now on are so much later.
func (d *Discovery) SetClockOffset(ms float64) {
	d.mu.Lock()
	d.clockOffset = ms
	d.mu.Unlock()
}

// ResetRevision makes the revision start again from the beginning, as after a loss of the service's state.
func (d *Discovery) ResetRevision() {
	d.mu.Lock()
	d.endpoints.ResetRevision(NowMs())
	d.notifyWatchers()
	d.mu.Unlock()
}

// Relocate serves each node at another address. The old ones refuse connections.
func (d *Discovery) Relocate() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node := range d.listeners {
		_ = d.httpServers[node].Close() // its listener refuses from here on whatever it says
		if err := d.listen(node); err != nil {
			return fmt.Errorf("moving the discovery service: %w", err)
		}
	}
	return nil
}

// close ends the service and all calls. Closing it twice is fine.
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
			_ = httpServer.Close() // it ends whatever it says
		}
	}
}

// Notifications returns all notifications of nodes.
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

// notifiedOfStart reports whether a node was notified of a server's start at a time.
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
