// Package simulator plays experiments on a virtual clock: the servers of package servermodel, discovery with its delays, clients with
// their retries, and any number of nodes, each of them made of the same packages that the node on sockets has between its sockets and
// its decisions (inflight, connpool, servertable, decide). One goroutine plays a simulation; a seed gives the same run every time,
// whatever else runs beside it. docs/simulator.md says what is modelled and how far to believe it.
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

// NewPolicyFunc returns the policy of a node that decides in place of package decide.
type NewPolicyFunc func(s *Simulation, node int, now float64, limits fleet.Limits, slab *fleet.Slab) inflight.Policy

// Options say how an experiment is played.
type Options struct {
	Program        string        // how reports call what is measured
	NewPolicy      NewPolicyFunc // nil: package decide
	NoOperatorFile bool          // without the experiment's operator's file
	Seed           uint64        // 0: the file's
	MaxEvents      uint64        // after which the run is given up; 0: no limit
	Progress       func(done float64)
}

// maxValueBytes is the size of the largest value that passes at once; the passing of larger ones in pieces is not modelled.
const maxValueBytes = 64 << 10

// unsupportedActions are the steps that cannot be simulated, with what they would need.
var unsupportedActions = map[string]string{
	"replace_node": "processes that take over from one another", "standby_node": "a node's admin address", "active_node": "a node's admin address",
	"exclude": "a node's admin address", "readmit": "a node's admin address",
	"hangup_node": "settings that are read again", "discovery_moves": "settings that are read again",
	"retune_node": "settings that are read again", "restore_node": "settings that are read again", "spoil_node": "settings that are read again",
	"hold_node": "processes that the system holds up", "crowd_node": "sockets",
}

// unsupportedFigures are figures of processes and machines, which a simulated run has none of.
var unsupportedFigures = []string{"node_memory_mb", "node_descriptors"}

// Prepare checks that an experiment can be simulated. It returns the experiment without the expectations that cannot be evaluated, and the
// figures of those.
func Prepare(x *experiment.Experiment) (prepared *experiment.Experiment, skipped []string, err error) {
	for i, step := range x.Steps {
		if needs, unsupported := unsupportedActions[step.Action]; unsupported {
			return nil, nil, x.FieldErrorf(fmt.Sprintf("at[%d].do", i), "%s cannot be simulated: %s", step.Action, needs)
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
	y := *x
	y.Expectations = nil
	for _, e := range x.Expectations {
		if slices.Contains(unsupportedFigures, e.Figure) {
			skipped = append(skipped, e.Figure)
			continue
		}
		y.Expectations = append(y.Expectations, e)
	}
	return &y, skipped, nil
}

// Run plays an experiment and returns what was seen.
func Run(ctx context.Context, x *experiment.Experiment, o Options) (*experiment.Run, error) {
	s, err := newSimulation(x, o)
	if err != nil {
		return nil, err
	}
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	return s.result, nil
}
