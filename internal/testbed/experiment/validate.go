package experiment

import (
	"fmt"
	"slices"
	"strings"

	"mintspring/internal/testbed/invariants"
)

// Limits of experiments. Those for real processes are far lower, since all of them run on one machine.
const (
	maxNodes = 2000
	maxRate  = 200_000 // requests a second, without retries

	maxLength       = 3 * 3600 * second
	maxGroupServers = 3200
	maxClockDrift   = 0.1
	maxWeight       = 1000
	maxDuplicates   = 100
	maxRealLength   = 600 * second
	maxRealNodes    = 64
	maxRealRate     = 50_000
)

// shareTolerance is the greatest difference between 1 and the sum of the shares of all classes.
const shareTolerance = 0.001

// Effects of requests, by their names in experiment files.
const (
	effectIdempotent    = "idempotent"
	effectDeduplicated  = "deduplicated"
	effectNonIdempotent = "non-idempotent"
)

// validate checks an experiment, and sets the write semantics of its classes.
func (x *Experiment) validate() error {
	for _, check := range []func() error{
		x.validateRun, x.validateFleet, x.validateNodes, x.validateLoad, x.validateClasses, x.validateSteps, x.validateExpectations,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (x *Experiment) validateRun() error {
	switch {
	case x.Name == "":
		return x.FieldErrorf("name", "missing")
	case x.Length < second || x.Length > maxLength:
		return x.FieldErrorf("length", "%v is not between 1s and %v", x.Length.Duration(), maxLength.Duration())
	}
	return nil
}

func (x *Experiment) validateFleet() error {
	switch {
	case len(x.Fleet.Zones) == 0:
		return x.FieldErrorf("fleet.zones", "at least one is required")
	case len(x.Fleet.Groups) == 0:
		return x.FieldErrorf("fleet.boxes", "at least one is required")
	}
	for i := range x.Fleet.Groups {
		group := &x.Fleet.Groups[i]
		field := fmt.Sprintf("fleet.boxes[%d]", i)
		switch {
		case group.Count < 1 || group.Count > maxGroupServers:
			return x.FieldErrorf(field+".count", "%d is not between 1 and %d", group.Count, maxGroupServers)
		case group.Zone != "" && !slices.Contains(x.Fleet.Zones, group.Zone):
			return x.FieldErrorf(field+".zone", "no zone is called %q", group.Zone)
		case group.Cores < 1 || group.Speed <= 0:
			return x.FieldErrorf(field, "cores and speed must be above 0")
		case !isShare(group.StartCapacity):
			return x.FieldErrorf(field+".start_capacity", "%v is not between 0 and 1", group.StartCapacity)
		}
	}
	return nil
}

// isShare reports whether a number is between 0 and 1.
func isShare(v float64) bool { return v >= 0 && v <= 1 }

func (x *Experiment) validateNodes() error {
	switch {
	case x.Nodes.Count < 1 || x.Nodes.Count > maxNodes:
		return x.FieldErrorf("nodes.count", "%d is not between 1 and %d", x.Nodes.Count, maxNodes)
	case x.Nodes.ClockDrift < 0 || x.Nodes.ClockDrift > maxClockDrift:
		return x.FieldErrorf("nodes.clock_drift", "%v is not between 0 and %v", x.Nodes.ClockDrift, maxClockDrift)
	case x.Nodes.CoreShare < 0 || x.Nodes.CoreShare > 1:
		return x.FieldErrorf("nodes.core_share", "%v is not between 0 and 1", x.Nodes.CoreShare)
	case slices.ContainsFunc(x.Nodes.TrafficWeights, func(w int) bool { return w < 1 || w > maxWeight }):
		return x.FieldErrorf("nodes.traffic", "weights must be from 1 to %d", maxWeight)
	}
	return nil
}

func (x *Experiment) validateLoad() error {
	switch {
	case len(x.Classes) == 0:
		return x.FieldErrorf("workloads", "at least one is required")
	case x.Load.Rate <= 0 || x.Load.Rate > maxRate:
		return x.FieldErrorf("load.rate", "%v is not between 0 and %d a second", x.Load.Rate, maxRate)
	case x.Load.Keys < 1:
		return x.FieldErrorf("load.keys", "must be above 0")
	case x.Load.Connections != keepConnections && x.Load.Connections != dropConnections:
		return x.FieldErrorf("load.connections", "%q is neither %s nor %s", x.Load.Connections, keepConnections, dropConnections)
	case x.Load.PersistentClients < 0 || !isShare(x.Load.EarlyCloseShare):
		return x.FieldErrorf("load", "persistent must not be below 0, and leave must be from 0 to 1")
	case x.Load.BurstClients < 0:
		return x.FieldErrorf("load.bursts", "must not be below 0")
	case x.Load.AttemptTimeoutShare <= 0 || x.Load.AttemptTimeoutShare > 1:
		return x.FieldErrorf("load.try_share", "%v is not above 0 and at most 1", x.Load.AttemptTimeoutShare)
	}
	return nil
}

func (x *Experiment) validateClasses() error {
	sum := 0.0
	for i := range x.Classes {
		class := &x.Classes[i]
		sum += class.Share
		if err := x.validateClass(i, class); err != nil {
			return err
		}
	}
	if sum < 1-shareTolerance || sum > 1+shareTolerance {
		return x.FieldErrorf("workloads", "shares add up to %.3f, not 1", sum)
	}
	return nil
}

func (x *Experiment) validateClass(i int, class *ClassConfig) error {
	field := fmt.Sprintf("workloads[%d]", i)
	semantics, known := map[string]invariants.WriteSemantics{
		effectIdempotent: invariants.Idempotent, effectDeduplicated: invariants.Deduplicated, effectNonIdempotent: invariants.NonIdempotent,
	}[class.Effect]
	class.semantics = semantics
	switch {
	case !known:
		return x.FieldErrorf(field+".effect", "%q is not %s, %s or %s", class.Effect, effectIdempotent, effectDeduplicated, effectNonIdempotent)
	case class.Name == "" || strings.ContainsAny(class.Name, ",= "):
		return x.FieldErrorf(field+".name", "%q is not a name", class.Name)
	case slices.ContainsFunc(x.Classes[:i], func(other ClassConfig) bool { return other.Name == class.Name }):
		return x.FieldErrorf(field+".name", "%q is listed twice; nodes reject such settings", class.Name)
	case class.Share <= 0:
		return x.FieldErrorf(field+".share", "must be above 0")
	case class.LatencyObjective > class.Timeout:
		return x.FieldErrorf(field+".slo", "longer than the timeout")
	case semantics == invariants.Deduplicated && class.DedupWindow == 0:
		return x.FieldErrorf(field+".dedup_span", "missing for a deduplicated workload")
	case !isShare(class.CostSpread):
		return x.FieldErrorf(field+".spread", "%v is not between 0 and 1", class.CostSpread)
	}
	return nil
}

// unknownServerError returns the error of a field that names a server that does not exist.
func (x *Experiment) unknownServerError(field, name string) error {
	return x.FieldErrorf(field, "no server is called %q; there are %s", name, strings.Join(x.serverNames(), ", "))
}

func (x *Experiment) validateSteps() error {
	for i := range x.Steps {
		field, step := fmt.Sprintf("at[%d]", i), &x.Steps[i]
		a, known := actions[step.Action]
		if !known {
			return x.FieldErrorf(field+".do", "unknown action %q; docs/experiments.md lists the actions", step.Action)
		}
		if step.Time > x.Length {
			return x.FieldErrorf(field+".time", "%v is after the end", step.Time.Duration())
		}
		if err := x.validateTargets(field, step, &a); err != nil {
			return err
		}
		if err := x.validateStepValues(field, step, &a); err != nil {
			return err
		}
	}
	return nil
}

// validateTargets checks the servers, nodes and links that a step acts on.
func (x *Experiment) validateTargets(field string, s *Step, a *action) error {
	named := 0
	for _, isNamed := range []bool{s.Server != "", s.Zone != "", s.Share != 0} {
		if isNamed {
			named++
		}
	}
	isNode := func(n int) bool { return n >= 0 && n < x.Nodes.Count }
	switch {
	case a.onServer != nil && named != 1:
		return x.FieldErrorf(field, "one of box, zone and share is required")
	case a.needsServer && (named != 1 || s.Server == ""):
		return x.FieldErrorf(field+".box", "%s requires one box", s.Action)
	case a.onServer == nil && !a.needsServer && named != 0:
		return x.FieldErrorf(field, "%s does not act on boxes", s.Action)
	case a.onNode != nil && (s.Node == nil || !isNode(*s.Node)):
		return x.FieldErrorf(field+".node", "a node from 0 to %d is required", x.Nodes.Count-1)
	case s.Server != "" && !slices.Contains(x.serverNames(), s.Server):
		return x.unknownServerError(field+".box", s.Server)
	case s.Zone != "" && !slices.Contains(x.Fleet.Zones, s.Zone):
		return x.FieldErrorf(field+".zone", "no zone is called %q", s.Zone)
	case !isShare(s.Share):
		return x.FieldErrorf(field+".share", "%v is not between 0 and 1", s.Share)
	case a.onLink != nil && slices.ContainsFunc(slices.Concat(s.Nodes, s.Peers), func(n int) bool { return !isNode(n) }):
		return x.FieldErrorf(field, "nodes must be from 0 to %d", x.Nodes.Count-1)
	}
	return nil
}

// delayedActions are the actions for which Step.Delay may be set.
var delayedActions = []string{"late_surplus", "crossing_surplus", "slow_answers", "paused_answers", "slow_uploads", "injure_peers", "hold_node", "crowd_node"}

// validateStepValues checks the other fields of a step.
func (x *Experiment) validateStepValues(field string, s *Step, a *action) error {
	switch {
	case s.Duration > 0 && a.inverse == "":
		return x.FieldErrorf(field+".for", "%s cannot be undone", s.Action)
	case s.Delay < 0 || s.Delay > 0 && !slices.Contains(delayedActions, s.Action):
		return x.FieldErrorf(field+".late", "only %s have it, and it must not be below 0", strings.Join(delayedActions, ", "))
	case !isShare(s.LossRate) || !isShare(s.CorruptRate) || !isShare(s.TruncateRate):
		return x.FieldErrorf(field, "lose, spoil and short must be from 0 to 1")
	case s.Duplicates < 0 || s.Duplicates > maxDuplicates || s.BytesPerSecond < 0:
		return x.FieldErrorf(field, "again must be from 0 to %d, and rate must not be below 0", maxDuplicates)
	case s.Repeats > 1 && s.Interval == 0:
		return x.FieldErrorf(field+".every", "required if times is above 1")
	case s.Value <= 0 && a.needsValue:
		return x.FieldErrorf(field+".value", "must be above 0 for %s", s.Action)
	}
	return nil
}

func (x *Experiment) validateExpectations() error {
	for i := range x.Expectations {
		field, e := fmt.Sprintf("expect[%d]", i), &x.Expectations[i]
		switch {
		case !isFigure(e.Figure):
			return x.FieldErrorf(field+".what", "unknown figure %q; docs/experiments.md lists the figures", e.Figure)
		case (e.AtLeast == nil) == (e.AtMost == nil):
			return x.FieldErrorf(field, "exactly one of at_least and at_most is required")
		case e.Class != "" && !slices.ContainsFunc(x.Classes, func(c ClassConfig) bool { return c.Name == e.Class }):
			return x.FieldErrorf(field+".workload", "no workload is called %q", e.Class)
		case e.Server != "" && !slices.Contains(x.serverNames(), e.Server):
			return x.unknownServerError(field+".box", e.Server)
		}
	}
	return nil
}

// ValidateRealTime checks whether an experiment can be run with real processes.
func (x *Experiment) ValidateRealTime() error {
	const (
		simulatorHint    = "mintspring-bench simulate supports"
		sharedClockError = "real processes of one machine share one clock; " + simulatorHint + " it"
	)
	switch {
	case x.Length > maxRealLength:
		return x.FieldErrorf("length", "%v is over %v, the limit for real processes; %s more", x.Length.Duration(), maxRealLength.Duration(), simulatorHint)
	case x.Nodes.Count > maxRealNodes:
		return x.FieldErrorf("nodes.count", "%d is over %d, the limit for real processes; %s more", x.Nodes.Count, maxRealNodes, simulatorHint)
	case x.Nodes.ClockDrift != 0:
		return x.FieldErrorf("nodes.clock_drift", sharedClockError)
	case x.Fleet.FetchThrough:
		return x.FieldErrorf("fleet.fetch", "the protocol of real processes requires an origin; %s a fleet without one", simulatorHint)
	case x.Nodes.RequestCost > 0:
		return x.FieldErrorf("nodes.query_cost", "real processes have no set processor time for a request; %s it", simulatorHint)
	case x.Nodes.ClockSkew > 0:
		return x.FieldErrorf("nodes.clock_skew", sharedClockError)
	case x.Load.Rate > maxRealRate:
		return x.FieldErrorf("load.rate", "%v is over %d, the limit for real processes; %s more", x.Load.Rate, maxRealRate, simulatorHint)
	}
	return nil
}
