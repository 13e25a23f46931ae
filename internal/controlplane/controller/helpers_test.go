package controller

import (
	"encoding/json"
	"fmt"
	"testing"

	"mintspring/internal/config/settings"
	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/ringcache"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	statesnapshot "mintspring/internal/state/snapshot"
)

// testZones are the configured zones.
var testZones = []string{"a", "b", "c"}

// testConfig returns the configuration of a core.
func testConfig(seed uint64) Config {
	return Config{
		Cluster: "boxes", BatchIntervalMs: 100, LoadReports: loadreport.Config{MinReporters: 2, MaxAgeMs: 10_000, MaxProxies: 100},
		Deployment: settings.Deployment{
			Zones: testZones, Kinds: []string{"box", "origin"}, RequestClasses: []string{"read"}, NodeIndex: -1, ConnectTimeout: 250,
			Limits: fleet.Limits{
				Seed: seed, Nodes: 4, Zones: len(testZones), OriginKind: 1, MaxAttempts: 4, PollWithin: 5000,
				StopSendingWithin: 500, ColdCapacity: 0.2, WarmUpTime: 10_000, OverloadFactor: 3, OverloadBurst: 2000, Quantum: 5,
				Classes: []fleet.Class{{LatencyObjective: 200, ClientTimeout: 1000, PriorityWeight: 1, MaxAttempts: 4}},
			},
		},
	}
}

// serverEntry is a server of the endpoint list.
func serverEntry(i int, phase string, since float64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"id":"s%d","host_port":"127.0.0.1:%d","locality":%q,"flavor":"box","phase":%q,"up_since_ms":%f}`,
		i, 1000+i, testZones[i%len(testZones)], phase, since))
}

// originEntry is the origin in the endpoint list.
const originEntry = `{"id":"o","host_port":"127.0.0.1:9","flavor":"origin","phase":"in_service"}`

// newStartedCore returns a core with n servers and the origin in its endpoint list.
func newStartedCore(t *testing.T, now float64, seed uint64, n int) *core {
	t.Helper()
	c := newCore(now, testConfig(seed))
	u := discovery.Update{Revision: 1, Complete: true, Members: []json.RawMessage{json.RawMessage(originEntry)}}
	for i := range n {
		u.Members = append(u.Members, serverEntry(i, discovery.PhaseInService, 0))
	}
	if c.Step(now).SnapshotsBuilt {
		t.Error("snapshots built before the endpoint list has arrived: proxies would take every server for gone")
	}
	c.UpdateEndpoints(now, u)
	if !c.Step(now).SnapshotsBuilt {
		t.Fatal("no snapshots of the endpoint list")
	}
	return c
}

// cacheOf returns the ring cache of a proxy that has applied a snapshot.
func cacheOf(t *testing.T, v *snapshot.Snapshot) *ringcache.Cache {
	t.Helper()
	h := ringcache.New("boxes")
	parts := map[string][]byte{}
	for _, x := range v.Resources(snapshot.RingPartType).Items {
		parts[x.Name] = x.Body.Value
	}
	if applied, err := h.Apply(ringcache.Update{Complete: true, Parts: parts}); !applied || err != nil {
		t.Fatalf("a complete snapshot is not applied: %v", err)
	}
	if h.Digest() != v.Digest {
		t.Fatalf("cached digest %x, built %x", h.Digest(), v.Digest)
	}
	return h
}

// moduleOwner returns where the decision module itself, as in a node, sends a request of a key. The attempt is never made.
func moduleOwner(m *zoneModule, now float64, key fleet.Key) fleet.ServerID {
	q := m.slab.Alloc()
	q.Key, q.HasKey, q.ArrivedAt, q.Deadline = key, true, now, now+1000
	q.Stage = 5 // a rerouted request, which is not counted when hot keys are detected
	mv := m.Route(now, q)
	id := fleet.NoServer
	if mv.Action == fleet.Send {
		id = mv.Server
		m.AttemptDone(now, q, fleet.Outcome{Attempt: mv.Attempt, Result: fleet.NotSent, Closed: true, Report: fleet.NewLoadReport()})
	}
	m.slab.Free(q)
	return id
}

// addReports lets proxies report loads that differ, so that ring points are adjusted.
func addReports(c *core, now *float64, servers, rounds int) {
	for range rounds {
		for _, p := range []string{"p1", "p2", "p3"} {
			reports := map[string]loadreport.Report{}
			for i := range servers {
				u := 0.1 + 0.8*fleet.UnitInterval(uint64(i)*1000+uint64(*now)) // none stays the busiest
				reports[fmt.Sprintf("127.0.0.1:%d", 1000+i)] = loadreport.Report{Utilization: u, QueueLength: u, HitRate: 0.8, Responses: 100}
			}
			c.AddLoadReports(*now, p, reports)
		}
		for range 10 {
			*now += 100
			c.Step(*now)
		}
	}
}

// testTrustPolicy trusts recent state of the same process name.
func testTrustPolicy() statesnapshot.Config {
	return statesnapshot.Config{HalfLife: 600_000, MaxAge: 86_400_000, PolicyFingerprint: 1, Node: "control"}
}
