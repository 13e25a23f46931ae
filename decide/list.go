package decide

import (
	"math"

	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// maxPollBackoff is the longest pause between polls, in ms. Together with the duration of the polls it stays below 6 s.
const maxPollBackoff = 1500.0

// maintain does the node's own work that is due: it requests the endpoint list or adjusts the ring.
func (n *Node) maintain() fleet.Decision {
	if n.now >= n.pollAt {
		// Each poll gets one answer. If the answer does not come, the node polls again after maxPollInterval.
		n.pollAt = n.now + n.limits.maxPollInterval
		return fleet.Decision{Action: fleet.Subscribe}
	}
	if n.now >= n.adjustAt {
		n.adjustAt = n.now + n.limits.adjustInterval*(0.9+0.2*n.random())
		n.lateShare *= 0.8 // decays also without responses: a node that rejects most requests sees few that could show the end of the overload
		n.keyCounts.Decay()
		n.maxConnectedServers += 0.1
		n.adjustPoints()
	}
	return fleet.Decision{}
}

// UpdateEndpoints applies entries of the endpoint list. A full or cached list removes all servers that it does not
// contain; after a failed request only the next poll is scheduled.
func (n *Node) UpdateEndpoints(now float64, mode fleet.ListMode, entries []fleet.Endpoint) {
	n.now = now
	if mode == fleet.ListFailed {
		if n.limits.maxPollInterval > 0 {
			// Back off, but poll well within the time after which the rules assume that the node knows the list.
			wait := min(n.limits.maxPollInterval/2, maxPollBackoff)
			wait = min(wait, n.limits.minObjective*float64(int(1)<<min(n.failedPolls, 6)))
			n.pollAt = now + wait*(0.5+0.5*n.random())
			n.failedPolls++
		}
		return
	}
	if mode != fleet.ListCached && mode != fleet.ListLocal {
		n.pollAt, n.failedPolls = math.Inf(1), 0
	}
	complete := mode != fleet.ListDelta && mode != fleet.ListLocal
	if complete {
		n.markUnlisted()
	}
	for i := range entries {
		n.updateEndpoint(&entries[i])
	}
	if complete {
		n.removeUnlisted()
	}
	n.rebuild()
}

func (n *Node) markUnlisted() {
	for _, s := range n.servers {
		if s != nil {
			s.listed = false
		}
	}
}

func (n *Node) removeUnlisted() {
	for _, s := range n.servers {
		if s != nil && !s.listed {
			s.state = fleet.Gone
		}
	}
}

// updateEndpoint applies one entry. A server that has restarted begins with empty state and its whole arc, because what
// was learned of the old process does not hold for the new one. Attempts still in flight at the old one stay counted.
func (n *Node) updateEndpoint(endpoint *fleet.Endpoint) {
	for int(endpoint.ID) >= len(n.servers) {
		n.servers = append(n.servers, nil)
	}
	s := n.servers[endpoint.ID]
	if s == nil || endpoint.State == fleet.Ready && (s.state != fleet.Ready || endpoint.StartedAt != s.started) {
		restarted := &server{
			id: endpoint.ID, report: fleet.NewLoadReport(), step: firstStep, backoff: n.limits.adjustInterval,
			hashPoint: fleet.InitialPoint(endpoint.Name), size: 1, bucket: slowstart.Bucket{Tokens: n.random(), UpdatedAt: n.now},
			timePerQueued: n.limits.minObjective / 8, latency: n.limits.minObjective / 8,
		}
		if s != nil {
			restarted.inFlight, restarted.silentSince, restarted.connected = s.inFlight, s.silentSince, s.connected
		}
		moved := s == nil || s.hashPoint != restarted.hashPoint
		if s != nil && moved {
			n.removeFromHashOrder(endpoint.ID)
		}
		n.servers[endpoint.ID], s = restarted, restarted
		if moved {
			n.insertIntoHashOrder(endpoint.ID)
		}
	}
	if s.listed = true; endpoint.NominalCapacity > 0 {
		s.size = endpoint.NominalCapacity
	}
	s.state, s.kind, s.zone, s.cell, s.started = endpoint.State, endpoint.Kind, endpoint.Zone, endpoint.Cell, endpoint.StartedAt
}
