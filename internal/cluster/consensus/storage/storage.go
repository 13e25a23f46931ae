// Package storage makes durable what a replica of a consensus group must not forget: its vote, its log and a snapshot.
//
// A data directory has one log file of checksummed records, and beside it a sync mark, which says how far the log file was known to be synced. A
// record that was being written when the process died is behind the mark and is cut off; no message depended on it. Any other record that does
// not read, or a log file that is shorter than its mark, means that the disk lost or changed what others rely on: the replica has to stop and
// must not guess.
//
// A data directory that was restored from a copy, together with its mark, is not detected here. Such a replica may vote twice in one term. Others
// detect it if its log is shorter than they know it to be.
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

// Files of a data directory.
const (
	identityFileName = "member"
	logFileName      = "log"
	markFileName     = "log.mark"
	rewriteFileName  = "log.new"
	lockFileName     = "lock"
)

// filePermissions are those of the files of a data directory.
const filePermissions = 0o600

// Errors of data directories that cannot be used.
var (
	ErrNotInitialized = errors.New("data directory is not initialized: create it with consensus init, in a new generation if this replica was in the group before")
	ErrWrongIdentity  = errors.New("data directory belongs to another replica")
	ErrInUse          = errors.New("data directory is in use by another process")
)

// Identity is the replica that a data directory belongs to.
type Identity struct {
	Group         string `json:"council"`
	ReplicaNumber uint64 `json:"member"`               // its number, from 1
	Generation    int    `json:"generation,omitempty"` // how often it was replaced after its data directory was lost
}

// Store is a data directory that this process uses. It is not safe for concurrent use.
type Store struct {
	dir      string
	logFile  *os.File
	markFile *os.File
	lockFile *os.File // locked while the store is open
	syncFile func(f *os.File) error

	state         State // durable, unless failure is set
	logSize       int64 // bytes
	rewrittenSize int64 // of the log file after it was last opened or rewritten
	failure       error // of the first Save that failed
}

// Create makes an empty data directory for a replica, once, when its group is created or when it joins in a new generation. A replica that has
// lost its data directory must not get an empty one in the same generation: it could vote twice in one term.
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

// Open opens and locks the data directory of a replica, and reads it. Errors match ErrNotInitialized, ErrWrongIdentity, ErrInUse or recordlog.ErrCorrupt
// where these apply.
func Open(dir string, id Identity) (*Store, error) {
	if err := checkIdentity(dir, id); err != nil {
		return nil, err
	}
	s := &Store{dir: dir, syncFile: (*os.File).Sync}
	if err := s.open(); err != nil {
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
		return fmt.Errorf("%s is of replica %d of group %s in generation %d: %w", dir, got.ReplicaNumber, got.Group, got.Generation, ErrWrongIdentity)
	}
	return nil
}

func (s *Store) open() error {
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
	return s.load()
}

// openFile opens a file of the data directory for reading and writing, and creates it if there is none.
func (s *Store) openFile(name string, flags int) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.dir, name), os.O_CREATE|os.O_RDWR|flags, filePermissions)
}

// State returns the contents of the data directory. The caller must not change them.
func (s *Store) State() State { return s.state }

// Size returns the size of the log file in bytes.
func (s *Store) Size() int64 { return s.logSize }

// Close closes the data directory and unlocks it.
func (s *Store) Close() {
	for _, f := range []*os.File{s.logFile, s.markFile, s.lockFile} {
		if f != nil {
			_ = f.Close() // whatever matters was synced by Save
		}
	}
}
