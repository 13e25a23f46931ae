package consensus

import (
	"slices"
	"testing"

	"mintspring/internal/cluster/lease"
)

// Replicas crash at random moments, before or after storing an update, and their messages are lost, delayed, duplicated and corrupted. They must
// still apply the same log. The simulation must detect a replica that sends messages before it stores the update that they depend on.
func TestReplicasApplyOneLog(t *testing.T) {
	acknowledgedCount := 0
	for seed := range uint64(6) {
		s := newSimulation(3, seed+1)
		if failure := s.run(); failure != "" {
			t.Errorf("seed %d: %s", seed+1, failure)
		}
		acknowledgedCount += len(s.acknowledgedTokens)
	}
	if acknowledgedCount < 300 {
		t.Errorf("only %d commands were acknowledged", acknowledgedCount)
	}
	t.Logf("%d commands were acknowledged", acknowledgedCount)
	checkDetected(t, "sending before storing", 12, func(s *simulation) { s.sendBeforeSaving = true })
}

// Replicas lose their disks one after another and are replaced in a new generation. They must apply the same log, and the group must keep working.
// A replica that returns under its old ID has forgotten its votes and may vote twice in one term, which the simulation must detect.
func TestLostDataDirectories(t *testing.T) {
	acknowledgedCount, lostDiskCount := 0, 0 // sums over all seeds: the library randomizes elections, so no two runs are the same
	for seed := range uint64(5) {
		s := newSimulation(3, seed+1)
		s.loseDisks = true
		if failure := s.run(); failure != "" {
			t.Errorf("seed %d: %s", seed+1, failure)
		}
		acknowledgedCount, lostDiskCount = acknowledgedCount+len(s.acknowledgedTokens), lostDiskCount+s.lostDiskCount
	}
	if acknowledgedCount < 150 || lostDiskCount < 10 {
		t.Errorf("only %d commands were acknowledged, and only %d disks were lost", acknowledgedCount, lostDiskCount)
	}
	t.Logf("%d commands were acknowledged, %d disks were lost", acknowledgedCount, lostDiskCount)
	checkDetected(t, "returning under the old ID", 16, func(s *simulation) {
		s.loseDisks, s.reuseReplicaIDs, s.lossProbability = true, true, 0.2
	})
}

// checkDetected runs simulations of three replicas with an injected fault, and checks that at least one run detects it.
func checkDetected(t *testing.T, fault string, runs uint64, inject func(*simulation)) {
	t.Helper()
	detected := 0
	for seed := range runs {
		s := newSimulation(3, seed+1)
		inject(s)
		if s.run() != "" {
			detected++
		}
	}
	if detected == 0 {
		t.Errorf("%s is not detected in %d runs", fault, runs)
	}
	t.Logf("%s is detected in %d of %d runs", fault, detected, runs)
}

// Replicas, including the leader, are added and removed one at a time while replicas crash and messages are lost. They must apply the same log.
func TestMembershipChanges(t *testing.T) {
	acknowledgedCount, changeCount := 0, 0
	for seed := range uint64(6) {
		s := newSimulation(5, seed+1)
		s.changeMembership = true
		if failure := s.run(); failure != "" {
			t.Errorf("seed %d: %s", seed+1, failure)
		}
		acknowledgedCount, changeCount = acknowledgedCount+len(s.acknowledgedTokens), changeCount+s.membershipChangeCount
	}
	if acknowledgedCount < 150 || changeCount < 30 {
		t.Errorf("only %d commands were acknowledged, and only %d membership changes were made", acknowledgedCount, changeCount)
	}
	t.Logf("%d commands were acknowledged, %d membership changes were made", acknowledgedCount, changeCount)
}

