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

// How a process ends that is shut down gracefully, as cmd/mintspring does.
const (
	drainDelay          = 500 * time.Millisecond // new clients are accepted for this time
	shutdownMs          = 600                    // timeout of a graceful shutdown
	maxShutdownAnswerMs = 3000                   // and as long as the longest timeout, up to this
	shutdownPoll        = time.Millisecond       // between two looks at what is left
)

// restartPoll is the time between two looks at whether the process of before has ended.
const restartPoll = time.Millisecond

// simNode is one node, whatever process it is.
type simNode struct {
	sim          *Simulation
	index        int
	deployment   settings.Deployment
	names        *clients.Config
	operatorFile *operatorfile.File // nil: it is played without
	clockSkewMs  float64            // what its clock shows beyond the true time at the start
	clockDrift   float64            // share by which its clock runs fast
	process      *process           // the one that runs, or ran last
	frozen       bool               // the process is stopped by SIGSTOP
}

// newSimNode reads the settings that a real node would be started with.
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
	deployment.Limits.Subscribe = true // over HTTP nothing comes unasked
	n := &simNode{
		sim: s, index: index, deployment: deployment, operatorFile: file,
		clockSkewMs: s.experiment.Nodes.ClockSkew.Milliseconds() * (2*fleet.UnitInterval(seed) - 1),
		clockDrift:  s.experiment.Nodes.ClockDrift * (2*fleet.UnitInterval(fleet.Mix(seed+1)) - 1),
	}
	n.names = clients.NewConfig(deployment, func(name string) (fleet.ClassID, bool) {
		place := slices.Index(deployment.RequestClasses, name)
		return fleet.ClassID(max(place, 0)), place >= 0
	})
	if s.options.NoOperatorFile {
		n.operatorFile = nil
	}
	return n, nil
}

// terminate ends the process: all of its connections are closed, and its clients' reset.
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
				n.sim.scheduleAfter(serverHop, actionFunc(c.closeServerSide))
			}
		}
	}
	for _, a := range sortedAttempts(p.clientAttempts) {
		n.sim.scheduleAfter(clientHop, actionFunc(a.connectionReset))
	}
}

// shutdown ends the process gracefully: it accepts no new connection, answers requests in flight, aborts those without an answer when its time is up, and is
// gone.
func (n *simNode) shutdown() {
	p := n.process
	if p.exited || p.draining {
		return
	}
	n.setFrozen(false)
	_, longestTimeoutMs := n.deployment.TimeBounds()
	deadline := n.sim.now + simTime(durationOf(shutdownMs+min(maxShutdownAnswerMs, longestTimeoutMs)))
	n.sim.scheduleAfter(drainDelay, actionFunc(func() { p.draining = true }))
	n.continueShutdown(p, deadline)
}

// continueShutdown ends a process that is shut down once nothing is left, or its time is up.
func (n *simNode) continueShutdown(p *process, deadline simTime) {
	switch {
	case p.exited:
	case p.draining && len(p.clientAttempts) == 0:
		n.terminate()
	case n.sim.now >= deadline:
		p.inflight.AbortAll(p.localNow(), "the node is stopping")
		n.sim.scheduleAfter(2*clientHop, actionFunc(n.terminate))
	default:
		n.sim.scheduleAfter(shutdownPoll, actionFunc(func() { n.continueShutdown(p, deadline) }))
	}
}

// restart starts a node that is ended, or is about to.
func (n *simNode) restart() {
	if !n.process.exited {
		n.sim.scheduleAfter(restartPoll, actionFunc(n.restart))
		return
	}
	n.startProcess()
	n.sim.checker.NodeUp(servermodel.NodeID(n.index), n.sim.nowMs())
}

// setFrozen stops the process where it stands, or has it go on with whatever has come meanwhile.
func (n *simNode) setFrozen(frozen bool) {
	if n.process.exited || n.frozen == frozen {
		return
	}
	if n.frozen = frozen; !frozen {
		n.process.thaw()
	}
}

// receive hands a datagram of a peer to the process that the node is now.
func (n *simNode) receive(d datagram) {
	if p := n.process; p != nil && !p.exited && p.member != nil {
		p.member.receive(d)
	}
}
