package decide

import (
	"math"
	"testing"

	"mintspring/internal/fleet"
)

// A server that hangs is ejected in favour of its successor, and comes back after trial requests that went well.
func TestHangingServerIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(6)
	hanging := h.ownerOf(7).id
	key := fleet.Key(0)
	nextKey := func() fleet.Key { // one key after the other of its arc, so that none is popular
		for key++; h.ownerOf(key).id != hanging; key++ {
		}
		return key
	}
	for range 60 {
		h.read(nextKey())
		h.advance(40)
		h.completePending(func(s fleet.ServerID) bool { return s != hanging })
	}
	if !h.node.servers[hanging].isOutlier() {
		t.Fatal("the hanging server was not ejected")
	}
	for range 400 {
		h.read(nextKey())
		h.advance(40)
		h.completePending(func(fleet.ServerID) bool { return true })
	}
	if h.node.servers[hanging].isOutlier() {
		t.Error("the healthy server was not readmitted")
	}
	h.expectNoViolation(t)
}

// completePending completes the attempts that are in flight at servers that respond.
func (h *harness) completePending(responds func(fleet.ServerID) bool) {
	for _, trace := range h.open {
		for i := range trace.attempts {
			if a := trace.attempts[i]; a.result == fleet.Pending && responds(a.server) {
				h.hit(trace, i)
			}
		}
	}
}

// Connections that are reset now and then say little of the server behind them: a request is retried at its server, which has
// the copy, no server is ejected, and the origin's window stays.
func TestOccasionalResetsEjectNoServer(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(4)
	h.readWithOccasionalResets(t)
	if l := &h.node.originLimit; l.window < 4 || l.lateShare > 0.1 {
		t.Errorf("the origin's window is %v, its share of late responses %v", l.window, l.lateShare)
	}
	for id := range h.node.servers[:4] {
		if h.node.servers[id].isOutlier() {
			t.Errorf("server %d was ejected", id)
		}
	}
	h.expectNoViolation(t)
}

// A server that resets all connections is ejected, also after a time of occasional resets; connections that had been idle when
// they were lost don't count.
func TestServerThatResetsAllIsEjected(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(4)
	h.readWithOccasionalResets(t)
	bad := h.ownerOf(7)
	resetAll := func() {
		for range 4 {
			trace := h.read(7)
			for i := 0; i < len(trace.attempts); i++ {
				result := fleet.Completed
				if trace.attempts[i].server == bad.id {
					result = fleet.Reset
				}
				h.endAttempt(trace, i, result, fleet.CacheHit)
			}
		}
	}
	h.stale = true
	if resetAll(); bad.failures > 0.2 {
		t.Error("lost idle connections are held against their server")
	}
	h.stale = false
	resetAll()
	if !bad.isOutlier() {
		t.Error("a server that resets all was kept")
	}
	h.expectNoViolation(t)
}

// readWithOccasionalResets sends 200 reads that miss. One connection of five to the caches is reset, and two of five to the
// origin.
func (h *harness) readWithOccasionalResets(t *testing.T) {
	t.Helper()
	for i := range 200 {
		trace := h.read(fleet.Key(i))
		first := trace.attempts[0].server
		if i%5 == 0 {
			h.endAttempt(trace, 0, fleet.Reset, fleet.CacheUnknown)
			if retried := trace.attempts[len(trace.attempts)-1].server; retried != first {
				t.Fatalf("request %d was reset at server %d and went to %d", i, first, retried)
			}
		}
		h.endLastAttempt(trace, fleet.Missed, fleet.CacheMiss)
		h.advance(2)
		if i%5 == 1 || i%5 == 2 {
			h.endLastAttempt(trace, fleet.Reset, fleet.CacheUnknown)
		}
		h.endLastAttempt(trace, fleet.Completed, fleet.CacheUnknown)
		h.advance(8)
	}
}

// An outlier to which other nodes send trial requests too is tried so much less by this node, and not by all nodes at one moment.
func TestTrialsSharedWithOtherNodes(t *testing.T) {
	_, alone := trialGaps(0)
	first, mean := trialGaps(100 * alone)
	if mean < 80*alone || mean > 120*alone || first == 100*alone {
		t.Errorf("tried each %.0f ms alone and each %.0f with others, the first after %.0f", alone, mean, first)
	}
}

// trialGaps returns the first and the mean time between trial requests to a server that never answers, where nodes together
// try it once in each trialInterval.
func trialGaps(trialInterval float64) (first, mean float64) {
	limits := fleet.Limits{Quantum: 5, Seed: 3, OriginKind: -1, Classes: []fleet.Class{{LatencyObjective: 200}}}
	n := New(0, limits, &fleet.Slab{})
	n.UpdateEndpoints(0, fleet.ListFull, []fleet.Endpoint{{ID: 0, Name: "a", State: fleet.Ready}})
	n.SetIndirectEvidence(0, 0.25, trialInterval, math.Inf(1))
	s := n.servers[0]
	for range 4 {
		n.recordHealth(s, 1)
	}
	const trials = 200
	for k := range trials {
		gap := s.trialAt - n.now
		if k == 0 {
			first = gap
		}
		mean += gap / trials
		n.now = s.trialAt
		n.recordHealth(s, 1)
	}
	return first, mean
}

// Where a server that is full refuses connections, a node closes the connections it has used least recently. Where such a server
// responds that it is full, a failed connect means one that is down, and nothing is closed: on real sockets a lost server once
// had the nodes open a connection for every second request.
func TestIdleConnectionsAreClosedWhenServersAreFull(t *testing.T) {
	if closed, ejected := closedAfterConnectFailure(t, true); len(closed) < 4 || !ejected {
		t.Errorf("closed %v after a failed connect, ejected its server: %v", closed, ejected)
	}
	// Where full servers say so, one failed connect is one connection's: it once ejected healthy servers all day.
	if closed, ejected := closedAfterConnectFailure(t, false); len(closed) > 0 || ejected {
		t.Errorf("closed %v, ejected the server: %v, though full servers would have said so", closed, ejected)
	}
}

// closedAfterConnectFailure returns the servers whose idle connections were closed around one failed connect, and whether any
// server was ejected.
func closedAfterConnectFailure(t *testing.T, fullRefuses bool) (closed []fleet.ServerID, ejected bool) {
	t.Helper()
	limits := testLimits()
	limits.FullServersRefuse = fullRefuses
	h := newHarness(limits)
	h.listServers(12)
	for key := range fleet.Key(60) {
		trace := h.read(key)
		result := fleet.Completed
		if key == 40 {
			result = fleet.ConnectFailed
		}
		req := h.slab.Get(trace.ref)
		d := h.node.AttemptDone(h.now, req, fleet.Outcome{Result: result, Took: 2, Closed: true, Report: fleet.NewLoadReport()})
		ejected = ejected || h.node.servers[trace.attempts[0].server].isOutlier()
		if d.CloseIdle {
			closed = append(closed, d.IdleServer)
			if h.node.servers[d.IdleServer].inFlight > 0 {
				t.Error("closed a connection in use")
			}
		}
		h.advance(5)
	}
	return closed, ejected
}