// Replicas that are added to the configured list after the group was created get no vote, because the voters come from the data directory. Otherwise
// replicas that restart with the longer list would need a majority of five, while the others need a majority of three.
func TestConfiguredListGrantsNoVote(t *testing.T) {
	s := newSimulation(5, 3)
	s.initialVoterCount = 3
	for i := range s.cores {
		s.disks[i] = &disk{}
		s.start(i)
	}
	voterCounts := func() (counts []int) {
		for _, c := range s.cores {
			counts = append(counts, len(c.Voters()))
		}
		return counts
	}
	if got := voterCounts(); !slices.Equal(got, []int{3, 3, 3, 0, 0}) {
		t.Fatalf("after the start the replicas count %v voters, want 3 3 3 0 0", got)
	}
	s.initialVoterCount = 0 // the longer list
	for i := range 3 {
		s.start(i)
	}
	if got := voterCounts(); !slices.Equal(got, []int{3, 3, 3, 0, 0}) {
		t.Errorf("with a longer list the replicas count %v voters, want 3 3 3 0 0", got)
	}
	c := s.cores[0]
	if c.AddReplica(NewReplicaID(2, 1)) == nil {
		t.Error("replica 2 was added although it is in the group")
	}
	if c.AddReplica(NewReplicaID(16, 0)) == nil {
		t.Error("replica number 16 was accepted although it is out of range")
	}
	if c.RemoveReplica(4) == nil {
		t.Error("replica 4 was removed although it is not in the group")
	}
}

// A long log is replaced by a snapshot. A replica that was down meanwhile catches up from this snapshot, and a replica can restart from it.
func TestSnapshots(t *testing.T) {
	s := newSimulation(3, 5)
	s.lossProbability = 0
	runUnderLoad(t, s, 1500, 0, 1)
	if s.cores[0].snapshotIndex <= 1 {
		t.Fatalf("no snapshot after %d entries", s.cores[0].appliedIndex)
	}
	runUnderLoad(t, s, 1500, 0, 1, 2)
	if reference, lagging := s.cores[0], s.cores[2]; lagging.appliedIndex+200 < reference.appliedIndex {
		t.Errorf("the replica that was down has applied %d of %d entries", lagging.appliedIndex, reference.appliedIndex)
	}
	s.start(0)
	if s.cores[0].appliedIndex <= 1 {
		t.Error("the replica did not restart from its snapshot")
	}
}

// runUnderLoad runs the given replicas without faults, and proposes commands to the leader meanwhile.
func runUnderLoad(t *testing.T, s *simulation, millis float64, replicaIndexes ...int) {
	t.Helper()
	for end := s.now + millis; s.now < end; s.now += 2 {
		for _, i := range replicaIndexes {
			c := s.cores[i]
			c.Tick(s.now)
			proposeBatchIfLeader(t, c)
			sendWithoutFaults(t, s, i)
		}
		deliverTo(t, s, replicaIndexes)
	}
}

// proposeBatchIfLeader proposes twenty commands if the replica is the leader.
func proposeBatchIfLeader(t *testing.T, c *Core) {
	t.Helper()
	for range 20 {
		if !c.IsLeader() {
			return
		}
		if err := c.Propose(1, lease.Command{Kind: lease.KindAcquire, Name: "a", Process: lease.Process{Node: 1}, TTLMillis: 100}); err != nil {
			t.Logf("proposal failed: %v", err)
		}
	}
}

// deliverTo delivers the messages in flight to the given replicas, and drops all others.
func deliverTo(t *testing.T, s *simulation, replicaIndexes []int) {
	t.Helper()
	arrived := s.network
	s.network = nil
	for _, d := range arrived {
		if !slices.Contains(replicaIndexes, d.to) {
			continue
		}
		if err := s.cores[d.to].Step(d.payload); err != nil {
			t.Logf("replica %d dropped a message: %v", d.to, err)
		}
	}
}

// sendWithoutFaults stores the ready updates of a replica, and sends its messages with a delay of 1 ms.
func sendWithoutFaults(t *testing.T, s *simulation, i int) {
	t.Helper()
	for {
		u, ok := s.cores[i].Ready()
		if !ok {
			s.compact(i)
			return
		}
		s.disks[i].save(u)
		messages, _, err := s.cores[i].Advance(s.now)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range messages {
			b, err := EncodeMessage(m)
			if err != nil {
				t.Fatal(err)
			}
			s.network = append(s.network, datagram{s.now + 1, ReplicaID(m.GetTo()).Number() - 1, b})
		}
	}
}
