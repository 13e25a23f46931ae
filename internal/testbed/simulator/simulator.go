// Package simulator runs experiments on a virtual clock. It simulates the servers of package servermodel, discovery with its delays,
// clients with their retries, and any number of nodes. A simulated node uses the same packages as the node on sockets (inflight,
// connpool, servertable, decide); only the sockets are replaced. A simulation runs in one goroutine, and the same seed always gives the
// same run. docs/simulator.md describes the model and its limits.
package simulator

import (
	"context"
	"fmt"
	"slices"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/fleet"
	"mintspring/internal/node/inflight"
	"mintspring/internal/testbed/experiment"
)

// NewPolicyFunc returns the policy that a node uses instead of package decide.
type NewPolicyFunc func(s *Simulation, node int, now float64, limits fleet.Limits, slab *fleet.Slab) inflight.Policy

// Options configure the run of an experiment.
type Options struct {
	Program        string             // name of the measured program in reports
	NewPolicy      NewPolicyFunc      // nil for package decide
	NoOperatorFile bool               // ignore the operator's file of the experiment
	Seed           uint64             // 0 for the seed of the experiment file
	MaxEvents      uint64             // the run fails after this many events; 0 for no limit
	Progress       func(done float64) // called with the finished share of the load; may be nil
}

// maxValueBytes is the size of the largest value that nodes forward in one piece. Forwarding larger values in pieces is not modelled.
const maxValueBytes = 64 << 10

// unsupportedActions maps each action that cannot be simulated to the unsupported feature that it requires.
var unsupportedActions = map[string]string{
	"replace_node": "processes that take over from one another", "standby_node": "a node's admin address", "active_node": "a node's admin address",
	"exclude": "a node's admin address", "readmit": "a node's admin address",
	"hangup_node": "settings that are read again", "discovery_moves": "settings that are read again",
	"retune_node": "settings that are read again", "restore_node": "settings that are read again", "spoil_node": "settings that are read again",
	"hold_node": "processes that the system holds up", "crowd_node": "sockets",
}

// unsupportedFigures are figures of processes and machines. A simulated run does not have them.
var unsupportedFigures = []string{"node_memory_mb", "node_descriptors"}

// SupportedExperiment checks that an experiment can be simulated. It returns a copy of the experiment without the expectations that a
// simulation cannot evaluate, and the figures of these expectations.
func SupportedExperiment(x *experiment.Experiment) (supported *experiment.Experiment, skipped []string, err error) {
	for i, step := range x.Steps {
		if requirement, unsupported := unsupportedActions[step.Action]; unsupported {
			return nil, nil, x.FieldErrorf(fmt.Sprintf("at[%d].do", i), "%s cannot be simulated: %s", step.Action, requirement)
		}
	}
	file, err := operatorfile.Read(x.OperatorFile())
	switch {
	case err != nil:
		return nil, nil, err
	case file.Snapshot != nil:
		return nil, nil, x.FieldErrorf("nodes.operator", "snapshots cannot be simulated: they are a file")
	case file.Idempotency != nil:
		return nil, nil, x.FieldErrorf("nodes.operator", "idempotency records cannot be simulated: they are files")
	case x.Load.ValueBytes > maxValueBytes:
		return nil, nil, x.FieldErrorf("load.bytes", "%d cannot be simulated: values over %d bytes pass in pieces", x.Load.ValueBytes, maxValueBytes)
	}
	filtered := *x
	filtered.Expectations = nil
	for _, e := range x.Expectations {
		if slices.Contains(unsupportedFigures, e.Figure) {
			skipped = append(skipped, e.Figure)
			continue
		}
		filtered.Expectations = append(filtered.Expectations, e)
	}
	return &filtered, skipped, nil
}

// Run runs an experiment on the virtual clock and returns the measurements.
func Run(ctx context.Context, x *experiment.Experiment, o Options) (*experiment.Run, error) {
	s, err := newSimulation(x, o)
	if err != nil {
		return nil, err
	}
	if err := s.run(ctx); err != nil {
		return nil, err
	}
	return s.result, nil
}
