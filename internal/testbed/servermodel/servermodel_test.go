package servermodel

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// cacheConfig configures a cache server with two cores.
var cacheConfig = ServerConfig{
	Cores: 2, Speed: 1, QueueLimit: 4, MaxConnections: 3, Handshake: 2, StartCapacity: 0.2, WarmWithin: 10000, OverloadMultiple: 3,
	OverloadWindow: 1000, CacheObjects: 2, ReportInterval: 500,
}

// newTestCluster returns a cluster of one cache server and its origin, with three request classes. Writes of class note are deduplicated.
func newTestCluster(config ServerConfig) (cluster *Cluster, cache, origin *Server) {
	cluster = NewCluster(1, map[string]Cost{
		"read": {Cache: 10, Origin: 20}, "pay": {Cache: 10, Origin: 20},
		"note": {Cache: 10, Origin: 20, DedupWindow: 5000},
	})
	cache = cluster.AddServer("box", false, config)
	origin = cluster.AddServer("origin", true, ServerConfig{Cores: 1, Speed: 1, QueueLimit: 10, OverloadMultiple: 2, OverloadWindow: 1000, RecoveryTime: 3000})
	return cluster, cache, origin
}

// execute submits a request and advances the cluster until it has ended.
func execute(cluster *Cluster, now float64, id ServerID, request Request) *Execution {
	request.Deadline = now + 1e6
	e := cluster.Submit(now, id, request, nil)
	for e.Outcome == Pending {
		cluster.Advance(cluster.NextEvent())
	}
	cluster.Advance(e.EndedAt)
	return e
}

func TestReadsMissThenHitUntilAWrite(t *testing.T) {
	cluster, cache, origin := newTestCluster(cacheConfig)
	if e := execute(cluster, 0, cache.ID, Request{RequestID: "1", Key: "k", Class: "read"}); e.Outcome != CacheMiss || e.EndedAt != 2 {
		t.Fatalf("%+v", e)
	}
	if e := execute(cluster, 10, origin.ID, Request{RequestID: "1", Key: "k", Class: "read"}); e.Outcome != Served || e.EndedAt != 30 || e.Value[:2] != "k|" {
		t.Fatalf("%+v", e)
	}
	if e := execute(cluster, 40, cache.ID, Request{RequestID: "2", Key: "k", Class: "read"}); e.Outcome != Served || e.Note != "hit" || e.EndedAt != 50 {
		t.Fatalf("%+v", e)
	}
	if e := execute(cluster, 60, origin.ID, Request{RequestID: "3", Key: "k", Class: "pay", Write: true}); !e.Applied {
		t.Fatalf("%+v", e)
	}
	if e := execute(cluster, 90, cache.ID, Request{RequestID: "4", Key: "k", Class: "read"}); e.Outcome != CacheMiss {
		t.Fatalf("a copy outlived a write: %+v", e)
	}
}

// A duplicate of a write is dropped within the deduplication window and applied after it.
func TestWritesAreDeduplicatedWithinTheWindow(t *testing.T) {
	cluster, _, origin := newTestCluster(cacheConfig)
	isApplied := func(now float64, requestID string) bool {
		return execute(cluster, now, origin.ID, Request{RequestID: requestID, Key: "k", IdempotencyKey: "m", Class: "note", Write: true}).Applied
	}
	if !isApplied(0, "1") || isApplied(4000, "2") || !isApplied(6000, "3") {
		t.Error("the first write and the one after the window are to be applied, the one between is not")
	}
}

func TestLRUCacheDropsLeastRecentlyUsed(t *testing.T) {
	s := newLRUCache(2)
	s.put(cachedObject{key: "a"})
	s.put(cachedObject{key: "b"})
	s.get("a")
	s.put(cachedObject{key: "c"})
	if s.contains("b") || !s.contains("a") || !s.contains("c") {
		t.Error("the wrong object was dropped")
	}
}

