package decide

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/fleet"
	"mintspring/internal/hotkeys"
	"mintspring/internal/slowstart"
)

// trainedAt is the time at which the traffic of newTrainedNode ends, in ms.
const trainedAt = 60_000.0

// newTrainedNode returns a node after traffic at all of its servers, with different loads and response times.
func newTrainedNode(limits fleet.Limits, servers int, slab *fleet.Slab) *Node {
	n := New(1000, limits, slab)
	n.UpdateEndpoints(1000, fleet.ListFull, endpointList(servers))
	for now := 1000.0; now < trainedAt; now += 200 {
		for i := range servers {
			req := newRead(slab, now, fleet.Key(fleet.Mix(uint64(i)*1000+uint64(now))))
			if d := n.Route(now, req); d.Action == fleet.Send {
				r := fleet.NewLoadReport()
				r.Present, r.Util = true, 0.1+0.8*float64(int(d.Server)%3)/2
				r.Queue, r.HitRatio = float64(int(d.Server)%5), 0.8
				n.AttemptDone(now+30, req, cacheHit(d.Attempt, 30+float64(d.Server%4)*20, r))
			}
			slab.Free(req)
		}
		routeDue(n, slab, now)
	}
	return n
}

// commonOwners counts the keys, out of 10,000, that have the same owner at two nodes with twelve caches.
func commonOwners(a, b *Node) int {
	common := 0
	for i := range 10000 {
		p := fleet.Key(fleet.Mix(uint64(i))).Point()
		if a.ring.servers[a.ring.ownerIndex(p)%12].id == b.ring.servers[b.ring.ownerIndex(p)%12].id {
			common++
		}
	}
	return common
}

// A node that restarts with a trusted snapshot routes as before. A node that does not trust the snapshot routes as without one.
func TestRestoreKeepsOwners(t *testing.T) {
	var slab, restoredSlab, blankSlab fleet.Slab
	limits := testLimits()
	before := newTrainedNode(limits, 12, &slab)
	var snap fleet.Snapshot
	before.Export(60000, &snap)
	restored, blank := New(61000, limits, &restoredSlab), New(61000, limits, &blankSlab)
	restored.UpdateEndpoints(61000, fleet.ListFull, endpointList(12))
	blank.UpdateEndpoints(61000, fleet.ListFull, endpointList(12))
	if k := commonOwners(before, blank); k > 9800 {
		t.Fatalf("traffic has moved no point: %d of 10000 keys have the same owner as without it", k)
	}
	restored.Restore(61000, &snap)
	if k := commonOwners(before, restored); k != 10000 {
		t.Errorf("%d of 10000 keys have the same owner as before", k)
	}
	if s, previous := restored.servers[3], before.servers[3]; s.timePerQueued > previous.timePerQueued+1e-9 ||
		s.latency != snap.Servers[3].ResponseTime || restored.originLimit.window > blank.originLimit.window {
		t.Errorf("time per queued request %v of %v, window %v", s.timePerQueued, previous.timePerQueued, restored.originLimit.window)
	}
	for i := range snap.Servers {
		snap.Servers[i].Trust = 0
	}
	snap.Trust = 0
	blank.Restore(61000, &snap)
	if k := commonOwners(restored, blank); k > 9800 || blank.servers[3].latencyAt != 0 {
		t.Errorf("a snapshot without trust was restored: only %d of 10000 keys differ from a trusted one", 10000-k)
	}
}

// A server that fails according to the snapshot gets its first attempt as soon as without a snapshot.
func TestRestoreMakesNoServerAnOutlier(t *testing.T) {
	var slab fleet.Slab
	n := New(1000, testLimits(), &slab)
	n.UpdateEndpoints(1000, fleet.ListFull, endpointList(1))
	n.Restore(1000, &fleet.Snapshot{Trust: 1, Servers: []fleet.ServerSnapshot{
		{ID: 0, Trust: 1, Failures: 1, Backoff: 1e6, TimePerQueued: 1e9, ResponseTime: 1e9, QueuePeak: 1},
	}})
	if d := n.Route(1000, newRead(&slab, 1000, 5)); d.Action != fleet.Send {
		t.Errorf("the first request is answered with %v", d.Action)
	}
	if n.servers[0].isOutlier() {
		t.Error("the server is an outlier")
	}
}

