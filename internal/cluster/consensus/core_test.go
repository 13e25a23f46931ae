package consensus

import (
	"slices"
	"testing"

	"mintspring/internal/cluster/lease"
)

// Replicas that crash at any moment, before or after they have stored an update, and whose messages are lost, delayed, duplicated and corrupted,
// apply one log. A replica that sends before it has stored is detected.
func TestReplicasApplyOneLog(t *testing.T) {
	grantCount := 0
	for seed := range uint64(6) {
		s := newSimulation(3, seed+1)
		if failure := s.run(); failure != "" {
			t.Errorf("seed %d: %s", seed+1, failure)
		}
		grantCount += len(s.grantedTokens)
	}
	if grantCount < 300 {
		t.Errorf("only %d commands were acknowledged", grantCount)
	}
	t.Logf("%d commands were acknowledged", grantCount)
	checkDetected(t, "sending before storing", 12, func(s *simulation) { s.sendBeforeSaving = true })
}

// Replicas lose their disks one after another and are replaced in a new generation: they apply one log, and the group keeps working. A replica that
// returns under its old ID has forgotten its votes, and is detected.
func TestLostDataDirectories(t *testing.T) {
	grantCount, lostDiskCount := 0, 0 // the library draws elections itself: no two runs are the same
	for seed := range uint64(5) {
		s := newSimulation(3, seed+1)
		s.loseDisks = true
		if failure := s.run(); failure != "" {
			t.Errorf("seed %d: %s", seed+1, failure)
		}
		grantCount, lostDiskCount = grantCount+len(s.grantedTokens), lostDiskCount+s.lostDiskCount
	}
	if grantCount < 150 || lostDiskCount < 10 {
		t.Errorf("only %d commands were acknowledged, and %d disks lost", grantCount, lostDiskCount)
	}
	t.Logf("%d commands were acknowledged, %d disks were lost", grantCount, lostDiskCount)
	checkDetected(t, "returning under the old ID", 16, func(s *simulation) {
		s.loseDisks, s.reuseReplicaIDs, s.lossProbability = true, true, 0.2
	})
}

// checkDetected runs simulations of three replicas with a fault, and expects that at least one of the runs detects it.
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

// Replicas are added and removed one at a time, the leader among them, while replicas crash and messages are lost: they apply one log.
func TestMembershipChanges(t *testing.T) {
	grantCount, changeCount := 0, 0
	for seed := range uint64(6) {
		s := newSimulation(5, seed+1)
		s.changeMembership = true
		if failure := s.run(); failure != "" {
			t.Errorf("seed %d: %s", seed+1, failure)
		}
		grantCount, changeCount = grantCount+len(s.grantedTokens), changeCount+s.membershipChangeCount
	}
	if grantCount < 150 || changeCount < 30 {
		t.Errorf("only %d commands were acknowledged, and %d membership changes made", grantCount, changeCount)
	}
	t.Logf("%d commands were acknowledged, %d membership changes were made", grantCount, changeCount)
}

// A configured list that has grown since the group was created grants nobody a vote: the data directory decides who votes. Otherwise replicas that
// restart with the longer list would count a majority of five while the others count one of three.
func TestConfiguredListGrantsNoVote(t *testing.T) {
	s := newSimulation(5, 3)
	s.initialVoters = 3
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
		t.Fatalf("at the beginning they count %v voters", got)
	}
	s.initialVoters = 0 // the longer list
	for i := range 3 {
		s.start(i)
	}
	if got := voterCounts(); !slices.Equal(got, []int{3, 3, 3, 0, 0}) {
		t.Errorf("with a longer list they count %v voters", got)
	}
	c := s.cores[0]
	if c.AddReplica(NewReplicaID(2, 1)) == nil {
		t.Error("a replica was added that is in the group")
	}
	if c.AddReplica(NewReplicaID(16, 0)) == nil {
		t.Error("a replica was added whose number is out of range")
	}
	if c.RemoveReplica(4) == nil {
		t.Error("a replica was removed that is not in the group")
	}
}

// A long log becomes a snapshot, by which a replica that was away for all of it catches up, and from which a replica restarts.
func TestSnapshots(t *testing.T) {
	s := newSimulation(3, 5)
	s.lossProbability = 0
	runUnderLoad(t, s, 1500, 0, 1)
	if s.cores[0].snapshotIndex <= 1 {
		t.Fatalf("%d entries and no snapshot", s.cores[0].appliedIndex)
	}
	runUnderLoad(t, s, 1500, 0, 1, 2)
	if reference, lagging := s.cores[0], s.cores[2]; lagging.appliedIndex+200 < reference.appliedIndex {
		t.Errorf("the replica that was away has applied %d of %d entries", lagging.appliedIndex, reference.appliedIndex)
	}
	s.start(0)
	if s.cores[0].appliedIndex <= 1 {
		t.Error("a replica does not restart from its snapshot")
	}
}

// runUnderLoad runs some replicas of a simulation without faults, while commands are proposed to the leader.
func runUnderLoad(t *testing.T, s *simulation, millis float64, replicas ...int) {
	t.Helper()
	for end := s.now + millis; s.now < end; s.now += 2 {
		for _, i := range replicas {
			c := s.cores[i]
			c.Tick(s.now)
			proposeBatchIfLeader(t, c)
			sendWithoutFaults(t, s, i)
		}
		deliverTo(t, s, replicas)
	}
}

// proposeBatchIfLeader proposes twenty commands, or fewer if the replica does not lead.
func proposeBatchIfLeader(t *testing.T, c *Core) {
	t.Helper()
	for range 20 {
		if !c.IsLeader() {
			return
		}
		if err := c.Propose(1, lease.Command{Kind: lease.KindAcquire, Name: "a", Process: lease.Process{Node: 1}, TTLMillis: 100}); err != nil {
			t.Logf("not proposed: %v", err)
		}
	}
}

// deliverTo delivers what is on the network to some replicas, and drops what is sent to others.
func deliverTo(t *testing.T, s *simulation, replicas []int) {
	t.Helper()
	arrived := s.network
	s.network = nil
	for _, d := range arrived {
		if !slices.Contains(replicas, d.to) {
			continue
		}
		if err := s.cores[d.to].Step(d.payload); err != nil {
			t.Logf("not handled by replica %d: %v", d.to, err)
		}
	}
}

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
