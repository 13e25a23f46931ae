// Package fakes runs, on loopback sockets, all that a node talks to: cache servers (RESP2), their origin (HTTP/1.1) and the
// discovery service. How servers behave is up to package servermodel; this package gives them sockets, injects faults into their
// responses and connections, and records what happened.
//
// Each server listens on an address of its own for every node, as each node of the platform sees the others under addresses of its
// own. So a record knows its node without asking it, and the network can fail for one node alone.
package fakes

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mintspring/internal/testbed/servermodel"
)

// Kinds of servers, as discovery names them.
const (
	CacheKind  = "box"
	OriginKind = "origin"
)

// faultStream separates the random numbers of injected faults from others that are drawn under the same seed.
const faultStream = 3

// ServerSpec describes one server of a fleet.
type ServerSpec struct {
	Name   string
	Zone   string
	Origin bool
	Cell   int
	Size   float64 // as discovery announces it
	Config servermodel.ServerConfig
}

// Fleet is a running fleet of fake servers with its discovery service. Its methods may be called from any goroutine.
type Fleet struct {
	Discovery *Discovery

	servers []*Server     // the index is the server's ID
	wake    chan struct{} // has run look at the model again
	done    chan struct{} // closed by Close
	running sync.WaitGroup

	mu                  sync.Mutex // guards the fields below, and those of servers and connections that say so
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
	Refused bool // beyond the limit of the server's connections
}

// DuplicateDetection is a node's closing of a connection on which a duplicate response came late, before it sent anything more: by
// then the node has seen that the server responds twice.
type DuplicateDetection struct {
	AtMs   float64 // Unix ms
	Server servermodel.ServerID
	Node   servermodel.NodeID
}

// NowMs returns the time that all fakes and nodes read, in Unix ms.
func NowMs() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// msDuration converts ms to a duration.
func msDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Start starts a fleet that the given number of nodes can talk to. Costs are those of request classes by name, values have
// valueBytes, and chance follows the seed.
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

// Close ends everything that the fleet has started. Closing it twice is fine.
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
			_ = l.port.Close() // a reservation that is given up cannot be of use to anybody
		}
	}
	f.running.Wait()
}

// Server returns a server by its name, nil for one that does not exist.
func (f *Fleet) Server(name string) *Server {
	i := slices.IndexFunc(f.servers, func(s *Server) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return f.servers[i]
}

// Servers returns all servers, the origin among them, in the order of their IDs.
func (f *Fleet) Servers() []*Server { return f.servers }

// Executions returns what came to the servers so far. The executions must not be changed, and are complete only after Close.
func (f *Fleet) Executions() []*servermodel.Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cluster.Executions
}

// ConnectionEvents returns the connections so far.
func (f *Fleet) ConnectionEvents() []ConnectionEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connectionEvents
}

// DuplicateDetections returns those so far.
func (f *Fleet) DuplicateDetections() []DuplicateDetection {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duplicateDetections
}

// DiscardExecutions stops the recording of executions, for fleets that run for days.
func (f *Fleet) DiscardExecutions() {
	f.mu.Lock()
	f.cluster.RecordExecutions, f.cluster.Executions = false, nil
	f.mu.Unlock()
}

// Collapses returns how often a server collapsed under overload, and the greatest share of the load of which the nodes are to blame:
// at a cache what nodes sent that knew of its start, at the origin what came because cold caches missed.
func (f *Fleet) Collapses(id servermodel.ServerID) (count int, blamedShare float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.cluster.Servers[id]
	return s.Collapses, s.AvoidableShare
}

// WarmCache stores copies of keys at a server, as if it had been running for long. The last key counts as the one used last.
func (f *Fleet) WarmCache(s *Server, keys []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range keys {
		f.cluster.Preload(s.model.ID, k)
	}
}

// idleWait is how long run sleeps while nothing is in work.
const idleWait = time.Hour

// run plays the model in real time until Close.
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

// wakeUp has run look at the model again.
func (f *Fleet) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// deliverCompleted responds to what has ended, and closes the servers that have collapsed. Called with the lock held.
func (f *Fleet) deliverCompleted(nowMs float64) {
	for _, e := range f.cluster.Advance(nowMs) {
		if p, ok := e.Tag.(*pending); ok && e.Outcome != servermodel.Killed {
			p.conn.complete(p)
		}
	}
	for _, s := range f.servers {
		if s.model.Collapsed && !s.down {
			s.down = true
			for _, l := range s.listeners {
				go l.close(true) // it takes the lock that is held here
			}
		}
	}
}

// recordConnection handles a connection to a server, and reports whether the server holds it.
func (f *Fleet) recordConnection(s *Server, node servermodel.NodeID) (accepted bool) {
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

// ServerSnapshot is what can be seen of a server at one moment.
type ServerSnapshot struct {
	Up, Collapsed, WarmingUp bool
	BusyMs                   float64 // time that its cores have worked so far
	Warmth                   float64 // share of its capacity that it has
	QueueLength, Connections int
	Recovering               bool
}

// Snapshot looks at all servers at once.
func (f *Fleet) Snapshot(nowMs float64) []ServerSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return SnapshotServers(f.cluster, nowMs)
}

// SnapshotServers looks at all servers of a model.
func SnapshotServers(cluster *servermodel.Cluster, nowMs float64) []ServerSnapshot {
	out := make([]ServerSnapshot, 0, len(cluster.Servers))
	for _, s := range cluster.Servers {
		out = append(out, ServerSnapshot{
			Up: s.Up, Collapsed: s.Collapsed, WarmingUp: s.WarmingUp(nowMs), BusyMs: s.BusyTime(nowMs),
			Warmth:      s.Capacity(nowMs) / (float64(s.Config.Cores) * s.Config.Speed),
			QueueLength: s.QueueLength(), Connections: s.Connections, Recovering: s.Recovering(nowMs),
		})
	}
	return out
}
