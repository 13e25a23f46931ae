// Package simcluster simulates a group of members that replicate idempotency records, with their disks and links, on a simulated clock. The
// members run the production code of package idempotency. An oracle simulates the execution of granted claims, and checks that each claim
// gets an allowed decision.
package simcluster

import (
	"fmt"
	"math/rand/v2"

	pkgcluster "mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

const (
	// startMs is the simulated time at which a cluster starts.
	startMs = 1e6
	// defaultRetentionMs is the retention of records unless a test changes it.
	defaultRetentionMs = 60e3
	// defaultSyncMs is the duration of a sync unless a test changes it.
	defaultSyncMs = 2
	// localLatencyMs is the latency of messages from a member to itself, and the minimum latency of all other messages.
	localLatencyMs = 1
	// clockOffsetMs is added to the simulated time before it is scaled by a node's clock rate.
	clockOffsetMs = 1e5
	// randomStream separates the cluster's random numbers from other generators with the same seed.
	randomStream = 3
)

// node is a simulated member with its disk.
type node struct {
	core                 *idempotency.Core
	storage              idempotency.StorageIncarnation
	incarnation          pkgcluster.Incarnation
	down                 bool
	pausedUntil          float64
	clockRate            float64 // ms by which the node's clock advances in one simulated ms
	unresolvedOperations []int   // operations for which it got DecisionWait or DecisionUnknown

	syncedEntries  [][]byte
	pendingBatches []idempotency.Ready // batches that the disk is syncing
	syncDoneAt     float64
	syncDurationMs float64 // duration of a sync
	dropsSyncs     bool    // its disk reports success without syncing
}

// datagram is a datagram in flight.
type datagram struct {
	deliverAt float64
	from, to  int
	payload   []byte
}

// cluster is a group of simulated members. All times are simulated time unless a comment says otherwise.
type cluster struct {
	rng             *rand.Rand
	now             float64
	config          idempotency.Config // shared by all members, which differ in number and incarnations
	nodes           []*node
	links           *faultrelay.Links
	inFlight        []datagram
	lastIncarnation uint64

	operations      []operation
	claims          map[claimID]*pendingClaim
	lastClaimNumber uint64
	violations      []string

	decisions        map[idempotency.Decision]int // number of claims by decision
	replays          int                          // number of replayed receipts
	grantLatenciesMs []float64
	sentDatagrams    int
	sentBytes        int
}

// newCluster returns a cluster whose members all have initial storage. configure, which may be nil, modifies their configuration.
func newCluster(members int, seed uint64, configure func(*idempotency.Config)) *cluster {
	c := &cluster{
		rng:       rand.New(rand.NewPCG(seed, randomStream)),
		now:       startMs,
		links:     faultrelay.NewLinks(seed),
		claims:    map[claimID]*pendingClaim{},
		decisions: map[idempotency.Decision]int{},
	}
	var set idempotency.ReplicaSet
	for i := range members {
		set.Members = append(set.Members, idempotency.MemberID(i))
	}
	c.config = idempotency.Config{
		ReplicaSets: []idempotency.ReplicaSet{set}, ReplicationFactor: 3, RetentionMs: defaultRetentionMs, RetryIntervalMs: 20, MaxReceiptBytes: 64,
		RepairsPerSecond: 1000, AntiEntropyIntervalMs: 500, Seed: seed,
	}
	if configure != nil {
		configure(&c.config)
	}
	for range members {
		c.nodes = append(c.nodes, &node{syncDurationMs: defaultSyncMs, clockRate: 1})
	}
	for i, n := range c.nodes {
		n.storage = c.newIncarnation()
		n.syncedEntries = [][]byte{idempotency.CaughtUpEntry(n.storage)}
		c.start(i)
	}
	return c
}

// allNodes returns the numbers of all nodes.
func (c *cluster) allNodes() []int {
	all := make([]int, len(c.nodes))
	for i := range all {
		all[i] = i
	}
	return all
}

// newIncarnation returns an incarnation that is later than all previous ones.
func (c *cluster) newIncarnation() pkgcluster.Incarnation {
	c.lastIncarnation++
	return pkgcluster.NewIncarnation(c.now, 0) + pkgcluster.Incarnation(c.lastIncarnation)
}

// localTime returns the time of a node's own clock.
func (c *cluster) localTime(n *node) float64 { return c.now*n.clockRate + clockOffsetMs*n.clockRate }

// running reports whether a node is neither down nor paused.
func (c *cluster) running(n *node) bool { return !n.down && n.pausedUntil <= c.now }

// start starts a node's process with the synced entries on its disk.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	stored := idempotency.NewStoredState()
	for _, entry := range n.syncedEntries {
		if err := stored.Apply(entry); err != nil {
			panic(err) // the simulated member wrote an entry that it cannot read
		}
	}
	n.incarnation = c.newIncarnation()
	config := c.config
	config.Self, config.StorageIncarnation, config.Incarnation = idempotency.MemberID(i), n.storage, n.incarnation
	n.core, n.down, n.pendingBatches, n.syncDoneAt = idempotency.New(c.localTime(n), config, stored), false, nil, 0
}

