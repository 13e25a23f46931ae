package fakes

import (
	"cmp"
	"fmt"
	"slices"

	"mintspring/internal/testbed/servermodel"
)

// Server is one fake server with its sockets. Its methods may be called from any goroutine.
type Server struct {
	ServerSpec
	fleet     *Fleet
	listeners []*listener // by node

	// Guarded by the fleet's mutex.
	model      *servermodel.Server
	down       bool
	faults     Faults
	startedMs  float64 // up_since_ms of discovery; 0: long ago
	listedID   string  // the id under which discovery lists it; "" means its name
	generation int     // number of replacements
}

// ID returns the server's index in the fleet, which identifies it in records.
func (s *Server) ID() servermodel.ServerID { return s.model.ID }

// Addr returns the address at which a node reaches the server.
func (s *Server) Addr(node servermodel.NodeID) string { return s.listeners[node].port.Addr() }

// SetFaults replaces the faults that are injected at the server.
func (s *Server) SetFaults(faults Faults) {
	s.fleet.mu.Lock()
	s.faults = faults
	s.model.ErrorRate = faults.Errors
	s.fleet.mu.Unlock()
}

// SetSlowdown multiplies the duration of the server's work by a factor; 1 restores the normal speed.
func (s *Server) SetSlowdown(factor float64) {
	s.fleet.mu.Lock()
	s.fleet.cluster.SetSlowdown(s.model.ID, factor)
	s.fleet.mu.Unlock()
}

// SetPaused pauses or resumes the server's work. Its connections stay open.
func (s *Server) SetPaused(paused bool) {
	s.fleet.mu.Lock()
	s.fleet.cluster.SetPaused(NowMs(), s.model.ID, paused)
	s.fleet.mu.Unlock()
	s.fleet.wakeUp()
}

// Kill ends the server's process: its connections are reset and new ones refused.
func (s *Server) Kill() {
	s.fleet.mu.Lock()
	s.down = true
	s.fleet.cluster.Kill(NowMs(), s.model.ID)
	s.fleet.mu.Unlock()
	for _, l := range s.listeners {
		l.close(true)
	}
}

// Restart starts the server's process again at the same addresses with an empty store. A server that is not warm starts with reduced
// capacity.
func (s *Server) Restart(warm bool) error {
	s.fleet.mu.Lock()
	s.fleet.cluster.Start(NowMs(), s.model.ID, warm)
	s.down, s.faults = false, Faults{}
	if s.startedMs = NowMs(); warm {
		s.startedMs = 0
	}
	s.fleet.mu.Unlock()
	return s.openListeners("restarting server")
}

// ListedID returns the id under which discovery lists the server.
func (s *Server) ListedID() string {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return cmp.Or(s.listedID, s.Name)
}

// AssignNewID gives the server a new id, as if another machine had replaced it.
func (s *Server) AssignNewID() {
	s.fleet.mu.Lock()
	s.generation++
	s.listedID = fmt.Sprintf("%s.%d", s.Name, s.generation)
	s.fleet.mu.Unlock()
}

// SetRefusing makes the server refuse new connections, or accept them again. Open connections stay open.
func (s *Server) SetRefusing(refusing bool) error {
	if !refusing {
		return s.openListeners("accepting connections again at server")
	}
	for _, l := range s.listeners {
		l.close(false)
	}
	return nil
}

// openListeners makes the server accept connections. operation begins the error message.
func (s *Server) openListeners(operation string) error {
	for _, l := range s.listeners {
		if err := l.open(); err != nil {
			return fmt.Errorf("%s %s: %w", operation, s.Name, err)
		}
	}
	return nil
}

// SetBlackholed makes the server unreachable, or reachable again, for the given nodes, or for all if none is given. While it is
// unreachable, open connections carry no data and new ones time out. When it is reachable again, its open connections are reset.
func (s *Server) SetBlackholed(blackholed bool, nodes ...servermodel.NodeID) {
	for _, l := range s.listeners {
		if len(nodes) == 0 || slices.Contains(nodes, l.node) {
			l.setBlackholed(blackholed)
		}
	}
}

// ResetConnections resets all connections of the server.
func (s *Server) ResetConnections() {
	for _, l := range s.listeners {
		l.resetConnections()
	}
}

// notifiedOfStart reports whether a node counts as notified of the server's last start. Called with the fleet's lock held.
func (s *Server) notifiedOfStart(node servermodel.NodeID, nowMs float64) bool {
	return s.startedMs == 0 || nowMs-s.startedMs > NotificationDeadlineMs ||
		s.fleet.Discovery.notifiedOfStart(node, s.model.ID, s.startedMs)
}
