// Package snapshotfile stores snapshots of what a node has learned in a directory that outlives the node. Readers never see a
// partially written file, the previous file is kept beside the current one, and only one process at a time writes.
package snapshotfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Names of the files in the directory.
const (
	currentName  = "learnt"
	previousName = "learnt.before"
	tempName     = "learnt.new"
	finalName    = "learnt.last"
	lockName     = "learnt.lock"
)

// Store is a directory that this process writes to. Save and SaveFinal may be called concurrently.
type Store struct {
	dir      string
	fsys     FileSystem
	lockFile *os.File

	// mu guards the fields below, the file names and the contents of files that are not synced yet. It is never held during
	// a sync, which takes seconds on some disks.
	mu            sync.Mutex
	finalWritten  bool // the final snapshot is the current file; no older one may replace it
	currentSynced bool // this process synced the current file before it installed the file
}

var (
	// ErrLocked says that another process writes to the directory.
	ErrLocked = errors.New("another process uses the snapshot directory")
	// ErrFinalWritten says that the final snapshot was installed before this one could be.
	ErrFinalWritten = errors.New("the final snapshot has been written")
)

// Open locks a directory for this process, and creates it if it does not exist.
func Open(dir string) (*Store, error) { return OpenWith(dir, DirFileSystem(dir)) }

// OpenWith is like Open, but with another implementation of the file operations.
func OpenWith(dir string, fsys FileSystem) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("opening the snapshot directory: %w", err)
	}
	lockFile, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("opening the snapshot directory: %w", err)
	}
	if err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lockFile.Close() // nothing was written to it
		return nil, fmt.Errorf("%s: %w", dir, ErrLocked)
	}
	return &Store{dir: dir, fsys: fsys, lockFile: lockFile}, nil
}

// Close unlocks the directory.
func (s *Store) Close() {
	_ = s.lockFile.Close() // the lock ends with the descriptor, and nothing was written to the file
}

// Save writes a snapshot to a temporary file, syncs it and makes it the current file. The current file becomes the previous one.
// If the process dies at any step, a reader finds the new snapshot, or the current or the previous one unchanged.
func (s *Store) Save(b []byte) error {
	if err := s.writeFile(tempName, b); err != nil {
		return err
	}
	if err := s.fsys.SyncFile(tempName); err != nil {
		return fmt.Errorf("syncing %s: %w", tempName, err)
	}
	if err := s.install(tempName, true); err != nil {
		return err
	}
	return s.syncDir()
}

// Durability says what a final write survives.
type Durability uint8

const (
	// NotWritten means that no process can read the final snapshot.
	NotWritten Durability = iota
	// Written means that the next process can read the final snapshot, but a power loss may still lose it.
	Written
	// Synced means that the final snapshot is on the disk and survives a power loss.
	Synced
)

// progress reports the durability that a final write has reached, and the error if one ended it.
type progress struct {
	reached Durability
	err     error
}

// SaveFinal writes the last snapshot of this process, and returns the durability that it has reached within the timeout.
//
// SaveFinal installs the file first and syncs it afterwards, and does not wait for a Save in progress. The time in which a
// process has to stop is fixed, and on a slow disk the two syncs of a Save, after those of another Save, take longer. Once the
// file is installed, the next process can read it. After a power loss before the sync, its checksum may fail; Load then reads the
// previous file, which is always a synced one.
func (s *Store) SaveFinal(b []byte, timeout time.Duration) (Durability, error) {
	updates := make(chan progress, 2) // has room for all updates, so that the goroutine ends after a timeout, too
	go s.saveFinal(b, updates)        // a disk that hangs blocks this goroutine until the process ends
	expired := time.After(timeout)
	reached := NotWritten
	for {
		select {
		case update := <-updates:
			if reached = update.reached; update.err != nil || reached == Synced {
				return reached, update.err
			}
		case <-expired:
			return reached, nil
		}
	}
}

func (s *Store) saveFinal(b []byte, updates chan<- progress) {
	err := s.writeFile(finalName, b)
	if err == nil {
		err = s.install(finalName, false)
	}
	if err != nil {
		updates <- progress{NotWritten, err}
		return
	}
	updates <- progress{Written, nil}
	if err := errors.Join(s.fsys.SyncFile(currentName), s.syncDir()); err != nil {
		updates <- progress{Written, err}
		return
	}
	updates <- progress{Synced, nil}
}

// writeFile writes a file that is not installed yet.
func (s *Store) writeFile(name string, b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalWritten {
		return ErrFinalWritten
	}
	if err := s.fsys.WriteFile(name, b); err != nil {
		return fmt.Errorf("writing %s: %w", name, err)
	}
	return nil
}

// install makes the named file the current one. The current file becomes the previous one only if it is known to be synced:
// otherwise a power loss could corrupt both. A Save that finishes after the final write does not replace the final snapshot.
func (s *Store) install(name string, synced bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalWritten {
		return ErrFinalWritten
	}
	if s.currentSynced {
		if err := s.fsys.Rename(currentName, previousName); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("keeping the previous snapshot: %w", err)
		}
	}
	if err := s.fsys.Rename(name, currentName); err != nil {
		return fmt.Errorf("installing the snapshot: %w", err)
	}
	s.currentSynced, s.finalWritten = synced, !synced
	return nil
}

func (s *Store) syncDir() error {
	if err := s.fsys.SyncDir(); err != nil {
		return fmt.Errorf("syncing the snapshot directory: %w", err)
	}
	return nil
}
