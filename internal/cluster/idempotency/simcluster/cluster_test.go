package simcluster

import (
	"testing"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

// failOnViolations fails the test if the oracle has recorded violations.
func (c *cluster) failOnViolations(t *testing.T) {
	t.Helper()
	for _, violation := range c.violations {
		t.Errorf("seed %d: %s", c.config.Seed, violation)
	}
}

// Operations are claimed repeatedly and concurrently at three or five members, while members crash, pause, lose their disks one at a time
// and are partitioned, and messages are lost, delayed, duplicated, reordered and corrupted. Each operation is executed at most once, and
// every claim after a settlement is answered with its receipt.
func TestAtMostOneExecutionUnderFaults(t *testing.T) {
	decisions, replays := map[idempotency.Decision]int{}, 0
	for seed := range uint64(8) {
		c := newCluster(3+2*int(seed%2), seed, nil)
		for i, n := range c.nodes { // clocks run up to 2% fast and slow
			n.clockRate = 1 + 0.02*float64(i%3-1)*float64(seed%2)
		}
		c.runWithFaults(20e3, faultOptions{loseDisks: true})
		c.failOnViolations(t)
		for decision, claims := range c.decisions {
			decisions[decision] += claims
		}
		replays += c.replays
	}
	t.Logf("%v, %d receipts replayed", decisions, replays)
	for decision, minimum := range map[idempotency.Decision]int{
		idempotency.DecisionGranted: 2000, idempotency.DecisionWait: 2000, idempotency.DecisionNoQuorum: 1000, idempotency.DecisionUnknown: 1000,
	} {
		if decisions[decision] < minimum {
			t.Errorf("the run exercises too little: %d claims are decided %v", decisions[decision], decision)
		}
	}
	if replays < 2000 {
		t.Errorf("the run exercises too little: %d receipts replayed", replays)
	}
}

// Disks are lost in quick succession, each once the member that lost the previous one has caught up, while messages are delayed and
// duplicated and the ballot ceiling is raised two rounds at a time. Promises and votes of lost storage must not count towards a quorum any
// more.
func TestAtMostOneExecutionWithLostDisks(t *testing.T) {
	lostDisks := 0
	for _, seed := range []uint64{1001, 1004, 1029} {
		c := newCluster(3, seed, func(config *idempotency.Config) { config.BallotCeilingStep = 1 })
		c.links.Set(c.allNodes(), c.allNodes(), func(l *faultrelay.Link) {
			*l = faultrelay.Link{LossRate: 0.1, JitterMs: 150, Duplicates: 1, DuplicateDelayMs: 300}
		})
		for range 8000 {
			if c.rng.IntN(30) == 0 {
				c.addOperation()
			}
			if c.hasOperations() && c.rng.IntN(4) == 0 {
				c.claim(c.rng.IntN(3), c.recentOperation(4), idempotency.ClaimOptions{TimeoutMs: 300})
			}
			if i := c.rng.IntN(3); c.caughtUpExcept(i) && c.nodes[i].core.CaughtUp() && c.rng.IntN(100) == 0 {
				c.replace(i)
				lostDisks++
			}
			if i := c.rng.IntN(3); c.rng.IntN(400) == 0 {
				c.restart(i)
			}
			c.step()
		}
		c.failOnViolations(t)
	}
	if t.Logf("%d disks lost", lostDisks); lostDisks < 50 {
		t.Error("too few disks were lost")
	}
}

// In a group of thirty members that lose their disks one after another, no operation is executed twice, and members that lost their disk
// catch up.
func TestDiskLossesInLargeGroup(t *testing.T) {
	report := SimulateLoad(30, 300, 6, 1)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	t.Logf("%+v", report)
	if report.Granted < 1000 || len(report.CatchUpMs) < 2 || report.GrantP99Ms > 40 {
		t.Errorf("%+v", report)
	}
}

// Disks that report success without syncing lose promises and votes in a power cut. If a majority of the disks do so, the guarantees break,
// and the oracle must detect it.
func TestDisksThatDropSyncsAreDetected(t *testing.T) {
	runWithPowerCuts := func(c *cluster, nodes []int) {
		c.runWithRecentClaims(3000, 6, func(elapsedMs int) {
			if elapsedMs%500 == 499 {
				c.restartNodes(nodes)
			}
		})
	}
	violations := 0
	for seed := range uint64(4) {
		c := newCluster(3, 700+seed, nil)
		c.nodes[0].dropsSyncs, c.nodes[1].dropsSyncs = true, true
		runWithPowerCuts(c, c.allNodes())
		violations += len(c.violations)
	}
	if violations == 0 {
		t.Error("the oracle reports no violation")
	}
	// If only one of three disks drops syncs, and the other two members keep running, the guarantees hold.
	c := newCluster(3, 800, nil)
	c.nodes[0].dropsSyncs = true
	runWithPowerCuts(c, []int{0})
	c.failOnViolations(t)
}

// Records that a member missed while it was down are repaired by anti-entropy after its return, until each record has three copies again.
func TestMissedRecordsAreRepaired(t *testing.T) {
	c := newCluster(3, 900, nil)
	c.kill(2)
	c.runWithRecentClaims(4000, 4, nil)
	records := len(c.nodes[0].core.Keys())
	c.start(2)
	start := c.now
	for !c.recordsReplicated() && c.now < start+20e3 {
		c.step()
	}
	if t.Logf("%d records have three copies again after %.0f ms", records, c.now-start); !c.recordsReplicated() || records < 50 {
		t.Errorf("%d records, after %.0f ms", records, c.now-start)
	}
	if repaired := c.nodes[2].core.Status(c.now).Counts.RepairedRecords; repaired < records/2 {
		t.Errorf("the restarted member repaired only %d records", repaired)
	}
	c.failOnViolations(t)
}

// recordsReplicated reports whether all nodes store each record of the first node with the same ballot.
func (c *cluster) recordsReplicated() bool {
	first := c.nodes[0].core
	for _, key := range first.Keys() {
		record, _ := first.Record(key)
		for _, n := range c.nodes[1:] {
			if other, ok := n.core.Record(key); !ok || other.AcceptedBallot != record.AcceptedBallot {
				return false
			}
		}
	}
	return true
}

// If two of three members lose their disks at once, lost records cannot be distinguished from records that never existed. Nothing may be
// granted until all lost records have expired; then claims are granted again.
func TestTwoOfThreeLostAtOnce(t *testing.T) {
	c := newCluster(3, 950, func(config *idempotency.Config) { config.RetentionMs = 5000 })
	c.runWithRecentClaims(1500, 6, nil)
	c.replace(0)
	c.replace(1)
	c.decisions = map[idempotency.Decision]int{}
	c.runWithRecentClaims(4000, 6, nil)
	for decision, claims := range c.decisions {
		if decision != idempotency.DecisionNoQuorum && claims > 0 || decision == idempotency.DecisionNoQuorum && claims < 100 {
			t.Errorf("while lost records may be in use %d claims are decided %v", claims, decision)
		}
	}
	if len(c.decisions) == 0 {
		t.Error("no claim has a decision while lost records may be in use")
	}
	c.runWithRecentClaims(1500, 6, nil)
	c.decisions = map[idempotency.Decision]int{}
	if c.runWithRecentClaims(2000, 6, nil); c.decisions[idempotency.DecisionGranted] < 20 {
		t.Errorf("after they have expired: %v", c.decisions)
	}
	c.failOnViolations(t)
}