// A node that restores a snapshot sends a cold server no more requests than a node without one. The contents of the snapshot and the
// start times of the servers are random.
func TestRestoreAdmitsNoMoreToColdServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits()
		var slabWithSnapshot, slabWithoutSnapshot fleet.Slab
		nodeWithSnapshot, nodeWithoutSnapshot := New(1000, limits, &slabWithSnapshot), New(1000, limits, &slabWithoutSnapshot)
		list := endpointList(4)
		list[1].StartedAt = 1000 - rapid.Float64Range(0, 25000).Draw(t, "age")
		snap := drawSnapshot(t, list)
		for _, n := range []*Node{nodeWithSnapshot, nodeWithoutSnapshot} {
			n.UpdateEndpoints(1000, fleet.ListFull, list)
		}
		nodeWithSnapshot.Restore(1000, &snap)
		cold, coldWithoutSnapshot := nodeWithSnapshot.servers[1], nodeWithoutSnapshot.servers[1]
		restored := cold.bucket != coldWithoutSnapshot.bucket || cold.shedShare != 0 || cold.timePerQueued != coldWithoutSnapshot.timePerQueued
		if cold.capacityShare(nodeWithSnapshot) < 1 && restored {
			t.Fatalf("the snapshot says something of a cold server: %+v", cold)
		}
		attemptsWithSnapshot := countSentTo(nodeWithSnapshot, &slabWithSnapshot, cold.id, limits.OverloadBurst)
		attemptsWithoutSnapshot := countSentTo(nodeWithoutSnapshot, &slabWithoutSnapshot, cold.id, limits.OverloadBurst)
		// Both nodes have the same quota. They may use it for different keys, because the points of other servers differ.
		if cold.capacityShare(nodeWithSnapshot) < 0.9 && attemptsWithSnapshot > 1.5*attemptsWithoutSnapshot+10 {
			t.Fatalf("%v attempts at a cold server with the snapshot, %v without", attemptsWithSnapshot, attemptsWithoutSnapshot)
		}
		for _, s := range nodeWithSnapshot.servers {
			wide := nodeWithSnapshot.originLimit.window > nodeWithoutSnapshot.originLimit.window+64
			if s.isOutlier() || math.IsNaN(s.timePerQueued) || s.shedShare > 0.75 || wide {
				t.Fatalf("%+v", s)
			}
		}
	})
}

// drawSnapshot generates a snapshot of the listed servers, also with values that no node exports.
func drawSnapshot(t *rapid.T, list []fleet.Endpoint) fleet.Snapshot {
	upTo := func(limit float64, name string) float64 { return rapid.Float64Range(0, limit).Draw(t, name) }
	trust := rapid.Float64Range(-1, 3).Draw(t, "trust")
	snap := fleet.Snapshot{
		Trust: trust, OriginWindow: upTo(100, "window"), OriginResponseTime: upTo(1e4, "origin latency"),
		Util: upTo(2, "utilization"), ZoneShare: upTo(2, "zone share"),
	}
	for i := range list {
		snap.Servers = append(snap.Servers, fleet.ServerSnapshot{
			ID: fleet.ServerID(i), Trust: trust, StartedAt: list[i].StartedAt, ShedArcShare: upTo(2, "shed"),
			AdjustmentStep: upTo(2, "step"), TimePerQueued: upTo(1e6, "time per queued request"), ResponseTime: upTo(1e6, "latency"),
			RequestsAhead: upTo(100, "ahead"), Failures: upTo(1, "failures"), Backoff: upTo(1e6, "backoff"),
			HitRatio: upTo(2, "hit ratio"), QueuePeak: upTo(100, "queue peak"),
		})
	}
	return snap
}

// countSentTo routes a read every 2 ms for a duration in ms and counts the attempts at one server.
func countSentTo(n *Node, slab *fleet.Slab, id fleet.ServerID, duration float64) float64 {
	sent := 0.0
	for now := 1001.0; now < 1001+duration; now += 2 {
		req := newRead(slab, now, fleet.Key(fleet.Mix(uint64(now))))
		if d := n.Route(now, req); d.Action == fleet.Send {
			if d.Server == id {
				sent++
			}
			n.AttemptDone(now+1, req, cacheHit(d.Attempt, 1, fleet.NewLoadReport()))
		}
		slab.Free(req)
	}
	return sent
}

