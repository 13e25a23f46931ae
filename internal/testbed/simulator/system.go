package simulator

import (
	"fmt"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// applyStep records a step of the timeline as an event and applies it.
func (s *Simulation) applyStep(step experiment.Step) {
	s.result.Events = append(s.result.Events, experiment.Event{AtMs: s.nowMs(), Description: step.String()})
	if err := s.experiment.Apply(step, s, s.seed); err != nil {
		s.err = err
	}
	s.deliverCompleted()
}

// SetRateFactor implements experiment.System.
func (s *Simulation) SetRateFactor(factor float64) { s.clients.rateFactor = factor }

// Server implements experiment.System.
func (s *Simulation) Server(index int) experiment.ServerControl { return s.servers[index] }

// Node implements experiment.System.
func (s *Simulation) Node(index int) experiment.NodeControl { return nodeControl{s.nodes[index]} }

// Discovery implements experiment.System.
func (s *Simulation) Discovery() experiment.DiscoveryControl { return discoveryControl{s.discovery} }

// RelocateDiscovery implements experiment.System. It always fails, as moving discovery cannot be simulated.
func (s *Simulation) RelocateDiscovery() error { return unsupported("moving discovery") }

// UpdateLinks implements experiment.System.
func (s *Simulation) UpdateLinks(change func(*faultrelay.Links)) error {
	change(s.peerLinks)
	return nil
}

// unsupported returns the error for an operation that cannot be simulated. SupportedExperiment rejects experiments with such steps.
func unsupported(operation string) error { return fmt.Errorf("%s cannot be simulated", operation) }

// nodeControl implements experiment.NodeControl for a simulated node.
type nodeControl struct{ node *simNode }

// Kill implements experiment.NodeControl.
func (c nodeControl) Kill() { c.node.terminate() }

// Stop implements experiment.NodeControl.
func (c nodeControl) Stop() { c.node.shutdown() }

// Start implements experiment.NodeControl.
func (c nodeControl) Start() { c.node.restart() }

// ReplaceMachine implements experiment.NodeControl. A simulated node has no disk, so it is only restarted.
func (c nodeControl) ReplaceMachine() {
	c.node.terminate()
	c.node.restart()
}

// SetFrozen implements experiment.NodeControl. A frozen node counts as down.
func (c nodeControl) SetFrozen(frozen bool) {
	c.node.setFrozen(frozen)
	sim, id := c.node.sim, servermodel.NodeID(c.node.index)
	if c.node.frozen {
		sim.checker.NodeDown(invariants.OpenDowntime(id, sim.nowMs()))
	} else {
		sim.checker.NodeUp(id, sim.nowMs())
	}
}

// Reload implements experiment.NodeControl. It always fails.
func (c nodeControl) Reload() error { return unsupported("a reload of settings") }

// PauseFor implements experiment.NodeControl. It always fails.
func (c nodeControl) PauseFor(time.Duration) error { return unsupported("holding up a node process") }

// ReloadTruncated implements experiment.NodeControl. It always fails.
func (c nodeControl) ReloadTruncated() error { return unsupported("a reload of settings") }

// OpenIdleConnections implements experiment.NodeControl. It always fails.
func (c nodeControl) OpenIdleConnections(int, time.Duration) error {
	return unsupported("a crowd of connections")
}

// SetStandby implements experiment.NodeControl. It always fails.
func (c nodeControl) SetStandby(bool) error { return unsupported("standby") }

// SetExcluded implements experiment.NodeControl. It always fails.
func (c nodeControl) SetExcluded(string, bool) error {
	return unsupported("an exclusion by an operator")
}

// SetRetuned implements experiment.NodeControl. It always fails.
func (c nodeControl) SetRetuned(bool) error { return unsupported("a reload of settings") }

// HotRestart implements experiment.NodeControl. It always fails.
func (c nodeControl) HotRestart() error { return unsupported("a hot restart") }

// discoveryControl implements experiment.DiscoveryControl for the simulated discovery service.
type discoveryControl struct{ discovery *discoveryService }

// SetDelay implements experiment.DiscoveryControl.
func (c discoveryControl) SetDelay(delay time.Duration) {
	c.discovery.endpoints.Delay = float64(delay) / float64(time.Millisecond)
}

// SetUnavailable implements experiment.DiscoveryControl.
func (c discoveryControl) SetUnavailable(unavailable bool) { c.discovery.setUnavailable(unavailable) }

// SetStalled implements experiment.DiscoveryControl.
func (c discoveryControl) SetStalled(stalled bool) { c.discovery.setStalled(stalled) }

// SetClockOffset implements experiment.DiscoveryControl.
func (c discoveryControl) SetClockOffset(ms float64) { c.discovery.clockOffset = ms }

// ResetRevision implements experiment.DiscoveryControl.
func (c discoveryControl) ResetRevision() {
	c.discovery.endpoints.ResetRevision(c.discovery.sim.nowMs())
	c.discovery.notifyWatchers()
}
