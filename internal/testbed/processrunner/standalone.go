package processrunner

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
)

// StandaloneFleet is a fleet of fake servers that runs until it is closed, with configurations for nodes and optionally the nodes themselves.
type StandaloneFleet struct {
	Fleet       *fakes.Fleet
	ConfigFiles []string // by node
	Addrs       []string // listen addresses of the nodes, whether started or not
	nodes       *nodeSet
	experiment  *experiment.Experiment
}

// StartStandalone starts the fake servers of an experiment and writes the configurations of its nodes into dir. The nodes get the addresses
// in listen, and free ones beyond those. If there is a command, it starts the nodes too.
func StartStandalone(x *experiment.Experiment, listen []string, dir string, command []string) (*StandaloneFleet, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("creating a folder for configurations: %w", err)
	}
	fleet, err := fakes.Start(x.ServerSpecs(), x.Nodes.Count, x.ClassCosts(), x.Load.ValueBytes, x.Seed)
	if err != nil {
		return nil, fmt.Errorf("starting the fake servers: %w", err)
	}
	s := &StandaloneFleet{Fleet: fleet, nodes: &nodeSet{fleet: fleet}, experiment: x}
	if err := s.addNodes(listen, dir, command); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// addNodes prepares the nodes and, if there is a command, starts each one.
func (s *StandaloneFleet) addNodes(listen []string, dir string, command []string) error {
	seed := cmp.Or(s.experiment.Seed, 1)
	if err := s.nodes.startIdempotencyRelay(s.experiment, seed); err != nil {
		return err
	}
	for i := range s.experiment.Nodes.Count {
		n := &nodeRunner{index: i, dir: dir, program: nodeProgram{Command: command}, operatorFile: s.experiment.OperatorFile()}
		s.nodes.runners = append(s.nodes.runners, n)
		if i < len(listen) {
			n.addr = listen[i]
		}
		if err := s.prepareNode(n, seed); err != nil {
			return err
		}
		s.ConfigFiles, s.Addrs = append(s.ConfigFiles, n.configFile()), append(s.Addrs, n.addr)
		if len(command) == 0 {
			continue
		}
		if err := checkFree(n.addr); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		if err := n.waitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// checkFree returns an error if an address cannot be listened on. Otherwise a node that already serves there would be taken for the one that
// is started, which cannot listen and exits.
func checkFree(addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("a node cannot serve at %s: %w", addr, err)
	}
	return listener.Close()
}

// prepareNode sets up a node's configuration, empty data directory and log, and an address if it has none.
func (s *StandaloneFleet) prepareNode(n *nodeRunner, seed uint64) (err error) {
	if n.addr == "" {
		if n.addr, err = n.reserveAddress(); err != nil {
			return err
		}
	}
	if n.config, err = newNodeConfig(s.experiment, n.index, n.addr, s.Fleet.Discovery.Addr(n.index), seed); err != nil {
		return err
	}
	if err := n.clearDataDir(); err != nil {
		return err
	}
	if n.operatorFile != "" {
		if err := s.nodes.configureIdempotency(n, s.experiment.Nodes.Count); err != nil {
			return err
		}
		if n.servingAdmin, err = n.newAdminAddress(); err != nil {
			return err
		}
	}
	if err := n.writeConfig(); err != nil {
		return err
	}
	return n.createLog()
}

// Wait applies the experiment's timeline once and then waits until the context ends.
func (s *StandaloneFleet) Wait(ctx context.Context) error {
	s.Fleet.DiscardExecutions() // the fleet may run for days and would exhaust the memory
	scenario := &scenarioRunner{
		experiment: s.experiment, fleet: s.Fleet, nodes: s.nodes, load: newLoadGenerator(s.experiment, nil, s.experiment.Seed),
		run: &experiment.Run{Seed: s.experiment.Seed},
	}
	if err := scenario.playTimeline(ctx, time.Now().Add(s.experiment.Settle.Duration())); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// ProcessID returns the ID of a node's process.
func (s *StandaloneFleet) ProcessID(node int) int {
	n := s.nodes.runners[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.cmd.Process.Pid
}

// DataDir returns the data directory of a node.
func (s *StandaloneFleet) DataDir(node int) string { return s.nodes.runners[node].dataDir() }

// LogFile returns the path of a node's log.
func (s *StandaloneFleet) LogFile(node int) string { return s.nodes.runners[node].logFile.Name() }

// AdminAddr returns the admin address of a node.
func (s *StandaloneFleet) AdminAddr(node int) string { return s.nodes.runners[node].config.Admin }

// AdminCall sends a line to the admin address of a node and returns the answer.
func (s *StandaloneFleet) AdminCall(node int, line string) (string, error) {
	return s.nodes.runners[node].callServingAdmin(line)
}

// LoseMachine kills a node and removes its data directory, as if its machine was lost. Restart then starts it as on a new machine.
func (s *StandaloneFleet) LoseMachine(node int) error {
	n := s.nodes.runners[node]
	n.terminate(syscall.SIGKILL)
	return n.clearDataDir()
}

// Stop ends a node gracefully with SIGTERM.
func (s *StandaloneFleet) Stop(node int) { s.nodes.runners[node].terminate(syscall.SIGTERM) }

// Restart starts a node that has ended.
func (s *StandaloneFleet) Restart(node int) error { return s.nodes.runners[node].restart() }

// UpdateIdempotencyLinks changes the links between the idempotency replicas.
func (s *StandaloneFleet) UpdateIdempotencyLinks(change func(*faultrelay.Links)) {
	s.nodes.idempotencyRelay.UpdateLinks(change)
}

// EffectCount returns how often a write of a key was applied.
func (s *StandaloneFleet) EffectCount(key string) (count int) {
	for _, e := range s.Fleet.Executions() {
		if e.Key == key && e.Applied {
			count++
		}
	}
	return count
}

// Close ends the nodes and the fake servers.
func (s *StandaloneFleet) Close() {
	s.nodes.close()
	s.Fleet.Close()
}
