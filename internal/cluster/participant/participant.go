// Package participant connects a node to its fleet. It publishes the node's observations of servers by gossip, and passes the quotas and evidence
// received by gossip to the node's connection pools and decision module. It does no I/O and reads no clock; its hosts are the node on sockets and
// the simulated node. One goroutine must own a Participant.
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

// pollIntervalMs is the interval at which the host's demands and counters are read.
const pollIntervalMs = 200

// trialSpread is the interval over which nodes spread their trial requests to a server after one of them received a response, as a share of the
// lifetime of evidence.
const trialSpread = 0.1

// server is the state of one slot in the host's server table.
type server struct {
	nameHash        uint32
	openBudget      uint32  // id of the budget of connection openings
	slowStartBudget uint32  // id of the budget of work while the server is in slow start
	startedAt       float64 // start time of the process, Unix ms
	listed          bool
}

// Participant connects one node to its fleet.
type Participant struct {
	Gossip *gossip.Node
	host   Host

	servers         []server // by slot
	serversByHash   map[uint32]fleet.ServerID
	serversByBudget map[uint32]fleet.ServerID
	namesByHash     map[uint32]string // names of servers, budgets and tenants, by their hashes on the wire
	nextPollAt      float64
	evidenceChanges []outlier.Change // that DrainEvidenceChanges has not returned yet
	traffic         trafficStats
}

// New returns the Participant of a node that has just started.
func New(now float64, config gossip.Config, incarnation cluster.Incarnation, host Host) *Participant {
	return &Participant{
		Gossip:          gossip.New(now, config, incarnation),
		host:            host,
		serversByHash:   map[uint32]fleet.ServerID{},
		serversByBudget: map[uint32]fleet.ServerID{},
		namesByHash:     map[uint32]string{},
	}
}

// AddServer records that a slot holds a cache server, whose process started at startedAt. It drops evidence of an earlier process.
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
	p.namesByHash[s.nameHash] = name
	p.namesByHash[s.openBudget] = "opens at " + name
	p.namesByHash[s.slowStartBudget] = "work for " + name + " while it is cold"
	p.Gossip.ForgetServer(s.nameHash)
	p.Gossip.SetServerCount(len(p.serversByHash))
	p.host.SetAllowance(now, id, p.Gossip.Allowance(now, s.openBudget))
}

// RemoveServer records that a slot no longer holds a cache server.
func (p *Participant) RemoveServer(id fleet.ServerID) {
	if s := p.listedServer(id); s != nil {
		p.unregister(s)
		p.Gossip.SetServerCount(len(p.serversByHash))
	}
}

// listedServer returns the server in a slot, or nil if there is none.
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
		delete(p.namesByHash, hash)
	}
	s.listed = false
}

// isServerFault reports whether a result counts as a failure of the server. A reset does not, since its cause is more often the connection.
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

// Tick polls the host and runs the gossip protocol as far as they are due. It applies changes to the host, and returns the messages to send after
// that.
func (p *Participant) Tick(now float64) []*wire.Message {
	if now >= p.nextPollAt {
		p.nextPollAt = now + pollIntervalMs
		p.pollDemands(now)
		p.publishCounters(now)
	}
	out := p.Gossip.Tick(now)
	p.applyChanges(now)
	return out
}

// pollDemands reads the host's demands and slow-start quotas.
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

// HandleDatagram processes a datagram from the address of a node. It applies changes to the host, and returns the messages to send after that.
func (p *Participant) HandleDatagram(now float64, from cluster.NodeID, b []byte) []*wire.Message {
	out := p.Gossip.HandleDatagram(now, from, b)
	p.applyChanges(now)
	return out
}

// applyChanges applies changes of allowances and of evidence to the host.
func (p *Participant) applyChanges(now float64) {
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
			TrialBy:         p.trialBy(now, change),
		})
		if change.Duplicating {
			p.host.MarkDuplicating(now, id)
		}
		p.evidenceChanges = append(p.evidenceChanges, change)
	}
}

// trialBy returns the latest time at which this node sends its next trial request to a server that has failed here. The time is:
//   - now, if the other nodes' evidence no longer lowers the threshold at which this node ejects the server;
//   - soon, if another node has received a response. Hundreds of nodes learn of that response at once, so the time differs by node;
//   - +Inf, if the other nodes report only failures. Their trial requests also show this node when the server recovers.
func (p *Participant) trialBy(now float64, change outlier.Change) float64 {
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

// slowStartLeases converts the leases of an allowance to those of package slowstart.
func slowStartLeases(allowance quota.Allowance) slowstart.Leases {
	leases := slowstart.Leases{Lent: float64(allowance.LentUnits) / quota.TotalUnits}
	for _, lease := range allowance.Leases[:allowance.LeaseCount] {
		leases.Borrowed[leases.Count] = slowstart.Lease{Rate: float64(lease.Units) / quota.TotalUnits, Until: lease.ExpiresAt}
		leases.Count++
	}
	return leases
}

// EvidenceChange is a change of other nodes' evidence of a server, for the log.
type EvidenceChange struct {
	ServerID fleet.ServerID
	outlier.Change
}

// DrainEvidenceChanges returns the changes since the last call. An AgeMs of -1 means that there is no evidence.
func (p *Participant) DrainEvidenceChanges() (changes []EvidenceChange) {
	for _, change := range p.evidenceChanges {
		id, known := p.serversByHash[change.Server]
		if !known {
			continue
		}
		if math.IsInf(change.AgeMs, 1) {
			change.AgeMs = -1
		}
		changes = append(changes, EvidenceChange{ServerID: id, Change: change})
	}
	p.evidenceChanges = p.evidenceChanges[:0]
	return changes
}
