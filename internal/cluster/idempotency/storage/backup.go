package storage

import (
	"fmt"
	"os"
	"path/filepath"

	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/state/recordlog"
)

// Summary describes a data directory and its contents.
type Summary struct {
	Owner
	Incarnation    idempotency.StorageIncarnation
	Initial        bool // it was complete when created: by Create, or by Restore with allLost
	Segments       int
	Bytes          int64
	TruncatedBytes int64 // the size of a partially written record at the end of the last segment
	State          *idempotency.StoredState
}

// Inspect reads and verifies a data directory that no process uses. It does not modify the directory.
func Inspect(dir string) (*Summary, error) {
	id, err := readIdentity(dir)
	if err != nil {
		return nil, fmt.Errorf("read data directory: %w", err)
	}
	s := &Summary{Owner: id.Owner, Incarnation: id.Incarnation, Initial: id.Initial, State: idempotency.NewStoredState()}
	if id.Initial {
		s.State.CaughtUpStorage = id.Incarnation
	}
	r, err := readSegments(dir, s.State)
	if err != nil {
		return nil, err
	}
	for _, seg := range r.segments {
		s.Segments++
		s.Bytes += seg.size
	}
	if s.Segments > 0 {
		s.TruncatedBytes = r.segments[s.Segments-1].size - r.validSize
	}
	return s, nil
}

// Backup copies a data directory that no process uses, and verifies the copy.
func Backup(dir, to string) (*Summary, error) {
	if _, err := Inspect(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(to, dirPermissions); err != nil {
		return nil, err
	}
	names, err := segmentNames(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range append(names, identityFileName, markFileName) {
		contents, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, fmt.Errorf("back up data directory: %w", err)
		}
		if err := recordlog.WriteNewFile(filepath.Join(to, name), contents); err != nil {
			return nil, fmt.Errorf("back up data directory: %w", err)
		}
	}
	if err := recordlog.SyncDir(to); err != nil {
		return nil, err
	}
	return Inspect(to)
}

// Restore creates a data directory from a backup. The member may have voted after the backup was made, so the directory gets a new
// incarnation and the member catches up like one with an empty directory. allLost says that all members have lost their data directories:
// no member is left to catch up with, and the restored directory counts as complete.
func Restore(backupDir, dir string, newIncarnation idempotency.StorageIncarnation, allLost bool) (*Summary, error) {
	backup, err := Inspect(backupDir)
	if err != nil {
		return nil, err
	}
	if err := create(dir, identity{backup.Owner, newIncarnation, allLost}); err != nil {
		return nil, err
	}
	if err := writeRestored(dir, appendEntryRecords(nil, backup.State.Entries())); err != nil {
		return nil, fmt.Errorf("restore data directory: %w", err)
	}
	return Inspect(dir)
}

// writeRestored writes the first segment of a data directory and the mark file.
func writeRestored(dir string, contents []byte) error {
	const number = 1
	if err := recordlog.WriteNewFile(filepath.Join(dir, segmentName(number)), contents); err != nil {
		return err
	}
	mark, err := os.Create(filepath.Join(dir, markFileName))
	if err != nil {
		return err
	}
	if err := writeMark(mark, syncMark{firstSegment: number, lastSegment: number, syncedSize: uint64(len(contents))}); err != nil {
		_ = mark.Close() // the error of the write matters more
		return err
	}
	if err := mark.Close(); err != nil {
		return err
	}
	return recordlog.SyncDir(dir)
}
