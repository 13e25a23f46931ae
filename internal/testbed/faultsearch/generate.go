package faultsearch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/experiment"
)

// sampleStream is the PCG stream of Generate, which keeps its random numbers independent of others with the same seed.
const sampleStream = 23

// Fixed parameters of generated experiments.
const (
	settleTime      = 6 * tomlfile.Duration(time.Second)
	firstFault      = 2 * tomlfile.Duration(time.Second) // earliest fault, after the settling time
	maxRate         = 2500                               // requests a second
	queuePerCore    = 50                                 // queue limit of the origin, per core
	minCacheObjects = 20
	minConnections  = 100
	connsPerNode    = 6
	costSpread      = 0.6
	assumedHitShare = 0.5 // for estimating the origin's load
	writeWorkFactor = 1.2 // cost of a write at the origin, relative to a read
)

// sampler draws random values from ranges.
type sampler struct{ *rand.Rand }

func (s sampler) integer(r Range[int]) int { return r[0] + s.IntN(max(1, r[1]-r[0]+1)) }

func (s sampler) float(r Range[float64]) float64 { return r[0] + s.Float64()*(r[1]-r[0]) }

func (s sampler) duration(r Range[tomlfile.Duration]) tomlfile.Duration {
	return (r[0] + tomlfile.Duration(s.Float64()*float64(r[1]-r[0]))).Round(time.Millisecond)
}

// Generate returns the experiment that a seed determines.
func (r *Ranges) Generate(seed uint64) (*experiment.Experiment, error) {
	s := sampler{rand.New(rand.NewPCG(seed, sampleStream))}
	x := &experiment.Experiment{
		Name: fmt.Sprintf("%s-%d", r.Name, seed), About: "Drawn from ranges.", Seed: seed, Settle: settleTime, Length: s.duration(r.Length),
	}
	r.generateLoad(s, x)
	for range s.integer(r.Faults) {
		x.Steps = append(x.Steps, r.generateFault(s, x))
	}
	slices.SortStableFunc(x.Steps, func(a, b experiment.Step) int { return cmp.Compare(a.Time, b.Time) })
	return normalize(x)
}

// generateLoad draws a fleet and its load. It derives the request rate and the origin's size from the drawn utilization.
func (r *Ranges) generateLoad(s sampler, x *experiment.Experiment) {
	zones := s.integer(r.Zones)
	for i := range zones {
		x.Fleet.Zones = append(x.Fleet.Zones, string(rune('a'+i)))
	}
	caches, cores := max(zones, s.integer(r.Caches)), s.integer(r.Cores)
	x.Nodes.Count, x.Load.Keys, x.Load.ZipfExponent = s.integer(r.Nodes), s.integer(r.Keys), roundToMilli(s.float(r.ZipfExponent))
	x.Load.Retries = s.integer(r.Retries)
	writeShare := roundToMilli(s.float(r.WriteShare))
	cacheWorkMs, originWorkMs := 4+s.Float64()*12, 8+s.Float64()*24

	rate := min(maxRate, s.float(r.CacheLoad)*float64(caches*cores)*1000/(cacheWorkMs*(1-writeShare)))
	x.Load.Rate = math.Round(rate)
	originCores := rate * (writeShare + assumedHitShare*(1-writeShare)) * originWorkMs / 1000
	x.Fleet.Origin.Cores = max(1, int(math.Ceil(originCores/s.float(r.OriginLoad))))
	x.Fleet.Origin.QueueLimit = queuePerCore * x.Fleet.Origin.Cores
	x.Fleet.DiscoveryDelay = s.duration(r.DiscoveryDelay)

	group := experiment.ServerGroup{Count: caches}
	group.Cores = cores
	group.CacheObjects = max(minCacheObjects, int(s.float(r.CacheShare)*float64(x.Load.Keys)/float64(caches)))
	group.MaxConnections = max(minConnections, connsPerNode*x.Nodes.Count)
	x.Fleet.Groups = []experiment.ServerGroup{group}
	x.Classes = generateClasses(s, writeShare, cacheWorkMs, originWorkMs)
}

// generateClasses draws the request classes: reads and, unless writeShare is 0, two classes of writes.
func generateClasses(s sampler, writeShare, cacheWorkMs, originWorkMs float64) []experiment.ClassConfig {
	read := experiment.ClassConfig{
		Name: "read", Share: roundToMilli(1 - writeShare), PriorityWeight: 1,
		LatencyObjective: ms(100 + s.Float64()*300), Timeout: ms(800 + s.Float64()*1600),
		CacheWork: ms(cacheWorkMs), OriginWork: ms(originWorkMs), CostSpread: costSpread,
	}
	if writeShare <= 0 {
		return []experiment.ClassConfig{read}
	}
	note := experiment.ClassConfig{
		Name: "note", Share: roundToMilli(writeShare / 2), Write: true, Effect: "deduplicated", DedupWindow: ms(5000), PriorityWeight: 3,
		LatencyObjective: ms(300 + s.Float64()*300), Timeout: ms(2000),
		CacheWork: ms(cacheWorkMs), OriginWork: ms(originWorkMs * writeWorkFactor), CostSpread: costSpread,
	}
	sale := note
	sale.Name, sale.Share, sale.Effect, sale.DedupWindow, sale.PriorityWeight = "sale", roundToMilli(writeShare-note.Share), "non-idempotent", 0, 8
	return []experiment.ClassConfig{read, note, sale}
}

// generateFault draws a fault that starts in the first half of the experiment.
func (r *Ranges) generateFault(s sampler, x *experiment.Experiment) experiment.Step {
	kind := r.FaultKinds[s.IntN(len(r.FaultKinds))]
	step := experiment.Step{
		Action: kind, Time: (firstFault + tomlfile.Duration(s.Float64()*float64(x.Length/2))).Round(time.Millisecond),
		Duration: s.duration(r.FaultDuration),
	}
	switch faultTargets[kind] {
	case onCaches:
		if step.Share = roundToMilli(0.1 + 0.4*s.Float64()); s.IntN(3) == 0 { // a third of the faults affect a single cache
			step.Share, step.Server = 0, fmt.Sprint("box-", s.IntN(x.CacheCount()))
		}
	case onZone:
		step.Zone = x.Fleet.Zones[s.IntN(len(x.Fleet.Zones))]
	case onNode:
		node := s.IntN(x.Nodes.Count)
		step.Node = &node
	case onOrigin:
		step.Action, step.Server = map[string]string{originSlow: "slow", originHalt: "halt"}[kind], "origin"
	case onSystem:
	}
	switch step.Action {
	case "slow":
		step.Value = roundToMilli(1.5 + 4*s.Float64())
	case "rate":
		step.Value = roundToMilli(1.2 + s.Float64())
	case "errors", "resets", "lost_answers", "half_answers", "surplus", "spoilt":
		step.Value = roundToMilli(0.05 + 0.5*s.Float64())
	case "discovery_late":
		step.Value = math.Round(500 + 4000*s.Float64())
	case "replace", "reset": // they cannot be undone
		step.Duration = 0
	}
	return step
}

// roundToMilli rounds to three decimal places.
func roundToMilli(v float64) float64 { return math.Round(v*1000) / 1000 }

// ms converts milliseconds to a duration, rounded to microseconds.
func ms(v float64) tomlfile.Duration {
	return tomlfile.Duration(v * float64(time.Millisecond)).Round(time.Microsecond)
}
