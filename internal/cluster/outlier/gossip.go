package outlier

import (
	"math"
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// MergeEvidence takes over the evidence in a message.
func (d *Detector) MergeEvidence(now float64, m *wire.Message) {
	for _, e := range m.Evidence {
		known := int(e.Source) < d.config.MaxNodes && e.Verdict <= wire.Duplicating
		if !known || e.Source == d.config.Self || e.AgeMs >= d.config.TTLMs {
			continue
		}
		d.record(e.Server, e.Source, remoteEvidence{verdict: e.Verdict, attempts: e.Attempts, observedAt: now - e.AgeMs})
	}
}

// record stores evidence, if it is newer than what is known of that source, and queues it at the front: until all nodes know of a failing
// server, it costs requests at each.
func (d *Detector) record(id uint32, source cluster.NodeID, e remoteEvidence) {
	s := d.server(id)
	previous, known := s.evidence[source]
	if known && previous.observedAt >= e.observedAt-newerByMs {
		return
	}
	s.evidence[source] = e
	added := queueItem{server: id, source: source}
	d.queue = slices.DeleteFunc(d.queue, func(item queueItem) bool { return item == added })
	d.queue = slices.Insert(d.queue, 0, added)
	if !known || previous.verdict != e.verdict {
		d.unsent = true
	}
}

// TakeNewEvidenceFlag reports whether there is new evidence since the last call.
func (d *Detector) TakeNewEvidenceFlag() bool {
	unsent := d.unsent
	d.unsent = false
	return unsent
}

// AppendEvidence adds up to limit pieces of evidence to a message, those that were passed on least often first. The number of nodes
// determines how often each is passed on.
func (d *Detector) AppendEvidence(now float64, m *wire.Message, limit, nodes int) {
	maxTransmits := int(retransmitMultiplier * math.Ceil(math.Log2(float64(nodes+1))))
	for range len(d.queue) {
		if limit == 0 {
			return
		}
		item := d.queue[0]
		d.queue = d.queue[1:]
		s := d.servers[item.server]
		e, known := s.evidence[item.source]
		if !known || now-e.observedAt >= d.config.TTLMs {
			continue
		}
		entry := e.onWire(now, item.server, item.source)
		entry.AgeMs = max(0, entry.AgeMs)
		m.Evidence = append(m.Evidence, entry)
		limit--
		e.transmits++
		if e.transmits < maxTransmits {
			d.queue = append(d.queue, item)
		}
		s.evidence[item.source] = e
	}
}
