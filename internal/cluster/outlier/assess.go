package outlier

import (
	"cmp"
	"math"
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// Change is the new effect of other nodes' evidence of a server.
type Change struct {
	Server          uint32
	Bias            float64 // added to the failure rate that this node has observed
	TrialIntervalMs float64 // between this node's trial requests while other nodes send some too; 0: the node's own interval
	Duplicating     bool    // the server sends duplicate responses
	Sources         int     // number of sources that agree
	AgeMs           float64 // age of the latest evidence; +Inf: there is none
}

// Tick renews this node's own evidence, drops expired evidence, and returns the changes. The number of nodes determines how many sources must
// agree.
func (d *Detector) Tick(now float64, nodes int) []Change {
	if now-d.lastTickAt < tickIntervalMs {
		return nil
	}
	d.lastTickAt = now
	for _, id := range d.serverOrder {
		d.renew(now, id)
		d.dropExpired(now, id)
	}
	changes := d.report(d.limitBiasedServers(d.assess(now, nodes)))
	d.dropUnused()
	return changes
}

// renew publishes this node's own verdict again if it still holds, or withdraws it after the TTL.
func (d *Detector) renew(now float64, id uint32) {
	e := &d.servers[id].local
	age := now - e.publishedAt
	if !e.published || age < refreshAfter*d.config.TTLMs {
		return
	}
	failing := e.verdict == wire.Failing && e.outcomes > 0
	duplicating := e.verdict == wire.Duplicating && now-e.duplicatedAt < duplicatingTTLs*d.config.TTLMs
	switch {
	case failing || duplicating:
		d.publish(now, id, e, e.verdict)
		e.outcomes = 0
	case age >= d.config.TTLMs:
		e.published = false
	}
}

func (d *Detector) dropExpired(now float64, id uint32) {
	evidence := d.servers[id].evidence
	for source, e := range evidence {
		if now-e.observedAt >= d.config.TTLMs {
			delete(evidence, source)
		}
	}
}

// assessment is a Change together with the number of sources that report the server as failing.
type assessment struct {
	change         Change
	failingSources int
}

// assess assesses each server. Servers that the most sources report as failing come first.
func (d *Detector) assess(now float64, nodes int) []assessment {
	ignoredReporters := d.excessiveReporters()
	var all []assessment
	for _, id := range d.serverOrder {
		all = append(all, d.assessServer(now, id, nodes, ignoredReporters))
	}
	slices.SortStableFunc(all, func(a, b assessment) int {
		return cmp.Or(cmp.Compare(b.failingSources, a.failingSources), cmp.Compare(a.change.Server, b.change.Server))
	})
	return all
}

// excessiveReporters returns the sources that report so many servers as failing that these reports do not count.
func (d *Detector) excessiveReporters() map[cluster.NodeID]bool {
	failingServers := map[cluster.NodeID]int{}
	for _, s := range d.servers {
		for source, e := range s.evidence {
			if e.verdict == wire.Failing {
				failingServers[source]++
			}
		}
	}
	limit := d.shareOfServers(maxFailingShare)
	excessive := map[cluster.NodeID]bool{}
	for source, servers := range failingServers {
		excessive[source] = servers > limit
	}
	return excessive
}

// shareOfServers converts a share of all servers to a number of servers, at least 1.
func (d *Detector) shareOfServers(share float64) int {
	return int(max(1, share*float64(d.serverCount)))
}

func (d *Detector) assessServer(now float64, id uint32, nodes int, ignoredReporters map[cluster.NodeID]bool) assessment {
	s := d.servers[id]
	change := Change{Server: id, AgeMs: math.Inf(1)}
	var sources [wire.Duplicating + 1]int // by verdict
	for source, e := range s.evidence {
		if source == d.config.Self || e.verdict == wire.Failing && ignoredReporters[source] {
			continue
		}
		change.AgeMs = min(change.AgeMs, now-e.observedAt)
		sources[e.verdict]++
	}
	failing, healthy, duplicating := sources[wire.Failing], sources[wire.Healthy], sources[wire.Duplicating]
	required := requiredSources(nodes)
	switch {
	case failing >= required && failing > healthy:
		change.Bias, change.Sources = maxBias, failing
		if healthy == 0 { // otherwise the server may have recovered; a false report of that only raises the number of trial requests
			change.TrialIntervalMs = float64(nodes) * d.config.TTLMs / float64(trialsPerSource*required)
		}
	case healthy >= required && healthy > failing && s.local.failureRate >= failingThreshold:
		change.Bias, change.Sources = minBias, healthy
	}
	if duplicating >= required {
		change.Duplicating = true
		change.Sources = max(change.Sources, duplicating)
	}
	return assessment{change: change, failingSources: failing}
}

// limitBiasedServers removes the positive bias and the duplicating mark of servers beyond maxBiasedShare. The assessments are sorted, so
// that servers that few sources report as failing lose bias and mark before servers that many sources report.
func (d *Detector) limitBiasedServers(all []assessment) []assessment {
	remaining := d.shareOfServers(maxBiasedShare)
	for i := range all {
		change := &all[i].change
		if change.Bias <= 0 && !change.Duplicating {
			continue
		}
		remaining--
		if remaining < 0 {
			change.Bias, change.TrialIntervalMs, change.Duplicating = 0, 0, false
		}
	}
	return all
}

// report returns the assessments that differ from the last reported ones.
func (d *Detector) report(all []assessment) (changes []Change) {
	for _, a := range all {
		s := d.servers[a.change.Server]
		if !s.differs(a.change) {
			continue
		}
		s.bias, s.duplicating, s.trialIntervalMs = a.change.Bias, a.change.Duplicating, a.change.TrialIntervalMs
		changes = append(changes, a.change)
	}
	return changes
}

// differs reports whether an assessment differs enough from the last reported one. Small changes of the trial interval are ignored, because it
// follows the number of nodes and varies all the time.
func (s *server) differs(change Change) bool {
	before, after := s.trialIntervalMs, change.TrialIntervalMs
	return s.bias != change.Bias || s.duplicating != change.Duplicating || (before == 0) != (after == 0) ||
		before > trialIntervalChange*after || after > trialIntervalChange*before
}

// dropUnused forgets servers that there is no evidence of.
func (d *Detector) dropUnused() {
	d.serverOrder = slices.DeleteFunc(d.serverOrder, func(id uint32) bool {
		s := d.servers[id]
		unused := len(s.evidence) == 0 && s.bias == 0 && !s.duplicating &&
			s.local.failureRate < healthyThreshold && !s.local.published
		if unused {
			delete(d.servers, id)
		}
		return unused
	})
	d.queue = slices.DeleteFunc(d.queue, func(item queueItem) bool { return d.servers[item.server] == nil })
}
