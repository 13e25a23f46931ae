// Package fakes runs fakes of all services that a node talks to, on loopback sockets: cache servers (RESP2), their origin (HTTP/1.1) and
// the discovery service. Package servermodel decides how servers behave; this package gives them sockets, injects faults into their
// responses and connections, and records executions and connections.
//
// Each server listens on a separate address for every node, since each node of the platform sees the others under different addresses.
// The address therefore identifies the node in each record, and the network can fail for one node alone.
package fakes

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mintspring/internal/testbed/servermodel"
)

// Kinds of servers, with the names that discovery uses.
const (
	CacheKind  = "box"
	OriginKind = "origin"
)

// faultStream is the random number stream of injected faults. It keeps them independent of other draws from the same seed.
const faultStream = 3

// ServerSpec describes one server of a fleet.
type ServerSpec struct {
	Name   string
	Zone   string
	Origin bool
	Cell   int
	Size   float64 // in the entry that discovery lists
	Config servermodel.ServerConfig
}

// Fleet is a running fleet of fake servers with its discovery service. Its methods may be called from any goroutine.
type Fleet struct {
	Discovery *Discovery

	servers []*Server     // the index is the server's ID
	wake    chan struct{} // wakes run, which then advances the model
	done    chan struct{} // closed by Close
	running sync.WaitGroup

	mu                  sync.Mutex // guards the fields below, and the fields of servers and connections that are marked as guarded by it
	cluster             *servermodel.Cluster
	rng                 *rand.Rand // draws faults
	connectionEvents    []ConnectionEvent
	duplicateDetections []DuplicateDetection
	closed              bool
}

// ConnectionEvent is one connection that a server accepted or refused.
type ConnectionEvent struct {
	AtMs    float64 // Unix ms
	Server  servermodel.ServerID
	Node    servermodel.NodeID
	Refused bool // the server's connection limit was reached
}

// DuplicateDetection records that a node closed a connection after a late duplicate response and before it sent another command. By then
// the node has seen that the server sends duplicate responses.
type DuplicateDetection struct {
	AtMs   float64 // Unix ms
	Server servermodel.ServerID
	Node   servermodel.NodeID
}

// NowMs returns the current time in Unix ms, by the clock that the fakes and the nodes share.
func NowMs() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// msDuration converts ms to a duration.
func msDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Start starts a fleet for the given number of nodes. costs holds the cost of each request class by name, values are valueBytes long, and
// the seed determines all random choices.
func Start(specs []ServerSpec, nodes int, costs map[string]servermodel.Cost, valueBytes int, seed uint64) (*Fleet, error) {
	f := &Fleet{
		cluster: servermodel.NewCluster(seed, costs), rng: rand.New(rand.NewPCG(seed, faultStream)),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	f.cluster.ValueSize = valueBytes
	for _, spec := range specs {
		f.servers = append(f.servers, &Server{fleet: f, ServerSpec: spec, model: f.cluster.AddServer(spec.Name, spec.Origin, spec.Config)})
	}
	for _, server := range f.servers {
		for node := range nodes {
			l, err := newListener(server, servermodel.NodeID(node))
			if err != nil {
				f.Close()
				return nil, err
			}
			server.listeners = append(server.listeners, l)
		}
	}
	var err error
	if f.Discovery, err = newDiscovery(f, nodes); err != nil {
		f.Close()
		return nil, err
	}
	f.running.Go(f.run)
	return f, nil
}

// Close stops all servers, the discovery service and their goroutines. It may be called more than once.
func (f *Fleet) Close() {
	f.mu.Lock()
	wasClosed := f.closed
	f.closed = true
	f.mu.Unlock()
	if wasClosed {
		return
	}
	close(f.done)
	if f.Discovery != nil {
		f.Discovery.close()
	}
	for _, server := range f.servers {
		for _, l := range server.listeners {
			l.close(true)
			_ = l.port.Close() // the fleet no longer needs the reservation
		}
	}
	f.running.Wait()
}

// Server returns the server with a name, or nil if it does not exist.
func (f *Fleet) Server(name string) *Server {
	i := slices.IndexFunc(f.servers, func(s *Server) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return f.servers[i]
}

// Servers returns all servers, the origin among them, in the order of their IDs.
func (f *Fleet) Servers() []*Server { return f.servers }

// Executions returns all executions at the servers so far. They must not be changed, and are complete only after Close.
func (f *Fleet) Executions() []*servermodel.Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cluster.Executions
}

// ConnectionEvents returns all accepted and refused connections so far.
func (f *Fleet) ConnectionEvents() []ConnectionEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connectionEvents
}

