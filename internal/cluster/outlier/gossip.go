package outlier

import (
	"math"
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// MergeEvidence stores the valid evidence in a message.
func (d *Detector) MergeEvidence(now float64, m *wire.Message) {
	for _, e := range m.Evidence {
		valid := int(e.Source) < d.config.MaxNodes && e.Verdict <= wire.Duplicating
		if !valid || e.Source == d.config.Self || e.AgeMs >= d.config.TTLMs {
			continue
		}
		d.record(e.Server, e.Source, sourceEvidence{verdict: e.Verdict, attempts: e.Attempts, observedAt: now - e.AgeMs})
	}
}

// record stores evidence if it is newer than the stored evidence of its source. New evidence goes to the front of the queue, because requests
// fail at each node until that node knows of the failing server.
func (d *Detector) record(id uint32, source cluster.NodeID, e sourceEvidence) {
	s := d.server(id)
	previous, known := s.evidence[source]
	if known && previous.observedAt >= e.observedAt-minNewerByMs {
		return
	}
	s.evidence[source] = e
	added := queueItem{server: id, source: source}
	d.queue = slices.DeleteFunc(d.queue, func(item queueItem) bool { return item == added })
	d.queue = slices.Insert(d.queue, 0, added)
	if !known || previous.verdict != e.verdict {
		d.hasNewEvidence = true
	}
}

// TakeNewEvidenceFlag reports whether there is a new source or verdict to pass on since the last call, and clears the flag.
func (d *Detector) TakeNewEvidenceFlag() bool {
	hasNewEvidence := d.hasNewEvidence
	d.hasNewEvidence = false
	return hasNewEvidence
}

// AppendEvidence appends up to limit pieces of evidence from the front of the queue to a message. Each piece returns to the
// back of the queue until it has been sent as often as the number of nodes requires.
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
		entry := e.toWire(now, item.server, item.source)
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
