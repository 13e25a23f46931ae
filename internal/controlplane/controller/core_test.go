package controller

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/testbed/fakeproxy"
)

// TestOwnersEqualTheModules checks that the owners of 100,000 keys at a proxy are those of the decision module, in every zone, after
// more than 50 ring point adjustments, with one server draining.
func TestOwnersEqualTheModules(t *testing.T) {
	now := 1e6
	const servers = 30
	c := newStartedCore(t, now, 7, servers)
	adjustments := 0
	points := func() []fleet.RingPoint { p, _ := c.zones[0].RingPoints(now, false, nil); return p }
	for last := points(); adjustments < 60 && now < 1e6+600_000; {
		addReports(c, &now, servers, 1)
		next := points()
		for i := range next {
			if next[i].Position < last[i].Position {
				adjustments++
			}
		}
		last = next
	}
	c.UpdateEndpoints(now, discovery.Update{Revision: 2, Members: []json.RawMessage{serverEntry(4, "terminating", 0)}})
	c.Step(now)
	if t.Logf("%d ring point adjustments", adjustments); adjustments < 50 {
		t.Fatalf("only %d ring point adjustments", adjustments)
	}
	for z := range c.zones {
		h := cacheOf(t, c.Snapshots()[z])
		elsewhere, unowned := 0, 0
		for k := range 100_000 {
			key := fleet.Key(fleet.Mix(uint64(k) + 1))
			want, got := moduleOwner(&c.zones[z], now, key), h.Owner(key)
			switch {
			case want == fleet.NoServer || got == nil:
				unowned++
			case got.Slot != want:
				elsewhere++
			case got.ID == "s4":
				t.Fatal("a key is owned by a draining server")
			}
		}
		if elsewhere > 0 || unowned > 0 {
			t.Errorf("zone %d: %d of 100000 keys have another owner, %d none", z, elsewhere, unowned)
		}
	}
}

// TestOneRingInAllZones checks that the ring of all servers is the same in each zone, since all modules get the same input.
func TestOneRingInAllZones(t *testing.T) {
	now := 1e6
	c := newStartedCore(t, now, 3, 20)
	addReports(c, &now, 20, 8)
	want := cacheOf(t, c.Snapshots()[0]).Arcs()
	for z := range c.zones[1:] {
		for id, arc := range cacheOf(t, c.Snapshots()[z+1]).Arcs() {
			if arc != want[id] {
				t.Errorf("zone %d: arc %v of server %d, %v in the first", z+1, arc, id, want[id])
			}
		}
	}
}

// arcsWithFaultyReports returns the arcs of nine servers after some honest and some faulty proxies have reported their loads. The
// faulty ones report another utilization of one server, from any number of responses.
func arcsWithFaultyReports(t *testing.T, utilization float64, honest, faulty int) map[fleet.ServerID]float64 {
	t.Helper()
	now := 1e6
	c := newStartedCore(t, now, 5, 9)
	for range 40 {
		for proxy := range honest + faulty {
			reports := map[string]loadreport.Report{}
			for i := range 9 {
				report := loadreport.Report{Utilization: 0.5, HitRate: math.NaN(), Responses: 10}
				if i == 2 && proxy >= honest {
					report.Utilization, report.Responses = utilization, 1e9
				}
				reports[fmt.Sprintf("127.0.0.1:%d", 1000+i)] = report
			}
			c.AddLoadReports(now, fmt.Sprint("p", proxy), reports)
		}
		for range 10 {
			now += 100
			c.Step(now)
		}
	}
	return cacheOf(t, c.Snapshots()[0]).Arcs()
}

// TestFaultyReportsMoveNoPoints checks that one proxy among up to four which reports a server as overloaded or idle adjusts no ring
// point, and neither does a single proxy, while proxies that agree do.
func TestFaultyReportsMoveNoPoints(t *testing.T) {
	want := arcsWithFaultyReports(t, 0.5, 3, 0)
	for _, utilization := range []float64{0, 1, math.NaN(), -1, 1e9} {
		for _, honest := range []int{3, 2, 1, 0} {
			for id, arc := range arcsWithFaultyReports(t, utilization, honest, 1) {
				if arc != want[id] {
					t.Errorf("a faulty proxy among %d honest ones reports %v: arc %v of server %d, was %v", honest, utilization, arc, id, want[id])
				}
			}
		}
	}
	moved := false
	for id, arc := range arcsWithFaultyReports(t, 1, 0, 3) {
		moved = moved || arc != want[id]
	}
	if !moved {
		t.Error("three proxies that agree move no point: the test could not fail")
	}
}

