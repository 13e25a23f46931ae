package node

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/serverstart"
)

// restartedEntry is the entry of a cache server whose process has started at a time by its own clock.
func restartedEntry(id, addr string, startedMs float64) string {
	return strings.TrimSuffix(entry(id, addr, "box"), "}") + fmt.Sprintf(`,"up_since_ms":%.0f}`, startedMs)
}

// startedAt returns when the decision module takes a cache server to have started; NaN: it is not known yet.
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

// awaitStart waits until the restart of a server is known, and returns how long ago that is to the decision module, in ms.
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

// A server that restarts while the node runs is in slow start from then on by the node's monotonic clock, however far the clock of its
// machine, or the node's, has been stepped. An hour apart one way it used to count as warm, the other way as cold for an hour.
func TestServerStartByAnotherClock(t *testing.T) {
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour, 40 * time.Second, -40 * time.Second} {
		tc := newTestCluster(t, 2, serveHit, echoOrigin)
		time.Sleep(20 * time.Millisecond)
		started := tc.node.clock.Now() + float64(offset/time.Millisecond)
		tc.listUpdates <- fmt.Sprintf(`{"revision":2,"complete":false,"members":[%s]}`, restartedEntry("s0", tc.cacheAddrs[0], started))
		if age := tc.awaitStart("s0"); age < 0 || age > 1000 {
			t.Errorf("clocks %v apart: it has started %.0f ms ago", offset, age)
		}
	}
}

// A server that is new to the list known at the start, or has restarted since, and would be warm by the clock, may have started
// just now: the clock may be wrong. One that is in that list as it is now is as old as listed.
func TestServerStartSinceCachedList(t *testing.T) {
	old := float64(time.Now().Add(-time.Hour).UnixMilli())
	tc := newTestCluster(t, 2, serveHit, echoOrigin, func(config *Config) {
		var known discovery.Update
		known.Members = append(known.Members, []byte(restartedEntry("s1", "127.0.0.1:1", old)))
		config.CachedList = known
	})
	firstList := listChanged{mode: fleet.ListFull, confirmedAt: serverstart.NeverConfirmed(), entries: []json.RawMessage{
		[]byte(restartedEntry("s0", tc.cacheAddrs[0], old)), []byte(restartedEntry("s1", tc.cacheAddrs[1], old)),
		[]byte(entry("o", tc.originAddr, "origin")),
	}}
	for listed := false; !listed; { // that of the cluster comes first
		tc.onLoop(func(float64) { _, listed = tc.node.serverTable.SlotByID["s0"] })
	}
	tc.onLoop(func(now float64) { firstList.handle(tc.node, now) })
	if age := tc.awaitStart("s0"); age > 5000 {
		t.Errorf("the new one has started %.0f ms ago", age)
	}
	if age := tc.awaitStart("s1"); age < 3_599_000 {
		t.Errorf("the known one has started %.0f ms ago", age)
	}
}
