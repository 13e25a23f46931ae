package replica

import (
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/lease"
	"mintspring/internal/testbed/faultrounds"
)

// A client sends commands to a single-replica group. First every result has a flipped bit, then every command. The receivers must drop all corrupted
// datagrams, because a flipped bit in a token could make a result look like a later grant.
func TestCorruptedDatagramsAreDropped(t *testing.T) {
	const ttlMillis = 1000
	relay, addrs := startSingleReplicaGroup(t)
	var resultCount, wrongResultCount atomic.Int64
	process := lease.Process{Node: 7, Incarnation: cluster.NewIncarnation(1e12, 0.5)}
	c, err := NewClient(addrs[1], []string{relay.Addr(1, 0)}, uint64(process.Incarnation), func(_ uint64, result lease.Result) {
		if result.Token > 1 || result.Holder != process || !result.Held || result.TTLMillis != ttlMillis {
			wrongResultCount.Add(1)
		}
		resultCount.Add(1)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sendUntil := func(maxCommands int, stop func() bool) {
		for i := range maxCommands {
			if err := c.Send(0, uint64(i+1), lease.Command{Kind: lease.KindAcquire, Name: "task", Process: process, TTLMillis: ttlMillis}); err != nil {
				t.Logf("cannot send a command: %v", err)
			}
			time.Sleep(2 * time.Millisecond)
			if stop() {
				return
			}
		}
	}
	sendUntil(3000, func() bool { return resultCount.Load() > 0 })
	if resultCount.Load() == 0 {
		t.Fatal("the group does not respond")
	}
	for _, direction := range [][2]int{{0, 1}, {1, 0}} {
		time.Sleep(300 * time.Millisecond) // lets intact datagrams in flight arrive
		resultsBefore := resultCount.Load()
		relay.UpdateLinks(func(links *faultrelay.Links) {
			links.Heal()
			links.Set(direction[:1], direction[1:], func(link *faultrelay.Link) { link.CorruptRate = 1 })
		})
		sendUntil(300, func() bool { return false })
		if resultsDuringFault := resultCount.Load() - resultsBefore; resultsDuringFault > 0 {
			t.Errorf("with corrupted datagrams from %d to %d, %d of 300 commands had a result", direction[0], direction[1], resultsDuringFault)
		}
	}
	if wrongResultCount.Load() > 0 {
		t.Errorf("%d results do not match the lease state of the group", wrongResultCount.Load())
	}
}

// startSingleReplicaGroup starts a single-replica group at addrs[0], and a relay between it and a client at addrs[1].
func startSingleReplicaGroup(t *testing.T) (relay *faultrelay.Relay, addrs []string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	if err := storage.Create(dir, storage.Identity{Group: "one", ReplicaNumber: 1}); err != nil {
		t.Fatal(err)
	}
	relay, err := faultrelay.Start(2, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	for i := range 2 {
		addr, err := faultrounds.LoopbackAddr(1, i) // unique to this process: another process may run this test too
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, addr)
		if err := relay.SetDestination(i, addr); err != nil {
			t.Fatal(err)
		}
	}
	r, err := Start(Config{Group: "one", Number: 1, ListenAddr: addrs[0], ReplicaAddrs: addrs[:1], DataDir: dir, TickInterval: 10 * time.Millisecond}, logrus.New())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return relay, addrs
}
