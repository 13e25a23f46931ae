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

// testZones are the zones configured by testConfig.
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

// serverEntry returns the entry of a server in the endpoint list.
func serverEntry(i int, phase string, startedAt float64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"id":"s%d","host_port":"127.0.0.1:%d","locality":%q,"flavor":"box","phase":%q,"up_since_ms":%f}`,
		i, 1000+i, testZones[i%len(testZones)], phase, startedAt))
}

// originEntry is the entry of the origin in the endpoint list.
const originEntry = `{"id":"o","host_port":"127.0.0.1:9","flavor":"origin","phase":"in_service"}`

// newStartedCore returns a core that has received an endpoint list with servers and the origin, and has built snapshots. It also checks
// that the core builds none before.
func newStartedCore(t *testing.T, now float64, seed uint64, servers int) *core {
	t.Helper()
	c := newCore(now, testConfig(seed))
	update := discovery.Update{Revision: 1, Complete: true, Members: []json.RawMessage{json.RawMessage(originEntry)}}
	for i := range servers {
		update.Members = append(update.Members, serverEntry(i, discovery.PhaseInService, 0))
	}
	if c.Step(now).SnapshotsBuilt {
		t.Error("snapshots built before the endpoint list has arrived: proxies would consider every server removed")
	}
	c.UpdateEndpoints(now, update)
	if !c.Step(now).SnapshotsBuilt {
		t.Fatal("no snapshots built after the endpoint list has arrived")
	}
	return c
}

// cacheOf returns the ring cache of a proxy that has applied the given snapshot.
func cacheOf(t *testing.T, built *snapshot.Snapshot) *ringcache.Cache {
	t.Helper()
	cache := ringcache.New("boxes")
	parts := map[string][]byte{}
	for _, resource := range built.Resources(snapshot.RingPartType).Items {
		parts[resource.Name] = resource.Body.Value
	}
	if applied, err := cache.Apply(ringcache.Update{Complete: true, Parts: parts}); !applied || err != nil {
		t.Fatalf("a complete snapshot is not applied: %v", err)
	}
	if cache.Digest() != built.Digest {
		t.Fatalf("cached digest %x, built %x", cache.Digest(), built.Digest)
	}
	return cache
}

// moduleOwner returns the server to which the decision module routes a request for a key, as it does in a node. The attempt is reported as
// not sent.
func moduleOwner(module *zoneModule, now float64, key fleet.Key) fleet.ServerID {
	request := module.slab.Alloc()
	request.Key, request.HasKey, request.ArrivedAt, request.Deadline = key, true, now, now+1000
	request.Stage = 5 // a rerouted request, which the detection of hot keys does not count
	decision := module.Route(now, request)
	id := fleet.NoServer
	if decision.Action == fleet.Send {
		id = decision.Server
		module.AttemptDone(now, request, fleet.Outcome{Attempt: decision.Attempt, Result: fleet.NotSent, Closed: true, Report: fleet.NewLoadReport()})
	}
	module.slab.Free(request)
	return id
}

// addReports adds load reports of three proxies in each round. The loads of the servers differ, so that ring points are adjusted.
func addReports(c *core, now *float64, servers, rounds int) {
	for range rounds {
		for _, proxy := range []string{"p1", "p2", "p3"} {
			reports := map[string]loadreport.Report{}
			for i := range servers {
				utilization := 0.1 + 0.8*fleet.UnitInterval(uint64(i)*1000+uint64(*now)) // changes in each round, so that no server always has the highest load
				reports[fmt.Sprintf("127.0.0.1:%d", 1000+i)] = loadreport.Report{Utilization: utilization, QueueLength: utilization, HitRate: 0.8, Responses: 100}
			}
			c.AddLoadReports(*now, proxy, reports)
		}
		for range 10 {
			*now += 100
			c.Step(*now)
		}
	}
}

// testTrustPolicy returns a policy that trusts recent state saved under the same node name.
func testTrustPolicy() statesnapshot.Config {
	return statesnapshot.Config{HalfLife: 600_000, MaxAge: 86_400_000, PolicyFingerprint: 1, Node: "control"}
}
