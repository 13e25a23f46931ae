package storage

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"mintspring/internal/state/recordlog"
)

// minRewriteSize is the size in bytes that the log file must exceed before it is rewritten. A larger log file is rewritten at the next snapshot
// if its size is more than twice rewriteBaseSize, its size when it was last opened or rewritten.
const minRewriteSize = 1 << 20

// loadLog reads the log file and applies its records to the state. It truncates the file at the first unreadable record after the sync mark. An
// unreadable record before the mark is an error.
func (s *Store) loadLog() error {
	synced, err := s.syncedSize()
	if err != nil {
		return err
	}
	b, err := io.ReadAll(s.logFile)
	if err != nil {
		return fmt.Errorf("read %s: %w", s.logFile.Name(), err)
	}
	validSize, err := recordlog.Replay(s.logFile.Name(), b, synced, s.state.applyRecord)
	if err != nil {
		return err
	}
	s.logSize = int64(validSize)
	if validSize < len(b) {
		if err := s.logFile.Truncate(s.logSize); err != nil {
			return fmt.Errorf("truncate the log file after its last valid record: %w", err)
		}
	}
	s.rewriteBaseSize = s.logSize
	if err := s.rewriteTail(b[min(synced, s.logSize):s.logSize]); err != nil {
		return err
	}
	_, err = s.logFile.Seek(s.logSize, io.SeekStart)
	return err
}

// rewriteTail writes the data after the sync mark again and syncs it. If the last sync of the previous process failed, the kernel may have marked
// the unwritten pages as clean: they can still be read, but another sync succeeds without writing them.
func (s *Store) rewriteTail(tail []byte) error {
	if len(tail) == 0 {
		return nil
	}
	if _, err := s.logFile.WriteAt(tail, s.logSize-int64(len(tail))); err != nil {
		return err
	}
	return s.syncFile(s.logFile)
}

// syncedSize reads the sync mark and returns how many bytes of the log file are known to be synced.
func (s *Store) syncedSize() (int64, error) {
	b, err := io.ReadAll(s.markFile)
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", s.markFile.Name(), err)
	}
	numbers, err := recordlog.ParseSyncMark(s.markFile.Name(), b, 1)
	if err != nil {
		return 0, err
	}
	return int64(numbers[0]), nil
}

// Save writes an update and syncs it. Messages that depend on the update may be sent only after Save has returned nil. After an error, the contents
// of the disk are unknown, and every later Save returns the same error.
func (s *Store) Save(u Update) error {
	if s.saveErr != nil {
		return s.saveErr
	}
	if u.isEmpty() {
		return nil
	}
	if err := s.write(u); err != nil {
		s.saveErr = fmt.Errorf("save to %s: %w", s.dir, err)
	}
	return s.saveErr
}

func (s *Store) write(u Update) error {
	records, err := encodeUpdate(u)
	if err != nil {
		return err
	}
	s.state.apply(u)
	if s.logSize > minRewriteSize && s.logSize > 2*s.rewriteBaseSize && u.Snapshot != nil {
		return s.rewrite()
	}
	if _, err := s.logFile.Write(records); err != nil {
		return err
	}
	if err := s.syncFile(s.logFile); err != nil {
		return err
	}
	s.logSize += int64(len(records))
	return s.writeMark()
}

// writeMark records that the log file is synced up to logSize. It does not sync the mark itself: after a crash the mark may be too low, but never
// too high.
func (s *Store) writeMark() error {
	return recordlog.WriteSyncMark(s.markFile, uint64(s.logSize))
}

// rewrite replaces the log file with one that contains only the current state.
func (s *Store) rewrite() error {
	records, err := encodeUpdate(Update(s.state))
	if err != nil {
		return err
	}
	f, err := s.openFile(rewriteFileName, os.O_TRUNC)
	if err != nil {
		return err
	}
	if err := s.replaceLog(f, records); err != nil {
		_ = f.Close() // Save returns the earlier error
		return err
	}
	_ = s.logFile.Close() // the old log file is no longer needed
	s.logFile = f
	s.logSize, s.rewriteBaseSize = int64(len(records)), int64(len(records))
	return s.writeMark()
}

// replaceLog writes records to a new file and renames it to the log file. Before the rename it resets the sync mark, because a crash may leave either
// the old or the new log file in place, and the mark must not exceed the size of that file.
func (s *Store) replaceLog(f *os.File, records []byte) error {
	if _, err := f.Write(records); err != nil {
		return err
	}
	if err := s.syncFile(f); err != nil {
		return err
	}
	if err := s.markFile.Truncate(0); err != nil {
		return err
	}
	if err := s.syncFile(s.markFile); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), filepath.Join(s.dir, logFileName)); err != nil {
		return err
	}
	return recordlog.SyncDir(s.dir)
}
