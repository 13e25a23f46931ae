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

// TestOwnersMatchDecisionModule checks that the ring cache of a proxy finds the same owner as the decision module for 100,000 keys in every
// zone, after at least 50 ring point adjustments and with one server draining.
func TestOwnersMatchDecisionModule(t *testing.T) {
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
		cache := cacheOf(t, c.Snapshots()[z])
		differing, unowned := 0, 0
		for k := range 100_000 {
			key := fleet.Key(fleet.Mix(uint64(k) + 1))
			want, got := moduleOwner(&c.zones[z], now, key), cache.Owner(key)
			switch {
			case want == fleet.NoServer || got == nil:
				unowned++
			case got.Slot != want:
				differing++
			case got.ID == "s4":
				t.Fatal("a key is owned by a draining server")
			}
		}
		if differing > 0 || unowned > 0 {
			t.Errorf("zone %d: %d of 100000 keys have another owner, %d none", z, differing, unowned)
		}
	}
}

// TestSameRingInAllZones checks that the ring of all servers is the same in each zone, since all modules get the same input.
func TestSameRingInAllZones(t *testing.T) {
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

// arcsWithFaultyReports returns the arcs of nine servers after load reports of honest and faulty proxies. The faulty ones report the given
// utilization for one server and claim a huge number of responses.
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

// TestFaultyReportsAdjustNoPoints checks that a faulty proxy which reports a server as overloaded or idle causes no ring point adjustment,
// be it the only proxy or one beside up to three honest ones. It also checks that three proxies that agree do cause an adjustment.
func TestFaultyReportsAdjustNoPoints(t *testing.T) {
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
	adjusted := false
	for id, arc := range arcsWithFaultyReports(t, 1, 0, 3) {
		adjusted = adjusted || arc != want[id]
	}
	if !adjusted {
		t.Error("three proxies that agree adjust no point: the test could not fail")
	}
}

// TestReturnUnderTheSameID checks that a server that drains, leaves and returns under its ID within a second counts as a new server: the
// minimum sequence rises, so that proxies stop using earlier snapshots.
func TestReturnUnderTheSameID(t *testing.T) {
	now := 1e6
	c := newStartedCore(t, now, 1, 6)
	minSequence := c.Snapshots()[0].MinSequence
	for _, step := range []struct {
		phase     string
		startedAt float64
		state     fleet.State
		removed   bool // a server that proxies may be sending to is removed
	}{
		{"terminating", 0, fleet.Draining, true},
		{discovery.PhaseTerminated, 0, fleet.Gone, false},
		{discovery.PhaseInService, now + 200, fleet.Ready, true}, // a new process
		{discovery.PhaseInService, now + 300, fleet.Ready, true}, // replaced by another process, without a terminated phase in between
	} {
		now += 100
		c.UpdateEndpoints(now, discovery.Update{Members: []json.RawMessage{serverEntry(2, step.phase, step.startedAt)}})
		if !c.Step(now).SnapshotsBuilt {
			t.Fatalf("%s: no snapshot is built at once", step.phase)
		}
		built := c.Snapshots()[0]
		if removed := built.MinSequence > minSequence; removed != step.removed {
			t.Errorf("%s: minimum sequence %d, was %d", step.phase, built.MinSequence, minSequence)
		}
		minSequence = built.MinSequence
		cache := cacheOf(t, built)
		got, arc := fleet.Gone, 0.0
		for _, server := range cache.Servers() {
			if server.ID == "s2" {
				got, arc = server.State, cache.Arcs()[server.Slot]
			}
		}
		if got != step.state || (arc > 0) != (step.state == fleet.Ready) {
			t.Errorf("%s: state %d, arc %v", step.phase, got, arc)
		}
	}
	// The new process is in slow start. It owns a small part of its arc, and its successor owns the rest.
	cache := cacheOf(t, c.Snapshots()[0])
	owned := 0
	for k := range 20_000 {
		if owner := cache.Owner(fleet.Key(fleet.Mix(uint64(k) + 1))); owner != nil && owner.ID == "s2" {
			owned++
		}
	}
	if owned == 0 || owned > 20_000/6/2 {
		t.Errorf("a server that has just started owns %d of 20000 keys among six", owned)
	}
}

// TestBatchInterval checks that snapshots with ring point adjustments are at least the batch interval apart, and that a snapshot with a
// drain is built at once.
func TestBatchInterval(t *testing.T) {
	now := 1e6
	c := newStartedCore(t, now, 1, 12)
	last := now
	for i := range 2000 {
		now += 5
		utilization := 0.5 + 0.4*math.Sin(float64(i)/3)
		for _, proxy := range []string{"p1", "p2"} {
			c.AddLoadReports(now, proxy, map[string]loadreport.Report{fmt.Sprintf("127.0.0.1:%d", 1000+i%12): {Utilization: utilization, QueueLength: 9 * utilization, HitRate: 0.5, Responses: 1}})
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
		t.Error("the snapshot with the drain waits for the batch interval")
	}
}

// TestEpochIsRaisedAboveHeldVersions checks that a process whose clock was set back raises its epoch above the versions that proxies hold,
// but not too often and not above versions too far ahead of its clock.
func TestEpochIsRaisedAboveHeldVersions(t *testing.T) {
	now := 1e12
	c := newStartedCore(t, now, 1, 3)
	ownVersion := c.Snapshots()[0].Version
	if c.ObserveVersion(now, ownVersion) {
		t.Error("the epoch is raised above the process's own version")
	}
	for _, held := range []snapshot.Version{{Epoch: uint64(now) + 5, Sequence: 7}, {Epoch: uint64(now) + 50_000, Sequence: 1}} {
		if !c.ObserveVersion(now, held) {
			t.Fatalf("the epoch is not raised above %v", held)
		}
		if c.Step(now); c.ObserveVersion(now+100, snapshot.Version{Epoch: held.Epoch + 50, Sequence: 1}) {
			t.Error("the epoch is raised again too early")
		}
		now += minEpochRaiseIntervalMs
		if newest := c.Snapshots()[0].Version; !held.Before(newest) {
			t.Errorf("snapshot %v is not newer than the version %v that a proxy holds", newest, held)
		}
	}
	if c.ObserveVersion(now, snapshot.Version{Epoch: math.MaxUint64, Sequence: 1}) || c.ObserveVersion(now, snapshot.Version{Epoch: uint64(now + 2*maxEpochLeadMs), Sequence: 1}) {
		t.Error("the epoch is raised above a version too far ahead of the clock")
	}
}

// TestSnapshotStaysWhileDiscoveryFails checks that the last snapshot stays in use while discovery fails, and that invalid entries do not
// affect the others.
func TestSnapshotStaysWhileDiscoveryFails(t *testing.T) {
	now := 1e6
	c := newStartedCore(t, now, 1, 5)
	previous := c.Snapshots()[0]
	for range 100 {
		now += 50
		c.DiscoveryFailed(now)
		c.Step(now)
	}
	if got := c.Snapshots()[0]; got.Digest != previous.Digest {
		t.Error("the snapshot has changed while discovery fails")
	}
	c.UpdateEndpoints(now, discovery.Update{Members: []json.RawMessage{json.RawMessage(`{"id":""}`), json.RawMessage(`[1]`), serverEntry(1, "terminating", 0)}})
	c.Step(now)
	if n := len(c.TakeErrors()); n != 2 || c.ReadyServers() != 4 {
		t.Errorf("%d errors, %d servers", n, c.ReadyServers())
	}
}

// TestAdjustmentsSurviveRestart checks that a restarted control plane restores the adjusted ring points from the saved state.
func TestAdjustmentsSurviveRestart(t *testing.T) {
	now := 1e12
	c := newStartedCore(t, now, 9, 12)
	addReports(c, &now, 12, 10)
	policy := testTrustPolicy()
	state := c.LearnedState(now, policy)
	want := cacheOf(t, c.Snapshots()[0]).Arcs()
	restarted := newCore(now, testConfig(9))
	update := discovery.Update{Complete: true, Members: []json.RawMessage{json.RawMessage(originEntry)}}
	for i := range 12 {
		update.Members = append(update.Members, serverEntry(i, discovery.PhaseInService, 0))
	}
	restarted.UpdateEndpoints(now, update)
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

// BenchmarkRingPointAdjustment measures a ring point adjustment, including the snapshots for three zones and for unknown zones.
func BenchmarkRingPointAdjustment(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := 1e6
			c := newCore(now, testConfig(1))
			update := discovery.Update{Complete: true}
			for i := range n {
				update.Members = append(update.Members, serverEntry(i, discovery.PhaseInService, 0))
			}
			c.UpdateEndpoints(now, update)
			c.Step(now)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.zones[0].RingPoints(now, false, nil)
				c.pending = membershipChanged // forces a build as if a server had changed
				c.zones[0].ProbeDone(now, fleet.ServerID(i%n), fleet.Completed, 0, fleet.LoadReport{Present: true, Util: float64(i%10) / 10, Queue: 1, HitRatio: 0.5})
				now += 100
				c.Step(now)
			}
		})
	}
}

