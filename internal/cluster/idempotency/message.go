package idempotency

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"slices"
)

// MessageType is the type of a message.
type MessageType uint8

// Types of messages. The numbers are sent.
const (
	MsgPrepare     MessageType = iota + 1 // to acceptors: phase 1 of a proposal
	MsgPromise                            // answers MsgPrepare
	MsgAccept                             // to acceptors: phase 2 of a proposal
	MsgAccepted                           // answers MsgAccept
	MsgRejected                           // answers MsgPrepare and MsgAccept whose ballot is too low
	MsgCatchUp                            // to replicas: a member with new storage requests all records that it has to store
	MsgCatchUpPage                        // answers MsgCatchUp with a page of these records
	MsgCompare                            // to replicas: requests keys and ballots of the records that the sender has to store
	MsgComparePage                        // answers MsgCompare with a page of keys and ballots
	MsgAnnounce                           // to replicas: announces the sender's storage incarnation
	MsgAnnounceAck                        // answers MsgAnnounce once the incarnation is synced
)

// VersionedRecord is the record of a key and the ballot under which it was accepted. MsgComparePage has only Key and AcceptedBallot.
type VersionedRecord struct {
	Key            Key
	AcceptedBallot Ballot
	Record         Record
	AgeMs          float64 // since the first claim; +Inf: not known
	UnchangedMs    float64 // since the last change; +Inf: not known
}

// MemberStorage is the latest storage incarnation that a member is known to have.
type MemberStorage struct {
	Member      MemberID
	Incarnation StorageIncarnation
}

// Message is a datagram between members.
type Message struct {
	Type               MessageType
	From, To           MemberID
	StorageIncarnation StorageIncarnation // of the sender; 0: it stores nothing
	ReplicaSetHashes   [maxReplicaSets]uint32
	Number             uint64 // of the proposal, or the position of a page
	Key                Key
	Ballot             Ballot
	HasRecord          bool // in MsgPromise: the acceptor has accepted a record
	AcceptedBallot     Ballot
	Record             Record
	AgeMs              float64 // since the first claim; +Inf: not known
	UnchangedMs        float64 // since the last change; +Inf: not known
	PromiseFloor       uint32  // in MsgRejected: round of the higher promise; in MsgCatchUpPage: the sender's ballot ceiling
	More               bool    // in pages: there are more pages
	Restart            bool    // in pages: the receiver has to start again from the first page
	KnownStorage       []MemberStorage
	Records            []VersionedRecord
}

// Errors of ParseMessage and StoredState.Apply.
var (
	ErrChecksum  = errors.New("message checksum mismatch")
	ErrMalformed = errors.New("malformed message or entry")
)

// MaxMessageSize is the maximum size of a message in bytes.
const MaxMessageSize = 60 << 10

// A datagram consists of a magic number of two bytes, the version, the CRC-32C of the body, and the body.
const (
	wireMagic      = "mb"
	wireVersion    = 1
	checksumOffset = len(wireMagic) + 1
	bodyOffset     = checksumOffset + 4
)

// typicalMessageSize is the size in bytes of most messages, without receipts.
const typicalMessageSize = 192

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// hasRecord reports whether the fields AcceptedBallot, Record, AgeMs and UnchangedMs are encoded.
func (m *Message) hasRecord() bool { return m.Type == MsgAccept || m.HasRecord }

// Append appends the encoded message to b and returns the extended slice.
func (m *Message) Append(b []byte) []byte {
	start := len(b)
	e := &encoder{slices.Grow(b, typicalMessageSize+len(m.Record.Receipt))}
	e.bytes([]byte(wireMagic))
	e.u8(wireVersion)
	e.u32(0) // the checksum
	e.u8(uint8(m.Type))
	e.u16(uint16(m.From))
	e.u16(uint16(m.To))
	e.u64(uint64(m.StorageIncarnation))
	for _, hash := range m.ReplicaSetHashes {
		e.u32(hash)
	}
	e.u64(m.Number)
	e.bytes(m.Key[:])
	e.ballot(m.Ballot)
	e.flags(m.HasRecord, m.More, m.Restart)
	if m.hasRecord() {
		e.ballot(m.AcceptedBallot)
		e.record(m.Record)
		e.f64(m.AgeMs)
		e.f64(m.UnchangedMs)
	}
	e.u32(m.PromiseFloor)
	e.u8(uint8(len(m.KnownStorage)))
	for _, known := range m.KnownStorage {
		e.u16(uint16(known.Member))
		e.u64(uint64(known.Incarnation))
	}
	e.u16(uint16(len(m.Records)))
	for i := range m.Records {
		e.versionedRecord(&m.Records[i], m.Type == MsgCatchUpPage)
	}
	binary.BigEndian.PutUint32(e.b[start+checksumOffset:], crc32.Checksum(e.b[start+bodyOffset:], castagnoli))
	return e.b
}

// ParseMessage decodes a datagram. The message shares no memory with it.
func ParseMessage(b []byte) (*Message, error) {
	if len(b) <= bodyOffset || string(b[:len(wireMagic)]) != wireMagic || b[len(wireMagic)] != wireVersion {
		return nil, ErrMalformed
	}
	body := b[bodyOffset:]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[checksumOffset:]) {
		return nil, ErrChecksum
	}
	d := &decoder{b: body}
	m := &Message{Type: MessageType(d.u8()), From: MemberID(d.u16()), To: MemberID(d.u16()), StorageIncarnation: StorageIncarnation(d.u64())}
	for i := range m.ReplicaSetHashes {
		m.ReplicaSetHashes[i] = d.u32()
	}
	m.Number, m.Key, m.Ballot = d.u64(), d.key(), d.ballot()
	flags := d.u8()
	m.HasRecord, m.More, m.Restart = flags&1 != 0, flags&2 != 0, flags&4 != 0
	if m.hasRecord() {
		m.AcceptedBallot, m.Record = d.ballot(), d.record()
		m.AgeMs, m.UnchangedMs = d.duration(), d.duration()
	}
	m.PromiseFloor = d.u32()
	for range d.u8() {
		m.KnownStorage = append(m.KnownStorage, MemberStorage{MemberID(d.u16()), StorageIncarnation(d.u64())})
	}
	for range d.u16() {
		r := d.versionedRecord(m.Type == MsgCatchUpPage)
		if d.malformed {
			break
		}
		m.Records = append(m.Records, r)
	}
	if !d.done() || m.Type < MsgPrepare || m.Type > MsgAnnounceAck {
		return nil, ErrMalformed
	}
	return m, nil
}
