package simcluster

import (
	"testing"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

func replicaSet(members ...idempotency.MemberID) idempotency.ReplicaSet {
	return idempotency.ReplicaSet{Members: members}
}

// restartWithReplicaSets restarts nodes one after another with new replica sets, and runs the cluster for intervalMs after each restart.
func (c *cluster) restartWithReplicaSets(nodes []int, intervalMs int, sets ...idempotency.ReplicaSet) {
	c.config.ReplicaSets = sets
	for _, i := range nodes {
		c.restart(i)
		c.runWithRecentClaims(intervalMs, 6, nil)
	}
}

// The replica set changes under load, with delayed and lost messages: each member is restarted with both sets, and after the retention of a
// record with only the new one. During each step members with different configurations run at the same time.
func TestAtMostOneExecutionDuringReplicaSetChange(t *testing.T) {
	oldSet, newSet := replicaSet(0, 1, 2), replicaSet(2, 3, 4)
	granted, withoutQuorum := 0, 0
	for seed := range uint64(2) {
		c := newCluster(5, 500+seed, func(config *idempotency.Config) {
			config.ReplicaSets, config.RetentionMs = []idempotency.ReplicaSet{oldSet}, 3000
		})
		c.links.Set(c.allNodes(), c.allNodes(), func(l *faultrelay.Link) {
			*l = faultrelay.Link{LossRate: 0.05, JitterMs: 20, Duplicates: 1, DuplicateDelayMs: 100}
		})
		c.runWithRecentClaims(1000, 6, nil)
		c.restartWithReplicaSets(c.rng.Perm(5), 300, newSet, oldSet)
		c.runWithRecentClaims(3200, 6, nil)
		c.restartWithReplicaSets(c.rng.Perm(5), 300, newSet)
		c.runWithRecentClaims(2000, 6, nil)
		c.failOnViolations(t)
		granted += c.decisions[idempotency.DecisionGranted]
		withoutQuorum += c.decisions[idempotency.DecisionNoQuorum]
	}
	if t.Logf("%d claims granted, %d without a quorum", granted, withoutQuorum); granted < 300 || withoutQuorum > granted {
		t.Errorf("%d claims granted, %d without a quorum", granted, withoutQuorum)
	}
}

// A change from one replica set to another without a phase in which both are in use executes operations twice, and the oracle must detect it.
func TestReplicaSetChangedAtOnceIsDetected(t *testing.T) {
	violations := 0
	for seed := range uint64(6) {
		c := newCluster(5, 500+seed, func(config *idempotency.Config) {
			config.ReplicaSets, config.RetentionMs = []idempotency.ReplicaSet{replicaSet(0, 1, 2)}, 3000
		})
		c.runWithRecentClaims(1000, 6, nil)
		c.restartWithReplicaSets(c.rng.Perm(5), 100, replicaSet(2, 3, 4))
		violations += len(c.violations)
	}
	if violations == 0 {
		t.Error("the oracle reports no violation")
	}
}

// A member is lost permanently and replaced in the replica set by one without records. While both sets are in use its records are copied
// from the remaining members, until each replica of the new set reports that it has nothing more to repair. When then the old set is
// removed and a second member is lost, every receipt is still found.
func TestPermanentMemberLoss(t *testing.T) {
	oldSet, newSet := replicaSet(0, 1, 2), replicaSet(1, 2, 3)
	c := newCluster(4, 1200, func(config *idempotency.Config) { config.ReplicaSets = []idempotency.ReplicaSet{oldSet} })
	c.runWithRecentClaims(4000, 4, nil)
	c.kill(0)
	c.restartWithReplicaSets([]int{1, 2, 3}, 0, newSet, oldSet)
	start := c.now
	for !c.consistentExcept(0) && c.now < start+30e3 {
		c.step()
	}
	t.Logf("%d records are copied after %.0f ms", len(c.nodes[3].core.Keys()), c.now-start)
	if !c.consistentExcept(0) {
		t.Fatalf("%+v", c.nodes[3].core.Status(c.now))
	}
	c.restartWithReplicaSets([]int{1, 2, 3}, 0, newSet)
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
		t.Errorf("decisions on the claims of %d settled operations: %v", receipts, c.decisions)
	}
	c.failOnViolations(t)
}

// consistentExcept reports whether each node other than the excluded one has had nothing to repair for a second, and has compared its
// records with all nodes but the excluded one.
func (c *cluster) consistentExcept(excluded int) bool {
	for i, n := range c.nodes {
		if i == excluded {
			continue
		}
		s := n.core.Status(c.localTime(n))
		if s.ConsistentMs < 1000 || len(s.UnresponsivePeers) != 1 || s.UnresponsivePeers[0] != idempotency.MemberID(excluded) {
			return false
		}
	}
	return true
}
