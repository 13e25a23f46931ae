package decide

import (
	"testing"

	"mintspring/internal/fleet"
)

// A cold server gets a growing part of its arc, within its quota.
func TestColdServerGetsGrowingPart(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(5)
	sent := map[fleet.ServerID]int{}
	sendReads := func(requests int) {
		clear(sent)
		for i := range requests {
			trace := h.read(fleet.Key(1000 + i))
			sent[trace.attempts[0].server]++
			h.advance(2)
			h.hit(trace, 0)
		}
	}
	sendReads(2000)
	e := h.list[2]
	arc := h.node.ring.arcLength(h.node.servers[2].positions[0].index)
	e.StartedAt = h.now
	h.updateList(fleet.ListDelta, e)
	sendReads(500)
	if limit := 500 * min(arc, 0.2) * 0.3; float64(sent[2]) > limit+10 {
		t.Errorf("a cold server got %d of 500 requests, want at most %.0f", sent[2], limit)
	}
	h.advance(20000)
	sendReads(2000)
	if sent[2] == 0 {
		t.Error("a warm server got nothing")
	}
}

// Hundreds of nodes with few requests each must together send a cold server only part of the load that it can take. A minimum of one
// request per node at once would overload the server.
func TestManyNodesDoNotOverloadColdServer(t *testing.T) {
	const nodes, servers = 300, 12
	const cold fleet.ServerID = 2
	all := newHarnesses(nodes, servers, testLimits())
	for second := range 8 {
		readOncePerNode(all, second)
	}
	for _, h := range all {
		e := h.list[cold]
		e.StartedAt = h.now
		h.updateList(fleet.ListDelta, e)
	}
	sent := 0
	for second := 8; second < 10; second++ {
		sent += readOncePerNode(all, second)[cold]
	}
	// A warm server would get 50 of the 600 requests. With a fifth of its capacity the server fails at 40, and half of that is allowed.
	if sent > 25 {
		t.Errorf("%d nodes sent a cold server %d of 600 requests", nodes, sent)
	}
	// The nodes must not save up one request each for a key that becomes hot.
	for _, h := range all {
		h.advance(4000)
	}
	if sent := readHotKey(all, cold); sent > 60 {
		t.Errorf("%d nodes sent a cold server %d requests for a key at once", nodes, sent)
	}
}

// readOncePerNode completes one read per node, spread over a second, and counts the reads by server.
func readOncePerNode(all []*harness, second int) map[fleet.ServerID]int {
	const msPerSecond = 1000.0
	sent := map[fleet.ServerID]int{}
	from, to := float64(second)*msPerSecond, float64(second+1)*msPerSecond
	for i, h := range all {
		h.advance(from + (to-from)*float64(i)/float64(len(all)) - (h.now - harnessStart))
		trace := h.read(fleet.Key(7919*i + int(to)))
		sent[trace.attempts[0].server]++
		h.hit(trace, 0)
		h.advance(to - (h.now - harnessStart))
	}
	return sent
}

// readHotKey sends one read per node of a key at the beginning of a cold server's arc, the part that the server serves first, and counts
// the reads that the cold server gets.
func readHotKey(all []*harness, cold fleet.ServerID) int {
	sent := 0
	index := all[0].node.servers[cold].positions[1].index
	start := all[0].node.zoneRing.serverAt(index - 1).positions[1].point
	for _, h := range all {
		key := fleet.Key(1)
		for fleet.ArcLength(start, key.Point()) > 0.003 {
			key++
		}
		if h.read(key).attempts[0].server == cold {
			sent++
		}
	}
	return sent
}