// kill ends a node's process. Entries that are not synced are lost.
func (c *cluster) kill(i int) {
	n := c.nodes[i]
	n.down, n.pendingBatches = true, nil
	c.abandonClaims(i)
}

// restart kills a node and starts it again.
func (c *cluster) restart(i int) {
	c.kill(i)
	c.start(i)
}

// replace kills a node, discards its disk and starts it with new storage. In half of the cases the storage has a far too early incarnation,
// as from a clock that is behind.
func (c *cluster) replace(i int) {
	c.kill(i)
	n := c.nodes[i]
	n.syncedEntries, n.storage = nil, c.newIncarnation()
	if c.rng.IntN(2) == 0 {
		n.storage = idempotency.StorageIncarnation(c.lastIncarnation)
	}
	c.start(i)
}

// step advances the simulation by one ms.
func (c *cluster) step() {
	c.now++
	for _, d := range c.takeDueDatagrams() {
		c.deliver(d)
	}
	for i, n := range c.nodes {
		if !c.running(n) {
			continue
		}
		c.completeSync(i)
		n.core.Tick(c.localTime(n))
		c.adoptLaterIncarnation(i)
		c.processReady(i)
	}
}

// takeDueDatagrams removes and returns the datagrams in flight that are due.
func (c *cluster) takeDueDatagrams() []datagram {
	var due []datagram
	later := c.inFlight[:0]
	for _, d := range c.inFlight {
		if d.deliverAt <= c.now {
			due = append(due, d)
		} else {
			later = append(later, d)
		}
	}
	c.inFlight = later
	return due
}

// deliver delivers a datagram to its node. Datagrams to a paused node wait until the pause ends, and those to a node that is down are lost.
func (c *cluster) deliver(d datagram) {
	n := c.nodes[d.to]
	switch {
	case n.down:
	case n.pausedUntil > c.now:
		d.deliverAt = n.pausedUntil
		c.inFlight = append(c.inFlight, d)
	default:
		n.core.ReceiveDatagram(c.localTime(n), d.payload)
		c.processReady(d.to)
	}
}

// completeSync completes the sync of a node's disk if it is due.
func (c *cluster) completeSync(i int) {
	n := c.nodes[i]
	if len(n.pendingBatches) == 0 || c.now < n.syncDoneAt {
		return
	}
	for _, ready := range n.pendingBatches {
		if !n.dropsSyncs {
			n.syncedEntries = append(n.syncedEntries, ready.Entries...)
		}
		n.core.Advance(ready)
		c.send(i, ready.MessagesAfterSync)
	}
	n.pendingBatches = nil
}

// adoptLaterIncarnation restarts a node with a later storage incarnation if its storage is new and has an earlier incarnation than the
// previous one.
func (c *cluster) adoptLaterIncarnation(i int) {
	n := c.nodes[i]
	if latest, neverServed := n.core.NewerStorage(); neverServed {
		n.syncedEntries, n.storage = nil, latest.Next()
		c.restart(i)
	}
}

// processReady sends a node's messages, starts to sync its entries, and handles its results.
func (c *cluster) processReady(i int) {
	n := c.nodes[i]
	ready := n.core.Ready()
	c.send(i, ready.Messages)
	if !ready.NothingToSync() {
		if len(n.pendingBatches) == 0 {
			n.syncDoneAt = c.now + n.syncDurationMs
		}
		ready.Messages = nil
		n.pendingBatches = append(n.pendingBatches, ready)
	}
	for _, result := range n.core.TakeResults() {
		c.handleResult(i, result)
	}
}

func (c *cluster) send(from int, messages []*idempotency.Message) {
	for _, m := range messages {
		b, to := m.Append(nil), int(m.To)
		c.sentDatagrams++
		c.sentBytes += len(b)
		if to == from {
			c.inFlight = append(c.inFlight, datagram{c.now + localLatencyMs, from, to, b})
			continue
		}
		for _, d := range c.links.Transmit(c.now+localLatencyMs, from, to, b) {
			c.inFlight = append(c.inFlight, datagram{d.AtMs, from, to, d.Data})
		}
	}
}

// recordKey returns the key of an operation by its index.
func recordKey(operation int) idempotency.Key {
	return idempotency.NewKey("sale", []byte("key"), fmt.Append(nil, operation))
}
