package node

import (
	"fmt"
	"hash/fnv"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
)

// hashedLimits and hashedClass have the fields of fleet.Limits and fleet.Class under the names that those fields had when the policy hash
// was defined. The names are part of the hash, which is stored in every snapshot file: they must not change.
type (
	hashedLimits struct {
		Seed              uint64
		Nodes             int
		Zone              fleet.ZoneID
		Zones             int
		OriginKind        fleet.KindID
		Workloads         []hashedClass
		MaxExecutions     int
		SecondCopies      bool
		Cancelling        bool
		FullFails         bool
		RetryAfter        bool
		MaxRetryAfter     float64
		Subscribe         bool
		MustAskIn         float64
		StopSendingWithin float64
		StartCapacity     float64
		WarmWithin        float64
		FallMultiple      float64
		TipAfter          float64
		AnswerSlack       float64
		Quantum           float64
		WasteCost         float64
	}
	hashedClass struct {
		Effect           fleet.Effect
		Scope            fleet.DedupScope
		SLOTime          float64
		SLOStretch       float64
		StatementTimeout float64
		DedupSpan        float64
		Importance       float64
		LateShare        float64
		MaxExecutions    int
		Stream           bool
	}
)

// policyFingerprint returns the policy hash in the snapshot files of a node with these settings.
func policyFingerprint(deployment settings.Deployment) uint64 {
	effective := EffectiveDeployment(deployment)
	return policyHash(&effective)
}

// policyHash identifies the settings under which the state in a snapshot was learned. The seed and the zone are left out: the seed is new
// at each start, and the zone is compared by its name.
func policyHash(deployment *settings.Deployment) uint64 {
	l := &deployment.Limits
	hashed := hashedLimits{
		Nodes: l.Nodes, Zones: l.Zones, OriginKind: l.OriginKind,
		MaxExecutions: l.MaxAttempts, SecondCopies: l.Hedging, Cancelling: l.Cancellation, FullFails: l.FullServersRefuse,
		RetryAfter: l.SendRetryAfter, MaxRetryAfter: l.MaxRetryAfter, Subscribe: l.Subscribe,
		MustAskIn: l.PollWithin, StopSendingWithin: l.StopSendingWithin, StartCapacity: l.ColdCapacity,
		WarmWithin: l.WarmUpTime, FallMultiple: l.OverloadFactor, TipAfter: l.OverloadBurst, AnswerSlack: l.AnswerSlack,
		Quantum: l.Quantum, WasteCost: l.UnusedAttemptCost,
	}
	for i := range l.Classes {
		hashed.Workloads = append(hashed.Workloads, newHashedClass(&l.Classes[i]))
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %+v %v %v", snapshot.Version, hashed, deployment.RequestClasses, deployment.Kinds) // writing to a hash never fails
	return h.Sum64()
}

func newHashedClass(c *fleet.Class) hashedClass {
	return hashedClass{
		Effect: c.Effect, Scope: c.DedupScope, SLOTime: c.LatencyObjective, SLOStretch: c.ObjectivePerWork, StatementTimeout: c.ClientTimeout,
		DedupSpan: c.DedupWindow, Importance: c.PriorityWeight, LateShare: c.LateWeightFactor, MaxExecutions: c.MaxAttempts, Stream: c.Stream,
	}
}
