package decide

import (
	"fmt"
	"testing"

	"mintspring/internal/fleet"
)

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(8)
	k := fleet.Key(0)
	oneRequest := func() {
		k++
		req := h.slab.Alloc()
		req.Key, req.HasKey, req.ArrivedAt, req.Deadline = k%50, true, h.now, h.now+500
		h.node.Route(h.now, req)
		h.now += 2
		h.node.AttemptDone(h.now, req, fleet.Outcome{
			Result: fleet.Completed, Took: 2, Closed: true,
			Report: utilizationReport(0.3),
		})
		h.slab.Free(req)
		h.node.NextDue(h.now)
	}
	for range 1000 {
		oneRequest()
	}
	if allocs := testing.AllocsPerRun(2000, oneRequest); allocs > 0 {
		t.Errorf("%v allocations per request", allocs)
	}
}

// While most responses are late, requests that no server can answer in time are rejected at once with a Retry-After. Without new late
// responses, the node admits requests again.
func TestLateRequestsAreRejectedUnderOverload(t *testing.T) {
	limits := testLimits()
	limits.OriginKind = -1
	h := newHarness(limits)
	h.listServers(3)
	for i := range 200 {
		h.read(fleet.Key(i))
		h.advance(30)
		for _, trace := range h.open {
			if last := len(trace.attempts) - 1; last >= 0 && trace.answers == 0 && h.now > trace.attempts[0].sentAt+280 {
				h.hit(trace, last)
			}
		}
	}
	rejected := 0
	for k := range fleet.Key(30) {
		req := newRead(&h.slab, h.now, k)
		if d := h.node.Route(h.now, req); d.Action == fleet.Reject && d.RetryAfter > 0 {
			rejected++
		}
		h.node.ClientGone(h.now, req)
	}
	if rejected < 15 {
		t.Fatalf("in overload the node rejected %d of 30 requests", rejected)
	}
	h.advance(20000)
	if trace := h.read(5); len(trace.attempts) != 1 {
		t.Error("the node still rejects requests")
	}
}

// A key that is requested often is routed to the node's own zone and stays there.
func TestPopularKeyIsServedInZone(t *testing.T) {
	limits := testLimits()
	limits.Zone = 1
	h := newHarness(limits)
	h.listServers(6)
	key := fleet.Key(0)
	for h.list[h.ownerOf(key).id].Zone == limits.Zone {
		key++
	}
	var last *requestTrace
	for range 30 {
		last = h.read(key)
		h.advance(5)
		h.hit(last, 0)
	}
	if s := last.attempts[0].server; h.list[s].Zone != limits.Zone {
		t.Errorf("the popular key went to server %d in another zone", s)
	}
}

// A key with more requests than a server can take is spread: each node uses one copy, and many nodes together use many copies.
func TestHotKeyIsSpreadOverNodes(t *testing.T) {
	const hotKey fleet.Key = 7
	servers := map[fleet.ServerID]int{}
	for _, h := range newHarnesses(40, 24, testLimits()) {
		var last *requestTrace
		for i := range 120 {
			key := hotKey
			if i%3 > 0 {
				key = fleet.Key(1000 + i)
			}
			trace := h.read(key)
			h.advance(20)
			h.hit(trace, 0)
			if key == hotKey {
				last = trace
			}
		}
		if s := last.attempts[0].server; h.list[s].Zone == h.limits.Zone {
			servers[s]++
		}
	}
	if len(servers) < 3 {
		t.Errorf("40 nodes send a key of a third of all requests to %v", servers)
	}
}

// Most keys are routed within the node's zone. While responses are very late, more keys are routed on the ring of all caches, where one
// copy serves all zones.
func TestZoneShareShrinksUnderOverload(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(24)
	keysInZone := func() (keys int) {
		for key := range fleet.Key(200) {
			req := fleet.Request{Key: key, HasKey: true, Deadline: h.now + clientTimeout}
			if s := h.node.pickCache(&req); s.zone == h.limits.Zone {
				keys++
			}
		}
		return keys
	}
	if k := keysInZone(); k < 150 {
		t.Errorf("%d of 200 keys in the zone at rest", k)
	}
	for range 20 {
		h.node.lateShare = 0.6
		h.node.adjustPoints()
	}
	if k := keysInZone(); k > 130 {
		t.Errorf("%d of 200 keys in the zone in overload", k)
	}
	// Only its load reports show that the origin is at its limit, because the attempts that its window admits are in time.
	h.node.lateShare, h.node.zoneShare = 0, 1
	req := h.slab.Alloc()
	for _, c := range []struct {
		utilization float64
		waiting     []fleet.Ref
	}{{0.85, []fleet.Ref{req.Ref}}, {0.95, nil}} {
		h.node.origin.report.Util, h.node.originLimit.waiting = c.utilization, c.waiting
		h.node.adjustPoints()
		if k := keysInZone(); k < 150 {
			t.Errorf("%d of 200 keys in the zone while the origin is at %v and %d wait for it", k, c.utilization, len(c.waiting))
		}
	}
	h.node.originLimit.waiting = []fleet.Ref{req.Ref}
	for range 20 {
		h.node.adjustPoints()
	}
	if k := keysInZone(); k > 130 {
		t.Errorf("%d of 200 keys in the zone while the origin is at its limit", k)
	}
}

// A zone whose servers are cold lacks the capacity for its keys. They are routed on the ring of all caches, and in the zone again as its
// servers warm up.
func TestColdZoneSharesKeysWithOtherZones(t *testing.T) {
	const now = 1e6
	warm, cold := shareInZone(now-1, now), shareInZone(now+19_000, now)
	if warm < 0.6 || cold > warm-0.2 {
		t.Errorf("%.2f of the keys stay in a zone that is warm, %.2f in one where two of three servers are cold", warm, cold)
	}
}

// shareInZone returns the share of keys that are routed to the node's zone when two of the zone's three servers are cold until coldUntil.
func shareInZone(coldUntil, now float64) float64 {
	const keys = 4000
	var slab fleet.Slab
	limits := testLimits()
	limits.Zones, limits.WarmUpTime, limits.ColdCapacity = 3, 20_000, 0.2
	n := New(now, limits, &slab)
	var list []fleet.Endpoint
	for i := range 9 {
		e := fleet.Endpoint{ID: fleet.ServerID(i), Name: fmt.Sprint("s", i), State: fleet.Ready, NominalCapacity: 1, Zone: fleet.ZoneID(i % 3)}
		if e.Zone == limits.Zone && i != int(limits.Zone) {
			e.StartedAt = coldUntil - limits.WarmUpTime
		}
		list = append(list, e)
	}
	n.UpdateEndpoints(now, fleet.ListFull, list)
	n.meanUtil, n.slowStart.Rate = 0.35, 1
	inZone := 0
	for i := range keys {
		req := slab.Alloc()
		req.Key, req.HasKey, req.Deadline = fleet.Key(fleet.Mix(uint64(i))), true, now+1000
		if s := n.pickCache(req); s != nil && s.zone == limits.Zone {
			inZone++
		}
		slab.Free(req)
	}
	return float64(inZone) / keys
}
