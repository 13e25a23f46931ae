package decide

import (
	"fmt"
	"testing"

	"mintspring/internal/fleet"
)

// BenchmarkRequest measures the common path: a read is sent to its owner, which completes it.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var slab fleet.Slab
			n := New(0, testLimits(), &slab)
			n.UpdateEndpoints(0, fleet.ListFull, endpointList(servers))
			report := utilizationReport(0.4)
			report.Queue = 0
			now := 1000.0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 0.1
				routeDue(n, &slab, now)
				req := slab.Alloc()
				req.Key, req.HasKey, req.ArrivedAt, req.Deadline = fleet.Key(fleet.Mix(uint64(i%5000))), true, now, now+1000
				if d := n.Route(now, req); d.Action == fleet.Send {
					n.AttemptDone(now+0.05, req, cacheHit(d.Attempt, 5, report))
				}
				slab.Free(req)
			}
		})
	}
}
