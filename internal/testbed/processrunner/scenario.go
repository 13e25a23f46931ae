package processrunner

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
)

// standbyNotice is how long after a node's change of standby clients notice it: a load balancer probes periodically.
const standbyNotice = 200 * time.Millisecond

// scenarioRunner plays a timeline on real processes among fake servers. It is the System of that.
type scenarioRunner struct {
	experiment *experiment.Experiment
	fleet      *fakes.Fleet
	nodes      *nodeSet
	load       *loadGenerator
	run        *experiment.Run
	background sync.WaitGroup // processes that are being started or ended
}

// play plays the timeline from a time on, until it is over or the context ends.
func (s *scenarioRunner) play(ctx context.Context, from time.Time) error {
	defer s.background.Wait()
	for _, event := range s.experiment.Timeline() {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(from.Add(event.At))):
		}
		s.run.Events = append(s.run.Events, experiment.Event{AtMs: fakes.NowMs(), Description: event.Step.String()})
		if err := s.experiment.Apply(event.Step, s, s.run.Seed); err != nil {
			return fmt.Errorf("%s at %v: %w", event.Step.Action, event.At, err)
		}
	}
	return nil
}

// SetRateFactor implements System.
func (s *scenarioRunner) SetRateFactor(multiple float64) { s.load.setRateFactor(multiple) }

// Server implements System.
func (s *scenarioRunner) Server(place int) experiment.ServerControl {
	return serverControl{s.fleet.Servers()[place], s.fleet.Discovery}
}

// Node implements System.
func (s *scenarioRunner) Node(index int) experiment.NodeControl {
	return nodeControl{s.nodes.all[index], s}
}

// Discovery implements System.
func (s *scenarioRunner) Discovery() experiment.DiscoveryControl { return s.fleet.Discovery }

// RelocateDiscovery implements System.
func (s *scenarioRunner) RelocateDiscovery() error {
	if err := s.fleet.Discovery.Relocate(); err != nil {
		return err
	}
	for _, n := range s.nodes.all {
		addr := s.fleet.Discovery.Addr(n.index)
		s.background.Go(func() {
			if err := n.changeConfig(func(c *nodeConfig) { c.Discovery = addr }); err != nil {
				n.recordCrash(err.Error()) // the run is worth nothing
				return
			}
			n.reload()
		})
	}
	return nil
}

// UpdateLinks implements System.
func (s *scenarioRunner) UpdateLinks(change func(*faultrelay.Links)) error {
	return s.nodes.updateLinks(change)
}

// serverControl is the ServerControl of a fake server.
type serverControl struct {
	*fakes.Server
	discovery *fakes.Discovery
}

// SetPhase implements ServerControl.
func (c serverControl) SetPhase(phase string) { c.discovery.SetPhase(c.Server, phase) }

// nodeControl is the NodeControl of a real node. What takes time is done in the background.
type nodeControl struct {
	node     *nodeRunner
	scenario *scenarioRunner
}

// Kill implements NodeControl.
func (c nodeControl) Kill() {
	c.scenario.background.Go(func() { c.node.terminate(syscall.SIGKILL) })
}

// Stop implements NodeControl.
func (c nodeControl) Stop() {
	c.scenario.background.Go(func() { c.node.terminate(syscall.SIGTERM) })
}

// Start implements NodeControl.
func (c nodeControl) Start() {
	c.scenario.background.Go(func() {
		c.node.waitExited()
		_ = c.node.restart() // a node that does not come back shows by requests without a response
	})
}

// Reload implements NodeControl.
func (c nodeControl) Reload() error {
	c.scenario.background.Go(c.node.reload)
	return nil
}

// SetFrozen implements NodeControl.
func (c nodeControl) SetFrozen(frozen bool) { c.node.setFrozen(frozen) }

// PauseFor implements NodeControl.
func (c nodeControl) PauseFor(duration time.Duration) error {
	c.scenario.background.Go(func() { c.node.hold(duration) })
	return nil
}

// ReloadTruncated implements NodeControl.
func (c nodeControl) ReloadTruncated() error {
	c.scenario.background.Go(func() { c.node.reloadTruncated() })
	return nil
}

// OpenIdleConnections implements NodeControl.
func (c nodeControl) OpenIdleConnections(connections int, duration time.Duration) error {
	c.scenario.background.Go(func() { c.node.crowd(connections, duration) })
	return nil
}

// SetStandby implements NodeControl.
func (c nodeControl) SetStandby(standby bool) error {
	err := c.node.setStandby(standby)
	if clients := c.scenario.load.clients; clients != nil { // a fleet in the foreground has none
		time.AfterFunc(standbyNotice, func() { clients.setStandby(c.node.index, standby) })
	}
	return err
}

// SetExcluded implements NodeControl.
func (c nodeControl) SetExcluded(server string, excluded bool) error {
	for _, s := range c.scenario.fleet.Servers() {
		if s.Name == server {
			return c.node.exclude(s.ID(), s.ListedID(), excluded)
		}
	}
	return fmt.Errorf("no server is called %q", server)
}

// SetRetuned implements NodeControl.
func (c nodeControl) SetRetuned(stricter bool) error {
	settings, err := c.scenario.experiment.NodeSettings(c.node.index)
	if stricter {
		settings, err = c.scenario.experiment.RetunedSettings(c.node.index)
	}
	if err != nil {
		return err
	}
	c.scenario.background.Go(func() {
		if err := c.node.retune(settings, stricter); err != nil {
			c.node.recordCrash(err.Error()) // the run is worth nothing
		}
	})
	return nil
}

// HotRestart implements NodeControl. A failure counts as a crash of the node.
func (c nodeControl) HotRestart() error {
	c.scenario.background.Go(func() {
		if err := c.node.hotRestart(); err != nil {
			c.node.recordCrash(err.Error())
		}
	})
	return nil
}

// ReplaceMachine implements NodeControl.
func (c nodeControl) ReplaceMachine() {
	c.scenario.background.Go(func() {
		_ = c.node.replaceMachine() // a node that does not come back shows by requests without a response
	})
}
