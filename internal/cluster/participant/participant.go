// Package participant connects a node to its fleet: it turns what the node observes of its servers into gossip, and what is known by gossip
// into limits and evidence for the node's connection pools and decisions. It does no I/O and reads no clock; the node on sockets and the
// simulated one are its hosts. One goroutine must own a Participant.
package participant

import (
	"fmt"
	"math"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/gossip"
	"mintspring/internal/cluster/outlier"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// pollIntervalMs is the time between two looks at the node's demand and counters.
const pollIntervalMs = 200

// trialSpread is the part of the lifetime of evidence over which nodes spread their trials of a server once one of them got a response.
const trialSpread = 0.1

// server is the state of one slot in the host's server table.
type server struct {
	nameHash        uint32
	openBudget      uint32 // budget of connection openings
	slowStartBudget uint32 // budget of work while the server is in slow start
	startedAt       float64
	listed          bool
}

// Participant is the participation of one node.
type Participant struct {
	Gossip *gossip.Node
	host   Host

	servers         []server // by slot
	serversByHash   map[uint32]fleet.ServerID
	serversByBudget map[uint32]fleet.ServerID
	labels          map[uint32]string // the texts that hashes on the wire stand for, as far as this node knows them
	nextPollAt      float64
	changes         []outlier.Change // not drained yet
	traffic         trafficStats
}

// New returns the participation of a node that has just started.
func New(now float64, config gossip.Config, incarnation cluster.Incarnation, host Host) *Participant {
	return &Participant{
		Gossip:          gossip.New(now, config, incarnation),
		host:            host,
		serversByHash:   map[uint32]fleet.ServerID{},
		serversByBudget: map[uint32]fleet.ServerID{},
		labels:          map[uint32]string{},
	}
}

// AddServer records that a cache server occupies a slot, and when its process started. Evidence of an earlier process is dropped.
func (p *Participant) AddServer(now float64, id fleet.ServerID, name string, startedAt float64) {
	for int(id) >= len(p.servers) {
		p.servers = append(p.servers, server{})
	}
	s := &p.servers[id]
	nameHash := wire.HashName(name)
	if s.listed && s.nameHash == nameHash && s.startedAt == startedAt {
		return
	}
	if s.listed {
		p.unregister(s)
	}
	*s = server{
		nameHash:        nameHash,
		openBudget:      wire.HashName("opens " + name),
		slowStartBudget: wire.HashName(fmt.Sprintf("bears %s %.0f", name, startedAt)),
		startedAt:       startedAt,
		listed:          true,
	}
	p.serversByHash[s.nameHash] = id
	p.serversByBudget[s.openBudget] = id
	p.serversByBudget[s.slowStartBudget] = id
	p.labels[s.nameHash] = name
	p.labels[s.openBudget] = "opens at " + name
	p.labels[s.slowStartBudget] = "work for " + name + " while it is cold"
	p.Gossip.ForgetServer(s.nameHash)
	p.Gossip.SetServerCount(len(p.serversByHash))
	p.host.SetAllowance(now, id, p.Gossip.Allowance(now, s.openBudget))
}

// RemoveServer records that a slot is not occupied by a cache server any more.
func (p *Participant) RemoveServer(id fleet.ServerID) {
	if s := p.listedServer(id); s != nil {
		p.unregister(s)
		p.Gossip.SetServerCount(len(p.serversByHash))
	}
}

// listedServer returns the server in a slot; nil: there is none.
func (p *Participant) listedServer(id fleet.ServerID) *server {
	if int(id) < len(p.servers) && p.servers[id].listed {
		return &p.servers[id]
	}
	return nil
}

func (p *Participant) unregister(s *server) {
	p.Gossip.ForgetServer(s.nameHash)
	delete(p.serversByHash, s.nameHash)
	for _, hash := range [...]uint32{s.openBudget, s.slowStartBudget} {
		delete(p.serversByBudget, hash)
	}
	for _, hash := range [...]uint32{s.nameHash, s.openBudget, s.slowStartBudget} {
		delete(p.labels, hash)
	}
	s.listed = false
}

// isServerFault reports whether a result counts against the server. A reset is more often the fault of its connection.
func isServerFault(r fleet.Result) bool {
	return r == fleet.Failed || r == fleet.ConnectFailed || r == fleet.TimedOut
}

// Observe records the result of an attempt at a server.
func (p *Participant) Observe(now float64, id fleet.ServerID, r fleet.Result) {
	s := p.listedServer(id)
	if s == nil {
		return
	}
	if failed := isServerFault(r); failed || r == fleet.Completed || r == fleet.Missed {
		p.Gossip.Observe(now, s.nameHash, failed)
	}
}

// ObserveDuplicate records that a server sent a duplicate response.
func (p *Participant) ObserveDuplicate(now float64, id fleet.ServerID) {
	if s := p.listedServer(id); s != nil {
		p.Gossip.ObserveDuplicate(now, s.nameHash)
	}
}

// Tick does what is due, applies the changes to the host, and returns the messages to be sent after that.
func (p *Participant) Tick(now float64) []*wire.Message {
	if now >= p.nextPollAt {
		p.nextPollAt = now + pollIntervalMs
		p.pollDemands(now)
		p.publishCounters(now)
	}
	out := p.Gossip.Tick(now)
	p.apply(now)
	return out
}

// pollDemands takes over the host's demands and the quotas that follow from its traffic.
func (p *Participant) pollDemands(now float64) {
	for i := range p.servers {
		s, id := &p.servers[i], fleet.ServerID(i)
		if !s.listed {
			continue
		}
		if demand := p.host.Demand(now, id); demand > 0 {
			p.Gossip.SetDemand(now, s.openBudget, demand)
		}
		if own, demand := p.host.SlowStartQuota(now, id); own > 0 || demand > 0 {
			p.Gossip.SetTrafficQuota(now, s.slowStartBudget, own, demand)
		}
	}
}

// HandleDatagram processes a datagram from the address of a node, applies the changes to the host, and returns the messages to be sent
// after that.
func (p *Participant) HandleDatagram(now float64, from cluster.NodeID, b []byte) []*wire.Message {
	out := p.Gossip.HandleDatagram(now, from, b)
	p.apply(now)
	return out
}

// apply passes what has changed on to the host.
func (p *Participant) apply(now float64) {
	p.Gossip.DrainAllowances(now, func(budget uint32, allowance quota.Allowance) {
		id, known := p.serversByBudget[budget]
		switch {
		case !known:
		case budget == p.servers[id].slowStartBudget:
			p.host.SetSlowStartLeases(id, slowStartLeases(allowance))
		default:
			p.host.SetAllowance(now, id, allowance)
		}
	})
	for _, change := range p.Gossip.DrainOutlierChanges() {
		id, known := p.serversByHash[change.Server]
		if !known {
			continue
		}
		p.host.SetIndirectEvidence(id, IndirectEvidence{
			Bias:            change.Bias,
			TrialIntervalMs: change.TrialIntervalMs,
			TryBy:           p.tryBy(now, change),
		})
		if change.Duplicating {
			p.host.MarkDuplicating(now, id)
		}
		p.changes = append(p.changes, change)
	}
}

// tryBy returns the time by which a server that fails here is to be tried again. While others accuse it, their trials serve this node as well.
// Once they receive responses, or do not accuse it any more, it is tried now. When the first of them receives a response it is tried soon, at
// a time that differs by node, because hundreds of nodes learn of it together.
func (p *Participant) tryBy(now float64, change outlier.Change) float64 {
	switch {
	case change.Bias <= 0:
		return now
	case change.TrialIntervalMs == 0:
		config := p.Gossip.Config()
		return now + trialSpread*config.EvidenceTTLMs*fleet.UnitInterval(fleet.Mix(config.Seed+uint64(change.Server)))
	default:
		return math.Inf(1)
	}
}

// slowStartLeases returns the leases of an allowance in the form of the slow-start meter.
func slowStartLeases(allowance quota.Allowance) slowstart.Leases {
	leases := slowstart.Leases{Lent: float64(allowance.Lent) / quota.TotalUnits}
	for _, lease := range allowance.Leases[:allowance.LeaseCount] {
		leases.Borrowed[leases.Count] = slowstart.Lease{Rate: float64(lease.Units) / quota.TotalUnits, Until: lease.ExpiresAt}
		leases.Count++
	}
	return leases
}

// ServerChange is a change of what others say of a server, for the log.
type ServerChange struct {
	ID fleet.ServerID
	outlier.Change
}

// DrainChanges returns the changes since the last call. An age of -1 stands for no evidence.
func (p *Participant) DrainChanges() (changes []ServerChange) {
	for _, change := range p.changes {
		id, known := p.serversByHash[change.Server]
		if !known {
			continue
		}
		if math.IsInf(change.AgeMs, 1) {
			change.AgeMs = -1
		}
		changes = append(changes, ServerChange{ID: id, Change: change})
	}
	p.changes = p.changes[:0]
	return changes
}
