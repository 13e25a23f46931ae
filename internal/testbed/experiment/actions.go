package experiment

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// action is something a step can do. Exactly one of its functions is set, depending on what the action acts on.
type action struct {
	inverse      string  // name of the action that undoes it; "" for none
	inverseValue float64 // Step.Value of the inverse
	needsValue   bool    // Step.Value must be above 0

	needsServer bool // the action acts on a node and takes the step's server as an argument

	onServer func(ServerControl, *Step) error
	onNode   func(NodeControl, *Step) error
	onLink   func(*faultrelay.Link, *Step)
	onSystem func(*Experiment, System, *Step) error
}

// actions holds all actions by their names in experiment files.
var actions = map[string]action{
	"kill":    {inverse: "return", onServer: killServer},
	"return":  {onServer: restartServer},
	"replace": {onServer: replaceServer},
	"drain":   {inverse: "undrain", onServer: setPhase(fakes.Terminating)},
	"undrain": {onServer: setPhase(fakes.InService)},
	"remove":  {onServer: setPhase(fakes.Terminated)},
	"halt":    {inverse: "resume", onServer: setPaused(true)},
	"resume":  {onServer: setPaused(false)},
	"slow":    {inverse: "slow", inverseValue: 1, needsValue: true, onServer: slowDownServer},
	"refuse":  {inverse: "accept", onServer: setRefusing(true)},
	"accept":  {onServer: setRefusing(false)},
	"reset":   {onServer: resetConnections},
	"cut":     {inverse: "join", onServer: setBlackholed(true)},
	"join":    {onServer: setBlackholed(false)},

	"errors": {inverse: "mend", needsValue: true, onServer: setFaults(func(share float64, _ *Step) fakes.Faults {
		return fakes.Faults{Errors: share}
	})},
	"resets": {inverse: "mend", onServer: setFaults(func(share float64, _ *Step) fakes.Faults {
		return fakes.Faults{Reset: share}
	})},
	"half_answers": {inverse: "mend", onServer: setFaults(func(share float64, _ *Step) fakes.Faults {
		return fakes.Faults{Truncated: share}
	})},
	"spoilt": {inverse: "mend", onServer: setFaults(func(share float64, _ *Step) fakes.Faults {
		return fakes.Faults{Corrupt: share}
	})},
	"surplus": {inverse: "mend", onServer: setFaults(func(share float64, _ *Step) fakes.Faults {
		return fakes.Faults{Duplicate: share}
	})},
	"late_surplus": {inverse: "mend", onServer: setFaults(func(share float64, s *Step) fakes.Faults {
		return fakes.Faults{LateDuplicate: share, DuplicateDelayMs: s.Delay.Milliseconds()}
	})},
	"crossing_surplus": {inverse: "mend", onServer: setFaults(func(share float64, s *Step) fakes.Faults {
		return fakes.Faults{CrossingDuplicate: share, DuplicateDelayMs: s.Delay.Milliseconds()}
	})},
	"lost_answers": {inverse: "mend", onServer: setFaults(func(share float64, _ *Step) fakes.Faults {
		return fakes.Faults{Dropped: share}
	})},
	"stalled_answers": {inverse: "mend", onServer: setFaults(func(share float64, _ *Step) fakes.Faults {
		return fakes.Faults{Stalled: share}
	})},
	"slow_answers": {inverse: "mend", onServer: setFaults(func(share float64, s *Step) fakes.Faults {
		return fakes.Faults{Slow: share, PauseMs: s.Delay.Milliseconds()}
	})},
	"paused_answers": {inverse: "mend", onServer: setFaults(func(share float64, s *Step) fakes.Faults {
		return fakes.Faults{Paused: share, PauseMs: s.Delay.Milliseconds()}
	})},
	"slow_uploads": {inverse: "mend", onServer: setFaults(func(share float64, s *Step) fakes.Faults {
		return fakes.Faults{SlowReads: share, PauseMs: s.Delay.Milliseconds()}
	})},
	"mend": {onServer: setFaults(func(float64, *Step) fakes.Faults { return fakes.Faults{} })},

	"kill_node":    {inverse: "start_node", onNode: func(n NodeControl, _ *Step) error { n.Kill(); return nil }},
	"stop_node":    {inverse: "start_node", onNode: func(n NodeControl, _ *Step) error { n.Stop(); return nil }},
	"start_node":   {onNode: func(n NodeControl, _ *Step) error { n.Start(); return nil }},
	"hangup_node":  {onNode: func(n NodeControl, _ *Step) error { return n.Reload() }},
	"freeze_node":  {inverse: "thaw_node", onNode: func(n NodeControl, _ *Step) error { n.SetFrozen(true); return nil }},
	"hold_node":    {onNode: func(n NodeControl, s *Step) error { return n.PauseFor(s.Delay.Duration()) }},
	"spoil_node":   {onNode: func(n NodeControl, _ *Step) error { return n.ReloadTruncated() }},
	"crowd_node":   {needsValue: true, onNode: func(n NodeControl, s *Step) error { return n.OpenIdleConnections(int(s.Value), s.Delay.Duration()) }},
	"thaw_node":    {onNode: func(n NodeControl, _ *Step) error { n.SetFrozen(false); return nil }},
	"wipe_node":    {onNode: func(n NodeControl, _ *Step) error { n.ReplaceMachine(); return nil }},
	"replace_node": {onNode: func(n NodeControl, _ *Step) error { return n.HotRestart() }},
	"standby_node": {inverse: "active_node", onNode: func(n NodeControl, _ *Step) error { return n.SetStandby(true) }},
	"active_node":  {onNode: func(n NodeControl, _ *Step) error { return n.SetStandby(false) }},
	"exclude":      {inverse: "readmit", needsServer: true, onNode: func(n NodeControl, s *Step) error { return n.SetExcluded(s.Server, true) }},
	"readmit":      {needsServer: true, onNode: func(n NodeControl, s *Step) error { return n.SetExcluded(s.Server, false) }},
	"retune_node":  {inverse: "restore_node", onNode: func(n NodeControl, _ *Step) error { return n.SetRetuned(true) }},
	"restore_node": {onNode: func(n NodeControl, _ *Step) error { return n.SetRetuned(false) }},

	"cut_peers":    {inverse: "join_peers", onLink: func(l *faultrelay.Link, _ *Step) { l.Cut = true }},
	"join_peers":   {onLink: func(l *faultrelay.Link, _ *Step) { l.Cut = false }},
	"injure_peers": {inverse: "heal_peers", onLink: degradeLink},
	"heal_peers":   {onLink: func(l *faultrelay.Link, _ *Step) { *l = faultrelay.Link{Cut: l.Cut} }},

	"rate":             {inverse: "rate", inverseValue: 1, needsValue: true, onSystem: setRateFactor},
	"fleet_slow":       {needsValue: true, onSystem: slowDownCaches},
	"discovery_late":   {inverse: "discovery_late", onSystem: delayDiscovery},
	"discovery_down":   {inverse: "discovery_up", onSystem: setDiscoveryUnavailable(true)},
	"discovery_up":     {onSystem: setDiscoveryUnavailable(false)},
	"discovery_silent": {inverse: "discovery_speaks", onSystem: setDiscoveryStalled(true)},
	"discovery_speaks": {onSystem: setDiscoveryStalled(false)},
	"discovery_anew": {onSystem: func(_ *Experiment, system System, _ *Step) error {
		system.Discovery().ResetRevision()
		return nil
	}},
	"server_clocks": {inverse: "server_clocks", onSystem: func(_ *Experiment, system System, s *Step) error {
		system.Discovery().SetClockOffset(s.Value)
		return nil
	}},
	"discovery_moves": {onSystem: func(_ *Experiment, system System, _ *Step) error { return system.RelocateDiscovery() }},
}

