package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/state/recordlog"
)

const (
	// maxSegmentBytes is the size at which a segment is closed.
	maxSegmentBytes = 32 << 20
	// segmentsPerRetention is the minimum number of segments written within the retention of a record.
	segmentsPerRetention = 4
	// deletionDelay is how long segments are kept after all their records have expired, as the clock may be adjusted.
	deletionDelay = time.Minute
)

// load reads the data directory into state, and positions the last segment for appending after its last valid record.
func (s *Store) load(state *idempotency.StoredState) error {
	r, err := readSegments(s.dir, state)
	if err != nil {
		return err
	}
	if s.markFile, err = os.OpenFile(filepath.Join(s.dir, markFileName), os.O_CREATE|os.O_RDWR, filePermissions); err != nil {
		return err
	}
	for _, name := range r.expired {
		if err := os.Remove(filepath.Join(s.dir, name)); err != nil {
			return fmt.Errorf("remove an expired segment: %w", err)
		}
	}
	s.segmentStartedAt = s.Now()
	if len(r.segments) == 0 {
		return s.startSegment(1, nil)
	}
	last := r.segments[len(r.segments)-1]
	s.closedSegments, s.segmentNumber, s.segmentSize = r.segments[:len(r.segments)-1], last.number, r.validSize
	for i := range s.closedSegments {
		s.closedSegments[i].closedAt = s.segmentStartedAt
	}
	if s.segmentFile, err = os.OpenFile(s.segmentPath(last.number), os.O_RDWR, filePermissions); err != nil {
		return err
	}
	if r.validSize < last.size {
		if err := s.truncateSegment(r.validSize); err != nil {
			return fmt.Errorf("remove a truncated record: %w", err)
		}
	}
	if err := s.syncTail(r); err != nil {
		return err
	}
	_, err = s.segmentFile.Seek(r.validSize, io.SeekStart)
	return err
}

// truncateSegment truncates the open segment and syncs it. The next segment records its size: if the bytes came back after a crash, the
// directory would be rejected as corrupt.
func (s *Store) truncateSegment(size int64) error {
	if err := s.segmentFile.Truncate(size); err != nil {
		return err
	}
	return s.Sync(s.segmentFile)
}

// syncTail rewrites and syncs the records that were read after the last synced one. If a sync of the previous process has failed, the
// operating system may discard the pages that it could not write, and a second sync without a new write succeeds although the data is lost.
func (s *Store) syncTail(r *segmentReader) error {
	synced := int64(0)
	if r.mark.lastSegment == s.segmentNumber {
		synced = int64(r.mark.syncedSize)
	}
	if r.validSize <= synced {
		return nil
	}
	tail := make([]byte, r.validSize-synced)
	if _, err := s.segmentFile.ReadAt(tail, synced); err != nil {
		return err
	}
	if _, err := s.segmentFile.WriteAt(tail, synced); err != nil {
		return err
	}
	return s.Sync(s.segmentFile)
}

func (s *Store) segmentPath(number uint64) string { return filepath.Join(s.dir, segmentName(number)) }

// Size returns the total size of all segments in bytes.
func (s *Store) Size() int64 {
	size := s.segmentSize
	for _, closed := range s.closedSegments {
		size += closed.size
	}
	return size
}

// Append writes entries and syncs them with one sync. Messages that depend on them may be sent only after Append has returned nil. After an
// error the content of the disk is unknown, and each later call returns the same error until Recover succeeds. header has the entries with
// which the next segment starts if Append starts one; it must reflect the state after these entries.
func (s *Store) Append(entries, header [][]byte) error {
	return s.writeUnlessFailed(func() error { return s.appendEntries(entries, header) })
}

// Rewrite writes all entries into a new segment and deletes the earlier segments. It replaces corrupt segments by the state in memory.
func (s *Store) Rewrite(entries, header [][]byte) error {
	return s.writeUnlessFailed(func() error { return s.rewrite(entries, header) })
}

// Recover makes the store writable again after a failed write, by writing and syncing all entries into a new segment. Data that a failed
// sync covered never counts as stored, even if a later sync of the same file succeeds. After an error Recover may be called again.
func (s *Store) Recover(entries, header [][]byte) error {
	if err := s.recover(entries, header); err != nil {
		return fmt.Errorf("recover %s: %w", s.dir, err)
	}
	s.failure = nil
	return nil
}

