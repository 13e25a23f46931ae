package storage

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/state/recordlog"
)

// State is the content of a data directory.
type State struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // log entries after the snapshot
}

// Update is a change of the state. It has to be durable before any message that depends on it is sent. Unchanged parts are nil.
type Update struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry // each replaces the stored entry with its index and all later ones
}

// isEmpty reports whether the update changes nothing.
func (u Update) isEmpty() bool { return u.HardState == nil && u.Snapshot == nil && len(u.Entries) == 0 }

// apply merges an update into the state.
func (s *State) apply(u Update) {
	if u.Snapshot != nil {
		s.applySnapshot(u.Snapshot)
	}
	for _, e := range u.Entries {
		s.appendEntry(e)
	}
	if u.HardState != nil {
		s.HardState = u.HardState
	}
}

// appendEntry appends an entry after removing all entries with the same or a higher index.
func (s *State) appendEntry(e *pb.Entry) {
	for len(s.Entries) > 0 && s.Entries[len(s.Entries)-1].GetIndex() >= e.GetIndex() {
		s.Entries = s.Entries[:len(s.Entries)-1]
	}
	s.Entries = append(s.Entries, e)
}

// applySnapshot replaces the snapshot, and drops the entries that the snapshot covers.
func (s *State) applySnapshot(snapshot *pb.Snapshot) {
	s.Snapshot = snapshot
	covered := 0
	for covered < len(s.Entries) && s.Entries[covered].GetIndex() <= snapshot.GetMetadata().GetIndex() {
		covered++
	}
	s.Entries = s.Entries[covered:]
}

// Kinds of records in the log file.
const (
	hardStateRecord = 'H'
	entryRecord     = 'E'
	snapshotRecord  = 'S'
)

// encodeUpdate returns an update as records of the log file. Replaying all records in order restores the state.
func encodeUpdate(u Update) ([]byte, error) {
	var b []byte
	var err error
	if u.Snapshot != nil {
		if b, err = appendRecord(b, snapshotRecord, u.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, e := range u.Entries {
		if b, err = appendRecord(b, entryRecord, e); err != nil {
			return nil, err
		}
	}
	if u.HardState != nil {
		if b, err = appendRecord(b, hardStateRecord, u.HardState); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func appendRecord(b []byte, kind byte, m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode record of kind %q: %w", kind, err)
	}
	return recordlog.Append(b, kind, payload), nil
}

// applyRecord decodes a record and applies it to the state.
func (s *State) applyRecord(kind byte, payload []byte) error {
	switch kind {
	case hardStateRecord:
		h := &pb.HardState{}
		if err := proto.Unmarshal(payload, h); err != nil {
			return err
		}
		s.HardState = h
	case entryRecord:
		e := &pb.Entry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return err
		}
		s.appendEntry(e)
	case snapshotRecord:
		snapshot := &pb.Snapshot{}
		if err := proto.Unmarshal(payload, snapshot); err != nil {
			return err
		}
		s.applySnapshot(snapshot)
	default:
		return fmt.Errorf("unknown record kind %q", kind)
	}
	return nil
}
