package node

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/serverstart"
)

// restartedEntry returns the entry of a cache server whose process has started at a time by its own clock.
func restartedEntry(id, addr string, startedMs float64) string {
	return strings.TrimSuffix(entry(id, addr, "box"), "}") + fmt.Sprintf(`,"up_since_ms":%.0f}`, startedMs)
}

// startedAt returns the start time that the decision module has for a cache server, or NaN if it has none yet.
func (tc *testCluster) startedAt(id string) (started float64) {
	tc.t.Helper()
	started = math.NaN()
	tc.onLoop(func(now float64) {
		var exported fleet.Snapshot
		tc.node.inflight.Policy.(snapshotPolicy).Export(now, &exported)
		slot, known := tc.node.serverTable.SlotByID[id]
		for _, s := range exported.Servers {
			if known && s.ID == slot && s.StartedAt > 0 {
				started = s.StartedAt
			}
		}
	})
	return started
}

// awaitStart waits until the decision module has the start time of a server, and returns the ms since that start time.
func (tc *testCluster) awaitStart(id string) float64 {
	tc.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if started := tc.startedAt(id); !math.IsNaN(started) {
			return tc.node.clock.Now() - started
		}
	}
	tc.t.Fatalf("the restart of %s is not noticed", id)
	return 0
}

// A server that restarts while the node runs is in slow start from then on by the node's monotonic clock, however far the clock of either
// machine has been stepped. With clocks an hour apart the server used to count as warm at once, or as cold for an hour.
func TestServerStartWithSteppedClocks(t *testing.T) {
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour, 40 * time.Second, -40 * time.Second} {
		tc := newTestCluster(t, 2, serveHit, echoOrigin)
		time.Sleep(20 * time.Millisecond)
		started := tc.node.clock.Now() + float64(offset/time.Millisecond)
		tc.listUpdates <- fmt.Sprintf(`{"revision":2,"complete":false,"members":[%s]}`, restartedEntry("s0", tc.cacheAddrs[0], started))
		if age := tc.awaitStart("s0"); age < 0 || age > 1000 {
			t.Errorf("clocks %v apart: the server has started %.0f ms ago", offset, age)
		}
	}
}

// A server that is not in the cached list, or has restarted since, and would be warm by its listed start counts as just started: its clock
// may be wrong. A server whose listed start is the same in the cached list is as old as listed.
func TestServerStartSinceCachedList(t *testing.T) {
	hourAgo := float64(time.Now().Add(-time.Hour).UnixMilli())
	tc := newTestCluster(t, 2, serveHit, echoOrigin, func(config *Config) {
		var cachedList discovery.Update
		cachedList.Members = append(cachedList.Members, []byte(restartedEntry("s1", "127.0.0.1:1", hourAgo)))
		config.CachedList = cachedList
	})
	firstList := listChanged{mode: fleet.ListFull, confirmedAt: serverstart.NeverConfirmed(), entries: entryUpdates(
		t, restartedEntry("s0", tc.cacheAddrs[0], hourAgo), restartedEntry("s1", tc.cacheAddrs[1], hourAgo), entry("o", tc.originAddr, "origin"),
	)}
	for listed := false; !listed; { // the list of the test cluster has to arrive first
		tc.onLoop(func(float64) { _, listed = tc.node.serverTable.SlotByID["s0"] })
	}
	tc.onLoop(func(now float64) { firstList.handle(tc.node, now) })
	if age := tc.awaitStart("s0"); age > 5000 {
		t.Errorf("the new server has started %.0f ms ago", age)
	}
	if age := tc.awaitStart("s1"); age < 3_599_000 {
		t.Errorf("the known server has started %.0f ms ago", age)
	}
}