// Apply carries out a step. The seed selects the servers if the step acts on a share of them.
func (x *Experiment) Apply(s Step, system System, seed uint64) error {
	a, known := actions[s.Action]
	switch {
	case !known:
		return fmt.Errorf("unknown action %q", s.Action)
	case a.onSystem != nil:
		return a.onSystem(x, system, &s)
	case a.onNode != nil:
		return a.onNode(system.Node(*s.Node), &s)
	case a.onLink != nil:
		return system.UpdateLinks(func(links *faultrelay.Links) { x.updateLinks(links, &s, a.onLink) })
	}
	for _, index := range x.targets(s, seed) {
		if err := a.onServer(system.Server(index), &s); err != nil {
			return err
		}
	}
	return nil
}

func killServer(server ServerControl, _ *Step) error {
	server.Kill()
	server.SetPhase(fakes.Terminated)
	return nil
}

// restartServer starts a server again, with a warm cache if the step has a value.
func restartServer(server ServerControl, s *Step) error {
	if err := server.Restart(s.Value > 0); err != nil {
		return err
	}
	server.SetPhase(fakes.InService)
	return nil
}

// replaceServer kills a server and starts another one in its place, under an id that was never listed.
func replaceServer(server ServerControl, s *Step) error {
	server.Kill()
	server.SetPhase(fakes.Terminated)
	server.AssignNewID()
	return restartServer(server, s)
}

