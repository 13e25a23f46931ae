package simulator

import (
	"fmt"
	"slices"
	"time"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/node/clients"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// Timings of a graceful shutdown, as in cmd/mintspring.
const (
	drainDelay            = 500 * time.Millisecond // the process still accepts new clients for this long
	shutdownTimeoutMs     = 600                    // added to the longest request timeout to give the timeout of a graceful shutdown
	maxShutdownResponseMs = 3000                   // upper bound on the longest request timeout in that sum
	shutdownPollInterval  = time.Millisecond       // between two checks for requests in flight
)

// restartPollInterval is the time between two checks whether the previous process has exited.
const restartPollInterval = time.Millisecond

// simNode is a simulated node. It exists across restarts of its process.
type simNode struct {
	sim          *Simulation
	index        int
	deployment   settings.Deployment
	clientConfig *clients.Config
	operatorFile *operatorfile.File // nil if the node runs without one
	clockSkewMs  float64            // offset of its clock from the simulation's clock at the start
	clockDrift   float64            // relative rate error of its clock; positive if it runs fast
	process      *process           // the running process, or the last one if it has exited
	frozen       bool               // the process is stopped by SIGSTOP
}

// newSimNode returns a node with the settings that a real node of the experiment would be started with.
func newSimNode(s *Simulation, index int, file *operatorfile.File) (*simNode, error) {
	text, err := s.experiment.NodeSettings(index)
	if err != nil {
		return nil, err
	}
	seed := experiment.NodeSeed(s.seed, index)
	deployment, err := settings.Parse(text, seed)
	if err != nil {
		return nil, fmt.Errorf("reading the settings of node %d: %w", index, err)
	}
	deployment.Limits.Subscribe = true // the node has to request the endpoint list, as over HTTP
	n := &simNode{
		sim: s, index: index, deployment: deployment, operatorFile: file,
		clockSkewMs: s.experiment.Nodes.ClockSkew.Milliseconds() * (2*fleet.UnitInterval(seed) - 1),
		clockDrift:  s.experiment.Nodes.ClockDrift * (2*fleet.UnitInterval(fleet.Mix(seed+1)) - 1),
	}
	n.clientConfig = clients.NewConfig(deployment, func(name string) (fleet.ClassID, bool) {
		classIndex := slices.Index(deployment.RequestClasses, name)
		return fleet.ClassID(max(classIndex, 0)), classIndex >= 0
	})
	if s.options.NoOperatorFile {
		n.operatorFile = nil
	}
	return n, nil
}

// terminate ends the process at once: its server connections are closed and its client connections are reset.
func (n *simNode) terminate() {
	p := n.process
	if p.exited {
		return
	}
	p.exited, n.frozen = true, false
	n.sim.checker.NodeDown(invariants.OpenDowntime(servermodel.NodeID(n.index), n.sim.nowMs()))
	for _, s := range n.sim.servers {
		for _, c := range slices.Backward(s.conns) {
			if c.link.process == p {
				n.sim.scheduleAfter(serverHopDelay, actionFunc(c.closeServerSide))
			}
		}
	}
	for _, a := range sortedAttempts(p.clientAttempts) {
		n.sim.scheduleAfter(clientHopDelay, actionFunc(a.connectionReset))
	}
}

// shutdown ends the process gracefully: it stops accepting clients, completes requests in flight, aborts those left at the timeout, and
// exits.
func (n *simNode) shutdown() {
	p := n.process
	if p.exited || p.draining {
		return
	}
	n.setFrozen(false)
	_, longestTimeoutMs := n.deployment.TimeBounds()
	deadline := n.sim.now + simTime(durationOf(shutdownTimeoutMs+min(maxShutdownResponseMs, longestTimeoutMs)))
	n.sim.scheduleAfter(drainDelay, actionFunc(func() { p.draining = true }))
	n.continueShutdown(p, deadline)
}

// continueShutdown terminates a draining process once no request is in flight, or aborts its requests at the deadline.
func (n *simNode) continueShutdown(p *process, deadline simTime) {
	switch {
	case p.exited:
	case p.draining && len(p.clientAttempts) == 0:
		n.terminate()
	case n.sim.now >= deadline:
		p.inflight.AbortAll(p.localNow(), "the node is stopping")
		n.sim.scheduleAfter(2*clientHopDelay, actionFunc(n.terminate))
	default:
		n.sim.scheduleAfter(shutdownPollInterval, actionFunc(func() { n.continueShutdown(p, deadline) }))
	}
}

// restart starts a new process as soon as the previous one has exited.
func (n *simNode) restart() {
	if !n.process.exited {
		n.sim.scheduleAfter(restartPollInterval, actionFunc(n.restart))
		return
	}
	n.startProcess()
	n.sim.checker.NodeUp(servermodel.NodeID(n.index), n.sim.nowMs())
}

// setFrozen freezes the process, or resumes it and processes the actions that were postponed meanwhile.
func (n *simNode) setFrozen(frozen bool) {
	if n.process.exited || n.frozen == frozen {
		return
	}
	if n.frozen = frozen; !frozen {
		n.process.resume()
	}
}

// receive passes a datagram of a peer to the current process.
func (n *simNode) receive(d datagram) {
	if p := n.process; p != nil && !p.exited && p.member != nil {
		p.member.receive(d)
	}
}
