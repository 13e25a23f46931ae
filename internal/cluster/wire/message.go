// Package wire defines the datagrams that the nodes of a fleet exchange, and the UDP socket that carries them. A datagram has at most 256
// bytes, the limit of some platforms. Its fields, with their sizes in bytes:
//
//	2 "mp", 1 version, 1 kind, 4 hash of the fleet's name, 2 from, 8 incarnation, 2 to, 4 sequence number, 2 target, sections,
//	4 CRC-32C of everything before
//
// Integers are big-endian. A section is 1 kind, 1 length, and that many bytes. Sections of unknown kinds are skipped, so that versions of
// the program can run side by side; a datagram of a later version is read as far as it is understood.
package wire

import (
	"errors"

	"mintspring/internal/cluster"
)

// MaxSize is the size of the largest datagram in bytes.
const MaxSize = 256

// Version is the version of the format that this program writes.
const Version = 1

// Kind says which answer a datagram expects.
type Kind uint8

// Kinds of datagrams. A datagram of any kind may carry any sections.
const (
	Ping         Kind = iota + 1 // expects an Ack with the same sequence number
	Ack                          // answers a Ping, or an IndirectPing once its target has answered
	IndirectPing                 // asks the receiver to ping the target
	Gossip                       // expects no answer
)

// State is the state of a node in a membership update.
type State uint8

// States of a node. Of two updates with the same incarnation and refutation the one with the greater state wins.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
)

// String returns the name under which operators see the state.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "gone"}[min(s, Dead)]
}

// MemberUpdate is a claim about one node.
type MemberUpdate struct {
	Node        cluster.NodeID
	Incarnation cluster.Incarnation
	Refutation  uint16 // raised by the node to refute a suspicion in the same incarnation
	State       State
	SuspectedBy cluster.NodeID // of a suspect: a node that suspects it
}

// QuotaRequest asks for a lease of units of a budget. Seq grows with each request that an incarnation sends to anybody.
type QuotaRequest struct {
	Budget uint32
	Seq    uint32
	Units  uint32
}

// QuotaGrant answers the request with the same sequence number and leases Units to the requester; 0: no lease.
type QuotaGrant struct {
	IncarnationTag uint16 // of the requester
	Budget         uint32
	Seq            uint32
	Units          uint32
}

// Verdict is what evidence asserts about a server.
type Verdict uint8

// Verdicts about a server, by their numbers on the wire.
const (
	Healthy     Verdict = iota // responds again after it was reported as failing
	Failing                    // fails or does not respond
	Duplicating                // sends a second, late response to a request
)

// Evidence is what a node has observed of a server in its own traffic.
type Evidence struct {
	Source   cluster.NodeID `json:"Source"`
	Server   uint32         `json:"Server"` // HashName of the server
	Verdict  Verdict        `json:"Verdict"`
	Attempts uint8          `json:"Weight"` // number of attempts that it is based on, up to 255
	AgeMs    float64        `json:"Age"`    // up to 25,500
}

// Counter is one counter of one node.
type Counter struct {
	Node           cluster.NodeID
	IncarnationTag uint16 // of the node
	Seq            uint16 // grows with each value that an incarnation publishes, and wraps around
	Kind           uint8
	Label          uint32 // HashName of the server, tenant or key; 0: a counter of the node as a whole
	Value          uint32
	AgeMs          float64 // up to 25,500
}

// Message is one datagram.
type Message struct {
	Kind        Kind
	Fleet       uint32 // HashFleet of the fleet's name
	From        cluster.NodeID
	Incarnation cluster.Incarnation // of the sender
	To          cluster.NodeID
	Seq         uint32
	Target      cluster.NodeID // of a ping

	Updates              []MemberUpdate
	QuotaRequests        []QuotaRequest
	TrafficQuotaRequests []QuotaRequest // of budgets whose quotas follow from traffic; unknown to early versions, which skip them
	QuotaGrants          []QuotaGrant
	Evidence             []Evidence
	Counters             []Counter
}