// A successor process has the traffic of its predecessor, so it takes over the measured rate that the quotas for cold servers depend on.
// Any other process begins to measure the rate at its first request, not at the epoch.
func TestSuccessorKeepsSlowStartRate(t *testing.T) {
	var slab, other fleet.Slab
	predecessor := newTrainedNode(testLimits(), 4, &slab)
	if predecessor.slowStart.Rate <= 0 {
		t.Fatal("nothing was sent")
	}
	var snap fleet.Snapshot
	predecessor.Export(60000, &snap)
	successor := New(60000, testLimits(), &other)
	successor.UpdateEndpoints(60000, fleet.ListCached, endpointList(4))
	successor.Restore(60000, &snap)
	if successor.slowStart.Rate != predecessor.slowStart.Rate {
		t.Errorf("rate %v, was %v", successor.slowStart.Rate, predecessor.slowStart.Rate)
	}
	var m slowstart.Meter
	n := New(1e12, testLimits(), &other)
	for now := 1e12; now < 1e12+1.5*n.limits.adjustInterval; now += 10 {
		n.now = now
		m.Spend(n.now, &slowstart.Bucket{}, n.limits.adjustInterval, 1)
	}
	if m.Rate < 0.02 {
		t.Errorf("after a period of one request each 10 ms the rate is %v", m.Rate)
	}
}

// If a node has its own evidence of a server, restored evidence is weighted by age: the more recent of the two, own
// or restored, counts for more, and neither is lost. A successor process once kept the evidence of its first response, although its
// predecessor's evidence was much more recent.
func TestRestoreWeightsEvidenceByAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var slab fleet.Slab
		n := New(1000, testLimits(), &slab)
		n.UpdateEndpoints(1000, fleet.ListFull, endpointList(3))
		now := 50_000.0
		ownAge := rapid.Float64Range(1, 14_000).Draw(t, "age of own evidence")
		restoredAge := rapid.Float64Range(0, 14_000).Draw(t, "age of restored evidence")
		s := n.servers[1]
		s.latency, s.latencyAhead, s.latencyAt, s.hitRatioPeak = 100, 2, now-ownAge, 0.2
		n.Restore(now, &fleet.Snapshot{Servers: []fleet.ServerSnapshot{
			{ID: 1, Trust: 1, TimePerQueued: s.timePerQueued, ResponseTime: 20, RequestsAhead: 1, HitRatio: 0.8, QueuePeak: 1, LastResponseAt: now - restoredAge},
		}})
		weight := ownAge / (ownAge + restoredAge)
		for name, c := range map[string]struct{ got, want float64 }{
			"latency":   {s.latency, 100 - 80*weight},
			"ahead":     {s.latencyAhead, 2 - weight},
			"hit ratio": {s.hitRatioPeak, 0.2 + 0.6*weight},
		} {
			if math.Abs(c.got-c.want) > 1e-6 {
				t.Fatalf("%s: %v, want %v (own %.0f ms old, restored %.0f)", name, c.got, c.want, ownAge, restoredAge)
			}
		}
		if s.latencyAt < now-ownAge {
			t.Fatalf("its own evidence has become older: %v", now-s.latencyAt)
		}
	})
}

// A snapshot states when each server last responded, and 0 for a server that has not responded.
func TestExportStatesAges(t *testing.T) {
	var slab fleet.Slab
	n := New(1000, testLimits(), &slab)
	n.UpdateEndpoints(1000, fleet.ListFull, endpointList(3))
	req := newRead(&slab, 2000, 5)
	d := n.Route(2000, req)
	n.AttemptDone(2030, req, cacheHit(d.Attempt, 30, fleet.NewLoadReport()))
	var snap fleet.Snapshot
	n.Export(3000, &snap)
	for _, v := range snap.Servers {
		if want := map[bool]float64{true: 2030}[v.ID == d.Server]; v.LastResponseAt != want {
			t.Errorf("server %d last responded at %v, want %v", v.ID, v.LastResponseAt, want)
		}
	}
}

// BenchmarkExport measures for how long exporting 1,000 servers and all popular keys blocks the event loop.
func BenchmarkExport(b *testing.B) {
	var slab fleet.Slab
	n := New(1000, testLimits(), &slab)
	n.UpdateEndpoints(1000, fleet.ListFull, endpointList(1000))
	for i := range uint64(hotkeys.Buckets) {
		n.keyCounts.AddToBucket(i, 5)
	}
	var snap fleet.Snapshot
	b.ReportAllocs()
	for range b.N {
		n.Export(2000, &snap)
	}
}
