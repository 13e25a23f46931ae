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
	"mintspring/internal/config/operatorfile"
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

// A call that was sent to a second replica, since the first was slow, gets two results. The second one once blocked the loop for ever, and
// with it every request: on a disk whose syncs take a second, that was any call.
func TestLateConsensusResultsDoNotBlockTheLoop(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin, singleConsensusReplica(t))
	results := make(chan lease.Result, 1)
	for i := range uint64(3) {
		callID := 1000 + i
		tc.onLoop(func(float64) { tc.node.maintenance.waiting[callID] = results })
		tc.node.inbox.post(consensusReply{callID, lease.Result{OK: true}})
	}
	if err := tc.node.runOnLoop(func(float64) {}); err != nil {
		t.Fatalf("the loop is blocked: %v", err)
	}
	// And the group of this one replica answers.
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
		t.Error("a member is taken in anew with its first generation")
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
	tc.onLoop(func(float64) { ids = slices.Sorted(maps.Keys(tc.node.maintenance.waiting)) })
	return ids
}

// waitForCall returns the oldest call that waits for a result and was sent after another one.
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

// The plan is read with two calls, since the first member is slow, and both are answered, the second while the plan is being written. That
// answer was once taken for the one to the write: a plan was reported that no member had committed.
func TestLateReadResultIsNotTakenForTheWrite(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin, silentConsensusGroup(t))
	failed := make(chan error, 1)
	go func() {
		_, err := tc.node.RollingRestart([]string{"start", "1", "s9"})
		failed <- err
	}()
	first := tc.waitForCall(0)
	second := tc.waitForCall(first)
	tc.node.inbox.post(consensusReply{first, lease.Result{OK: true}})
	tc.waitForCall(second) // the write
	tc.node.inbox.post(consensusReply{second, lease.Result{OK: true}})
	if err := <-failed; !errors.Is(err, errConsensusSilent) {
		t.Errorf("the write was not answered, and ends with %v", err)
	}
}

// Calls without an answer are forgotten when they are given up: they once stayed in memory for as long as the process ran.
func TestUnansweredConsensusCallsAreForgotten(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin, silentConsensusGroup(t))
	if _, err := tc.node.RollingRestart([]string{"show"}); !errors.Is(err, errConsensusSilent) {
		t.Errorf("a group that does not answer: %v", err)
	}
	if calls := tc.waitingCalls(); len(calls) > 0 {
		t.Errorf("calls %v still wait for a result", calls)
	}
}
