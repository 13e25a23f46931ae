package processrunner

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
)

// StandaloneFleet is a fleet of fake servers that stays in the foreground, with configurations for nodes.
type StandaloneFleet struct {
	Fleet       *fakes.Fleet
	ConfigFiles []string // by node
	Addrs       []string // where the nodes listen, or are to
	nodes       *nodeSet
	experiment  *experiment.Experiment
}

// StartStandalone starts the fake servers of an experiment. Nodes listen on the addresses that are given and, beyond those, on free ones.
// Their configurations are written into a folder. With a command the nodes are started too.
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

// addNodes prepares the nodes, and starts each one if there is a command.
func (s *StandaloneFleet) addNodes(listen []string, dir string, command []string) error {
	seed := cmp.Or(s.experiment.Seed, 1)
	if err := s.nodes.startIdempotencyRelay(s.experiment, seed); err != nil {
		return err
	}
	for i := range s.experiment.Nodes.Count {
		n := &nodeRunner{index: i, dir: dir, program: nodeProgram{Command: command}, operatorFile: s.experiment.OperatorFile()}
		s.nodes.all = append(s.nodes.all, n)
		if i < len(listen) {
			n.addr = listen[i]
		}
		if err := s.prepare(n, seed); err != nil {
			return err
		}
		s.ConfigFiles, s.Addrs = append(s.ConfigFiles, n.configFile()), append(s.Addrs, n.addr)
		if len(command) == 0 {
			continue
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

// prepare gives a node its configuration and an empty data directory, and an address where it has none.
func (s *StandaloneFleet) prepare(n *nodeRunner, seed uint64) (err error) {
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

// Wait plays the experiment's timeline once and then waits until the context ends.
func (s *StandaloneFleet) Wait(ctx context.Context) error {
	s.Fleet.DiscardExecutions() // it may run for days
	scenario := &scenarioRunner{
		experiment: s.experiment, fleet: s.Fleet, nodes: s.nodes, load: newLoadGenerator(s.experiment, nil, s.experiment.Seed),
		run: &experiment.Run{Seed: s.experiment.Seed},
	}
	if err := scenario.play(ctx, time.Now().Add(s.experiment.Settle.Duration())); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// ProcessID returns that of a node's process.
func (s *StandaloneFleet) ProcessID(node int) int {
	n := s.nodes.all[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.cmd.Process.Pid
}

// DataDir returns the data directory of a node.
func (s *StandaloneFleet) DataDir(node int) string { return s.nodes.all[node].dataDir() }

// LogFile returns where a node logs to.
func (s *StandaloneFleet) LogFile(node int) string { return s.nodes.all[node].logFile.Name() }

// AdminAddr returns the admin address of a node.
func (s *StandaloneFleet) AdminAddr(node int) string { return s.nodes.all[node].config.Admin }

// AdminCall sends a line to the admin address of a node and returns the answer.
func (s *StandaloneFleet) AdminCall(node int, line string) (string, error) {
	return s.nodes.all[node].adminCall(line)
}

// LoseMachine kills a node and removes its data directory. Restart begins another one in its place.
func (s *StandaloneFleet) LoseMachine(node int) error {
	n := s.nodes.all[node]
	n.terminate(syscall.SIGKILL)
	return n.clearDataDir()
}

// Stop ends a node gracefully.
func (s *StandaloneFleet) Stop(node int) { s.nodes.all[node].terminate(syscall.SIGTERM) }

// Restart starts a node that was ended.
func (s *StandaloneFleet) Restart(node int) error { return s.nodes.all[node].restart() }

// UpdateIdempotencyLinks changes the links between the replicas of idempotency records.
func (s *StandaloneFleet) UpdateIdempotencyLinks(change func(*faultrelay.Links)) {
	s.nodes.idempotencyRelay.UpdateLinks(change)
}

// EffectCount returns how often a write of a key was carried out.
func (s *StandaloneFleet) EffectCount(key string) (count int) {
	for _, e := range s.Fleet.Executions() {
		if e.Key == key && e.Applied {
			count++
		}
	}
	return count
}

// Close ends all of it.
func (s *StandaloneFleet) Close() {
	s.nodes.close()
	s.Fleet.Close()
}
