package storage

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"mintspring/internal/cluster/idempotency"
)

// A data directory whose creation was interrupted, so that its identity file is empty or cut short, is created anew with the next
// incarnation. It was once rejected as corrupt, and the member stored nothing until an operator removed it.
func TestOpenAfterInterruptedCreation(t *testing.T) {
	complete := testDir(t)
	s, _ := openStore(t, complete)
	s.Close()
	identity := readFile(t, filepath.Join(complete, identityFileName))
	for size := range len(identity) {
		dir := testDir(t)
		if err := os.MkdirAll(dir, dirPermissions); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, identityFileName), identity[:size], filePermissions); err != nil {
			t.Fatal(err)
		}
		s, err := Open(dir, testOwner, testIncarnation+1, testLimits, idempotency.NewStoredState())
		if err != nil {
			t.Fatalf("with %d bytes of its identity: %v", size, err)
		}
		if s.Incarnation() != testIncarnation+1 {
			t.Errorf("with %d bytes of its identity the directory has incarnation %d", size, s.Incarnation())
		}
		s.Close()
	}
	// A directory with segments has lost its identity, and is not created anew.
	if err := os.WriteFile(filepath.Join(complete, identityFileName), nil, filePermissions); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(complete, testOwner, testIncarnation+1, testLimits, idempotency.NewStoredState()); err == nil {
		t.Error("a directory with segments and without an identity was opened")
	}
}

// Segments that a process has left, which died after it had recorded that they are not needed, are deleted when the directory is opened. They
// once stayed for good and counted toward no limit.
func TestOpenDeletesExpiredSegments(t *testing.T) {
	dir := testDir(t)
	s, _ := openStore(t, dir)
	if err := s.Append(testEntries(20), nil); err != nil {
		t.Fatal(err)
	}
	expired := s.segmentPath(s.segmentNumber)
	contents := readFile(t, expired)
	if err := s.Rewrite(testEntries(20), nil); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if err := os.WriteFile(expired, contents, filePermissions); err != nil {
		t.Fatal(err)
	}
	reopened, state := openStore(t, dir)
	defer reopened.Close()
	if len(state.Records) != 20 {
		t.Errorf("%d records", len(state.Records))
	}
	if _, err := os.Stat(expired); !os.IsNotExist(err) {
		t.Errorf("the expired segment is still there: %v", err)
	}
}

// syncRecorder syncs files and records their base names.
type syncRecorder struct{ names []string }

func (r *syncRecorder) sync(f *os.File) error {
	r.names = append(r.names, filepath.Base(f.Name()))
	return f.Sync()
}

// A truncation is synced before the next segment records the size of the truncated one. Otherwise a crash could bring the bytes back, and the
// directory would be rejected as corrupt.
func TestTruncationIsSynced(t *testing.T) {
	dir := testDir(t)
	s, _ := openStore(t, dir)
	if err := s.Append(testEntries(20), nil); err != nil {
		t.Fatal(err)
	}
	segment := s.segmentPath(s.segmentNumber)
	s.Close()
	f, err := os.OpenFile(segment, os.O_APPEND|os.O_WRONLY, filePermissions)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString("part of a record"); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	var recorder syncRecorder
	reopened, err := openWithSync(dir, testOwner, testIncarnation, testLimits, idempotency.NewStoredState(), recorder.sync)
	if err != nil {
		t.Fatal(err)
	}
	defer reopened.Close()
	if !slices.Contains(recorder.names, filepath.Base(segment)) {
		t.Errorf("synced when opened: %v", recorder.names)
	}
	recorder.names = nil
	if err := reopened.Recover(testEntries(20), nil); err != nil {
		t.Fatal(err)
	}
	if len(recorder.names) < 2 || recorder.names[0] != filepath.Base(segment) {
		t.Errorf("synced in a recovery: %v, want the truncated segment first", recorder.names)
	}
}
