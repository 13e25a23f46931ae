// Package faultsearch generates experiments for finding scenarios that nodes handle badly. It draws fleets, loads and faults from ranges;
// the seed alone determines the experiment. It also shrinks a failing experiment to a smaller one that still fails. It does not run
// experiments, and its only I/O is reading files of ranges.
package faultsearch

import (
	"maps"
	"slices"

	"mintspring/internal/config/tomlfile"
)

// Range holds the lower and upper bound of a uniformly distributed value.
type Range[T any] [2]T

// Ranges are the ranges that experiments are drawn from. docs/simulator.md documents the fields of its file.
type Ranges struct {
	Name           string                   `toml:"name"`
	Nodes          Range[int]               `toml:"nodes"`
	Caches         Range[int]               `toml:"boxes"`
	Zones          Range[int]               `toml:"zones"`
	Cores          Range[int]               `toml:"cores"`
	Keys           Range[int]               `toml:"keys"`
	ZipfExponent   Range[float64]           `toml:"zipf"`
	CacheShare     Range[float64]           `toml:"keeps"` // capacity of all caches together, relative to the number of keys
	WriteShare     Range[float64]           `toml:"writes"`
	CacheLoad      Range[float64]           `toml:"box_load"`    // utilization of the caches' cores by reads if all of them hit
	OriginLoad     Range[float64]           `toml:"origin_load"` // utilization of the origin's cores if assumedHitShare of the reads hit
	Retries        Range[int]               `toml:"retries"`
	Faults         Range[int]               `toml:"troubles"` // number of faults
	Length         Range[tomlfile.Duration] `toml:"length"`
	FaultDuration  Range[tomlfile.Duration] `toml:"lasts"`
	FaultKinds     []string                 `toml:"kinds"`
	DiscoveryDelay Range[tomlfile.Duration] `toml:"discovery_late"`
}

// faultTarget is the kind of component that a fault affects.
type faultTarget uint8

const (
	onSystem faultTarget = iota
	onCaches             // one cache or a share of the caches
	onZone
	onNode
	onOrigin
)

// faultTargets maps each fault that can be drawn, by its name in files, to its target.
var faultTargets = map[string]faultTarget{
	"kill": onCaches, "replace": onCaches, "drain": onCaches, "halt": onCaches, "slow": onCaches, "refuse": onCaches, "reset": onCaches,
	"errors": onCaches, "resets": onCaches, "lost_answers": onCaches, "half_answers": onCaches, "surplus": onCaches, "spoilt": onCaches,
	"cut":       onZone,
	"kill_node": onNode, "stop_node": onNode,
	originSlow: onOrigin, originHalt: onOrigin,
	"discovery_late": onSystem, "discovery_down": onSystem, "rate": onSystem,
}

// Faults of the origin. Experiments express them as the actions slow and halt on the origin.
const (
	originSlow = "origin_slow"
	originHalt = "origin_halt"
)

// maxWriteShare bounds the share of writes, because the request rate is derived from the share of reads.
const maxWriteShare = 0.9

// DefaultRanges returns the ranges of an empty file.
func DefaultRanges() *Ranges {
	const second = tomlfile.Duration(1e9)
	return &Ranges{
		Name: "drawn", Nodes: Range[int]{1, 40}, Caches: Range[int]{2, 24}, Zones: Range[int]{1, 4}, Cores: Range[int]{1, 4},
		Keys: Range[int]{200, 5000}, ZipfExponent: Range[float64]{0.6, 1.2},
		CacheShare: Range[float64]{0.4, 3}, WriteShare: Range[float64]{0, 0.25},
		CacheLoad: Range[float64]{0.2, 0.9}, OriginLoad: Range[float64]{0.3, 1.1},
		Retries: Range[int]{0, 3}, Faults: Range[int]{0, 3}, Length: Range[tomlfile.Duration]{12 * second, 24 * second},
		FaultDuration: Range[tomlfile.Duration]{second, 8 * second}, FaultKinds: slices.Sorted(maps.Keys(faultTargets)),
		DiscoveryDelay: Range[tomlfile.Duration]{second / 20, 2 * second},
	}
}

// ReadRanges reads and validates a file of ranges. Omitted fields have their defaults.
func ReadRanges(name string) (*Ranges, error) {
	r := DefaultRanges()
	file, err := tomlfile.Read(name, r)
	if err != nil {
		return nil, err
	}
	return r, r.validate(file)
}

// validate checks the ranges of a file.
func (r *Ranges) validate(file *tomlfile.File) error {
	for i, kind := range r.FaultKinds {
		if _, known := faultTargets[kind]; !known {
			return file.FieldErrorf("kinds", "number %d, %q, is not a fault that can be drawn", i+1, kind)
		}
	}
	for _, positive := range []struct {
		field     string
		low, high float64
	}{
		{"nodes", float64(r.Nodes[0]), float64(r.Nodes[1])},
		{"boxes", float64(r.Caches[0]), float64(r.Caches[1])},
		{"zones", float64(r.Zones[0]), float64(r.Zones[1])},
		{"cores", float64(r.Cores[0]), float64(r.Cores[1])},
		{"keys", float64(r.Keys[0]), float64(r.Keys[1])},
		{"keeps", r.CacheShare[0], r.CacheShare[1]},
		{"box_load", r.CacheLoad[0], r.CacheLoad[1]},
		{"origin_load", r.OriginLoad[0], r.OriginLoad[1]},
		{"length", r.Length[0].Milliseconds(), r.Length[1].Milliseconds()},
	} {
		if positive.low <= 0 || positive.high < positive.low {
			return file.FieldErrorf(positive.field, "from %v to %v is not a range above 0", positive.low, positive.high)
		}
	}
	if r.WriteShare[0] < 0 || r.WriteShare[1] > maxWriteShare || r.WriteShare[1] < r.WriteShare[0] {
		return file.FieldErrorf("writes", "from %v to %v is not a range of shares up to %v", r.WriteShare[0], r.WriteShare[1], maxWriteShare)
	}
	return nil
}
