package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"mintspring/internal/fleet"
)

// settingsObject is the JSON object of settings. Times are in µs.
type settingsObject struct {
	NInstances     int            `json:"NInstances"`
	SelfIndex      *int           `json:"SelfIndex"`
	Workloads      []requestClass `json:"Workloads"`
	Tenants        []tenant       `json:"Tenants"`
	Discovery      string         `json:"Discovery"`
	FamilyInfo     familyInfo     `json:"FamilyInfo"`
	PolicyLimits   policyLimits   `json:"PolicyLimits"`
	Locality       int            `json:"Locality"`
	FailureDomains []string       `json:"FailureDomains"`
	Kinds          []string       `json:"Kinds"`
	Penalties      penalties      `json:"Penalties"`
	Guarantees     guarantees     `json:"Guarantees"`
	Quantum        float64        `json:"Quantum"`
}

type requestClass struct {
	Name             string  `json:"Name"`
	AimStretch       float64 `json:"AimStretch"`
	SLOTime          float64 `json:"SloTime"`
	StatementTimeout float64 `json:"StatementTimeout"`
	MemorySpan       float64 `json:"MemorySpan"`
	Importance       float64 `json:"Importance"`
	TardyImportance  float64 `json:"TardyImportance"`
	Effect           string  `json:"Effect"`
	DedupScope       string  `json:"DedupScope"`
	Stream           bool    `json:"Stream"`
}

type tenant struct {
	Name string `json:"Name"`
}

type familyInfo struct {
	Mode       string `json:"Mode"`
	OriginKind *int   `json:"OriginKind"`
}

type policyLimits struct {
	MaxExecutions  json.RawMessage `json:"MaxExecutions"`
	OpenCap        int             `json:"OpenCap"`
	SecondCopies   bool            `json:"SecondCopies"`
	Cancelling     bool            `json:"Cancelling"`
	RetryAfter     bool            `json:"RetryAfter"`
	MaxRetryAfter  float64         `json:"MaxRetryAfter"`
	ConnectTimeout float64         `json:"ConnectTimeout"`
	ConnIdle       float64         `json:"ConnIdle"`
	Probes         bool            `json:"Probes"`
}

type penalties struct {
	Waste float64 `json:"Waste"`
}

type guarantees struct {
	AnswerSlack       float64 `json:"AnswerSlack"`
	MustAskIn         float64 `json:"MustAskIn"`
	StopSendingWithin float64 `json:"StopSendingWithin"`
	StartCapacity     float64 `json:"StartCapacity"`
	WarmWithin        float64 `json:"WarmWithin"`
	FallMultiple      float64 `json:"FallMultiple"`
	TipAfter          float64 `json:"TipAfter"`
}

// Values of string settings.
const (
	discoverySubscribe = "subscribe"
	modeCacheAside     = "aside"
	effectPure         = "pure"
	effectToken        = "token"
	dedupScopeAll      = "all"
	dedupScopeZone     = "zone"
)

// msPerMicrosecond converts the times in the settings to ms.
const msPerMicrosecond = 1.0 / 1000

// Parse parses the settings. Keys may be absent, and unknown keys are ignored.
func Parse(text []byte, seed uint64) (Deployment, error) {
	var o settingsObject
	if err := json.Unmarshal(text, &o); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	maxAttempts, err := parseMaxAttempts(o.PolicyLimits.MaxExecutions)
	if err != nil {
		return Deployment{}, err
	}
	d := Deployment{
		Limits:          o.fleetLimits(seed, maxAttempts),
		Kinds:           o.Kinds,
		Zones:           o.FailureDomains,
		NodeIndex:       -1,
		MaxInFlight:     o.PolicyLimits.OpenCap,
		ConnectTimeout:  o.PolicyLimits.ConnectTimeout * msPerMicrosecond,
		ConnIdleTimeout: o.PolicyLimits.ConnIdle * msPerMicrosecond,
		ProbesAllowed:   o.PolicyLimits.Probes,
	}
	if o.SelfIndex != nil {
		d.NodeIndex = *o.SelfIndex
	}
	for _, t := range o.Tenants {
		d.Tenants = append(d.Tenants, t.Name)
	}
	for _, class := range o.Workloads {
		d.Limits.Classes = append(d.Limits.Classes, class.fleetClass(maxAttempts))
		d.RequestClasses = append(d.RequestClasses, class.Name)
	}
	return d, nil
}

// parseMaxAttempts parses a number of attempts; it returns 0 if the number is absent.
func parseMaxAttempts(text json.RawMessage) (int, error) {
	if text == nil {
		return 0, nil
	}
	var v float64
	if json.Unmarshal(text, &v) != nil || string(text) == "null" || v < 1 || v > 1e9 || v != math.Trunc(v) {
		return 0, fmt.Errorf("settings: PolicyLimits.MaxExecutions: %.40s is not a whole number above 0", text)
	}
	return int(v), nil
}

// fleetLimits returns the limits of the decision module, without the request classes.
func (o *settingsObject) fleetLimits(seed uint64, maxAttempts int) fleet.Limits {
	g, p := &o.Guarantees, &o.PolicyLimits
	limits := fleet.Limits{
		Seed:              seed,
		Nodes:             max(o.NInstances, 1),
		Zone:              fleet.ZoneID(o.Locality),
		Zones:             len(o.FailureDomains),
		OriginKind:        -1,
		MaxAttempts:       maxAttempts,
		Hedging:           p.SecondCopies,
		Cancellation:      p.Cancelling,
		SendRetryAfter:    p.RetryAfter,
		MaxRetryAfter:     p.MaxRetryAfter * msPerMicrosecond,
		Subscribe:         o.Discovery == discoverySubscribe,
		PollWithin:        g.MustAskIn * msPerMicrosecond,
		StopSendingWithin: g.StopSendingWithin * msPerMicrosecond,
		ColdCapacity:      g.StartCapacity,
		WarmUpTime:        g.WarmWithin * msPerMicrosecond,
		OverloadFactor:    g.FallMultiple,
		OverloadBurst:     g.TipAfter * msPerMicrosecond,
		AnswerSlack:       g.AnswerSlack * msPerMicrosecond,
		Quantum:           o.Quantum * msPerMicrosecond,
		UnusedAttemptCost: o.Penalties.Waste,
	}
	if o.FamilyInfo.Mode == modeCacheAside && o.FamilyInfo.OriginKind != nil {
		limits.OriginKind = fleet.KindID(*o.FamilyInfo.OriginKind)
	}
	return limits
}

// fleetClass converts the request class for the decision module. An unknown effect or deduplication scope becomes the strictest
// one.
func (c *requestClass) fleetClass(maxAttempts int) fleet.Class {
	class := fleet.Class{
		Effect:           fleet.NonIdempotent,
		DedupScope:       fleet.DedupCell,
		LatencyObjective: c.SLOTime * msPerMicrosecond,
		ObjectivePerWork: c.AimStretch,
		ClientTimeout:    c.StatementTimeout * msPerMicrosecond,
		DedupWindow:      c.MemorySpan * msPerMicrosecond,
		PriorityWeight:   c.Importance,
		LateWeightFactor: c.TardyImportance,
		Stream:           c.Stream,
		MaxAttempts:      maxAttempts,
	}
	switch c.Effect {
	case effectPure:
		class.Effect = fleet.Idempotent
	case effectToken:
		class.Effect = fleet.Deduplicated
	}
	switch c.DedupScope {
	case dedupScopeAll:
		class.DedupScope = fleet.DedupAll
	case dedupScopeZone:
		class.DedupScope = fleet.DedupZone
	}
	return class
}
