package faultsearch

import (
	"reflect"
	"testing"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/syscalltrace"
)

// Each seed always generates the same valid run, which real processes can execute. Together the runs have every kind of fault and
// operation, and enough of them have short timeouts.
func TestGenerateSoak(t *testing.T) {
	actions, shortDeadlines := map[string]int{}, 0
	for seed := uint64(1); seed <= 200; seed++ {
		x := generateTwice(t, GenerateSoak, seed)
		if _, err := syscalltrace.ParseFaultPlan(SoakFaultPlan(seed)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, step := range x.Steps {
			actions[step.Action]++
		}
		if x.LongestTimeout() < experiment.ClientGraceMs*1e6*2 {
			shortDeadlines++
		}
	}
	for _, all := range [][]string{soakServerFaults, soakSystemFaults, soakDuplicateFaults, soakStallFaults, {"paused_answers", "stop_node", "kill_node", "hangup_node", "spoil_node", "hold_node", "crowd_node", "replace_node", "standby_node", "retune_node", "exclude"}} {
		for _, action := range all {
			if actions[action] == 0 {
				t.Errorf("no run has %s", action)
			}
		}
	}
	if shortDeadlines < 30 {
		t.Errorf("%d of 200 runs have short deadlines", shortDeadlines)
	}
}

// generateTwice returns the run of a seed after checking that it can be executed and that a second call generates the same steps.
func generateTwice(t *testing.T, generate func(seed uint64) (*experiment.Experiment, error), seed uint64) *experiment.Experiment {
	t.Helper()
	x, err := generate(seed)
	if err == nil {
		err = x.ValidateRealTime()
	}
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	again, err := generate(seed)
	if err != nil || !reflect.DeepEqual(x.Steps, again.Steps) || x.CacheCount() != again.CacheCount() {
		t.Fatalf("seed %d gives another run the second time, %v", seed, err)
	}
	return x
}

// Each seed always generates the same valid run with thousands of servers. Together the runs have kills of all nodes at once, stops and floods.
func TestGenerateLargeFleetSoak(t *testing.T) {
	actions := map[string]int{}
	for seed := uint64(1); seed <= 60; seed++ {
		x := generateTwice(t, GenerateLargeFleetSoak, seed)
		if x.CacheCount() < minLargeFleet || x.Nodes.CoreShare == 0 || !x.Nodes.KnownList {
			t.Errorf("seed %d: %d servers, %+v", seed, x.CacheCount(), x.Nodes)
		}
		for _, step := range x.Steps {
			actions[step.Action]++
		}
	}
	for _, action := range []string{"kill_node", "start_node", "stop_node", "hangup_node", "crowd_node"} {
		if actions[action] == 0 {
			t.Errorf("no run has %s", action)
		}
	}
}
