package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/lease"
)

const (
	testTickMillis      = 20
	simulatedMillis     = 20_000
	faultIntervalMillis = 50 // how often a membership change or disk loss may be injected
	maxDelayMillis      = 30 // longest random delay of a message
)

// disk holds the state that a replica has stored and restores after a crash.
type disk struct{ stored storage.State }

func (d *disk) save(u storage.Update) {
	if u.Snapshot != nil {
		d.stored.Snapshot = u.Snapshot
		d.stored.Entries = slices.DeleteFunc(slices.Clone(d.stored.Entries), func(e *pb.Entry) bool {
			return e.GetIndex() <= u.Snapshot.GetMetadata().GetIndex()
		})
	}
	for _, e := range u.Entries {
		for len(d.stored.Entries) > 0 && d.stored.Entries[len(d.stored.Entries)-1].GetIndex() >= e.GetIndex() {
			d.stored.Entries = d.stored.Entries[:len(d.stored.Entries)-1]
		}
		d.stored.Entries = append(slices.Clip(d.stored.Entries), proto.Clone(e).(*pb.Entry))
	}
	if u.HardState != nil {
		d.stored.HardState = proto.Clone(u.HardState).(*pb.HardState)
	}
}

// datagram is a message in flight.
type datagram struct {
	arrivesAt float64
	to        int // index of the receiving replica
	payload   []byte
}

// simulation runs a consensus group on a virtual clock. A replica that crashes loses everything that it has not stored.
type simulation struct {
	rng               *rand.Rand
	now               float64
	cores             []*Core // nil: the replica is down
	disks             []*disk
	downUntil         []float64
	replicaIDs        []ReplicaID
	network           []datagram
	initialVoterCount int // the first initialVoterCount replicas vote at the start; 0: all replicas vote
	startCount        uint64
	statesByIndex     map[uint64]string // encoded lease state of a replica that has applied the log up to the index

	lossProbability  float64 // probability that a message is lost
	changeMembership bool    // adds and removes replicas
	loseDisks        bool    // makes replicas lose their disks, one at a time
	reuseReplicaIDs  bool    // fault to detect: a replica that lost its disk returns under its old ID
	sendBeforeSaving bool    // fault to detect: a replica sends messages before it stores their update, and then crashes

	acknowledgedTokens    []lease.Token // tokens in the results of acknowledged commands
	membershipChangeCount int
	lostDiskCount         int
}

func newSimulation(replicaCount int, seed uint64) *simulation {
	s := &simulation{
		rng:             rand.New(rand.NewPCG(seed, 7)),
		now:             1e6,
		cores:           make([]*Core, replicaCount),
		disks:           make([]*disk, replicaCount),
		downUntil:       make([]float64, replicaCount),
		statesByIndex:   map[uint64]string{},
		lossProbability: 0.05,
	}
	for i := range replicaCount {
		s.replicaIDs = append(s.replicaIDs, NewReplicaID(i+1, 0))
	}
	for i := range replicaCount {
		s.disks[i] = &disk{}
		s.start(i)
	}
	return s
}

// start starts a replica with the contents of its disk.
func (s *simulation) start(i int) {
	var voters []ReplicaID
	for k := range s.cores {
		if s.initialVoterCount == 0 || k < s.initialVoterCount {
			voters = append(voters, NewReplicaID(k+1, 0))
		}
	}
	s.startCount++
	c, err := New(s.now, Config{Self: s.replicaIDs[i], InitialVoters: voters, TickMillis: testTickMillis}, s.disks[i].stored, s.startCount<<32)
	if err != nil {
		panic(err)
	}
	if u, ok := c.InitialUpdate(); ok {
		s.disks[i].save(u)
	}
	s.cores[i] = c
}

// stop stops a replica, which restarts after the given time.
func (s *simulation) stop(i int, millis float64) {
	s.cores[i], s.downUntil[i] = nil, s.now+millis
}

// run simulates simulatedMillis with random faults. It returns the first failure that it detects, or "".
func (s *simulation) run() (failure string) {
	defer func() {
		if p := recover(); p != nil {
			failure = fmt.Sprint(p)
		}
	}()
	for end := s.now + simulatedMillis; s.now < end; s.now++ {
		if s.changeMembership && int(s.now)%faultIntervalMillis == 0 {
			s.injectMembershipChange()
		}
		if s.loseDisks && int(s.now)%faultIntervalMillis == 0 {
			s.injectDiskLoss()
		}
		for i := range s.cores {
			if failure := s.runReplica(i); failure != "" {
				return failure
			}
		}
		s.deliver()
	}
	return ""
}

// runReplica runs one replica for a millisecond. It compares the replica's state with that of other replicas at the same applied index.
func (s *simulation) runReplica(i int) (failure string) {
	if s.now < s.downUntil[i] {
		return ""
	}
	if s.cores[i] == nil {
		s.start(i)
	}
	c := s.cores[i]
	c.Tick(s.now)
	if s.rng.IntN(60) == 0 {
		_ = c.Propose(1, s.randomCommand()) // there may be no leader
	}
	if s.processReady(i) {
		s.stop(i, 200*s.rng.Float64())
		return ""
	}
	state := string(c.leases.Encode())
	if recorded, known := s.statesByIndex[c.appliedIndex]; known && recorded != state {
		return fmt.Sprintf("at applied index %d, replica %d has the state %s, and another replica had %s", c.appliedIndex, i, state, recorded)
	}
	s.statesByIndex[c.appliedIndex] = state
	return ""
}