// Errors of Parse.
var (
	ErrTruncated = errors.New("wire: datagram is truncated")
	ErrBadMagic  = errors.New("wire: not a datagram of a node")
	ErrChecksum  = errors.New("wire: checksum mismatch")
	ErrMalformed = errors.New("wire: malformed section")
)

// Kinds of sections on the wire.
const (
	sectionUpdates byte = iota + 1
	sectionQuotaRequests
	sectionQuotaGrants
	sectionEvidence
	sectionCounters
	sectionTrafficQuotaRequests
	sectionLabeledCounters
)

// Sizes in bytes: first of one entry of each kind of section, then of the other parts of a datagram.
const (
	updateSize         = 15
	quotaRequestSize   = 12
	quotaGrantSize     = 14
	evidenceSize       = 9
	counterSize        = 12
	labeledCounterSize = counterSize + 4

	headerSize        = 2 + 1 + 1 + 4 + 2 + 8 + 2 + 4 + 2
	sectionHeaderSize = 1 + 1
	checksumSize      = 4
)

// ageUnitMs is the resolution of ages on the wire.
const ageUnitMs = 100

// entrySize returns the size of one entry of a kind of section, and 0 for an unknown kind.
func entrySize(kind byte) int {
	switch kind {
	case sectionUpdates:
		return updateSize
	case sectionQuotaRequests, sectionTrafficQuotaRequests:
		return quotaRequestSize
	case sectionQuotaGrants:
		return quotaGrantSize
	case sectionEvidence:
		return evidenceSize
	case sectionCounters:
		return counterSize
	case sectionLabeledCounters:
		return labeledCounterSize
	default:
		return 0
	}
}

// labeledCounterCount returns the number of counters with a label.
func (m *Message) labeledCounterCount() int {
	n := 0
	for i := range m.Counters {
		if m.Counters[i].Label != 0 {
			n++
		}
	}
	return n
}

// Size returns the length of the encoded message in bytes.
func (m *Message) Size() int {
	labeled := m.labeledCounterCount()
	return headerSize + checksumSize +
		sectionSize(len(m.Updates), updateSize) +
		sectionSize(len(m.QuotaRequests), quotaRequestSize) +
		sectionSize(len(m.TrafficQuotaRequests), quotaRequestSize) +
		sectionSize(len(m.QuotaGrants), quotaGrantSize) +
		sectionSize(len(m.Evidence), evidenceSize) +
		sectionSize(len(m.Counters)-labeled, counterSize) +
		sectionSize(labeled, labeledCounterSize)
}

// sectionSize returns the size of a section; one without entries is left out.
func sectionSize(entries, entrySize int) int {
	if entries == 0 {
		return 0
	}
	return sectionHeaderSize + entries*entrySize
}

// capacityFor returns how many entries of a size fit into a new section of the message.
func (m *Message) capacityFor(entrySize int) int {
	return max(0, (MaxSize-m.Size()-sectionHeaderSize)/entrySize)
}

// UpdateCapacity returns how many member updates fit into a new section of the message.
func (m *Message) UpdateCapacity() int { return m.capacityFor(updateSize) }

// QuotaRequestCapacity returns how many quota requests fit into a new section of the message.
func (m *Message) QuotaRequestCapacity() int { return m.capacityFor(quotaRequestSize) }

// QuotaGrantCapacity returns how many quota grants fit into a new section of the message.
func (m *Message) QuotaGrantCapacity() int { return m.capacityFor(quotaGrantSize) }

// EvidenceCapacity returns how many pieces of evidence fit into a new section of the message.
func (m *Message) EvidenceCapacity() int { return m.capacityFor(evidenceSize) }

// CounterCapacity returns how many counters, with or without a label, fit into a new section of the message.
func (m *Message) CounterCapacity() int { return m.capacityFor(labeledCounterSize) }
