package experiment

import (
	"encoding/json"
	"fmt"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
)

// micros is a duration in the platform's settings, in microseconds.
type micros int64

// toMicros converts a duration by way of floating-point ms: the results of recorded runs depend on that rounding.
func toMicros(d tomlfile.Duration) micros { return micros(d.Milliseconds() * microsPerMs) }

// nodeSettings holds the platform's settings of a node, in the JSON form that package settings reads.
type nodeSettings struct {
	NInstances     int
	SelfIndex      int
	Discovery      string
	FailureDomains []string
	Locality       int
	Kinds          []string
	FamilyInfo     familyInfo
	Tenants        []tenantSettings
	Workloads      []classSettings
	Quantum        micros
	PolicyLimits   policyLimits
	Guarantees     guarantees
}

type familyInfo struct {
	Mode       string
	OriginKind *int `json:",omitempty"`
}

type tenantSettings struct {
	Name  string
	Share float64
}

type classSettings struct {
	Name             string
	SloTime          micros
	StatementTimeout micros
	Importance       float64
	TardyImportance  float64
	Effect           string
	DedupScope       string `json:",omitempty"`
	MemorySpan       micros `json:",omitempty"`
}

type policyLimits struct {
	Cancelling, RetryAfter, SecondCopies, Probes bool
	ConnIdle, ConnectTimeout, MaxRetryAfter      micros
	MaxExecutions                                int
}

type guarantees struct {
	AnswerSlack, MustAskIn, StopSendingWithin micros
	StartCapacity                             float64
	WarmWithin                                micros
	FallMultiple                              float64
	TipAfter                                  micros
}

// settingsEffects maps write semantics to the names of effects in the settings.
var settingsEffects = map[invariants.WriteSemantics]string{
	invariants.Idempotent: "pure", invariants.Deduplicated: "token", invariants.NonIdempotent: "side_effect",
}

// originKindIndex is the index of the origin's kind in nodeSettings.Kinds.
const originKindIndex = 1

// NodeSeed returns the seed of a node in a run with the given seed.
func NodeSeed(seed uint64, node int) uint64 {
	const seedStride = 1_000_003 // keeps the node seeds of runs with consecutive seeds distinct
	return seed*seedStride + uint64(node) + 1
}

// NodeSettings returns the platform's settings of a node, as JSON.
func (x *Experiment) NodeSettings(node int) ([]byte, error) {
	text, err := json.Marshal(x.nodeSettings(node))
	if err != nil {
		return nil, fmt.Errorf("encoding the settings of node %d: %w", node, err)
	}
	return text, nil
}

// RetunedSettings returns changed settings for a node, as operators may apply them under load: idempotent writes become non-idempotent, a
// class is added, and one more attempt is allowed.
func (x *Experiment) RetunedSettings(node int) ([]byte, error) {
	s := x.nodeSettings(node)
	for i := range x.Classes {
		if x.Classes[i].BecomesStricter() {
			s.Workloads[i].Effect = settingsEffects[invariants.NonIdempotent]
		}
	}
	added := x.Classes[0].settings()
	added.Name = addedClass
	s.Workloads = append(s.Workloads, added)
	s.PolicyLimits.MaxExecutions++
	text, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encoding the retuned settings of node %d: %w", node, err)
	}
	return text, nil
}

// addedClass is the name of the class that RetunedSettings adds.
const addedClass = "added-by-retuning"

// BecomesStricter reports whether requests of the class may be repeated, but not under RetunedSettings.
func (c *ClassConfig) BecomesStricter() bool { return c.Write && c.semantics == invariants.Idempotent }

func (x *Experiment) nodeSettings(node int) *nodeSettings {
	originKind := originKindIndex
	family := familyInfo{Mode: "aside", OriginKind: &originKind}
	if x.Fleet.FetchThrough {
		family = familyInfo{Mode: "through"}
	}
	rules, cache := &x.Rules, &x.Fleet.Groups[0]
	s := &nodeSettings{
		NInstances: x.Nodes.Count, SelfIndex: node, Discovery: "subscribe",
		FailureDomains: x.Fleet.Zones, Locality: node % len(x.Fleet.Zones),
		Kinds: []string{fakes.CacheKind, fakes.OriginKind}, FamilyInfo: family, Quantum: toMicros(x.Nodes.Quantum),
		PolicyLimits: policyLimits{
			Cancelling: true, RetryAfter: rules.MaxRetryAfter > 0, SecondCopies: rules.Hedging, Probes: rules.Probes,
			ConnIdle: toMicros(rules.ConnectionIdleTimeout), ConnectTimeout: toMicros(rules.ConnectTimeout),
			MaxRetryAfter: toMicros(rules.MaxRetryAfter), MaxExecutions: rules.MaxAttempts,
		},
		Guarantees: guarantees{
			AnswerSlack: toMicros(rules.AnswerSlack), MustAskIn: toMicros(rules.MaxListAge), StopSendingWithin: toMicros(rules.DrainGrace),
			StartCapacity: cache.StartCapacity, WarmWithin: toMicros(cache.WarmWithin),
			FallMultiple: cache.OverloadMultiple, TipAfter: toMicros(cache.OverloadWindow),
		},
	}
	for i := range x.Classes {
		s.Workloads = append(s.Workloads, x.Classes[i].settings())
	}
	for _, tenant := range x.Tenants {
		s.Tenants = append(s.Tenants, tenantSettings(tenant))
	}
	return s
}

func (c *ClassConfig) settings() classSettings {
	s := classSettings{
		Name: c.Name, SloTime: toMicros(c.LatencyObjective), StatementTimeout: toMicros(c.Timeout),
		Importance: c.PriorityWeight, TardyImportance: c.LateWeightShare, Effect: settingsEffects[c.semantics],
	}
	if c.semantics == invariants.Deduplicated {
		s.DedupScope, s.MemorySpan = "all", toMicros(c.DedupWindow)
	}
	return s
}
