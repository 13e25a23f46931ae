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

// standbyNoticeDelay is the time after which clients notice that a node's standby state has changed, as a load balancer with periodic
// probes would.
const standbyNoticeDelay = 200 * time.Millisecond

// scenarioRunner applies a timeline to real nodes and fake servers. It implements experiment.System.
type scenarioRunner struct {
	experiment *experiment.Experiment
	fleet      *fakes.Fleet
	nodes      *nodeSet
	load       *loadGenerator
	run        *experiment.Run
	background sync.WaitGroup // actions in progress, such as starting or ending a process
}

// playTimeline applies the timeline, which starts at the given time, until it is over or the context ends.
func (s *scenarioRunner) playTimeline(ctx context.Context, from time.Time) error {
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
func (s *scenarioRunner) Server(index int) experiment.ServerControl {
	return serverControl{s.fleet.Servers()[index], s.fleet.Discovery}
}

// Node implements System.
func (s *scenarioRunner) Node(index int) experiment.NodeControl {
	return nodeControl{s.nodes.runners[index], s}
}

// Discovery implements System.
func (s *scenarioRunner) Discovery() experiment.DiscoveryControl { return s.fleet.Discovery }

// RelocateDiscovery implements System.
func (s *scenarioRunner) RelocateDiscovery() error {
	if err := s.fleet.Discovery.Relocate(); err != nil {
		return err
	}
	for _, n := range s.nodes.runners {
		addr := s.fleet.Discovery.Addr(n.index)
		s.background.Go(func() {
			if err := n.changeConfig(func(c *nodeConfig) { c.Discovery = addr }); err != nil {
				n.recordCrash(err.Error()) // invalidates the run
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

// serverControl implements experiment.ServerControl for a fake server.
type serverControl struct {
	*fakes.Server
	discovery *fakes.Discovery
}

// SetPhase implements ServerControl.
func (c serverControl) SetPhase(phase string) { c.discovery.SetPhase(c.Server, phase) }

// nodeControl implements experiment.NodeControl for a real node. Actions that take time run in the background.
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
		_ = c.node.restart() // a node that fails to restart leaves requests unanswered, which the checks report
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
	c.scenario.background.Go(func() { c.node.pauseProcesses(duration) })
	return nil
}

// ReloadTruncated implements NodeControl.
func (c nodeControl) ReloadTruncated() error {
	c.scenario.background.Go(func() { c.node.reloadTruncated() })
	return nil
}

// OpenIdleConnections implements NodeControl.
func (c nodeControl) OpenIdleConnections(connections int, duration time.Duration) error {
	c.scenario.background.Go(func() { c.node.openIdleConnections(connections, duration) })
	return nil
}

// SetStandby implements NodeControl.
func (c nodeControl) SetStandby(standby bool) error {
	err := c.node.setStandby(standby)
	if clients := c.scenario.load.clients; clients != nil { // a standalone fleet has none
		time.AfterFunc(standbyNoticeDelay, func() { clients.setStandby(c.node.index, standby) })
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
		if err := c.node.applySettings(settings, stricter); err != nil {
			c.node.recordCrash(err.Error()) // invalidates the run
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
		_ = c.node.replaceMachine() // a node that fails to restart leaves requests unanswered, which the checks report
	})
}