func (s *Store) recover(entries, header [][]byte) error {
	size := 0
	for _, entry := range slices.Concat(header, entries) {
		size += len(entry)
	}
	if s.limits.MaxBytes > 0 && int64(size) > s.limits.MaxBytes {
		return ErrFull
	}
	// The bytes after the last synced record may be a truncated record.
	if err := s.truncateSegment(s.segmentSize); err != nil {
		return err
	}
	if _, err := s.segmentFile.Seek(s.segmentSize, io.SeekStart); err != nil {
		return err
	}
	// The failed write may have created the next segment without recording it in the mark.
	if err := os.Remove(s.segmentPath(s.segmentNumber + 1)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return s.rewrite(entries, header)
}

// writeUnlessFailed calls write unless an earlier write has failed, and records its error.
func (s *Store) writeUnlessFailed(write func() error) error {
	if s.failure == nil {
		s.failure = write()
	}
	if s.failure != nil {
		return fmt.Errorf("write %s: %w", s.dir, s.failure)
	}
	return nil
}

func (s *Store) appendEntries(entries, header [][]byte) error {
	b := appendEntryRecords(nil, entries)
	if s.limits.MaxBytes > 0 && s.Size()+int64(len(b)) > s.limits.MaxBytes {
		return ErrFull
	}
	if _, err := s.segmentFile.Write(b); err != nil {
		return err
	}
	if err := s.Sync(s.segmentFile); err != nil {
		return err
	}
	s.segmentSize += int64(len(b))
	if err := s.writeMark(); err != nil {
		return err
	}
	now := s.Now()
	if s.segmentSize >= maxSegmentBytes || s.segmentSize > 0 && now.Sub(s.segmentStartedAt) > s.limits.Retention/segmentsPerRetention {
		if err := s.startSegment(s.segmentNumber+1, header); err != nil {
			return err
		}
	}
	return s.removeExpired(now)
}

func appendEntryRecords(b []byte, entries [][]byte) []byte {
	for _, entry := range entries {
		b = recordlog.Append(b, entryRecord, entry)
	}
	return b
}

// startSegment closes the open segment and creates the next one. The header is synced before the mark includes the new segment.
func (s *Store) startSegment(number uint64, header [][]byte) error {
	f, err := os.OpenFile(s.segmentPath(number), os.O_CREATE|os.O_EXCL|os.O_RDWR, filePermissions)
	if err != nil {
		return err
	}
	b := recordlog.Append(nil, previousSizeRecord, binary.BigEndian.AppendUint64(nil, uint64(s.segmentSize)))
	b = appendEntryRecords(b, header)
	if err := s.writeSegmentHeader(f, b); err != nil {
		_ = f.Close() // the error of the write matters more
		return err
	}
	if s.segmentFile != nil {
		s.closedSegments = append(s.closedSegments, segment{s.segmentNumber, s.segmentSize, s.Now()})
		_ = s.segmentFile.Close() // already synced
	}
	s.segmentFile, s.segmentNumber, s.segmentSize, s.segmentStartedAt = f, number, int64(len(b)), s.Now()
	return s.writeMark()
}

func (s *Store) writeSegmentHeader(f *os.File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return err
	}
	if err := s.Sync(f); err != nil {
		return err
	}
	return recordlog.SyncDir(s.dir)
}

// writeMark records the range of segments and the synced size of the last one.
func (s *Store) writeMark() error {
	first := s.segmentNumber
	if len(s.closedSegments) > 0 {
		first = s.closedSegments[0].number
	}
	return writeMark(s.markFile, syncMark{firstSegment: first, lastSegment: s.segmentNumber, syncedSize: uint64(s.segmentSize)})
}

func writeMark(f *os.File, mark syncMark) error {
	return recordlog.WriteSyncMark(f, mark.firstSegment, mark.lastSegment, mark.syncedSize)
}

func (s *Store) rewrite(entries, header [][]byte) error {
	if err := s.startSegment(s.segmentNumber+1, slices.Concat(header, entries)); err != nil {
		return err
	}
	replaced := s.closedSegments
	s.closedSegments = nil
	return s.removeSegments(replaced)
}

// removeExpired deletes the segments whose records have all expired.
func (s *Store) removeExpired(now time.Time) error {
	lifetime := s.limits.Retention + s.limits.Retention/segmentsPerRetention + deletionDelay
	expired := 0
	for expired < len(s.closedSegments) && now.Sub(s.closedSegments[expired].closedAt) > lifetime {
		expired++
	}
	removed := s.closedSegments[:expired]
	s.closedSegments = s.closedSegments[expired:]
	return s.removeSegments(removed)
}

// removeSegments deletes segments that were already removed from closedSegments. It syncs the mark without them first, as a segment that is
// listed in the mark but missing counts as lost by the disk.
func (s *Store) removeSegments(segments []segment) error {
	if len(segments) == 0 {
		return nil
	}
	if err := s.writeMark(); err != nil {
		return err
	}
	if err := s.Sync(s.markFile); err != nil {
		return err
	}
	for _, seg := range segments {
		if err := os.Remove(s.segmentPath(seg.number)); err != nil {
			return err
		}
	}
	return nil
}

// CorruptSegment verifies the closed segments, and returns the path of the first corrupt one, "" if there is none.
func (s *Store) CorruptSegment() string {
	for _, closed := range s.closedSegments {
		if name := s.segmentPath(closed.number); verifySegment(name, closed.size) != nil {
			return name
		}
	}
	return ""
}

func verifySegment(name string, size int64) error {
	contents, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if int64(len(contents)) != size {
		return recordlog.ErrCorrupt
	}
	_, err = recordlog.Replay(name, contents, size, func(byte, []byte) error { return nil })
	return err
}
