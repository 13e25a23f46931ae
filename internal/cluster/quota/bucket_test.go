package quota

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// In any window, a bucket permits no more than the allowance for the window, its depth and one token. Allowances and times of calls are random.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bucket Bucket
		perSecond := rapid.Float64Range(0.5, 500).Draw(t, "per second")
		allowance := Allowance{OwnUnits: uint32(rapid.IntRange(1, TotalUnits).Draw(t, "own"))}
		rate := perSecond / 1000 * allowance.ShareAt(0)
		var taken []float64
		now := 1000.0
		for range 300 {
			now += rapid.SampledFrom([]float64{0, 1, 7, 50, 2000}).Draw(t, "ms")
			ok, retryAt := bucket.Take(now, perSecond, &allowance)
			if ok {
				taken = append(taken, now)
			} else if retryAt <= now || math.IsInf(retryAt, 1) {
				t.Fatalf("retry after %v ms", retryAt-now)
			}
		}
		for i := range taken {
			for k := i; k < len(taken); k++ {
				window := taken[k] - taken[i]
				if n, limit := float64(k-i+1), rate*(window+bucketDepthMs)+1; n > limit+1e-6 {
					t.Fatalf("%.0f tokens taken in %.0f ms, want at most %.2f", n, window, limit)
				}
			}
		}
	})
}