func (s *simulation) randomCommand() lease.Command {
	return lease.Command{
		Kind:      lease.KindAcquire + lease.Kind(s.rng.IntN(3)),
		Name:      "a",
		Process:   lease.Process{Node: cluster.NodeID(s.rng.IntN(3))},
		Token:     lease.Token(s.rng.IntN(5)),
		TTLMillis: 100,
	}
}

// processReady stores the ready updates of a replica and sends the messages that depend on them, as a driver does. At random the replica crashes
// before it stores an update. It has then sent none of the messages that depend on the update, unless sendBeforeSaving is set.
func (s *simulation) processReady(i int) (crashed bool) {
	for c := s.cores[i]; ; {
		u, ok := c.Ready()
		if !ok {
			s.compact(i)
			return false
		}
		crashed = s.rng.IntN(400) == 0
		if crashed && !s.sendBeforeSaving {
			return true
		}
		if !crashed {
			s.disks[i].save(u)
		}
		messages, responses, err := c.Advance(s.now)
		if err != nil {
			panic(err)
		}
		for _, m := range messages {
			s.send(m)
		}
		for _, r := range responses {
			if r.Result.OK {
				s.acknowledgedTokens = append(s.acknowledgedTokens, r.Result.Token)
			}
		}
		if crashed {
			return true
		}
	}
}

func (s *simulation) compact(i int) {
	u, ok, err := s.cores[i].Compact()
	if err != nil {
		panic(err)
	}
	if ok {
		s.disks[i].save(u)
	}
}

// send sends a message, which may be lost, delayed, duplicated or corrupted.
func (s *simulation) send(m *pb.Message) {
	b, err := EncodeMessage(m)
	if err != nil {
		panic(err)
	}
	copies := 1 + s.rng.IntN(8)/7
	for range copies {
		if s.rng.IntN(50) == 0 {
			b = slices.Clone(b)
			b[s.rng.IntN(len(b))] ^= 1 << s.rng.IntN(8)
		}
		if s.rng.Float64() >= s.lossProbability {
			s.network = append(s.network, datagram{s.now + 1 + maxDelayMillis*s.rng.Float64(), ReplicaID(m.GetTo()).Number() - 1, b})
		}
	}
}

func (s *simulation) deliver() {
	inFlight := s.network[:0]
	for _, d := range s.network {
		switch {
		case d.arrivesAt > s.now:
			inFlight = append(inFlight, d)
		case s.cores[d.to] != nil && s.now >= s.downUntil[d.to]:
			_ = s.cores[d.to].Step(d.payload) // corrupted messages are dropped
		}
	}
	s.network = inFlight
}

// injectDiskLoss makes the leader replace replicas that do not vote. While all replicas vote, it makes a random one lose its disk now and then.
func (s *simulation) injectDiskLoss() {
	for _, c := range s.cores {
		if c == nil || !c.IsLeader() {
			continue
		}
		for _, id := range s.replicaIDs {
			if !slices.Contains(c.Voters(), id) && !slices.Contains(c.confState.Learners, uint64(id)) {
				_ = c.ReplaceReplica(id) // proposed again at the next call
			}
		}
		if !s.votersAreCurrent(c) || s.rng.IntN(8) > 0 {
			continue
		}
		i := s.rng.IntN(len(s.replicaIDs))
		s.disks[i] = &disk{}
		s.stop(i, 300*s.rng.Float64())
		s.lostDiskCount++
		if !s.reuseReplicaIDs {
			s.replicaIDs[i] = NewReplicaID(i+1, s.replicaIDs[i].Generation()+1)
		}
		return
	}
}

// votersAreCurrent reports whether all replicas vote in their current generations and no other ID does, according to the log that c has applied.
func (s *simulation) votersAreCurrent(c *Core) bool {
	if len(c.Voters()) != len(s.replicaIDs) || len(c.confState.Learners) > 0 || len(c.confState.VotersOutgoing) > 0 {
		return false
	}
	for _, id := range s.replicaIDs {
		if !slices.Contains(c.Voters(), id) {
			return false
		}
	}
	return true
}

// injectMembershipChange makes the leader, at random, add a replica that is not in the group or remove one that is.
func (s *simulation) injectMembershipChange() {
	for _, c := range s.cores {
		if c == nil || !c.IsLeader() || len(c.confState.Learners) > 0 || s.rng.IntN(4) > 0 {
			continue
		}
		i := s.rng.IntN(len(s.replicaIDs))
		if slices.Contains(c.Voters(), s.replicaIDs[i]) {
			if len(c.Voters()) > 2 && c.RemoveReplica(i+1) == nil {
				s.membershipChangeCount++
			}
			return
		}
		// A removed replica rejoins in a new generation, with an empty disk.
		s.replicaIDs[i] = NewReplicaID(i+1, s.replicaIDs[i].Generation()+1)
		s.disks[i], s.cores[i] = &disk{}, nil
		if c.AddReplica(s.replicaIDs[i]) == nil {
			s.membershipChangeCount++
		}
		return
	}
}
