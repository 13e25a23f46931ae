package decide

import (
	"math"
	"testing"

	"mintspring/internal/fleet"
)

// A server that hangs is ejected in favor of its successor, and is readmitted after successful trial requests.
func TestHangingServerIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(6)
	hanging := h.ownerOf(7).id
	key := fleet.Key(0)
	nextKey := func() fleet.Key { // a new key of the server's arc each time, so that none becomes popular
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

// Occasional connection resets say little about the server: the request is retried at the same server, which has a copy of the key, no
// server is ejected, and the window of the origin is not reduced.
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

// A server that resets all connections is ejected, also after a time of occasional resets. Resets of connections that had been idle do
// not count.
func TestServerThatResetsAllIsEjected(t *testing.T) {
	h := newHarness(testLimits())
	h.listServers(4)
	h.readWithOccasionalResets(t)
	resetting := h.ownerOf(7)
	resetAll := func() {
		for range 4 {
			trace := h.read(7)
			for i := 0; i < len(trace.attempts); i++ {
				result := fleet.Completed
				if trace.attempts[i].server == resetting.id {
					result = fleet.Reset
				}
				h.endAttempt(trace, i, result, fleet.CacheHit)
			}
		}
	}
	h.lostWhileIdle = true
	if resetAll(); resetting.failureShare > 0.2 {
		t.Error("lost idle connections are held against their server")
	}
	h.lostWhileIdle = false
	resetAll()
	if !resetting.isOutlier() {
		t.Error("a server that resets all connections was not ejected")
	}
	h.expectNoViolation(t)
}

// readWithOccasionalResets sends 200 reads that miss. One in five is reset once at a cache, two in five are reset once at the origin.
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

// A node sends fewer trial requests to an outlier while other nodes send some too, and the nodes do not all begin at the same moment.
func TestTrialRequestsAreSharedWithOtherNodes(t *testing.T) {
	_, alone := trialGaps(0)
	first, mean := trialGaps(100 * alone)
	if mean < 80*alone || mean > 120*alone || first == 100*alone {
		t.Errorf("trial requests every %.0f ms alone and every %.0f ms with other nodes, the first after %.0f ms", alone, mean, first)
	}
}

// trialGaps returns the first and the mean time between trial requests of a node to a server that never responds. With a trialInterval of
// 0, no other node sends trial requests.
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

// If full servers refuse connections, a failed connect makes a node close the connections that it has used least recently. If full
// servers respond that they are full, a failed connect means that the server is down, and nothing is closed: on real sockets, the loss of
// one server once made the nodes open a connection for every second request.
func TestIdleConnectionsAreClosedWhenServersAreFull(t *testing.T) {
	if closed, ejected := closedAfterConnectFailure(t, true); len(closed) < 4 || !ejected {
		t.Errorf("closed %v after a failed connect, ejected its server: %v", closed, ejected)
	}
	// If full servers respond that they are full, a failed connect must not eject a server: healthy servers were once ejected all day.
	if closed, ejected := closedAfterConnectFailure(t, false); len(closed) > 0 || ejected {
		t.Errorf("closed %v, ejected the server: %v, though full servers do not refuse connections", closed, ejected)
	}
}

// closedAfterConnectFailure sends reads, of which one gets a failed connect, and returns the servers whose idle connections were closed
// and whether any server was ejected.
func closedAfterConnectFailure(t *testing.T, serversRefuseWhenFull bool) (closed []fleet.ServerID, ejected bool) {
	t.Helper()
	limits := testLimits()
	limits.FullServersRefuse = serversRefuseWhenFull
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