// TestWeightsApproximateShares compares a proxy that uses endpoint weights with one that uses the ring: each server gets about the same
// share of keys, but not the same keys. The deviations that the test logs are stated in docs/operators/control.md.
func TestWeightsApproximateShares(t *testing.T) {
	now := 1e6
	const servers, keys = 30, 100_000
	c := newStartedCore(t, now, 7, servers)
	addReports(c, &now, servers, 12)
	unknownZoneIndex := len(c.zones) - 1 // its proxies use the ring of all servers only
	assignment := &endpoint.ClusterLoadAssignment{}
	if err := c.Snapshots()[unknownZoneIndex].Resources(snapshot.EndpointType).Items[0].Body.UnmarshalTo(assignment); err != nil {
		t.Fatal(err)
	}
	cache, weighted := cacheOf(t, c.Snapshots()[unknownZoneIndex]), fakeproxy.NewWeightedRing(assignment)
	arcs := cache.Arcs()
	share := map[string]float64{}
	differing := 0.0
	for k := range keys {
		key := fleet.Key(fleet.Mix(uint64(k) + 1))
		id := weighted.Owner(key)
		share[id] += 1.0 / keys
		if cache.Owner(key).ID != id {
			differing += 1.0 / keys
		}
	}
	maxDeviation := 0.0
	for _, server := range cache.Servers() {
		maxDeviation = max(maxDeviation, math.Abs(share[server.ID]-arcs[server.Slot])/arcs[server.Slot])
	}
	t.Logf("%d servers: %.1f%% of keys have another owner; a server's share of keys is off by up to %.0f%% of its arc", servers, 100*differing, 100*maxDeviation)
	if maxDeviation > 0.5 || differing < 0.5 {
		t.Errorf("shares off by %.2f, %.2f of keys have another owner", maxDeviation, differing)
	}
}

// TestSlowStartDespiteClockOffset checks that the slow start of a restarted server is timed by the controller's clock, however far the clock
// of the server's machine is off.
func TestSlowStartDespiteClockOffset(t *testing.T) {
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
