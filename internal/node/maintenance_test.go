package node

import (
	"errors"
	"maps"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/lease"
	"mintspring/internal/cluster/rollingrestart"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/fleet"
	"mintspring/internal/testbed/loopback"
	"mintspring/internal/testbed/reservedport"
)

// singleConsensusReplica makes a node the only member of its consensus group.
func singleConsensusReplica(t *testing.T) func(*Config) {
	t.Helper()
	address, err := reservedport.ReserveUDP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(address) })
	dir := filepath.Join(t.TempDir(), "c")
	if err := storage.Create(dir, storage.Identity{Group: "c", ReplicaNumber: 1}); err != nil {
		t.Fatal(err)
	}
	return func(c *Config) {
		c.Operator = &operatorfile.File{Consensus: &operatorfile.Consensus{
			Name: "c", Members: []string{address.Addr()}, MemberNumber: 1, Listen: address.Addr(), DataDir: dir, Lease: 2e9, PollInterval: 1e8,
		}}
	}
}

// A call that was sent to a second replica because the first was slow gets two results. The second result used to block the loop, and with it
// every request, forever. On a disk whose syncs take a second, every call did so.
func TestLateConsensusResultsDoNotBlockTheLoop(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin, singleConsensusReplica(t))
	results := make(chan lease.Result, 1)
	for i := range uint64(3) {
		callID := 1000 + i
		tc.onLoop(func(float64) { tc.node.maintenance.pendingCalls[callID] = results })
		tc.node.inbox.post(consensusReply{callID, lease.Result{OK: true}})
	}
	if err := tc.node.runOnLoop(func(float64) {}); err != nil {
		t.Fatalf("the loop is blocked: %v", err)
	}
	// The group, which has only this replica, answers calls.
	for deadline := time.Now().Add(10 * time.Second); ; {
		text, err := tc.node.RollingRestart([]string{"show"})
		if err == nil && text == "no roll; nobody holds the lease" {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s, %v", text, err)
		}
	}
	if _, err := tc.node.RollingRestart([]string{"start", "0", "s0"}); err == nil {
		t.Error("a plan that excludes no server at a time is started")
	}
	if text, err := tc.node.RollingRestart([]string{"start", "1", "s9"}); err != nil {
		t.Errorf("%s, %v", text, err)
	}
	if _, err := tc.node.ChangeMembership("take-in", []string{"1", "0"}); err == nil {
		t.Error("a member is replaced with its first generation")
	}
}

// silentConsensusGroup makes a node a client of a consensus group whose only member does not answer.
func silentConsensusGroup(t *testing.T) func(*Config) {
	t.Helper()
	silent, err := loopback.ListenPacket()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(silent) })
	return func(c *Config) {
		c.Operator = &operatorfile.File{Consensus: &operatorfile.Consensus{
			Name: "c", Members: []string{silent.LocalAddr().String()}, Lease: 2e9, PollInterval: 1e8,
		}}
	}
}

// waitingCalls returns the ids of the calls that wait for a result, in order.
func (tc *testCluster) waitingCalls() (ids []uint64) {
	tc.t.Helper()
	tc.onLoop(func(float64) { ids = slices.Sorted(maps.Keys(tc.node.maintenance.pendingCalls)) })
	return ids
}

// waitForCall returns the oldest call that waits for a result and was sent after the call with id after.
func (tc *testCluster) waitForCall(after uint64) uint64 {
	tc.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, id := range tc.waitingCalls() {
			if id > after {
				return id
			}
		}
	}
	tc.t.Fatalf("no call after %d", after)
	return 0
}

// The plan is read with two calls, since the first member is slow. Both are answered, the second one while the plan is being written. That
// answer used to be taken for the result of the write, so that a plan was reported that no member had committed.
func TestLateReadResultIsNotTakenForTheWrite(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin, silentConsensusGroup(t))
	startErr := make(chan error, 1)
	go func() {
		_, err := tc.node.RollingRestart([]string{"start", "1", "s9"})
		startErr <- err
	}()
	first := tc.waitForCall(0)
	second := tc.waitForCall(first)
	tc.node.inbox.post(consensusReply{first, lease.Result{OK: true}})
	tc.waitForCall(second) // the write
	tc.node.inbox.post(consensusReply{second, lease.Result{OK: true}})
	if err := <-startErr; !errors.Is(err, errConsensusUnavailable) {
		t.Errorf("the write, which was not answered, returns %v", err)
	}
}

// Calls that are never answered are forgotten when the command fails. They used to stay in memory until the process ended.
func TestUnansweredConsensusCallsAreForgotten(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin, silentConsensusGroup(t))
	if _, err := tc.node.RollingRestart([]string{"show"}); !errors.Is(err, errConsensusUnavailable) {
		t.Errorf("the call to a group that does not answer returns %v", err)
	}
	if calls := tc.waitingCalls(); len(calls) > 0 {
		t.Errorf("calls %v still wait for a result", calls)
	}
}

// A rolling restart's plan that a node gets before its endpoint list excludes the servers that are listed later. It was once applied to the
// servers listed at that moment only, so that the node went on sending to a server that was being restarted.
func TestPlanBeforeEndpointListExcludesServers(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin, silentConsensusGroup(t))
	plan, err := rollingrestart.NewPlan([]string{"s7"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if step, due := plan.Advance(1, 1000, func(string) rollingrestart.ServerStatus { return rollingrestart.ServerStatus{Listed: true} }); !due {
		t.Fatalf("step %q", step)
	}
	tc.node.inbox.post(consensusReply{1, lease.Result{OK: true, Revision: 1, Progress: plan.Encode()}})
	tc.listUpdates <- `{"revision":2,"complete":false,"members":[` + entry("s7", tc.startCache(), "box") + `]}`
	var state fleet.State
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		listed := false
		tc.onLoop(func(now float64) {
			var id fleet.ServerID
			if id, listed = tc.node.serverTable.SlotByID["s7"]; listed {
				state = tc.node.effectiveEndpoint(now, id).State
			}
		})
		if listed {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the server is not listed")
		}
	}
	if state != fleet.Draining {
		t.Errorf("a server that the plan excludes is in state %v", state)
	}
}

// A change of a member whose number is too large is refused. The number once stood for another member: the removal of 17 removed 1.
func TestMembershipChangeOfTooLargeNumberIsRefused(t *testing.T) {
	for command, args := range map[string][]string{"take-in": {"17", "1"}, "add": {"16", "0"}, "drop": {"17"}} {
		if change, err := parseMembershipChange(command, args); err == nil {
			t.Errorf("%s %v is %+v", command, args, change)
		}
	}
	if change, err := parseMembershipChange("drop", []string{"15"}); err != nil || change.member != 15 {
		t.Errorf("the largest number: %+v, %v", change, err)
	}
}
