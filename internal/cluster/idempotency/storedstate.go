package idempotency

import (
	"fmt"
	"maps"
	"slices"
)

// Kinds of stored entries. The first byte of an entry is its kind.
const (
	recordEntryKind   = 'C'
	storageEntryKind  = 'V'
	ceilingEntryKind  = 'B'
	caughtUpEntryKind = 'S'
)

// typicalRecordEntrySize is the size in bytes of a record's entry, without its receipt.
const typicalRecordEntrySize = 96

func newEntry(kind byte) *encoder { return &encoder{[]byte{kind}} }

func recordEntry(key Key, accepted Ballot, r Record) []byte {
	e := &encoder{make([]byte, 0, typicalRecordEntrySize+len(r.Receipt))}
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

// CaughtUpEntry returns an entry which says that the storage of an incarnation has all records that it has to store. New storage begins
// with this entry only when the first members of a fleet are set up, because nothing was stored before.
func CaughtUpEntry(incarnation StorageIncarnation) []byte {
	e := newEntry(caughtUpEntryKind)
	e.u64(uint64(incarnation))
	return e.b
}

// StoredState is the combined content of the entries in a data directory.
type StoredState struct {
	Records         map[Key]VersionedRecord // without their ages, which are not stored
	KnownStorage    map[MemberID]StorageIncarnation
	BallotCeiling   uint32
	CaughtUpStorage StorageIncarnation // incarnation of the storage that has all records it has to store
}

// NewStoredState returns the state of an empty data directory.
func NewStoredState() *StoredState {
	return &StoredState{Records: map[Key]VersionedRecord{}, KnownStorage: map[MemberID]StorageIncarnation{}}
}

// Apply applies the next entry. Its values replace earlier ones.
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

// Entries returns entries that reproduce this state, except for CaughtUpStorage.
func (s *StoredState) Entries() [][]byte {
	entries := append(storageEntries(s.KnownStorage), ceilingEntry(s.BallotCeiling))
	for _, key := range sortedKeys(s.Records) {
		r := s.Records[key]
		entries = append(entries, recordEntry(key, r.AcceptedBallot, r.Record))
	}
	return entries
}

// storageEntries returns one entry for each member, sorted by number.
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
