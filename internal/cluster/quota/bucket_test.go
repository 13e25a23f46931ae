package quota

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Whatever allowances are used and whenever it is asked, a bucket gives no more in any window than the allowance, its depth and one.
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
				t.Fatalf("the next attempt is due in %v ms", retryAt-now)
			}
		}
		for i := range taken {
			for k := i; k < len(taken); k++ {
				window := taken[k] - taken[i]
				if n, limit := float64(k-i+1), rate*(window+bucketDepthMs)+1; n > limit+1e-6 {
					t.Fatalf("%.0f taken in %.0f ms, at most %.2f are allowed", n, window, limit)
				}
			}
		}
	})
}
