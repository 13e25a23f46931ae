package participant

import (
	"slices"

	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/gossip"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/hotkeys"
)

// trafficStats counts client requests by tenant and by key.
type trafficStats struct {
	tenants   []tenantRate // by tenant
	keyCounts hotkeys.Counts
	topKeys   hotkeys.Top
	keyNames  map[uint32]string // by hash, of the keys whose rates are published
}

// tenantRate is the request rate of one tenant.
type tenantRate struct {
	requests  int     // since the last poll
	perMinute float64 // decaying average
}

const (
	rateSmoothing  = 0.05 // weight of the latest poll: a time constant of 4 s, the same as the decay in hotkeys
	pollsPerMinute = 60_000 / pollIntervalMs
)

// ObserveRequest counts a client request; name is the text of its key.
func (p *Participant) ObserveRequest(request *fleet.Request, name []byte) {
	if !p.Gossip.Config().ShareCounters {
		return
	}
	t := &p.traffic
	for int(request.Tenant) >= len(t.tenants) {
		t.tenants = append(t.tenants, tenantRate{})
	}
	if request.Tenant >= 0 {
		t.tenants[request.Tenant].requests++
	}
	t.keyCounts.Add(uint64(request.Key))
	t.topKeys.Offer(&t.keyCounts, uint64(request.Key), name)
}

// publishCounters publishes the counters of this node as a whole, and the counters of the servers, tenants and keys with the greatest values.
func (p *Participant) publishCounters(now float64) {
	if !p.Gossip.Config().ShareCounters {
		return
	}
	for kind, value := range p.host.NodeCounters() {
		p.Gossip.SetCounter(now, counters.Key{Kind: uint8(kind)}, value)
	}
	open, inUse := p.connectionCounters()
	p.publishTop(now, counters.OpenConnections, open)
	p.publishTop(now, counters.ConnectionsInUse, inUse)
	p.publishTop(now, counters.TenantRate, p.tenantCounters())
	p.publishTop(now, counters.KeyRate, p.keyCounters())
}

// publishTop publishes the labeled counters with the greatest values.
func (p *Participant) publishTop(now float64, kind uint8, all []counters.LabeledSum) {
	slices.SortFunc(all, counters.LabeledSum.Compare)
	for _, c := range all[:min(len(all), counters.TopN)] {
		p.Gossip.SetCounter(now, counters.Key{Kind: kind, Label: c.Label}, c.Value)
	}
}

// labeled returns a labeled counter. The label 0 is reserved for the node as a whole.
func labeled(label uint32, value int) counters.LabeledSum {
	return counters.LabeledSum{Label: max(1, label), Sum: counters.Sum{Value: value}}
}

func (p *Participant) connectionCounters() (open, inUse []counters.LabeledSum) {
	for i := range p.servers {
		s := &p.servers[i]
		if !s.listed {
			continue
		}
		openCount, inUseCount := p.host.Connections(fleet.ServerID(i))
		open = append(open, labeled(s.nameHash, openCount))
		inUse = append(inUse, labeled(s.nameHash, inUseCount))
	}
	return open, inUse
}

// tenantCounters updates the request rates of the tenants and returns them.
func (p *Participant) tenantCounters() (all []counters.LabeledSum) {
	for id := range p.traffic.tenants {
		t := &p.traffic.tenants[id]
		t.perMinute += rateSmoothing * (float64(t.requests)*pollsPerMinute - t.perMinute)
		t.requests = 0
		name := p.host.TenantName(fleet.TenantID(id))
		label := wire.HashName("tenant " + name)
		p.namesByHash[label] = name
		all = append(all, labeled(label, int(t.perMinute+0.5)))
	}
	return all
}

// keyCounters returns the request rates of the most requested keys, then decays the counts.
func (p *Participant) keyCounters() (all []counters.LabeledSum) {
	p.traffic.keyNames = map[uint32]string{}
	p.traffic.topKeys.Each(func(key uint64, name []byte) {
		label := wire.HashName("key " + string(name))
		p.traffic.keyNames[label] = string(name)
		perMinute := p.traffic.keyCounts.Count(key) * rateSmoothing * pollsPerMinute
		all = append(all, labeled(label, int(perMinute+0.5)))
	})
	p.traffic.keyCounts.Decay()
	return all
}

// Status returns the node's state for operators, with the names for those hashes that this node knows.
func (p *Participant) Status(now float64) gossip.Status {
	status := p.Gossip.Status(now)
	for i := range status.Budgets {
		status.Budgets[i].Name = p.nameOf(status.Budgets[i].Budget)
	}
	for i := range status.Servers {
		status.Servers[i].Name = p.nameOf(status.Servers[i].Server)
	}
	for _, all := range status.LabeledCounters {
		for i := range all {
			all[i].Name = p.nameOf(all[i].Label)
		}
	}
	return status
}

// nameOf returns the name for a hash on the wire, or "" if this node does not know it.
func (p *Participant) nameOf(hash uint32) string {
	if name, known := p.namesByHash[hash]; known {
		return name
	}
	return p.traffic.keyNames[hash]
}
