// Package simcluster simulates members with idempotency records on a simulated clock, with their disks and the links between them, and checks them by
// an oracle: it executes the operations whose claims are granted, and knows of each which answers are allowed. The members run the code of the program.
package simcluster

import (
	"fmt"
	"math/rand/v2"

	pkgcluster "mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
)

const (
	// startMs is the simulated time of a cluster's start.
	startMs = 1e6
	// retentionMs is for how long records are kept, if a test says nothing else.
	retentionMs = 60e3
	// usualSyncMs is the time of a sync.
	usualSyncMs = 2
	// localLatencyMs is the time of a message from a member to itself, and the least of any other.
	localLatencyMs = 1
	// clockOffsetMs sets clocks apart that run at different rates.
	clockOffsetMs = 1e5
	// randomStream is the stream of the cluster's random numbers by its seed.
	randomStream = 3
)

// node is a member with its disk.
type node struct {
	core        *idempotency.Core
	storage     idempotency.StorageIncarnation
	incarnation pkgcluster.Incarnation
	down        bool
	pausedUntil float64
	clockRate   float64 // simulated ms that its clock counts in one
	waitedOn    []int   // operations that it was answered to wait for, or that nothing is known of

	syncedEntries [][]byte
	pending       []idempotency.Ready // that the disk is syncing
	syncDoneAt    float64
	syncMs        float64 // that a sync takes
	dropsSyncs    bool    // its disk reports syncs that it has not done
}

// datagram is one on its way.
type datagram struct {
	deliverAt float64
	from, to  int
	payload   []byte
}

// cluster is several members on one simulated clock, which all times are of but where it is said.
type cluster struct {
	rng             *rand.Rand
	now             float64
	config          idempotency.Config // of all members, but for their numbers and incarnations
	nodes           []*node
	links           *faultrelay.Links
	inFlight        []datagram
	lastIncarnation uint64

	operations []operation
	claims     map[claimID]*pendingClaim
	lastNumber uint64
	violations []string

	decisions        map[idempotency.Decision]int // on claims
	replays          int                          // receipts that were found again
	grantLatenciesMs []float64
	sentDatagrams    int
	sentBytes        int
}

// newCluster returns a cluster whose members all have initial storage. change may change their configuration.
func newCluster(members int, seed uint64, change func(*idempotency.Config)) *cluster {
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
		ReplicaSets: []idempotency.ReplicaSet{set}, ReplicationFactor: 3, RetentionMs: retentionMs, RetryIntervalMs: 20, MaxReceiptBytes: 64,
		RepairsPerSecond: 1000, AntiEntropyIntervalMs: 500, Seed: seed,
	}
	if change != nil {
		change(&c.config)
	}
	for range members {
		c.nodes = append(c.nodes, &node{syncMs: usualSyncMs, clockRate: 1})
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

// newIncarnation returns an incarnation that is later than all before it.
func (c *cluster) newIncarnation() pkgcluster.Incarnation {
	c.lastIncarnation++
	return pkgcluster.NewIncarnation(c.now, 0) + pkgcluster.Incarnation(c.lastIncarnation)
}

// localTime is the time of a node's own clock.
func (c *cluster) localTime(n *node) float64 { return c.now*n.clockRate + clockOffsetMs*n.clockRate }

// runs reports whether a node is neither down nor paused.
func (c *cluster) runs(n *node) bool { return !n.down && n.pausedUntil <= c.now }

// start starts a node's process with what its disk has.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	stored := idempotency.NewStoredState()
	for _, entry := range n.syncedEntries {
		if err := stored.Apply(entry); err != nil {
			panic(err) // the member has written it
		}
	}
	n.incarnation = c.newIncarnation()
	config := c.config
	config.Self, config.StorageIncarnation, config.Incarnation = idempotency.MemberID(i), n.storage, n.incarnation
	n.core, n.down, n.pending, n.syncDoneAt = idempotency.New(c.localTime(n), config, stored), false, nil, 0
}

// kill ends a node's process. What is not synced is lost.
func (c *cluster) kill(i int) {
	n := c.nodes[i]
	n.down, n.pending = true, nil
	c.abandonClaims(i)
}

// restart kills a node and starts it again.
func (c *cluster) restart(i int) {
	c.kill(i)
	c.start(i)
}

// replace kills a node that loses its disk, and starts one with new storage in its place. The clock of half of them is far behind.
func (c *cluster) replace(i int) {
	c.kill(i)
	n := c.nodes[i]
	n.syncedEntries, n.storage = nil, c.newIncarnation()
	if c.rng.IntN(2) == 0 {
		n.storage = idempotency.StorageIncarnation(c.lastIncarnation)
	}
	c.start(i)
}

// step passes one ms.
func (c *cluster) step() {
	c.now++
	for _, d := range c.takeDue() {
		c.deliver(d)
	}
	for i, n := range c.nodes {
		if !c.runs(n) {
			continue
		}
		c.completeSync(i)
		n.core.Tick(c.localTime(n))
		c.takeLaterIncarnation(i)
		c.processReady(i)
	}
}

// takeDue removes and returns the datagrams that arrive now.
func (c *cluster) takeDue() []datagram {
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

// deliver hands a datagram to its node, or keeps it in the socket of one that is paused.
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

// completeSync ends the sync of a node's disk if its time is over.
func (c *cluster) completeSync(i int) {
	n := c.nodes[i]
	if len(n.pending) == 0 || c.now < n.syncDoneAt {
		return
	}
	for _, ready := range n.pending {
		if !n.dropsSyncs {
			n.syncedEntries = append(n.syncedEntries, ready.Entries...)
		}
		n.core.Advance(ready)
		c.send(i, ready.MessagesAfterSync)
	}
	n.pending = nil
}

// takeLaterIncarnation gives new storage a later incarnation if it learns that its clock was behind.
func (c *cluster) takeLaterIncarnation(i int) {
	n := c.nodes[i]
	if latest, neverServed := n.core.NewerStorage(); neverServed {
		n.syncedEntries, n.storage = nil, latest.Next()
		c.restart(i)
	}
}

// processReady sends what a node wants sent, starts to sync what it wants stored, and takes in its results.
func (c *cluster) processReady(i int) {
	n := c.nodes[i]
	ready := n.core.Ready()
	c.send(i, ready.Messages)
	if !ready.NothingToSync() {
		if len(n.pending) == 0 {
			n.syncDoneAt = c.now + n.syncMs
		}
		ready.Messages = nil
		n.pending = append(n.pending, ready)
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
