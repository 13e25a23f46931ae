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
	// awaitTimeout is how long these tests wait for an expected state.
	awaitTimeout = 5 * time.Second
	// proposalTimeoutMs is the timeout of claims and settlements.
	proposalTimeoutMs = 5000
)

// testCluster is a group of members that use sockets and disks of this machine.
type testCluster struct {
	t        testing.TB
	dir      string
	addrs    []string
	replicas []*Replica

	mu         sync.Mutex // guards lastNumber and waiters
	lastNumber uint64
	waiters    map[resultID]chan idempotency.Result
}

// resultID identifies the claim or settlement that a result belongs to.
type resultID struct {
	member     int
	number     uint64
	settlement bool
}

// newTestCluster reserves addresses and creates data directories for all members, without starting them. Members that the test starts are
// stopped at its end.
func newTestCluster(t testing.TB) *testCluster {
	t.Helper()
	c := &testCluster{t: t, dir: t.TempDir(), replicas: make([]*Replica, testMembers), waiters: map[resultID]chan idempotency.Result{}}
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

// incarnation returns the incarnation of a process that started at startMs.
func incarnation(startMs int) cluster.Incarnation { return cluster.NewIncarnation(float64(startMs), 0) }

func (c *testCluster) dataDir(member int) string { return filepath.Join(c.dir, fmt.Sprint(member)) }

// start starts a member whose process started at startMs by its own clock. change, which may be nil, modifies the member's configuration.
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
	waiter := c.waiters[id]
	delete(c.waiters, id)
	c.mu.Unlock()
	if waiter != nil {
		waiter <- result
	}
}

// expect returns a channel that will receive the result with this ID.
func (c *testCluster) expect(id resultID) chan idempotency.Result {
	result := make(chan idempotency.Result, 1)
	c.mu.Lock()
	c.waiters[id] = result
	c.mu.Unlock()
	return result
}

func (c *testCluster) nextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// claimAndSettle claims a key through a member and, if the claim is granted, settles it with a receipt. It returns the result of the claim.
func (c *testCluster) claimAndSettle(member int, key string) idempotency.Result {
	c.t.Helper()
	r, number := c.replicas[member], c.nextNumber()
	claimed, settled := c.expect(resultID{member, number, false}), c.expect(resultID{member, number, true})
	r.Claim(number, idempotency.NewKey("w", []byte("k"), []byte(key)), idempotency.ClaimOptions{TimeoutMs: 500}, r.clock.Now()+proposalTimeoutMs)
	claim := <-claimed
	if claim.Decision == idempotency.DecisionGranted {
		r.Settle(number, idempotency.OutcomeCompleted, []byte("receipt "+key), r.clock.Now()+proposalTimeoutMs)
		if settlement := <-settled; settlement.Decision != idempotency.DecisionGranted {
			c.t.Errorf("settlement of %s: %v", key, settlement.Decision)
		}
	}
	return claim
}

// await waits until a member's status satisfies a condition, and fails the test after awaitTimeout.
func (c *testCluster) await(member int, condition string, satisfied func(Status) bool) Status {
	c.t.Helper()
	var status Status
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		var err error
		if status, err = c.replicas[member].Status(); err == nil && satisfied(status) {
			return status
		}
	}
	c.t.Fatalf("member %d: timeout while waiting for %s: %+v", member, condition, status)
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
