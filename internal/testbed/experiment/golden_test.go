package experiment

import (
	"reflect"
	"testing"

	"mintspring/internal/testbed/goldentest"
	"mintspring/internal/testbed/invariants"
)

func pointerTo[T any](v T) *T { return &v }

// goldenFull returns the content of testdata/golden/full.toml, which sets the keys of an experiment file to values that are not defaults.
func goldenFull() *Experiment {
	return &Experiment{
		Name: "full", About: "every field of an experiment file", Seed: 42, Settle: 1500 * millisecond, Length: 20 * second,
		Fleet: goldenFleet(),
		Nodes: NodesConfig{
			Count: 3, MemoryMB: 193, Sockets: 1025, Cores: 1.5, CoreShare: 0.25, KnownList: true, OperatorFile: "operator.toml", Quantum: 6 * millisecond,
			ClockSkew: 7 * millisecond, ClockDrift: 0.01, RequestCost: millisecond, TrafficWeights: []int{1, 5, 20}, FailureDetectionDelay: 1100 * millisecond,
		},
		Rules: RulesConfig{
			DrainGrace: 510 * millisecond, AnswerSlack: 21 * millisecond, MaxAttempts: 5, Hedging: false,
			MaxRetryAfter: 1200 * millisecond, MaxListAge: 11 * second, ConnectionIdleTimeout: 31 * second, ConnectTimeout: 260 * millisecond,
		},
		Classes: goldenClasses(),
		Tenants: []TenantConfig{{Name: "one", Share: 0.75}, {Name: "two", Share: 0.25}},
		Load: LoadConfig{
			Rate: 201.5, Keys: 2001, ZipfExponent: 0.95, ValueBytes: 201, Connections: "drop", Retries: 2, RetryWait: 110 * millisecond,
			HonourRetryAfter: false, AttemptTimeoutShare: 0.5, FlagRetries: false, RetryAlways: true, WarmCaches: true,
		},
		Steps: []Step{
			{Time: second, Action: "late_surplus", Server: "box-0", Value: 0.5, Delay: 30 * millisecond, Duration: 2 * second, Interval: 5 * second, Repeats: 3},
			{Time: 2 * second, Action: "kill", Zone: "b"},
			{Time: 3 * second, Action: "reset", Share: 0.5},
			{Time: 4 * second, Action: "kill_node", Node: pointerTo(2)},
			{
				Time: 5 * second, Action: "injure_peers", Nodes: []int{0, 1}, Peers: []int{2}, OneWay: true, LossRate: 0.1, Delay: 20 * millisecond,
				Jitter: 10 * millisecond, Duplicates: 2, DuplicateDelay: 5 * millisecond, CorruptRate: 0.2, TruncateRate: 0.3, BytesPerSecond: 1000,
			},
		},
		Expectations: []Expectation{
			{Figure: "in_slo", AtLeast: pointerTo(0.9), Class: "read", Server: "box-1", From: second, To: 9 * second, BindsBaselines: true},
			{Figure: "p99_ms", AtMost: pointerTo(100.0)},
		},
	}
}

// goldenFleet returns the section [fleet] of full.toml.
func goldenFleet() FleetConfig {
	return FleetConfig{
		Zones: []string{"a", "b"},
		Groups: []ServerGroup{
			{Count: 3, Zone: "b", Size: 1.5, EmptyCache: true, ServerConfig: ServerConfig{
				Cores: 3, Speed: 1.25, QueueLimit: 41, MaxConnections: 101, Handshake: 3 * millisecond, StartCapacity: 0.25,
				WarmWithin: 11 * second, OverloadMultiple: 3.5, OverloadWindow: 2100 * millisecond, RecoveryTime: 5100 * millisecond, CacheObjects: 4001,
				ReportInterval: 510 * millisecond, ReportNoise: 0.06,
			}},
			{Count: 2, Size: 1, ServerConfig: ServerConfig{
				Cores: 2, Speed: 1, QueueLimit: 40, MaxConnections: 100, Handshake: 2 * millisecond, StartCapacity: 0.2,
				WarmWithin: 10 * second, OverloadMultiple: 3, OverloadWindow: 2 * second, CacheObjects: 4000, ReportInterval: 500 * millisecond, ReportNoise: 0.05,
			}},
		},
		Origin: ServerConfig{
			Cores: 5, Speed: 0.75, QueueLimit: 201, MaxConnections: 2001, Handshake: 4 * millisecond, StartCapacity: 0.5,
			WarmWithin: 12 * second, OverloadMultiple: 2.75, OverloadWindow: 3100 * millisecond, RecoveryTime: 5200 * millisecond, CacheObjects: 7,
			ReportInterval: 520 * millisecond, ReportNoise: 0.07,
		},
		FetchThrough: true, DiscoveryDelay: 210 * millisecond,
	}
}