func TestQueueAndConnectionLimits(t *testing.T) {
	cluster, cache, _ := newTestCluster(cacheConfig)
	for i := range 6 {
		if e := cluster.Submit(0, cache.ID, Request{RequestID: fmt.Sprint(i), Deadline: 1e6, Class: "read"}, nil); e.Outcome == Rejected {
			t.Fatalf("execution %d of 2 in work and 4 waiting is rejected", i)
		}
	}
	if e := cluster.Submit(0, cache.ID, Request{RequestID: "7", Deadline: 1e6, Class: "read"}, nil); e.Outcome != Rejected || !e.Outcome.NeverRan() {
		t.Errorf("%+v", e)
	}
	for range 3 {
		if !cluster.OpenConnection(cache.ID) {
			t.Error("a connection within the limit is refused")
		}
	}
	if cluster.OpenConnection(cache.ID) {
		t.Error("a connection beyond the limit is accepted")
	}
}

// A server that is warming up has part of its capacity. It collapses, and stays down, if the work sent to it exceeds
// OverloadMultiple times that part.
func TestColdServerCollapsesUnderOverload(t *testing.T) {
	for _, c := range []struct {
		interval float64 // ms between executions
		notified bool    // the node has been notified of the start
		collapse bool
	}{{0.5, true, true}, {9, true, false}, {0.5, false, true}} {
		cluster, cache, _ := newTestCluster(cacheConfig)
		cluster.Kill(0, cache.ID)
		cluster.Start(100, cache.ID, false)
		if got := cache.Capacity(100); got != 0.4 {
			t.Errorf("starts with a capacity of %v", got)
		}
		cluster.Preload(cache.ID, "k")
		for now := 100.0; now < 2000; now += c.interval {
			cluster.Submit(now, cache.ID, Request{RequestID: fmt.Sprint(now), Key: "k", Deadline: now + 50, Class: "read", NodeNotified: c.notified}, nil)
			cluster.Advance(now)
		}
		if cache.Collapsed != c.collapse || cache.Up == c.collapse || (c.collapse && (cache.AvoidableShare > 0.5) != c.notified) {
			t.Errorf("%+v: collapsed %v, avoidable share %v", c, cache.Collapsed, cache.AvoidableShare)
		}
	}
	cluster, cache, _ := newTestCluster(cacheConfig) // a warm server rejects excess load instead
	for now := 0.0; now < 2000; now += 0.5 {
		cluster.Submit(now, cache.ID, Request{RequestID: fmt.Sprint(now), Key: "k", Deadline: now + 50, Class: "read"}, nil)
		cluster.Advance(now)
	}
	if cache.Collapsed {
		t.Error("a warm server collapsed")
	}
}

// Each handshake counts as load once. Clients of a paused server time out and reconnect; the server must not collapse because all of
// its pending handshakes are counted with every execution.
func TestHandshakesCountOnce(t *testing.T) {
	cluster, _, _ := newTestCluster(cacheConfig)
	origin := cluster.AddServer("other", true, ServerConfig{Cores: 1, Speed: 1, QueueLimit: 1000, Handshake: 1, OverloadMultiple: 2, OverloadWindow: 1000, RecoveryTime: 3000})
	cluster.SetPaused(0, origin.ID, true)
	for i := range 90 {
		now := float64(10 * i)
		cluster.OpenConnection(origin.ID)
		cluster.Submit(now, origin.ID, Request{RequestID: fmt.Sprint(i), Key: "k", Deadline: 1e6, Class: "read"}, nil)
	}
	if sent := 90 * (20 + 1.0); origin.Collapses != 0 || sent > 2000 {
		t.Errorf("%v ms of work within a second, of 2,000 that it can take, made it collapse %d times", sent, origin.Collapses)
	}
}

