package wire

import (
	"encoding/binary"
	"hash/crc32"

	"mintspring/internal/cluster"
)

// Parse decodes a datagram. The message does not share memory with b. The error is one of ErrTruncated, ErrBadMagic, ErrChecksum and
// ErrMalformed.
func Parse(b []byte) (*Message, error) {
	if err := checkFrame(b); err != nil {
		return nil, err
	}
	m := parseHeader(b)
	for rest := b[headerSize : len(b)-checksumSize]; len(rest) > 0; {
		if len(rest) < sectionHeaderSize {
			return nil, ErrMalformed
		}
		kind, end := rest[0], sectionHeaderSize+int(rest[1])
		if len(rest) < end {
			return nil, ErrMalformed
		}
		if err := m.parseSection(kind, rest[sectionHeaderSize:end]); err != nil {
			return nil, err
		}
		rest = rest[end:]
	}
	return m, nil
}

// checkFrame checks the length, the magic bytes and the checksum of a datagram.
func checkFrame(b []byte) error {
	if len(b) < headerSize+checksumSize {
		return ErrTruncated
	}
	content, checksum := b[:len(b)-checksumSize], b[len(b)-checksumSize:]
	switch {
	case len(b) > MaxSize:
		return ErrMalformed
	case b[0] != 'm' || b[1] != 'p':
		return ErrBadMagic
	case crc32.Checksum(content, castagnoli) != binary.BigEndian.Uint32(checksum):
		return ErrChecksum
	}
	return nil
}

func parseHeader(b []byte) *Message {
	return &Message{
		Kind:        Kind(b[3]),
		Fleet:       binary.BigEndian.Uint32(b[4:]),
		From:        cluster.NodeID(binary.BigEndian.Uint16(b[8:])),
		Incarnation: cluster.Incarnation(binary.BigEndian.Uint64(b[10:])),
		To:          cluster.NodeID(binary.BigEndian.Uint16(b[18:])),
		Seq:         binary.BigEndian.Uint32(b[20:]),
		Target:      cluster.NodeID(binary.BigEndian.Uint16(b[24:])),
	}
}

// parseSection adds the entries of a section to the message; one of an unknown kind is skipped.
func (m *Message) parseSection(kind byte, b []byte) error {
	size := entrySize(kind)
	if size == 0 {
		return nil // of a later version
	}
	if len(b)%size != 0 {
		return ErrMalformed
	}
	for ; len(b) > 0; b = b[size:] {
		m.parseEntry(kind, b[:size])
	}
	return nil
}

func (m *Message) parseEntry(kind byte, b []byte) {
	switch kind {
	case sectionUpdates:
		m.Updates = append(m.Updates, parseUpdate(b))
	case sectionQuotaRequests:
		m.QuotaRequests = append(m.QuotaRequests, parseQuotaRequest(b))
	case sectionTrafficQuotaRequests:
		m.TrafficQuotaRequests = append(m.TrafficQuotaRequests, parseQuotaRequest(b))
	case sectionQuotaGrants:
		m.QuotaGrants = append(m.QuotaGrants, parseQuotaGrant(b))
	case sectionEvidence:
		m.Evidence = append(m.Evidence, parseEvidence(b))
	case sectionCounters:
		m.Counters = append(m.Counters, parseCounter(b))
	case sectionLabeledCounters:
		c := parseCounter(b)
		c.Label = binary.BigEndian.Uint32(b[counterSize:])
		m.Counters = append(m.Counters, c)
	}
}

func parseUpdate(b []byte) MemberUpdate {
	return MemberUpdate{
		Node:        cluster.NodeID(binary.BigEndian.Uint16(b)),
		Incarnation: cluster.Incarnation(binary.BigEndian.Uint64(b[2:])),
		Refutation:  binary.BigEndian.Uint16(b[10:]),
		State:       State(b[12]),
		SuspectedBy: cluster.NodeID(binary.BigEndian.Uint16(b[13:])),
	}
}

func parseQuotaRequest(b []byte) QuotaRequest {
	return QuotaRequest{
		Budget: binary.BigEndian.Uint32(b),
		Seq:    binary.BigEndian.Uint32(b[4:]),
		Units:  binary.BigEndian.Uint32(b[8:]),
	}
}

func parseQuotaGrant(b []byte) QuotaGrant {
	return QuotaGrant{
		IncarnationTag: binary.BigEndian.Uint16(b),
		Budget:         binary.BigEndian.Uint32(b[2:]),
		Seq:            binary.BigEndian.Uint32(b[6:]),
		Units:          binary.BigEndian.Uint32(b[10:]),
	}
}

func parseEvidence(b []byte) Evidence {
	return Evidence{
		Source:   cluster.NodeID(binary.BigEndian.Uint16(b)),
		Server:   binary.BigEndian.Uint32(b[2:]),
		Verdict:  Verdict(b[6]),
		Attempts: b[7],
		AgeMs:    ageUnitMs * float64(b[8]),
	}
}

// parseCounter decodes a counter without its label.
func parseCounter(b []byte) Counter {
	return Counter{
		Node:           cluster.NodeID(binary.BigEndian.Uint16(b)),
		IncarnationTag: binary.BigEndian.Uint16(b[2:]),
		Seq:            binary.BigEndian.Uint16(b[4:]),
		Kind:           b[6],
		Value:          binary.BigEndian.Uint32(b[7:]),
		AgeMs:          ageUnitMs * float64(b[11]),
	}
}
