package storage

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"mintspring/internal/state/recordlog"
)

// minRewriteSize is the size in bytes up to which the log file is never rewritten. Beyond it, it is rewritten once it has doubled.
const minRewriteSize = 1 << 20

// load reads the log file to its end. A record behind the sync mark may be truncated and is cut off; one before it must not be.
func (s *Store) load() error {
	synced, err := s.syncedSize()
	if err != nil {
		return err
	}
	b, err := io.ReadAll(s.logFile)
	if err != nil {
		return fmt.Errorf("read %s: %w", s.logFile.Name(), err)
	}
	valid, err := recordlog.Replay(s.logFile.Name(), b, synced, s.state.applyRecord)
	if err != nil {
		return err
	}
	s.logSize = int64(valid)
	if valid < len(b) {
		if err := s.logFile.Truncate(s.logSize); err != nil {
			return fmt.Errorf("cut off a truncated record: %w", err)
		}
	}
	s.rewrittenSize = s.logSize
	if err := s.syncTail(b[min(synced, s.logSize):s.logSize]); err != nil {
		return err
	}
	_, err = s.logFile.Seek(s.logSize, io.SeekStart)
	return err
}

// syncTail writes again what was read behind the sync mark, and syncs it: a sync of the process before may have failed, after which the
// system may drop what it did not write, and another sync without another write succeeds.
func (s *Store) syncTail(tail []byte) error {
	if len(tail) == 0 {
		return nil
	}
	if _, err := s.logFile.WriteAt(tail, s.logSize-int64(len(tail))); err != nil {
		return err
	}
	return s.syncFile(s.logFile)
}

// syncedSize reads the sync mark: how many bytes of the log file are known to be synced.
func (s *Store) syncedSize() (int64, error) {
	b, err := io.ReadAll(s.markFile)
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", s.markFile.Name(), err)
	}
	numbers, err := recordlog.ParseMark(s.markFile.Name(), b, 1)
	if err != nil {
		return 0, err
	}
	return int64(numbers[0]), nil
}

// Save writes an update and syncs it. Messages that depend on the update may be sent only after Save has returned nil. After an error the contents
// of the disk are unknown, and each later Save returns the same error.
func (s *Store) Save(u Update) error {
	if s.failure != nil {
		return s.failure
	}
	if u.isEmpty() {
		return nil
	}
	if err := s.write(u); err != nil {
		s.failure = fmt.Errorf("save to %s: %w", s.dir, err)
	}
	return s.failure
}

func (s *Store) write(u Update) error {
	records, err := encodeUpdate(u)
	if err != nil {
		return err
	}
	s.state.apply(u)
	if s.logSize > minRewriteSize && s.logSize > 2*s.rewrittenSize && u.Snapshot != nil {
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

// writeMark records that the log file is synced. The mark itself is not synced: it may be behind the truth, and is never ahead of it.
func (s *Store) writeMark() error {
	return recordlog.WriteMark(s.markFile, uint64(s.logSize))
}

// rewrite replaces the log file by one that contains the present state and nothing else.
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
		_ = f.Close() // the store has failed
		return err
	}
	_ = s.logFile.Close() // it is not used any more
	s.logFile = f
	s.logSize, s.rewrittenSize = int64(len(records)), int64(len(records))
	return s.writeMark()
}

// replaceLog writes records to a new file and renames it to the log file. The sync mark is reset in between: whichever of the two files is there
// after a crash, the mark must not claim more than it contains.
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
