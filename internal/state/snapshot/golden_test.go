package snapshot

import (
	"bytes"
	"math"
	"reflect"
	"testing"

	"mintspring/internal/fleet"
	"mintspring/internal/testbed/goldentest"
)

// TestGolden compares the encoding of fixed states with files from an earlier build, and decodes those files.
func TestGolden(t *testing.T) {
	for file, want := range map[string]*State{
		"empty.bin": {},
		"full.bin": {
			TakenAt: 1764650000123.5, PolicyFingerprint: 0x8c1f30d27a5be964, Node: "node-3", Zone: "zone-b",
			Servers: []Server{
				{Name: "box-0", ServerSnapshot: fleet.ServerSnapshot{
					StartedAt: 1764640000000, ShedArcShare: 0.125, AdjustmentStep: 0.0625, TimePerQueued: 12.5, ResponseTime: 31.75,
					RequestsAhead: 1.5, Failures: 0.25, Backoff: 500, HitRatio: 0.875, QueuePeak: 4.5, LastResponseAt: 1764649999000,
				}},
				{Name: "box-1", ServerSnapshot: fleet.ServerSnapshot{
					StartedAt: 2, ShedArcShare: 3, AdjustmentStep: 4, TimePerQueued: 5, ResponseTime: 6, RequestsAhead: 7, Failures: 8, Backoff: 9,
					HitRatio: 10, QueuePeak: 11, LastResponseAt: 12,
				}},
			},
			Global: fleet.Snapshot{
				OriginWindow: 3.5, OriginResponseTime: 20.25, Util: 0.375, ZoneShare: 0.9375, KeySum: 40.5,
				Keys: []fleet.KeyCount{{Bucket: 3, Count: 12.5}, {Bucket: 2047, Count: math.Pi}},
			},
		},
	} {
		golden := goldentest.Read(t, file)
		if got := Append(nil, want); !bytes.Equal(got, golden) {
			t.Errorf("%s: written as %x, want %x", file, got, golden)
		}
		if got, err := Parse(golden); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, %v, want %+v", file, got, err, want)
		}
	}
}
