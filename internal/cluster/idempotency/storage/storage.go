// Package storage persists the idempotency records and promises of a member in a data directory of append-only segment files. A segment is
// closed when it reaches a maximum size or age, and deleted when all its records have expired. There is no compaction: except by Rewrite
// and Recover, each entry is written only once.
//
// A data directory belongs to one member and has an incarnation, which is chosen when the directory is created. A member that lost its disk
// returns with a different incarnation, from which the other members learn that its earlier state is lost. A directory whose synced data is
// missing or corrupt is rejected. A directory that was replaced by an older copy of itself is not detected, which is why Restore gives a
// restored directory a new incarnation.
package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/state/recordlog"
)

// Names of the files in a data directory.
const (
	identityFileName    = "member"
	newIdentityFileName = "member.new"
	markFileName        = "mark"
	lockFileName        = "lock"
	segmentSuffix       = ".copies"
)

// Permissions of a data directory and its files.
const (
	dirPermissions  = 0o700
	filePermissions = 0o600
)

// Errors of data directories that cannot be used. recordlog.ErrCorrupt is another one.
var (
	ErrWrongOwner = errors.New("data directory belongs to another member")
	ErrInUse      = errors.New("data directory is in use by another process")
	ErrFull       = errors.New("data directory is full")
)

// Owner is the member that a data directory belongs to.
type Owner struct {
	Group  string               `json:"book"` // the name of the group of members that share the records
	Member idempotency.MemberID `json:"member"`
}

// identity is the content of the identity file.
type identity struct {
	Owner
	Incarnation idempotency.StorageIncarnation `json:"folder"`
	Initial     bool                           `json:"founded,omitempty"` // it was complete when created: by Create, or by Restore with allLost
}

// Limits bound the age and the total size of the segments.
type Limits struct {
	Retention time.Duration // records expire this long after they were written
	MaxBytes  int64         // limit for the total size of all segments; 0: no limit
}

// Store is an open data directory, locked by this process. It is not safe for concurrent use.
type Store struct {
	// Sync syncs a file. Tests replace it to simulate disks that are slow, fail or drop syncs.
	Sync func(f *os.File) error
	// Now returns the current time, which decides when segments are closed and deleted.
	Now func() time.Time

	dir      string
	limits   Limits
	identity identity
	lockFile *os.File // locked while the store is open
	markFile *os.File

	closedSegments   []segment
	segmentFile      *os.File // the open segment
	segmentNumber    uint64
	segmentSize      int64
	segmentStartedAt time.Time
	failure          error // the error of the first failed write; reset by Recover
}

// Create creates the initial data directory of a member of a new group. The directory counts as complete, because the group has no records
// yet. Create must not be used for a member that has lost its data directory: that member starts without one, gets an empty one from Open,
// and catches up.
func Create(dir string, owner Owner, incarnation idempotency.StorageIncarnation) error {
	return create(dir, identity{owner, incarnation, true})
}

func create(dir string, id identity) error {
	if err := createIdentityFile(dir, id); err != nil {
		return fmt.Errorf("create data directory: %w", err)
	}
	return nil
}

func createIdentityFile(dir string, id identity) error {
	contents, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return recordlog.CreateDir(dir, identityFileName, contents)
}

// readIdentity reads the identity file. The error matches fs.ErrNotExist if the file does not exist.
func readIdentity(dir string) (id identity, err error) {
	name := filepath.Join(dir, identityFileName)
	contents, err := os.ReadFile(name)
	if err != nil {
		return id, err
	}
	if err := json.Unmarshal(contents, &id); err != nil {
		return id, fmt.Errorf("decode %s: %w: %w", name, err, recordlog.ErrCorrupt)
	}
	if id.Incarnation == 0 {
		return id, fmt.Errorf("decode %s: no incarnation: %w", name, recordlog.ErrCorrupt)
	}
	return id, nil
}

// Open opens and locks a member's data directory, and reads it into state. If the directory does not exist, Open creates one with
// newIncarnation, and the member has to catch up. The error matches ErrInUse, ErrWrongOwner or recordlog.ErrCorrupt if one of them is the
// cause.
func Open(dir string, owner Owner, newIncarnation idempotency.StorageIncarnation, limits Limits, state *idempotency.StoredState) (*Store, error) {
	return openWithSync(dir, owner, newIncarnation, limits, state, (*os.File).Sync)
}