func setPhase(phase string) func(ServerControl, *Step) error {
	return func(server ServerControl, _ *Step) error { server.SetPhase(phase); return nil }
}

func setPaused(paused bool) func(ServerControl, *Step) error {
	return func(server ServerControl, _ *Step) error { server.SetPaused(paused); return nil }
}

func slowDownServer(server ServerControl, s *Step) error {
	server.SetSlowdown(s.Value)
	return nil
}

func setRefusing(refusing bool) func(ServerControl, *Step) error {
	return func(server ServerControl, _ *Step) error { return server.SetRefusing(refusing) }
}

func resetConnections(server ServerControl, _ *Step) error {
	server.ResetConnections()
	return nil
}

// setBlackholed makes a server unreachable or reachable again, for the node of the step or, if it names none, for all nodes.
func setBlackholed(blackholed bool) func(ServerControl, *Step) error {
	return func(server ServerControl, s *Step) error {
		var nodes []servermodel.NodeID
		if s.Node != nil {
			nodes = append(nodes, servermodel.NodeID(*s.Node))
		}
		server.SetBlackholed(blackholed, nodes...)
		return nil
	}
}

// setFaults injects faults into a share of executions, and replaces the faults injected before. The share is the value of the step, or 1 if
// the step has no value.
func setFaults(faults func(share float64, s *Step) fakes.Faults) func(ServerControl, *Step) error {
	return func(server ServerControl, s *Step) error {
		server.SetFaults(faults(cmp.Or(s.Value, 1), s))
		return nil
	}
}

func setRateFactor(_ *Experiment, system System, s *Step) error {
	system.SetRateFactor(s.Value)
	return nil
}

func slowDownCaches(x *Experiment, system System, s *Step) error {
	for index := range x.CacheCount() {
		system.Server(index).SetSlowdown(s.Value)
	}
	return nil
}

// delayDiscovery sets the delay of discovery's updates to the step's value in ms; without one, to the experiment's own delay.
func delayDiscovery(x *Experiment, system System, s *Step) error {
	delay := x.Fleet.DiscoveryDelay.Duration()
	if s.Value > 0 {
		delay = time.Duration(math.Round(s.Value * float64(time.Millisecond)))
	}
	system.Discovery().SetDelay(delay)
	return nil
}

func setDiscoveryUnavailable(unavailable bool) func(*Experiment, System, *Step) error {
	return func(_ *Experiment, system System, _ *Step) error {
		system.Discovery().SetUnavailable(unavailable)
		return nil
	}
}

func setDiscoveryStalled(stalled bool) func(*Experiment, System, *Step) error {
	return func(_ *Experiment, system System, _ *Step) error {
		system.Discovery().SetStalled(stalled)
		return nil
	}
}

// degradeLink replaces the faults of a link by those of a step. A cut link stays cut.
func degradeLink(l *faultrelay.Link, s *Step) {
	*l = faultrelay.Link{
		Cut: l.Cut, LossRate: s.LossRate, DelayMs: s.Delay.Milliseconds(), JitterMs: s.Jitter.Milliseconds(),
		Duplicates: s.Duplicates, DuplicateDelayMs: s.DuplicateDelay.Milliseconds(),
		CorruptRate: s.CorruptRate, TruncateRate: s.TruncateRate, BytesPerSecond: s.BytesPerSecond,
	}
}

// updateLinks changes the links between the nodes that a step names.
func (x *Experiment) updateLinks(links *faultrelay.Links, s *Step, change func(*faultrelay.Link, *Step)) {
	applyChange := func(l *faultrelay.Link) { change(l, s) }
	from, to := x.nodesOrAll(s.Nodes), x.nodesOrAll(s.Peers)
	links.Set(from, to, applyChange)
	if !s.OneWay {
		links.Set(to, from, applyChange)
	}
}

// nodesOrAll returns the given nodes, or all nodes if none is given.
func (x *Experiment) nodesOrAll(named []int) []int {
	if len(named) > 0 {
		return named
	}
	all := make([]int, x.Nodes.Count)
	for i := range all {
		all[i] = i
	}
	return all
}
