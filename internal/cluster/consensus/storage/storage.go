// Package storage makes the Raft state of a consensus replica durable: its hard state (term, vote and commit index), its log and a snapshot.
//
// A data directory contains one log file of checksummed records, and a sync mark: a small file that stores how many bytes of the log file are known
// to be synced. A record that was only partly written when the process died lies after the mark and is truncated, since no message depended on it.
// Any other unreadable record, or a log file shorter than its mark, means that the disk lost or changed data that other replicas rely on. The
// replica then has to stop, because it cannot know what it has promised.
//
// This package does not detect a data directory that was restored from an older copy together with its mark. Such a replica may vote twice in one
// term. It is detected only if its log is shorter than other replicas know it to be, which makes the Raft library panic.
package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"mintspring/internal/state/recordlog"
)

// Names of the files in a data directory.
const (
	identityFileName = "member"
	logFileName      = "log"
	markFileName     = "log.mark"
	rewriteFileName  = "log.new"
	lockFileName     = "lock"
)

// filePermissions is the mode of the files in a data directory.
const filePermissions = 0o600

// Errors for data directories that cannot be used.
var (
	ErrNotInitialized = errors.New("data directory is not initialized: create it with consensus init, in a new generation if this replica was in the group before")
	ErrWrongIdentity  = errors.New("data directory belongs to another replica")
	ErrInUse          = errors.New("data directory is in use by another process")
)

// Identity names the replica that a data directory belongs to.
type Identity struct {
	Group         string `json:"council"`
	ReplicaNumber uint64 `json:"member"`               // 1 for the first replica
	Generation    int    `json:"generation,omitempty"` // how often the replica was replaced after losing its data directory
}

// Store is an open data directory. It is not safe for concurrent use.
type Store struct {
	dir      string
	logFile  *os.File
	markFile *os.File
	lockFile *os.File // locked while the store is open
	syncFile func(f *os.File) error

	state           State // contents of the data directory, unless saveErr is set
	logSize         int64 // size of the log file in bytes
	rewriteBaseSize int64 // size in bytes of the log file when it was last opened or rewritten
	saveErr         error // error of the first Save that failed; later calls return it too
}

// Create makes an empty data directory for a replica. It is called once, when the group is created or when the replica joins in a new generation. A
// replica that has lost its data directory must not get an empty one in the same generation, because it could vote twice in one term.
func Create(dir string, id Identity) error {
	if err := createIdentityFile(dir, id); err != nil {
		return fmt.Errorf("create data directory: %w", err)
	}
	return nil
}

func createIdentityFile(dir string, id Identity) error {
	b, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return recordlog.CreateDir(dir, identityFileName, b)
}

// Open opens, locks and reads the data directory of a replica. Its errors include ErrNotInitialized, ErrWrongIdentity, ErrInUse and
// recordlog.ErrCorrupt, to be tested with errors.Is.
func Open(dir string, id Identity) (*Store, error) {
	if err := checkIdentity(dir, id); err != nil {
		return nil, err
	}
	s := &Store{dir: dir, syncFile: (*os.File).Sync}
	if err := s.openFiles(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func checkIdentity(dir string, want Identity) error {
	name := filepath.Join(dir, identityFileName)
	b, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w", dir, ErrNotInitialized)
	}
	if err != nil {
		return fmt.Errorf("read data directory: %w", err)
	}
	var got Identity
	if err := json.Unmarshal(b, &got); err != nil {
		return fmt.Errorf("decode %s: %w", name, err)
	}
	if got != want {
		return fmt.Errorf("%s belongs to replica %d of group %s, generation %d: %w", dir, got.ReplicaNumber, got.Group, got.Generation, ErrWrongIdentity)
	}
	return nil
}

func (s *Store) openFiles() error {
	var err error
	s.lockFile, err = recordlog.Lock(filepath.Join(s.dir, lockFileName))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return fmt.Errorf("%s: %w", s.dir, ErrInUse)
	}
	if err != nil {
		return fmt.Errorf("lock data directory: %w", err)
	}
	if s.logFile, err = s.openFile(logFileName, 0); err != nil {
		return err
	}
	if s.markFile, err = s.openFile(markFileName, 0); err != nil {
		return err
	}
	return s.loadLog()
}

// openFile opens a file of the data directory for reading and writing, and creates it if it does not exist.
func (s *Store) openFile(name string, flags int) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.dir, name), os.O_CREATE|os.O_RDWR|flags, filePermissions)
}

// State returns the contents of the data directory. The caller must not modify what it points to.
func (s *Store) State() State { return s.state }

// LogSize returns the size of the log file in bytes.
func (s *Store) LogSize() int64 { return s.logSize }

// Close closes the data directory and unlocks it.
func (s *Store) Close() {
	for _, f := range []*os.File{s.logFile, s.markFile, s.lockFile} {
		if f != nil {
			_ = f.Close() // Save has synced all data
		}
	}
}