// openWithSync is Open with a function that syncs files.
func openWithSync(
	dir string, owner Owner, newIncarnation idempotency.StorageIncarnation, limits Limits, state *idempotency.StoredState, syncFile func(*os.File) error,
) (*Store, error) {
	if err := os.MkdirAll(dir, dirPermissions); err != nil {
		return nil, fmt.Errorf("create data directory: %w", err)
	}
	lockFile, err := recordlog.Lock(filepath.Join(dir, lockFileName))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, fmt.Errorf("%s: %w", dir, ErrInUse)
	}
	if err != nil {
		return nil, fmt.Errorf("lock data directory: %w", err)
	}
	s := &Store{dir: dir, limits: limits, lockFile: lockFile, Sync: syncFile, Now: time.Now}
	if err := s.open(owner, newIncarnation, state); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open(owner Owner, newIncarnation idempotency.StorageIncarnation, state *idempotency.StoredState) error {
	id, err := readIdentity(s.dir)
	if errors.Is(err, recordlog.ErrCorrupt) && s.isCreationUnfinished() {
		err = os.Remove(filepath.Join(s.dir, identityFileName))
		if err == nil {
			err = fs.ErrNotExist
		}
	}
	if errors.Is(err, fs.ErrNotExist) {
		id, err = identity{owner, newIncarnation, false}, s.createEmpty(owner, newIncarnation)
	}
	if err != nil {
		return err
	}
	if id.Owner != owner {
		return fmt.Errorf("%s belongs to member %d of %s: %w", s.dir, id.Member, id.Group, ErrWrongOwner)
	}
	s.identity = id
	if id.Initial {
		state.CaughtUpStorage = id.Incarnation
	}
	return s.load(state)
}

// isCreationUnfinished reports whether the directory has nothing but an identity file that cannot be read: a process died while it created
// the directory. A new identity loses nothing then, and with its incarnation the member has to catch up.
func (s *Store) isCreationUnfinished() bool {
	names, err := segmentNames(s.dir)
	_, markErr := os.Stat(filepath.Join(s.dir, markFileName))
	return err == nil && len(names) == 0 && errors.Is(markErr, fs.ErrNotExist)
}

// createEmpty creates the data directory of a member that has to catch up. It fails if there are segments without an identity file, because
// they are the remains of a damaged data directory.
func (s *Store) createEmpty(owner Owner, newIncarnation idempotency.StorageIncarnation) error {
	names, err := segmentNames(s.dir)
	if err != nil {
		return err
	}
	if len(names) > 0 {
		return fmt.Errorf("%s has %s and no %s: %w", s.dir, names[0], identityFileName, recordlog.ErrCorrupt)
	}
	return create(s.dir, identity{owner, newIncarnation, false})
}

// Incarnation returns the incarnation of the data directory.
func (s *Store) Incarnation() idempotency.StorageIncarnation { return s.identity.Incarnation }

// SetIncarnation gives a later incarnation to a data directory that has never served. It is needed if the clock was behind when the
// directory was created, so that its incarnation is earlier than that of the member's previous directory.
func (s *Store) SetIncarnation(incarnation idempotency.StorageIncarnation) error {
	id := identity{s.identity.Owner, incarnation, false}
	if err := s.replaceIdentityFile(id); err != nil {
		return fmt.Errorf("set the incarnation of a data directory: %w", err)
	}
	s.identity = id
	return nil
}

func (s *Store) replaceIdentityFile(id identity) error {
	contents, err := json.Marshal(id)
	if err != nil {
		return err
	}
	name := filepath.Join(s.dir, newIdentityFileName)
	if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) { // a crashed process may have left one
		return err
	}
	if err := recordlog.WriteNewFile(name, contents); err != nil {
		return err
	}
	if err := os.Rename(name, filepath.Join(s.dir, identityFileName)); err != nil {
		return err
	}
	return recordlog.SyncDir(s.dir)
}

// Close closes the data directory and unlocks it.
func (s *Store) Close() {
	for _, f := range []*os.File{s.segmentFile, s.markFile, s.lockFile} {
		if f != nil {
			_ = f.Close() // Append has synced all acknowledged entries
		}
	}
}
