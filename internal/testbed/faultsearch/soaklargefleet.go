package faultsearch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/experiment"
)

// largeFleetStream is the PCG stream of soak runs with thousands of servers.
const largeFleetStream = 44

// Sizes and times of a soak run with thousands of servers.
const (
	minLargeFleet, maxLargeFleet = 1600, 3200 // the latter is the greatest number of the operators' page of the standing test
	largeFleetNodes              = 2
	largeFleetCoreShare          = 0.2
	largeFleetLoadDivisor        = 3
	maxLargeFleetClients         = 4 // persistent clients for each node
	maxLargeFleetShare           = 0.05
	maxRestartPause              = 400 * time.Millisecond // between the kill of a node and its start
)

// singleServerFaults are the faults whose preparation takes too long at many servers.
var singleServerFaults = []string{"cut"}

// renumbering is the fault after which the revision of a stored list belongs to another numbering, which a starting node cannot know.
const renumbering = "discovery_anew"

// GenerateLargeFleetSoak returns the soak run that a seed determines with thousands of servers. Its nodes know the list from their start and get a
// share of a core each. In most runs all of them are killed and started again at once, some with a flood of connections.
func GenerateLargeFleetSoak(seed uint64) (*experiment.Experiment, error) {
	x, err := GenerateSoak(seed)
	if err != nil {
		return nil, err
	}
	s := sampler{rand.New(rand.NewPCG(seed, largeFleetStream))}
	x.Name = fmt.Sprint("soak-large-", seed)
	x.Fleet.Groups[0].Count = minLargeFleet + s.IntN(maxLargeFleet-minLargeFleet)
	x.Nodes.Count, x.Nodes.CoreShare, x.Nodes.KnownList = largeFleetNodes, largeFleetCoreShare, true
	x.Load.ValueBytes, x.Load.BurstClients = soakValueBytes, 0
	x.Load.Rate, x.Load.PersistentClients = x.Load.Rate/largeFleetLoadDivisor, min(x.Load.PersistentClients, maxLargeFleetClients)
	x.Steps = slices.DeleteFunc(x.Steps, func(step experiment.Step) bool {
		return step.Node != nil && *step.Node >= largeFleetNodes || slices.Contains(soakStallFaults, step.Action) || step.Action == renumbering
	})
	for i := range x.Steps {
		limitServers(&x.Steps[i])
	}
	if s.IntN(3) > 0 {
		s.restartAllNodes(x)
	}
	slices.SortStableFunc(x.Steps, func(a, b experiment.Step) int { return cmp.Compare(a.Time, b.Time) })
	return normalize(x)
}

// limitServers limits how many servers a step acts on, so that the bench keeps up.
func limitServers(step *experiment.Step) {
	switch {
	case step.Share == 0:
	case slices.Contains(singleServerFaults, step.Action):
		step.Server, step.Share = "box-0", 0
	case step.Server == "":
		step.Share = min(step.Share, maxLargeFleetShare)
	}
}

// restartAllNodes replaces the actions on nodes by one or two kills of all nodes at once, each with a start soon after it, and signals and floods of
// connections around them.
func (s sampler) restartAllNodes(x *experiment.Experiment) {
	x.Steps = slices.DeleteFunc(x.Steps, func(step experiment.Step) bool { return step.Node != nil })
	killAt := soakFirstFault + time.Duration(s.Int64N(int64(lastTakeover-soakFirstFault)))
	for range 1 + s.IntN(2) {
		startAt := killAt + time.Duration(s.Int64N(int64(maxRestartPause)))
		for node := range x.Nodes.Count {
			addStep := func(action string, at time.Duration) *experiment.Step {
				x.Steps = append(x.Steps, experiment.Step{Time: tomlfile.Duration(at).Round(time.Millisecond), Action: action, Node: &node})
				return &x.Steps[len(x.Steps)-1]
			}
			addStep("kill_node", killAt)
			addStep("start_node", startAt)
			for range s.IntN(3) {
				addStep("hangup_node", startAt+time.Second+signalPauses[s.IntN(len(signalPauses))])
			}
			if s.IntN(4) == 0 {
				flood := addStep("crowd_node", startAt+signalPauses[s.IntN(len(signalPauses))])
				flood.Value, flood.Delay = floodConnections, tomlfile.Duration(maxRestartTime)
			}
		}
		killAt = startAt + 2*time.Second
	}
}