// DuplicateDetections returns all detections of duplicates so far.
func (f *Fleet) DuplicateDetections() []DuplicateDetection {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duplicateDetections
}

// DiscardExecutions stops the recording of executions, so that fleets that run for days do not run out of memory.
func (f *Fleet) DiscardExecutions() {
	f.mu.Lock()
	f.cluster.RecordExecutions, f.cluster.Executions = false, nil
	f.mu.Unlock()
}

// Collapses returns how often a server collapsed under overload, and the greatest share of the load that the nodes caused: at a cache, the
// load from nodes that were notified of its start; at the origin, the load from misses of cold caches.
func (f *Fleet) Collapses(id servermodel.ServerID) (count int, blamedShare float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.cluster.Servers[id]
	return s.Collapses, s.AvoidableShare
}

// WarmCache stores copies of keys at a server, as if it had run for a long time. The last key is the most recently used one.
func (f *Fleet) WarmCache(s *Server, keys []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range keys {
		f.cluster.Preload(s.model.ID, k)
	}
}

// idleWait is how long run sleeps if no event is due and nothing wakes it.
const idleWait = time.Hour

// run advances the server model in real time until Close.
func (f *Fleet) run() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		f.deliverCompleted(NowMs())
		next := f.cluster.NextEvent()
		f.mu.Unlock()
		wait := idleWait
		if !math.IsInf(next, 1) {
			wait = msDuration(max(0, next-NowMs()))
		}
		timer.Reset(wait)
		select {
		case <-f.done:
			return
		case <-f.wake:
		case <-timer.C:
		}
	}
}

// wakeUp makes run advance the model without waiting for its timer.
func (f *Fleet) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// deliverCompleted sends the responses of completed executions, and closes the servers that have collapsed. Called with the lock held.
func (f *Fleet) deliverCompleted(nowMs float64) {
	for _, e := range f.cluster.Advance(nowMs) {
		if p, ok := e.Tag.(*pendingCommand); ok && e.Outcome != servermodel.Killed {
			p.conn.complete(p)
		}
	}
	for _, s := range f.servers {
		if s.model.Collapsed && !s.down {
			s.down = true
			for _, l := range s.listeners {
				go l.close(true) // separate goroutine: close takes the lock that is held here
			}
		}
	}
}

// admitConnection records a new connection to a server, and reports whether it is within the server's connection limit.
func (f *Fleet) admitConnection(s *Server, node servermodel.NodeID) (accepted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	accepted = f.cluster.OpenConnection(s.model.ID)
	f.connectionEvents = append(f.connectionEvents, ConnectionEvent{NowMs(), s.model.ID, node, !accepted})
	return accepted
}

// recordDuplicateDetection records that a node closed a connection after a late duplicate.
func (f *Fleet) recordDuplicateDetection(s *Server, node servermodel.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.duplicateDetections = append(f.duplicateDetections, DuplicateDetection{NowMs(), s.model.ID, node})
}

// ServerSnapshot is the state of a server at one time.
type ServerSnapshot struct {
	Up, Collapsed, WarmingUp bool
	BusyMs                   float64 // cumulative busy time of its cores
	CapacityShare            float64 // current capacity as a share of that of a warm server
	QueueLength, Connections int
	Recovering               bool
}

// Snapshot returns the states of all servers at one time.
func (f *Fleet) Snapshot(nowMs float64) []ServerSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return SnapshotServers(f.cluster, nowMs)
}

// SnapshotServers returns the states of all servers of a model.
func SnapshotServers(cluster *servermodel.Cluster, nowMs float64) []ServerSnapshot {
	out := make([]ServerSnapshot, 0, len(cluster.Servers))
	for _, s := range cluster.Servers {
		out = append(out, ServerSnapshot{
			Up: s.Up, Collapsed: s.Collapsed, WarmingUp: s.WarmingUp(nowMs), BusyMs: s.BusyTime(nowMs),
			CapacityShare: s.Capacity(nowMs) / (float64(s.Config.Cores) * s.Config.Speed),
			QueueLength:   s.QueueLength(), Connections: s.Connections, Recovering: s.Recovering(nowMs),
		})
	}
	return out
}
