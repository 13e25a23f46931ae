package wire

import (
	"encoding/binary"
	"hash/crc32"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends the encoded message to b and returns the extended slice.
func (m *Message) Append(b []byte) []byte {
	start := len(b)
	b = m.appendHeader(b)
	b = appendUpdates(b, m.Updates)
	b = appendQuotaRequests(b, sectionQuotaRequests, m.QuotaRequests)
	b = appendQuotaRequests(b, sectionTrafficQuotaRequests, m.TrafficQuotaRequests)
	b = appendQuotaGrants(b, m.QuotaGrants)
	b = appendEvidence(b, m.Evidence)
	labeled := m.labeledCounterCount()
	b = appendCounters(b, sectionCounters, len(m.Counters)-labeled, m.Counters)
	b = appendCounters(b, sectionLabeledCounters, labeled, m.Counters)
	return append(b[:start], appendChecksum(b[start:])...)
}

func (m *Message) appendHeader(b []byte) []byte {
	b = append(b, 'm', 'p', Version, byte(m.Kind))
	b = binary.BigEndian.AppendUint32(b, m.Fleet)
	b = binary.BigEndian.AppendUint16(b, uint16(m.From))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Incarnation))
	b = binary.BigEndian.AppendUint16(b, uint16(m.To))
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	return binary.BigEndian.AppendUint16(b, uint16(m.Target))
}

// appendSectionHeader appends the header of a section with count entries. A section without entries is left out.
func appendSectionHeader(b []byte, kind byte, count int) []byte {
	if count == 0 {
		return b
	}
	return append(b, kind, byte(count*entrySize(kind)))
}

func appendUpdates(b []byte, updates []MemberUpdate) []byte {
	b = appendSectionHeader(b, sectionUpdates, len(updates))
	for _, u := range updates {
		b = binary.BigEndian.AppendUint16(b, uint16(u.Node))
		b = binary.BigEndian.AppendUint64(b, uint64(u.Incarnation))
		b = binary.BigEndian.AppendUint16(b, u.Refutation)
		b = append(b, byte(u.State))
		b = binary.BigEndian.AppendUint16(b, uint16(u.SuspectedBy))
	}
	return b
}

func appendQuotaRequests(b []byte, kind byte, requests []QuotaRequest) []byte {
	b = appendSectionHeader(b, kind, len(requests))
	for _, r := range requests {
		b = binary.BigEndian.AppendUint32(b, r.Budget)
		b = binary.BigEndian.AppendUint32(b, r.Seq)
		b = binary.BigEndian.AppendUint32(b, r.Units)
	}
	return b
}

func appendQuotaGrants(b []byte, grants []QuotaGrant) []byte {
	b = appendSectionHeader(b, sectionQuotaGrants, len(grants))
	for _, g := range grants {
		b = binary.BigEndian.AppendUint16(b, g.IncarnationTag)
		b = binary.BigEndian.AppendUint32(b, g.Budget)
		b = binary.BigEndian.AppendUint32(b, g.Seq)
		b = binary.BigEndian.AppendUint32(b, g.Units)
	}
	return b
}

func appendEvidence(b []byte, evidence []Evidence) []byte {
	b = appendSectionHeader(b, sectionEvidence, len(evidence))
	for _, e := range evidence {
		b = binary.BigEndian.AppendUint16(b, uint16(e.Source))
		b = binary.BigEndian.AppendUint32(b, e.Server)
		b = append(b, byte(e.Verdict), e.Attempts, encodeAge(e.AgeMs))
	}
	return b
}

// appendCounters appends a section with the count counters that belong in it: those with a label or those without.
func appendCounters(b []byte, kind byte, count int, counters []Counter) []byte {
	b = appendSectionHeader(b, kind, count)
	for _, c := range counters {
		if (c.Label != 0) != (kind == sectionLabeledCounters) {
			continue
		}
		b = binary.BigEndian.AppendUint16(b, uint16(c.Node))
		b = binary.BigEndian.AppendUint16(b, c.IncarnationTag)
		b = binary.BigEndian.AppendUint16(b, c.Seq)
		b = append(b, c.Kind)
		b = binary.BigEndian.AppendUint32(b, c.Value)
		b = append(b, encodeAge(c.AgeMs))
		if kind == sectionLabeledCounters {
			b = binary.BigEndian.AppendUint32(b, c.Label)
		}
	}
	return b
}

// encodeAge rounds an age up to a whole unit, so that nothing appears younger after it is passed on.
func encodeAge(ms float64) byte {
	return byte(max(0, min(255, (ms+(ageUnitMs-1))/ageUnitMs)))
}

// appendChecksum appends the checksum of b.
func appendChecksum(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}