// TestReturnUnderTheSameID checks that a server which drains, leaves and returns under its ID within a second is another server each
// time: proxies that hold an earlier snapshot may not use it.
func TestReturnUnderTheSameID(t *testing.T) {
	now := 1e6
	c := newStartedCore(t, now, 1, 6)
	minSequence := c.Snapshots()[0].MinSequence
	for _, s := range []struct {
		phase   string
		since   float64
		state   fleet.State
		removed bool // a proxy could be sending to the server removed
	}{
		{"terminating", 0, fleet.Draining, true},
		{discovery.PhaseTerminated, 0, fleet.Gone, false},
		{discovery.PhaseInService, now + 200, fleet.Ready, true}, // a new process
		{discovery.PhaseInService, now + 300, fleet.Ready, true}, // replaced again, without a terminated phase between
	} {
		now += 100
		c.UpdateEndpoints(now, discovery.Update{Members: []json.RawMessage{serverEntry(2, s.phase, s.since)}})
		if !c.Step(now).SnapshotsBuilt {
			t.Fatalf("%s: no snapshot at once", s.phase)
		}
		v := c.Snapshots()[0]
		if removed := v.MinSequence > minSequence; removed != s.removed {
			t.Errorf("%s: minimum sequence %d, was %d", s.phase, v.MinSequence, minSequence)
		}
		minSequence = v.MinSequence
		h := cacheOf(t, v)
		got, arc := fleet.Gone, 0.0
		for _, x := range h.Servers() {
			if x.ID == "s2" {
				got, arc = x.State, h.Arcs()[x.Slot]
			}
		}
		if got != s.state || (arc > 0) != (s.state == fleet.Ready) {
			t.Errorf("%s: state %d, arc %v", s.phase, got, arc)
		}
	}
	// It is in slow start: it takes a small part of its arc, and its successor takes the other keys.
	h := cacheOf(t, c.Snapshots()[0])
	n := 0
	for k := range 20_000 {
		if s := h.Owner(fleet.Key(fleet.Mix(uint64(k) + 1))); s != nil && s.ID == "s2" {
			n++
		}
	}
	if n == 0 || n > 20_000/6/2 {
		t.Errorf("a server that has just started owns %d of 20000 keys among six", n)
	}
}

// TestBatchInterval checks that snapshots with ring point adjustments are at least the batch interval apart, and that one with a drain
// is built at once.
func TestBatchInterval(t *testing.T) {
	now := 1e6
	c := newStartedCore(t, now, 1, 12)
	last := now
	for i := range 2000 {
		now += 5
		u := 0.5 + 0.4*math.Sin(float64(i)/3)
		for _, p := range []string{"p1", "p2"} {
			c.AddLoadReports(now, p, map[string]loadreport.Report{fmt.Sprintf("127.0.0.1:%d", 1000+i%12): {Utilization: u, QueueLength: 9 * u, HitRate: 0.5, Responses: 1}})
		}
		if c.Step(now).SnapshotsBuilt {
			if now-last < 100 {
				t.Fatalf("a snapshot %v ms after the previous one", now-last)
			}
			last = now
		}
	}
	now = last + 1
	c.UpdateEndpoints(now, discovery.Update{Members: []json.RawMessage{serverEntry(0, "terminating", 0)}})
	if !c.Step(now).SnapshotsBuilt {
		t.Error("a drain waits for the batch interval")
	}
}

// TestEpochIsRaised checks that a restarted process goes above the versions that proxies hold, also if its clock was set back, but not
// above versions that no clock explains.
func TestEpochIsRaised(t *testing.T) {
	now := 1e12
	c := newStartedCore(t, now, 1, 3)
	before := c.Snapshots()[0].Version
	if c.ObserveVersion(now, before) {
		t.Error("its own version is taken for another process's")
	}
	for _, n := range []snapshot.Version{{Epoch: uint64(now) + 5, Sequence: 7}, {Epoch: uint64(now) + 50_000, Sequence: 1}} {
		if !c.ObserveVersion(now, n) {
			t.Fatalf("the epoch is not raised above %v", n)
		}
		if c.Step(now); c.ObserveVersion(now+100, snapshot.Version{Epoch: n.Epoch + 50, Sequence: 1}) {
			t.Error("the epoch is raised again too early")
		}
		now += minEpochRaiseIntervalMs
		if v := c.Snapshots()[0].Version; !n.Before(v) {
			t.Errorf("snapshot %v after a proxy holds %v", v, n)
		}
	}
	if c.ObserveVersion(now, snapshot.Version{Epoch: math.MaxUint64, Sequence: 1}) || c.ObserveVersion(now, snapshot.Version{Epoch: uint64(now + 2*maxEpochLeadMs), Sequence: 1}) {
		t.Error("the epoch is raised above a version out of bounds")
	}
}

// TestDiscoveryFails checks that the last snapshot stays while discovery fails, and that unreadable entries do not affect others.
func TestDiscoveryFails(t *testing.T) {
	now := 1e6
	c := newStartedCore(t, now, 1, 5)
	v := c.Snapshots()[0]
	for range 100 {
		now += 50
		c.DiscoveryFailed(now)
		c.Step(now)
	}
	if got := c.Snapshots()[0]; got.Digest != v.Digest {
		t.Error("the snapshot has changed without an endpoint list")
	}
	c.UpdateEndpoints(now, discovery.Update{Members: []json.RawMessage{json.RawMessage(`{"id":""}`), json.RawMessage(`[1]`), serverEntry(1, "terminating", 0)}})
	c.Step(now)
	if n := len(c.TakeErrors()); n != 2 || c.ReadyServers() != 4 {
		t.Errorf("%d errors, %d servers", n, c.ReadyServers())
	}
}