// goldenClasses returns the classes of full.toml.
func goldenClasses() []ClassConfig {
	return []ClassConfig{
		{
			Name: "read", Share: 0.5, Effect: "idempotent", LatencyObjective: 510 * millisecond, Timeout: 2100 * millisecond, PriorityWeight: 1.5,
			LateWeightShare: 0.25, CacheWork: 6 * millisecond, OriginWork: 21 * millisecond, CostSpread: 0.5, semantics: invariants.Idempotent,
		},
		{
			Name: "note", Share: 0.25, Effect: "deduplicated", Write: true, LatencyObjective: 500 * millisecond, Timeout: 2 * second, PriorityWeight: 1,
			DedupWindow: 5 * second, CacheWork: 5 * millisecond, OriginWork: 20 * millisecond, semantics: invariants.Deduplicated,
		},
		{
			Name: "sale", Share: 0.25, Effect: "non-idempotent", Write: true, LatencyObjective: 500 * millisecond, Timeout: 2 * second, PriorityWeight: 1,
			CacheWork: 5 * millisecond, OriginWork: 20 * millisecond, semantics: invariants.NonIdempotent,
		},
	}
}

// goldenMinimal returns the content of testdata/golden/minimal.toml, which leaves all other fields at their defaults.
func goldenMinimal() *Experiment {
	return &Experiment{
		Name: "minimal", Seed: 1, Settle: 5 * second, Length: 15 * second,
		Fleet: FleetConfig{
			Zones: []string{"a"},
			Groups: []ServerGroup{{Count: 1, Size: 1, ServerConfig: ServerConfig{
				Cores: 2, Speed: 1, QueueLimit: 40, MaxConnections: 100, Handshake: 2 * millisecond, StartCapacity: 0.2,
				WarmWithin: 10 * second, OverloadMultiple: 3, OverloadWindow: 2 * second, CacheObjects: 4000, ReportInterval: 500 * millisecond, ReportNoise: 0.05,
			}}},
			Origin: ServerConfig{
				Cores: 4, Speed: 1, QueueLimit: 200, MaxConnections: 2000, Handshake: millisecond, OverloadMultiple: 2.5,
				OverloadWindow: 3 * second, RecoveryTime: 5 * second, ReportInterval: 500 * millisecond, ReportNoise: 0.05,
			},
			DiscoveryDelay: 200 * millisecond,
		},
		Nodes: NodesConfig{Count: 2, MemoryMB: 192, Sockets: 1024, Cores: 1, Quantum: 5 * millisecond, FailureDetectionDelay: second},
		Rules: RulesConfig{
			DrainGrace: 500 * millisecond, AnswerSlack: 20 * millisecond, MaxAttempts: 4, Hedging: true, MaxRetryAfter: second,
			MaxListAge: 10 * second, ConnectionIdleTimeout: 30 * second, ConnectTimeout: 250 * millisecond,
		},
		Classes: []ClassConfig{{
			Name: "read", Share: 1, Effect: "idempotent", LatencyObjective: 500 * millisecond, Timeout: 2 * second, PriorityWeight: 1,
			CacheWork: 5 * millisecond, OriginWork: 20 * millisecond, semantics: invariants.Idempotent,
		}},
		Tenants: []TenantConfig{{Name: "all", Share: 1}},
		Load: LoadConfig{
			Rate: 200, Keys: 2000, ZipfExponent: 0.9, ValueBytes: 200, Connections: "keep", RetryWait: 100 * millisecond, HonourRetryAfter: true,
			AttemptTimeoutShare: 1, FlagRetries: true,
		},
	}
}

// The keys and defaults of experiment files must not change, since existing files depend on them.
func TestGoldenExperiments(t *testing.T) {
	for name, want := range map[string]*Experiment{"full.toml": goldenFull(), "minimal.toml": goldenMinimal()} {
		text := goldentest.Read(t, name)
		x, err := Parse(name, string(text))
		if err != nil {
			t.Fatal(err)
		}
		x.file = nil // only used for errors
		if !reflect.DeepEqual(x, want) {
			t.Errorf("%s reads as\n%+v\nwant\n%+v", name, x, want)
		}
	}
}
