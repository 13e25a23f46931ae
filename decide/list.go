package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// maxPollBackoff, in ms, is the longest pause between polls: with what polls take, it is under 6 s in all.
const maxPollBackoff = 1500.0

// maintain does what is due for the node itself: it adjusts the ring and renews the subscription.
func (n *Node) maintain() fleet.Decision {
	if n.now >= n.pollAt {
		// One poll is answered once; should that answer never come, poll again within the time allowed.
		n.pollAt = n.now + n.limits.pollWithin
		return fleet.Decision{Action: fleet.Subscribe}
	}
	if n.now >= n.adjustAt {
		n.adjustAt = n.now + n.limits.period*(0.9+0.2*n.random())
		n.lateShare *= 0.8 // a node that rejects most sees few responses; it must find out when it may stop
		n.keyCounts.Decay()
		n.maxConnected += 0.1
		n.adjustPoints()
	}
	return fleet.Decision{}
}

// UpdateEndpoints applies entries of the endpoint list to what is known; a full list removes all others.
func (n *Node) UpdateEndpoints(now float64, mode fleet.ListMode, entries []fleet.Endpoint) {
	n.now = now
	if mode == fleet.ListFailed {
		if n.limits.pollWithin > 0 {
			// Back off, but stay well inside the time after which the rules treat the node as informed.
			wait := min(n.limits.pollWithin/2, maxPollBackoff)
			wait = min(wait, n.limits.minObjective*float64(int(1)<<min(n.failedPolls, 6)))
			n.pollAt = now + wait*(0.5+0.5*n.random())
			n.failedPolls++
		}
		return
	}
	if mode != fleet.ListCached && mode != fleet.ListLocal {
		n.pollAt, n.failedPolls = math.Inf(1), 0
	}
	for _, s := range n.servers {
		if s != nil && mode != fleet.ListDelta && mode != fleet.ListLocal {
			s.listed = false
		}
	}
	for i := range entries {
		n.updateEndpoint(&entries[i])
	}
	for _, s := range n.servers {
		if s != nil && !s.listed {
			s.state = fleet.Gone
		}
	}
	n.rebuild()
}

// updateEndpoint applies one entry. A new start makes a new server of it: what was learned of the old process
// does not hold, and it takes its own arc again. Attempts still in flight at the old one stay counted.
func (n *Node) updateEndpoint(m *fleet.Endpoint) {
	for int(m.ID) >= len(n.servers) {
		n.servers = append(n.servers, nil)
	}
	s := n.servers[m.ID]
	if s == nil || m.State == fleet.Ready && (s.state != fleet.Ready || m.StartedAt != s.started) {
		restarted := &server{
			id: m.ID, report: fleet.NewLoadReport(), step: firstStep, backoff: n.limits.period,
			homePoint: fleet.InitialPoint(m.Name), size: 1, bucket: slowstart.Bucket{Tokens: n.random(), UpdatedAt: n.now},
			perQueued: n.limits.minObjective / 8, latency: n.limits.minObjective / 8,
		}
		if s != nil {
			restarted.inFlight, restarted.silentSince, restarted.connected = s.inFlight, s.silentSince, s.connected
		}
		n.servers[m.ID], s = restarted, restarted
	}
	if s.listed = true; m.NominalCapacity > 0 {
		s.size = m.NominalCapacity
	}
	s.state, s.kind, s.zone, s.cell, s.started = m.State, m.Kind, m.Zone, m.Cell, m.StartedAt
}
