package hotkeys

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Counts equal those of an implementation that shrinks each count in each step, after any number of steps, and the unit stays bounded.
func TestCountsDecay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Counts
		expected, sum := map[uint64]float64{}, 0.0
		for range rapid.IntRange(1, 900).Draw(t, "steps") {
			for range rapid.IntRange(0, 4).Draw(t, "requests") {
				key := rapid.SampledFrom([]uint64{1, 2, 3 + Buckets, 1 << 60}).Draw(t, "key")
				c.Add(key)
				expected[key%Buckets]++
				sum++
			}
			c.Decay()
			for bucket := range expected {
				expected[bucket] *= decayFactor
			}
			sum *= decayFactor
		}
		for bucket, want := range expected {
			if got := c.Count(bucket); math.Abs(got-want) > 1e-3*(1+want) {
				t.Fatalf("bucket %d has the count %v, want %v", bucket, got, want)
			}
		}
		if got := c.Sum(); math.Abs(got-sum) > 1e-3*(1+sum) || c.unit > 2e9 {
			t.Fatalf("sum %v, want %v; unit %v", got, sum, c.unit)
		}
	})
}

// Top holds the hottest keys, even if other keys came first.
func TestTopHoldsHottestKeys(t *testing.T) {
	var c Counts
	var top Top
	for round := range 300 {
		for key := range uint64(20) {
			if round%int(20-key+1) == 0 || key == 3 && round < 20 { // higher keys more often, key 3 only at the start
				c.Add(key)
				top.Offer(&c, key, []byte{byte('a' + key)})
			}
		}
		c.Decay()
	}
	names := map[uint64]string{}
	top.Each(func(key uint64, name []byte) { names[key] = string(name) })
	for _, key := range []uint64{17, 18, 19} {
		if names[key] != string(rune('a'+key)) {
			t.Errorf("key %d has the name %q in %v", key, names[key], names)
		}
	}
	if len(names) != len(top.keys) || names[3] != "" {
		t.Errorf("Top holds %v", names)
	}
}
