package storage

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"mintspring/internal/cluster/idempotency"
)

// The format of data directories must not change between versions: testdata/golden has directories that an earlier version wrote.
func TestGoldenDirectories(t *testing.T) {
	for name, write := range map[string]func(t *testing.T, dir string){
		"empty": func(t *testing.T, dir string) {
			withStore(t, dir, func(*Store, *idempotency.StoredState) error { return nil })
		},
		"rotated":    writeRotated,
		"rewritten":  writeRewritten,
		"renumbered": writeRenumbered,
		"restored":   writeRestoredFromBackup,
	} {
		t.Run(name, func(t *testing.T) {
			golden, dir := filepath.Join("testdata", "golden", name), testDir(t)
			write(t, dir)
			if got, want := directoryContents(t, dir), directoryContents(t, golden); !reflect.DeepEqual(got, want) {
				t.Errorf("the directory is written as\n%q, want\n%q", got, want)
			}
			written, err := Inspect(dir)
			if err != nil {
				t.Fatal(err)
			}
			stored, err := Inspect(golden)
			if err != nil || !reflect.DeepEqual(stored, written) {
				t.Errorf("the stored directory is read as %+v, %v; want %+v", stored, err, written)
			}
			// Open accepts the stored directory and reads the same state from it.
			copiedDir := testDir(t)
			if err := os.CopyFS(copiedDir, os.DirFS(golden)); err != nil {
				t.Fatal(err)
			}
			withStore(t, copiedDir, func(s *Store, state *idempotency.StoredState) error {
				if s.Incarnation() != stored.Incarnation || !reflect.DeepEqual(state, stored.State) {
					t.Errorf("in use it holds %+v, want %+v", state, stored.State)
				}
				return nil
			})
		})
	}
}

// withStore opens a data directory, passes it to use and closes it.
func withStore(t *testing.T, dir string, use func(*Store, *idempotency.StoredState) error) {
	t.Helper()
	s, state := openStore(t, dir)
	defer s.Close()
	if err := use(s, state); err != nil {
		t.Fatal(err)
	}
}

// writeRotated writes a data directory with several segments, the first of which have expired and are deleted.
func writeRotated(t *testing.T, dir string) {
	t.Helper()
	if err := Create(dir, testOwner, 60); err != nil {
		t.Fatal(err)
	}
	header := idempotency.NewStoredState()
	header.BallotCeiling, header.KnownStorage[1] = 4096, 1<<40
	withStore(t, dir, func(s *Store, _ *idempotency.StoredState) error {
		now := time.Now()
		s.Now = func() time.Time { return now }
		for _, entry := range testEntries(20) {
			now = now.Add(10 * time.Second)
			if err := s.Append([][]byte{entry}, header.Entries()); err != nil {
				return err
			}
		}
		return nil
	})
}

// writeRewritten writes a data directory whose segments Rewrite has replaced by one.
func writeRewritten(t *testing.T, dir string) {
	t.Helper()
	writeRotated(t, dir)
	withStore(t, dir, func(s *Store, state *idempotency.StoredState) error {
		return s.Rewrite(state.Entries(), testEntries(1))
	})
}

// writeRenumbered writes a data directory that has got a later incarnation.
func writeRenumbered(t *testing.T, dir string) {
	t.Helper()
	withStore(t, dir, func(s *Store, _ *idempotency.StoredState) error {
		if err := s.SetIncarnation(1 << 40); err != nil {
			return err
		}
		return s.Append(testEntries(3), nil)
	})
}

// writeRestoredFromBackup writes a data directory by Restore, with all members' directories lost.
func writeRestoredFromBackup(t *testing.T, dir string) {
	t.Helper()
	from := testDir(t)
	writeRotated(t, from)
	if _, err := Restore(from, dir, 70, true); err != nil {
		t.Fatal(err)
	}
}

// directoryContents returns the contents of all files in a data directory except the empty lock file.
func directoryContents(t *testing.T, dir string) map[string]string {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	contents := map[string]string{}
	for _, f := range files {
		if f.Name() != lockFileName {
			contents[f.Name()] = string(readFile(t, filepath.Join(dir, f.Name())))
		}
	}
	return contents
}
