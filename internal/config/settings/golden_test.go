package settings

import (
	"reflect"
	"testing"

	"mintspring/internal/fleet"
	"mintspring/internal/testbed/goldentest"
)

// TestGolden checks that a settings object with every key is read into the same values as by earlier builds.
func TestGolden(t *testing.T) {
	text := goldentest.Read(t, "settings.json")
	want := Deployment{
		RequestClasses: []string{"read", "credit-sale", "any", "write"}, Tenants: []string{"petitions", "permits"},
		Kinds: []string{"small", "large", "origin"}, Zones: []string{"a", "b", "c"},
		NodeIndex: 2, MaxInFlight: 700, ConnectTimeout: 500, ConnIdleTimeout: 15000,
		Limits: fleet.Limits{
			Seed: 0x8c1f30d27a5be964, Nodes: 4, Zone: 1, Zones: 3, OriginKind: 2,
			Classes: []fleet.Class{
				{
					Effect: fleet.Idempotent, DedupScope: fleet.DedupCell, LatencyObjective: 300, ObjectivePerWork: 0.5, ClientTimeout: 900.5, PriorityWeight: 2.5,
					LateWeightFactor: 0.25, MaxAttempts: 4,
				},
				{
					Effect: fleet.Deduplicated, DedupScope: fleet.DedupZone, LatencyObjective: 1000, ClientTimeout: 2000, DedupWindow: 5000, PriorityWeight: 8,
					MaxAttempts: 4,
				},
				{Effect: fleet.Deduplicated, DedupScope: fleet.DedupAll, LatencyObjective: 1500, ClientTimeout: 3000, MaxAttempts: 4, Stream: true},
				{Effect: fleet.NonIdempotent, DedupScope: fleet.DedupCell, LatencyObjective: 2, ClientTimeout: 4, MaxAttempts: 4},
			},
			MaxAttempts: 4, Hedging: true, Cancellation: true, SendRetryAfter: true, MaxRetryAfter: 1250, Subscribe: true,
			PollWithin: 10000, StopSendingWithin: 6000, ColdCapacity: 0.3, WarmUpTime: 20000, OverloadFactor: 1.5, OverloadBurst: 250,
			AnswerSlack: 50.5, Quantum: 0.25, UnusedAttemptCost: 0.125,
		},
	}
	if got, err := Parse(text, 0x8c1f30d27a5be964); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v, want %+v", got, err, want)
	}
}
