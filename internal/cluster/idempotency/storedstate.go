package idempotency

import (
	"fmt"
	"maps"
	"slices"
)

// Kinds of stored entries, each of which begins with its kind.
const (
	recordEntryKind   = 'C'
	storageEntryKind  = 'V'
	ceilingEntryKind  = 'B'
	caughtUpEntryKind = 'S'
)

// usualRecordEntrySize is the size of a record's entry without its receipt.
const usualRecordEntrySize = 96

func newEntry(kind byte) *encoder { return &encoder{[]byte{kind}} }

func recordEntry(key Key, accepted Ballot, r Record) []byte {
	e := &encoder{make([]byte, 0, usualRecordEntrySize+len(r.Receipt))}
	e.u8(recordEntryKind)
	e.bytes(key[:])
	e.ballot(accepted)
	e.record(r)
	return e.b
}

func storageEntry(known MemberStorage) []byte {
	e := newEntry(storageEntryKind)
	e.u16(uint16(known.Member))
	e.u64(uint64(known.Incarnation))
	return e.b
}

func ceilingEntry(round uint32) []byte {
	e := newEntry(ceilingEntryKind)
	e.u32(round)
	return e.b
}

// CaughtUpEntry returns the entry which says that the storage of an incarnation has all records that it has to store. A new storage has it where
// nothing was stored before: when the first members of a fleet are set up.
func CaughtUpEntry(incarnation StorageIncarnation) []byte {
	e := newEntry(caughtUpEntryKind)
	e.u64(uint64(incarnation))
	return e.b
}

// StoredState is what the entries of a data directory come to.
type StoredState struct {
	Records         map[Key]VersionedRecord // without their ages, which are not stored
	KnownStorage    map[MemberID]StorageIncarnation
	BallotCeiling   uint32
	CaughtUpStorage StorageIncarnation // that has all records that it has to store
}

// NewStoredState returns the state of an empty data directory.
func NewStoredState() *StoredState {
	return &StoredState{Records: map[Key]VersionedRecord{}, KnownStorage: map[MemberID]StorageIncarnation{}}
}

// Apply takes in the next entry, whose values replace earlier ones.
func (s *StoredState) Apply(entry []byte) error {
	d := &decoder{b: entry}
	switch kind := d.u8(); kind {
	case recordEntryKind:
		r := VersionedRecord{Key: d.key(), AcceptedBallot: d.ballot(), Record: d.record()}
		s.Records[r.Key] = r
	case storageEntryKind:
		known := MemberStorage{MemberID(d.u16()), StorageIncarnation(d.u64())}
		s.KnownStorage[known.Member] = max(s.KnownStorage[known.Member], known.Incarnation)
	case ceilingEntryKind:
		s.BallotCeiling = max(s.BallotCeiling, d.u32())
	case caughtUpEntryKind:
		s.CaughtUpStorage = StorageIncarnation(d.u64())
	default:
		return fmt.Errorf("stored entry of unknown kind %q", kind)
	}
	if !d.done() {
		return ErrMalformed
	}
	return nil
}

// Entries returns the entries that come to this state, without the one of CaughtUpStorage.
func (s *StoredState) Entries() [][]byte {
	entries := append(storageEntries(s.KnownStorage), ceilingEntry(s.BallotCeiling))
	for _, key := range sortedKeys(s.Records) {
		r := s.Records[key]
		entries = append(entries, recordEntry(key, r.AcceptedBallot, r.Record))
	}
	return entries
}

// storageEntries returns an entry of each member, in the order of their numbers.
func storageEntries(known map[MemberID]StorageIncarnation) [][]byte {
	entries := make([][]byte, 0, len(known)+1)
	for _, m := range sortedMembers(known) {
		entries = append(entries, storageEntry(MemberStorage{m, known[m]}))
	}
	return entries
}

func sortedMembers[V any](members map[MemberID]V) []MemberID {
	return slices.Sorted(maps.Keys(members))
}

func compareKeys(a, b Key) int { return slices.Compare(a[:], b[:]) }

func sortedKeys[V any](records map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(records), compareKeys)
}
