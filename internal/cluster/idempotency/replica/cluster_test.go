package replica

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/storage"
	"mintspring/internal/testbed/reservedport"
)

const (
	testGroup   = "test"
	testMembers = 3
	// patience is for how long these tests wait for what has to come.
	patience = 5 * time.Second
	// patienceMs is the same in the unit of deadlines.
	patienceMs = 5000
)

// testCluster is a few members on sockets and disks of this machine.
type testCluster struct {
	t        testing.TB
	dir      string
	addrs    []string
	replicas []*Replica

	mu         sync.Mutex // guards what follows
	lastNumber uint64
	waiting    map[resultID]chan idempotency.Result
}

// resultID is what a result is of.
type resultID struct {
	member     int
	number     uint64
	settlement bool
}

// newTestCluster reserves addresses and creates data directories for all members. They are stopped at the end of the test.
func newTestCluster(t testing.TB) *testCluster {
	t.Helper()
	c := &testCluster{t: t, dir: t.TempDir(), replicas: make([]*Replica, testMembers), waiting: map[resultID]chan idempotency.Result{}}
	for i := range testMembers {
		port, err := reservedport.ReserveUDP()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := port.Close(); err != nil {
				t.Error(err)
			}
		})
		c.addrs = append(c.addrs, port.Addr())
		if err := storage.Create(c.dataDir(i), storage.Owner{Group: testGroup, Member: idempotency.MemberID(i)}, incarnation(1000+i)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, r := range c.replicas {
			if r != nil {
				r.Stop(0)
			}
		}
	})
	return c
}

// incarnation is that of a process that started at a time in ms.
func incarnation(startMs int) cluster.Incarnation { return cluster.NewIncarnation(float64(startMs), 0) }

func (c *testCluster) dataDir(member int) string { return filepath.Join(c.dir, fmt.Sprint(member)) }

// start starts a member, whose process started at a time in ms by its own clock.
func (c *testCluster) start(member, startMs int, change func(*Config)) {
	c.t.Helper()
	var set idempotency.ReplicaSet
	for i := range c.addrs {
		set.Members = append(set.Members, idempotency.MemberID(i))
	}
	config := Config{Group: testGroup, ListenAddr: c.addrs[member], MemberAddrs: c.addrs, DataDir: c.dataDir(member), Core: idempotency.Config{
		Self: idempotency.MemberID(member), Incarnation: incarnation(startMs), ReplicaSets: []idempotency.ReplicaSet{set}, ReplicationFactor: 3,
		RetentionMs: 60e3, RetryIntervalMs: 10, MaxReceiptBytes: 64, RepairsPerSecond: 1e4, AntiEntropyIntervalMs: 200,
	}}
	if change != nil {
		change(&config)
	}
	log := logrus.New()
	log.SetOutput(c.t.Output())
	r, err := Start(config, clock.New(), log, func(result idempotency.Result) { c.deliver(member, result) })
	if err != nil {
		c.t.Fatal(err)
	}
	c.replicas[member] = r
}

// startAll starts all members.
func (c *testCluster) startAll(change func(*Config)) {
	c.t.Helper()
	for i := range c.replicas {
		c.start(i, 2000+i, change)
	}
}

func (c *testCluster) deliver(member int, result idempotency.Result) {
	id := resultID{member, result.Number, result.IsSettlement}
	c.mu.Lock()
	to := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if to != nil {
		to <- result
	}
}

// expect returns the channel that a result will come to.
func (c *testCluster) expect(id resultID) chan idempotency.Result {
	result := make(chan idempotency.Result, 1)
	c.mu.Lock()
	c.waiting[id] = result
	c.mu.Unlock()
	return result
}

func (c *testCluster) nextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// claimAndSettle has a member claim a key and, if that is granted, settle it with a receipt. It returns the result of the claim.
func (c *testCluster) claimAndSettle(member int, key string) idempotency.Result {
	c.t.Helper()
	r, number := c.replicas[member], c.nextNumber()
	claimed, settled := c.expect(resultID{member, number, false}), c.expect(resultID{member, number, true})
	r.Claim(number, idempotency.NewKey("w", []byte("k"), []byte(key)), idempotency.ClaimOptions{TimeoutMs: 500}, r.clock.Now()+patienceMs)
	claim := <-claimed
	if claim.Decision == idempotency.DecisionGranted {
		r.Settle(number, idempotency.OutcomeCompleted, []byte("receipt "+key), r.clock.Now()+patienceMs)
		if settlement := <-settled; settlement.Decision != idempotency.DecisionGranted {
			c.t.Errorf("settlement of %s: %v", key, settlement.Decision)
		}
	}
	return claim
}

// await waits until a member's status is as wanted.
func (c *testCluster) await(member int, what string, wanted func(Status) bool) Status {
	c.t.Helper()
	var status Status
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		var err error
		if status, err = c.replicas[member].Status(); err == nil && wanted(status) {
			return status
		}
	}
	c.t.Fatalf("member %d: %s is not there: %+v", member, what, status)
	return status
}

func (c *testCluster) awaitState(member int, state string) Status {
	c.t.Helper()
	return c.await(member, state, func(s Status) bool { return s.State == state })
}

// segments returns the paths of a member's segment files.
func (c *testCluster) segments(member int) []string {
	c.t.Helper()
	names, err := filepath.Glob(filepath.Join(c.dataDir(member), "*.copies"))
	if err != nil {
		c.t.Fatal(err)
	}
	return names
}
