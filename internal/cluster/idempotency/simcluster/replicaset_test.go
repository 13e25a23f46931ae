package simcluster

import (
	"testing"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

func replicaSet(members ...idempotency.MemberID) idempotency.ReplicaSet {
	return idempotency.ReplicaSet{Members: members}
}

// useReplicaSets restarts nodes one after another with other replica sets, and goes on for so many ms after each.
func (c *cluster) useReplicaSets(nodes []int, msBetween int, sets ...idempotency.ReplicaSet) {
	c.config.ReplicaSets = sets
	for _, i := range nodes {
		c.restart(i)
		c.runRecent(msBetween, 6, nil)
	}
}

// The replica set changes while operations go on: each member is restarted with both sets, and when all have been so for as long as a record is kept, with
// the new one alone. Members that use the old set, both and the new one are there at once, and messages are late and lost.
func TestOneEffectWhileReplicaSetChanges(t *testing.T) {
	before, after := replicaSet(0, 1, 2), replicaSet(2, 3, 4)
	granted, withoutQuorum := 0, 0
	for seed := range uint64(2) {
		c := newCluster(5, 500+seed, func(config *idempotency.Config) {
			config.ReplicaSets, config.RetentionMs = []idempotency.ReplicaSet{before}, 3000
		})
		c.links.Set(c.allNodes(), c.allNodes(), func(l *faultrelay.Link) {
			*l = faultrelay.Link{LossRate: 0.05, JitterMs: 20, Duplicates: 1, DuplicateDelayMs: 100}
		})
		c.runRecent(1000, 6, nil)
		c.useReplicaSets(c.rng.Perm(5), 300, after, before)
		c.runRecent(3200, 6, nil)
		c.useReplicaSets(c.rng.Perm(5), 300, after)
		c.runRecent(2000, 6, nil)
		c.reportViolations(t)
		granted += c.decisions[idempotency.DecisionGranted]
		withoutQuorum += c.decisions[idempotency.DecisionNoQuorum]
	}
	if t.Logf("%d claims granted, %d without a quorum", granted, withoutQuorum); granted < 300 || withoutQuorum > granted {
		t.Errorf("%d claims granted, %d without a quorum", granted, withoutQuorum)
	}
}

// Changed at once from one replica set to the other, operations have a second effect, which is why a change takes steps. The oracle sees it.
func TestReplicaSetChangedAtOnceIsDetected(t *testing.T) {
	violations := 0
	for seed := range uint64(6) {
		c := newCluster(5, 500+seed, func(config *idempotency.Config) {
			config.ReplicaSets, config.RetentionMs = []idempotency.ReplicaSet{replicaSet(0, 1, 2)}, 3000
		})
		c.runRecent(1000, 6, nil)
		c.useReplicaSets(c.rng.Perm(5), 100, replicaSet(2, 3, 4))
		violations += len(c.violations)
	}
	if violations == 0 {
		t.Error("no violation is seen")
	}
}

// A machine is gone for good, and its place in the replica set is taken by one that stored nothing. While both sets are in use its records are copied from
// those left, and each new replica shows when it has nothing more to repair; then the set before goes, and a second machine: every receipt is still found.
func TestMachineGoneForGood(t *testing.T) {
	before, after := replicaSet(0, 1, 2), replicaSet(1, 2, 3)
	c := newCluster(4, 1200, func(config *idempotency.Config) { config.ReplicaSets = []idempotency.ReplicaSet{before} })
	c.runRecent(4000, 4, nil)
	c.kill(0)
	c.useReplicaSets([]int{1, 2, 3}, 0, after, before)
	start := c.now
	for !c.consistentWithout(0) && c.now < start+30e3 {
		c.step()
	}
	t.Logf("%d records are copied after %.0f ms", len(c.nodes[3].core.Keys()), c.now-start)
	if !c.consistentWithout(0) {
		t.Fatalf("%+v", c.nodes[3].core.Status(c.now))
	}
	c.useReplicaSets([]int{1, 2, 3}, 0, after)
	c.kill(1)
	c.decisions = map[idempotency.Decision]int{}
	receipts := 0
	for operation := range c.operations {
		if c.operations[operation].receipt != "" {
			receipts++
			c.claim(2+operation%2, operation, idempotency.ClaimOptions{TimeoutMs: 300})
		}
	}
	for range 2000 {
		c.step()
	}
	if receipts < 50 || c.decisions[idempotency.DecisionReplay] != receipts {
		t.Errorf("of %d receipts these were found: %v", receipts, c.decisions)
	}
	c.reportViolations(t)
}

// consistentWithout reports whether all nodes but one show that they had nothing to repair for a second, and miss nobody but that one.
func (c *cluster) consistentWithout(gone int) bool {
	for i, n := range c.nodes {
		if i == gone {
			continue
		}
		s := n.core.Status(c.localTime(n))
		if s.ConsistentMs < 1000 || len(s.UnresponsivePeers) != 1 || s.UnresponsivePeers[0] != idempotency.MemberID(gone) {
			return false
		}
	}
	return true
}
