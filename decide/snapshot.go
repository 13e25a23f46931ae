package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/hotkeys"
)

// restoredShare is the share of the evidence's decay time that restored evidence gets: enough for the first
// requests to avoid slow servers, and short, so that one that is healthy now gets its arc again.
const restoredShare = 1.0 / 3

// Export exports what is worth keeping across a restart, in the space of snap, and changes nothing.
func (n *Node) Export(now float64, snap *fleet.Snapshot) {
	*snap = fleet.Snapshot{
		Trust: 1, Servers: snap.Servers[:0], Keys: snap.Keys[:0], KeySum: n.keyCounts.Sum(), Util: n.meanUtil,
		OriginWindow: n.originLimit.window, OriginResponseTime: n.originLimit.latency,
		ZoneShare: n.zoneShare, CacheLoad: n.slowStart.Rate,
	}
	for _, s := range n.servers {
		if s == nil || s.state != fleet.Ready {
			continue
		}
		v := fleet.ServerSnapshot{
			ID: s.id, Trust: 1, StartedAt: s.started, ShedArcShare: s.shed, AdjustmentStep: s.step, TimePerQueued: s.perQueued,
			RequestsAhead: s.latencyAhead, Failures: s.failures, Backoff: s.backoff,
			HitRatio: s.hitRatio, QueuePeak: s.queuePeak, LastResponseAt: s.latencyAt,
		}
		// What has decayed is exported as decayed: it must not come back through a restart.
		w := max(0, 1-(now-s.latencyAt)/(evidencePeriods*n.limits.period))
		usual := s.perQueued * (1 + s.latencyAhead)
		v.ResponseTime = usual + w*max(0, s.latency-usual)
		snap.Servers = append(snap.Servers, v)
	}
	for i := range uint64(hotkeys.Buckets) {
		if count := n.keyCounts.Count(i); count >= minKeyCount {
			snap.Keys = append(snap.Keys, fleet.KeyCount{Bucket: int32(i), Count: count})
		}
	}
}

// Restore restores a snapshot as far as it is trusted. It makes no server an outlier: each gets a first
// attempt as if nothing were known. The origin's window is no wider than at a start until responses widen it.
func (n *Node) Restore(now float64, snap *fleet.Snapshot) {
	n.now = now
	blend := func(v *float64, restored, trust float64) { *v += min(max(trust, 0), 1) * (restored - *v) }
	for i := range snap.Servers {
		v := &snap.Servers[i]
		if v.ID < 0 || int(v.ID) >= len(n.servers) || v.Trust <= 0 {
			continue
		}
		s := n.servers[v.ID]
		if s == nil || s.state != fleet.Ready || s.started != v.StartedAt || s.warmth(n) < 1 {
			continue // another process, or a cold one, of which a snapshot says nothing
		}
		t := v.Trust
		if s.latencyAt > 0 { // this node has evidence too: of the two the younger counts for more
			t *= (now - s.latencyAt) / max(1, now-s.latencyAt+max(0, now-v.LastResponseAt))
		}
		blend(&s.shed, min(v.ShedArcShare, 0.75), t)
		blend(&s.step, min(max(v.AdjustmentStep, 0.02), firstStep), t)
		blend(&s.perQueued, min(v.TimePerQueued, s.perQueued), t) // a slow one's falls fast, and rises late
		blend(&s.latency, min(v.ResponseTime, 4*n.limits.minObjective), t)
		blend(&s.hitRatio, min(v.HitRatio, 1), t)
		blend(&s.queuePeak, max(v.QueuePeak, 1), t)
		blend(&s.failures, min(v.Failures, 0.9*outlierLimit), t)
		blend(&s.latencyAhead, v.RequestsAhead, t)
		s.latencyAt = max(s.latencyAt, now-(1-restoredShare*min(v.Trust, 1))*evidencePeriods*n.limits.period)
	}
	if t := min(max(snap.Trust, 0), 1); t > 0 {
		for _, k := range snap.Keys {
			if k.Bucket >= 0 && k.Bucket < hotkeys.Buckets {
				n.keyCounts.AddToBucket(uint64(k.Bucket), float32(t*min(k.Count, 1e6)))
			}
		}
		l := &n.originLimit
		blend(&l.latency, min(max(snap.OriginResponseTime, 1), n.limits.minObjective), t)
		blend(&n.meanUtil, min(snap.Util, 1), t)
		blend(&n.zoneShare, min(snap.ZoneShare, 1), t)
		blend(&n.slowStart.Rate, max(snap.CacheLoad, 0), t)
		l.window = min(l.window, math.Max(n.limits.minWindow, l.window+t*(snap.OriginWindow-l.window)))
	}
	n.applyShed()
}
