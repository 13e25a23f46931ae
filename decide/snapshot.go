package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/hotkeys"
)

// restoredEvidenceShare is the part of the decay time that restored evidence has left: long enough for the first requests
// to avoid slow servers, and short enough that a server that is healthy again soon gets the requests of its arc.
const restoredEvidenceShare = 1.0 / 3

// Export stores in snap what is worth keeping across a restart, reusing the slices of snap. The node does not change.
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
			ID: s.id, Trust: 1, StartedAt: s.started, ShedArcShare: s.shedShare, AdjustmentStep: s.step, TimePerQueued: s.timePerQueued,
			RequestsAhead: s.latencyAhead, Failures: s.failureShare, Backoff: s.backoff,
			HitRatio: s.hitRatioPeak, QueuePeak: s.queuePeak, LastResponseAt: s.latencyAt,
		}
		// The exported latency has decayed towards the usual one with its age, so that a restart does not undo the decay.
		weight := max(0, 1-(now-s.latencyAt)/n.evidenceTime())
		usualLatency := s.timePerQueued * (1 + s.latencyAhead)
		v.ResponseTime = usualLatency + weight*max(0, s.latency-usualLatency)
		snap.Servers = append(snap.Servers, v)
	}
	for i := range uint64(hotkeys.Buckets) {
		if count := n.keyCounts.Count(i); count >= minKeyCount {
			snap.Keys = append(snap.Keys, fleet.KeyCount{Bucket: int32(i), Count: count})
		}
	}
}

// Restore takes over a snapshot as far as it is trusted. It makes no server an outlier, so that each gets its first
// attempt as without a snapshot. The origin's window is no wider than without a snapshot until responses widen it.
func (n *Node) Restore(now float64, snap *fleet.Snapshot) {
	n.now = now
	blend := func(v *float64, restored, trust float64) { *v += min(max(trust, 0), 1) * (restored - *v) }
	for i := range snap.Servers {
		v := &snap.Servers[i]
		if v.ID < 0 || int(v.ID) >= len(n.servers) || v.Trust <= 0 {
			continue
		}
		s := n.servers[v.ID]
		if s == nil || s.state != fleet.Ready || s.started != v.StartedAt || s.capacityShare(n) < 1 {
			continue // a snapshot says nothing of a new process or of a cold server
		}
		trust := v.Trust
		if s.latencyAt > 0 { // this node has evidence too: the more recent of the two counts for more
			trust *= (now - s.latencyAt) / max(1, now-s.latencyAt+max(0, now-v.LastResponseAt))
		}
		blend(&s.shedShare, min(v.ShedArcShare, 0.75), trust)
		blend(&s.step, min(max(v.AdjustmentStep, 0.02), firstStep), trust)
		blend(&s.timePerQueued, min(v.TimePerQueued, s.timePerQueued), trust) // only lowered: it falls fast and rises slowly
		blend(&s.latency, min(v.ResponseTime, 4*n.limits.minObjective), trust)
		blend(&s.hitRatioPeak, min(v.HitRatio, 1), trust)
		blend(&s.queuePeak, max(v.QueuePeak, 1), trust)
		blend(&s.failureShare, min(v.Failures, 0.9*outlierThreshold), trust)
		blend(&s.latencyAhead, v.RequestsAhead, trust)
		s.latencyAt = max(s.latencyAt, now-(1-restoredEvidenceShare*min(v.Trust, 1))*n.evidenceTime())
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
	n.applyShedShares()
}