// An origin that collapses rejects requests until it recovers. AvoidableShare reports the share of misses at cold caches.
func TestOriginRecoversFromCollapse(t *testing.T) {
	fastConfig := cacheConfig
	fastConfig.Speed = 20
	cluster, cache, origin := newTestCluster(fastConfig)
	cluster.Kill(0, cache.ID)
	cluster.Start(1, cache.ID, false)
	for now := 1.0; origin.Collapses == 0 && now < 2000; now += 5 {
		requestID := fmt.Sprint(now)
		cluster.Submit(now, cache.ID, Request{RequestID: requestID, Key: requestID, Deadline: now + 1e4, Class: "read"}, nil)
		cluster.Advance(now + 4)
		cluster.Submit(now+4, origin.ID, Request{RequestID: requestID, Key: requestID, Deadline: now + 1e4, Class: "read"}, nil)
	}
	if origin.Collapses != 1 || origin.AvoidableShare < 0.5 || !origin.Up {
		t.Fatalf("collapses %d, avoidable share %v", origin.Collapses, origin.AvoidableShare)
	}
	now := origin.downUntil - 1
	if e := execute(cluster, now, origin.ID, Request{RequestID: "x", Key: "x", Class: "read"}); e.Outcome != Rejected {
		t.Errorf("it responds while it is down: %v", e.Outcome)
	}
	if e := execute(cluster, now+2, origin.ID, Request{RequestID: "y", Key: "y", Class: "read"}); e.Outcome != Served {
		t.Errorf("it does not recover: %v", e.Outcome)
	}
}

// A pause of a server delays the running work by the length of the pause.
func TestPause(t *testing.T) {
	cluster, cache, _ := newTestCluster(cacheConfig)
	cluster.Preload(cache.ID, "k")
	e := cluster.Submit(0, cache.ID, Request{RequestID: "1", Key: "k", Deadline: 1e6, Class: "read"}, nil)
	cluster.SetPaused(4, cache.ID, true)
	if !math.IsInf(cluster.NextEvent(), 1) {
		t.Errorf("an execution of a paused server is to end at %v", cluster.NextEvent())
	}
	cluster.SetPaused(104, cache.ID, false)
	if cluster.Advance(1e4); e.EndedAt != 110 || e.Outcome != Served {
		t.Errorf("%+v", e)
	}
}

// Under random kills, starts, pauses and slowdowns, each execution ends exactly once and not before it arrived, and a server is never
// busy for longer than its cores allow.
func TestEachExecutionEndsOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		cluster, cache, origin := newTestCluster(cacheConfig)
		now, ended := 0.0, map[*Execution]int{}
		submitted := 0
		count := func(es []*Execution) {
			for _, e := range es {
				ended[e]++
				if e.Outcome == Pending || e.EndedAt < e.FirstByte || ended[e] > 1 {
					r.Fatalf("%+v ended %d times", e, ended[e])
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(r, "steps") {
			now += rapid.Float64Range(0, 30).Draw(r, "ms")
			count(cluster.Advance(now))
			id := rapid.SampledFrom([]ServerID{cache.ID, origin.ID}).Draw(r, "server")
			switch rapid.IntRange(0, 9).Draw(r, "action") {
			case 0:
				cluster.Kill(now, id)
			case 1:
				cluster.Start(now, id, rapid.Bool().Draw(r, "warm"))
			case 2:
				cluster.SetPaused(now, id, rapid.Bool().Draw(r, "paused"))
			case 3:
				cluster.SetSlowdown(id, rapid.Float64Range(0.5, 4).Draw(r, "slowdown"))
			default:
				submitted++
				cluster.Submit(now, id, Request{
					RequestID: fmt.Sprint(submitted), Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key"),
					FirstByte: now, LastByte: now, Deadline: now + rapid.Float64Range(0, 200).Draw(r, "timeout"), Class: "read",
				}, nil)
			}
		}
		for _, s := range cluster.Servers {
			cluster.SetPaused(now, s.ID, false)
		}
		count(cluster.Advance(now + 1e6))
		if len(ended) != submitted {
			r.Fatalf("%d of %d executions ended", len(ended), submitted)
		}
		if busy := cache.BusyTime(now + 1e6); busy > 2*(now+1e6)+1e-6 {
			r.Fatalf("the cache has worked %v ms", busy)
		}
	})
}
