package simulator

import (
	"fmt"
	"strings"

	"mintspring/internal/fleet"
	"mintspring/internal/node/upstream"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// server is a simulated server with its connections and network faults. It implements experiment.ServerControl.
type server struct {
	fakes.ServerSpec
	sim   *Simulation
	model *servermodel.Server
	addr  string

	faults          fakes.Faults
	conns           []*conn // open connections; conn.index is the index in this slice
	down            bool
	refusing        bool
	blackholed      bool
	blackholedNodes map[int]bool // nodes that cannot reach the server even while blackholed is false

	startedMs         float64 // 0 if it started long ago
	endpointID        string
	replacements      int       // number of times that it was replaced
	lastNotifiedStart []float64 // by node: the last start of the server of which the node was notified

	lastReportText string // the load report from which lastReport was parsed
	lastReport     fleet.LoadReport
}

func newServer(s *Simulation, index int, spec fakes.ServerSpec) *server {
	return &server{
		ServerSpec: spec, sim: s, model: s.cluster.AddServer(spec.Name, spec.Origin, spec.Config), addr: fmt.Sprint("box:", index),
		blackholedNodes: map[int]bool{}, endpointID: spec.Name, lastNotifiedStart: make([]float64, s.experiment.Nodes.Count),
	}
}

// SetPhase implements experiment.ServerControl.
func (s *server) SetPhase(phase string) {
	s.sim.discovery.publish(servermodel.EndpointUpdate{Server: s.model.ID, Name: s.endpointID, Phase: phase, Started: s.startedMs})
}

// AssignNewID implements experiment.ServerControl.
func (s *server) AssignNewID() {
	s.replacements++
	s.endpointID = fmt.Sprintf("%s.%d", s.Name, s.replacements)
}

// Kill implements experiment.ServerControl.
func (s *server) Kill() {
	s.down, s.blackholed = true, false // after the process has exited, its machine refuses connections
	clear(s.blackholedNodes)
	s.sim.cluster.Kill(s.sim.nowMs(), s.model.ID)
	s.ResetConnections()
}

// Restart implements experiment.ServerControl.
func (s *server) Restart(warm bool) error {
	s.sim.cluster.Start(s.sim.nowMs(), s.model.ID, warm)
	s.down, s.refusing, s.faults = false, false, fakes.Faults{}
	if s.startedMs = s.sim.nowMs(); warm {
		s.startedMs = 0
	}
	return nil
}

// SetPaused implements experiment.ServerControl.
func (s *server) SetPaused(paused bool) {
	s.sim.cluster.SetPaused(s.sim.nowMs(), s.model.ID, paused)
}

// SetSlowdown implements experiment.ServerControl.
func (s *server) SetSlowdown(factor float64) { s.sim.cluster.SetSlowdown(s.model.ID, factor) }

// SetRefusing implements experiment.ServerControl.
func (s *server) SetRefusing(refusing bool) error {
	s.refusing = refusing
	return nil
}

// SetFaults implements experiment.ServerControl.
func (s *server) SetFaults(faults fakes.Faults) { s.faults, s.model.ErrorRate = faults, faults.Errors }

// SetBlackholed implements experiment.ServerControl.
func (s *server) SetBlackholed(blackholed bool, nodes ...servermodel.NodeID) {
	if len(nodes) == 0 {
		if s.blackholed = blackholed; !blackholed {
			s.ResetConnections()
		}
		return
	}
	for _, id := range nodes {
		node := int(id)
		if blackholed {
			s.blackholedNodes[node] = true
			continue
		}
		delete(s.blackholedNodes, node)
		s.resetMatchingConnections(func(index int) bool { return index == node })
	}
}

// isBlackholed reports whether packets between the server and a node are dropped.
func (s *server) isBlackholed(node int) bool { return s.blackholed || s.blackholedNodes[node] }

// ResetConnections implements experiment.ServerControl.
func (s *server) ResetConnections() { s.resetMatchingConnections(func(int) bool { return true }) }

// resetMatchingConnections resets the connections of the nodes for which matches returns true.
func (s *server) resetMatchingConnections(matches func(node int) bool) {
	for i := len(s.conns) - 1; i >= 0; i-- {
		if i < len(s.conns) && matches(s.conns[i].link.process.node.index) {
			s.conns[i].reset()
		}
	}
}

// addConn adds an open connection.
func (s *server) addConn(c *conn) {
	c.index = len(s.conns)
	s.conns = append(s.conns, c)
}

// removeConn removes a connection. The last connection moves to the index of the removed one.
func (s *server) removeConn(c *conn) {
	last := len(s.conns) - 1
	s.conns[c.index] = s.conns[last]
	s.conns[c.index].index = c.index
	s.conns[last] = nil
	s.conns = s.conns[:last]
}

// notifiedOfStart reports whether a node was notified of the server's last start, or must have been by now.
func (s *server) notifiedOfStart(node int, nowMs float64) bool {
	return s.startedMs == 0 || s.lastNotifiedStart[node] == s.startedMs || nowMs-s.startedMs > fakes.NotificationDeadlineMs
}

// parseReport parses a load report. It caches the last one, as many responses carry the same report.
func (s *server) parseReport(text string) fleet.LoadReport {
	if text != s.lastReportText || text == "" {
		s.lastReportText, s.lastReport = strings.Clone(text), upstream.ParseReport([]byte(text))
	}
	return s.lastReport
}
