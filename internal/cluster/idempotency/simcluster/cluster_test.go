package simcluster

import (
	"testing"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

// reportViolations fails the test for all that members did what they must not do.
func (c *cluster) reportViolations(t *testing.T) {
	t.Helper()
	for _, violation := range c.violations {
		t.Errorf("seed %d: %s", c.config.Seed, violation)
	}
}

// Operations are claimed again and again at five members, at several in one moment, while members die, pause, lose their disks one at a time and are
// partitioned, and messages are lost, late, duplicated, reordered and damaged: of each operation at most one claim is granted and executed, and what was
// settled is what all later claims are answered with.
func TestOneEffectThroughFaults(t *testing.T) {
	decisions, replays := map[idempotency.Decision]int{}, 0
	for seed := range uint64(8) {
		c := newCluster(3+2*int(seed%2), seed, nil)
		for i, n := range c.nodes { // clocks run up to 2% fast and slow
			n.clockRate = 1 + 0.02*float64(i%3-1)*float64(seed%2)
		}
		c.run(20e3, runOptions{loseDisks: true})
		c.reportViolations(t)
		for decision, claims := range c.decisions {
			decisions[decision] += claims
		}
		replays += c.replays
	}
	t.Logf("%v, %d receipts replayed", decisions, replays)
	for decision, least := range map[idempotency.Decision]int{
		idempotency.DecisionGranted: 2000, idempotency.DecisionWait: 2000, idempotency.DecisionNoQuorum: 1000, idempotency.DecisionUnknown: 1000,
	} {
		if decisions[decision] < least {
			t.Errorf("too little happened: %d claims are decided %v", decisions[decision], decision)
		}
	}
	if replays < 2000 {
		t.Errorf("too little happened: %d receipts replayed", replays)
	}
}

// Disks are lost one after another, as soon as the one before has caught up, while messages come late and twice, and the ballot ceiling is raised two rounds
// at a time: what lost storage has promised or voted for never makes a quorum with members that know nothing of it.
func TestOneEffectThroughLostDisks(t *testing.T) {
	lost := 0
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
				lost++
			}
			if i := c.rng.IntN(3); c.rng.IntN(400) == 0 {
				c.restart(i)
			}
			c.step()
		}
		c.reportViolations(t)
	}
	if t.Logf("%d disks lost", lost); lost < 50 {
		t.Error("too few disks were lost")
	}
}

// Thirty members, of which one after another loses its disk: no operation takes effect twice, and each catches up soon.
func TestManyMembers(t *testing.T) {
	report := SimulateLoad(30, 300, 6, 1)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	t.Logf("%+v", report)
	if report.Granted < 1000 || len(report.CatchUpMs) < 2 || report.GrantP99Ms > 40 {
		t.Errorf("%+v", report)
	}
}

// Disks that report syncs which they have not done lose at the next power cut what was promised: no copies help where a majority does so, and the oracle
// sees it.
func TestDisksThatDropSyncsAreDetected(t *testing.T) {
	powerCuts := func(c *cluster, nodes []int) {
		c.runRecent(3000, 6, func(elapsedMs int) {
			if elapsedMs%500 == 499 {
				c.restartNodes(nodes)
			}
		})
	}
	violations := 0
	for seed := range uint64(4) {
		c := newCluster(3, 700+seed, nil)
		c.nodes[0].dropsSyncs, c.nodes[1].dropsSyncs = true, true
		powerCuts(c, c.allNodes())
		violations += len(c.violations)
	}
	if violations == 0 {
		t.Error("no violation is seen")
	}
	// One of three does no harm as long as the other two keep running.
	c := newCluster(3, 800, nil)
	c.nodes[0].dropsSyncs = true
	powerCuts(c, []int{0})
	c.reportViolations(t)
}

// What a member missed while it was down it finds when it is back, and writes again at all of them: every record has three copies again.
func TestMissedRecordsAreRepaired(t *testing.T) {
	c := newCluster(3, 900, nil)
	c.kill(2)
	c.runRecent(4000, 4, nil)
	records := len(c.nodes[0].core.Keys())
	c.start(2)
	start := c.now
	for !c.storeAlike() && c.now < start+20e3 {
		c.step()
	}
	if t.Logf("%d records have three copies again after %.0f ms", records, c.now-start); !c.storeAlike() || records < 50 {
		t.Errorf("%d records, after %.0f ms", records, c.now-start)
	}
	if repaired := c.nodes[2].core.Status(c.now).Counts.RepairedRecords; repaired < records/2 {
		t.Errorf("it repaired %d", repaired)
	}
	c.reportViolations(t)
}

// storeAlike reports whether all nodes have each record of the first under the same ballot.
func (c *cluster) storeAlike() bool {
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

// Two of three machines are lost at once: lost records cannot be distinguished from records that never were, so that nothing is granted until all of
// them have expired. Then the cluster goes on.
func TestTwoOfThreeLostAtOnce(t *testing.T) {
	c := newCluster(3, 950, func(config *idempotency.Config) { config.RetentionMs = 5000 })
	c.runRecent(1500, 6, nil)
	c.replace(0)
	c.replace(1)
	c.decisions = map[idempotency.Decision]int{}
	c.runRecent(4000, 6, nil)
	for decision, claims := range c.decisions {
		if decision != idempotency.DecisionNoQuorum && claims > 0 || decision == idempotency.DecisionNoQuorum && claims < 100 {
			t.Errorf("while lost records may be in use %d claims are decided %v", claims, decision)
		}
	}
	if len(c.decisions) == 0 {
		t.Error("no claim has a decision while lost records may be in use")
	}
	c.runRecent(1500, 6, nil)
	c.decisions = map[idempotency.Decision]int{}
	if c.runRecent(2000, 6, nil); c.decisions[idempotency.DecisionGranted] < 20 {
		t.Errorf("after they have expired: %v", c.decisions)
	}
	c.reportViolations(t)
}