// TestAdjustmentsOutliveARestart checks that ring points are where they had been adjusted to after a restart of the control plane.
func TestAdjustmentsOutliveARestart(t *testing.T) {
	now := 1e12
	c := newStartedCore(t, now, 9, 12)
	addReports(c, &now, 12, 10)
	policy := testTrustPolicy()
	state := c.LearnedState(now, policy)
	want := cacheOf(t, c.Snapshots()[0]).Arcs()
	restarted := newCore(now, testConfig(9))
	u := discovery.Update{Complete: true, Members: []json.RawMessage{json.RawMessage(originEntry)}}
	for i := range 12 {
		u.Members = append(u.Members, serverEntry(i, discovery.PhaseInService, 0))
	}
	restarted.UpdateEndpoints(now, u)
	if trust := restarted.RestoreState(now, state, policy); trust.Global < 0.99 {
		t.Fatalf("trust %v: %v", trust.Global, trust.Reasons)
	}
	restarted.Step(now)
	for id, arc := range cacheOf(t, restarted.Snapshots()[0]).Arcs() {
		if math.Abs(arc-want[id]) > 0.01*want[id] {
			t.Errorf("server %d: arc %v, was %v", id, arc, want[id])
		}
	}
}

// BenchmarkMove measures a ring point adjustment: snapshots of three zones and of none.
func BenchmarkMove(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := 1e6
			c := newCore(now, testConfig(1))
			u := discovery.Update{Complete: true}
			for i := range n {
				u.Members = append(u.Members, serverEntry(i, discovery.PhaseInService, 0))
			}
			c.UpdateEndpoints(now, u)
			c.Step(now)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.zones[0].RingPoints(now, false, nil)
				c.pending = membershipChanged // as if a point had been adjusted
				c.zones[0].ProbeDone(now, fleet.ServerID(i%n), fleet.Completed, 0, fleet.LoadReport{Present: true, Util: float64(i%10) / 10, Queue: 1, HitRatio: 0.5})
				now += 100
				c.Step(now)
			}
		})
	}
}

// TestWeightsApproximateShares measures how far the ring of a proxy that knows weights only is from the module's: each server has about
// its share of keys, but not the same keys. The figures are logged for docs/operators/control.md.
func TestWeightsApproximateShares(t *testing.T) {
	now := 1e6
	const servers, keys = 30, 100_000
	c := newStartedCore(t, now, 7, servers)
	addReports(c, &now, servers, 12)
	unzoned := len(c.zones) - 1 // the ring of all servers
	a := &endpoint.ClusterLoadAssignment{}
	if err := c.Snapshots()[unzoned].Resources(snapshot.EndpointType).Items[0].Body.UnmarshalTo(a); err != nil {
		t.Fatal(err)
	}
	h, w := cacheOf(t, c.Snapshots()[unzoned]), fakeproxy.NewWeightedRing(a)
	arcs := h.Arcs()
	got := map[string]float64{}
	elsewhere := 0.0
	for k := range keys {
		key := fleet.Key(fleet.Mix(uint64(k) + 1))
		id := w.Owner(key)
		got[id] += 1.0 / keys
		if h.Owner(key).ID != id {
			elsewhere += 1.0 / keys
		}
	}
	worst := 0.0
	for _, s := range h.Servers() {
		worst = max(worst, math.Abs(got[s.ID]-arcs[s.Slot])/arcs[s.Slot])
	}
	t.Logf("%d servers: %.1f%% of keys elsewhere; a server's share of keys is off by up to %.0f%% of its arc", servers, 100*elsewhere, 100*worst)
	if worst > 0.5 || elsewhere < 0.5 {
		t.Errorf("shares off by %.2f, %.2f of keys elsewhere", worst, elsewhere)
	}
}

// A server that restarts is in slow start from then on by the controller's clock, however far the clock of its machine is apart.
func TestCoreStartByAnotherClock(t *testing.T) {
	const hour = 3.6e6
	for _, offset := range []float64{0, hour, -hour, 40_000, -40_000} {
		now := 1e12
		c := newStartedCore(t, now, 3, 4)
		window := c.config.Deployment.Limits.WarmUpTime + c.config.BatchIntervalMs
		now += 1000
		c.UpdateEndpoints(now, discovery.Update{Members: []json.RawMessage{serverEntry(2, discovery.PhaseInService, now+offset)}})
		if !c.warmingUp(now) || !c.warmingUp(now+window-1) || c.warmingUp(now+window+1) {
			t.Errorf("clocks %.0f ms apart: warming up %v at once, %v at the end of its time, %v after it",
				offset, c.warmingUp(now), c.warmingUp(now+window-1), c.warmingUp(now+window+1))
		}
	}
}
