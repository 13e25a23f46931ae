package snapshotfile

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mintspring/internal/testbed/goldentest"
)

// TestGolden compares the files of a directory after two writes and a final one with those that an earlier build wrote, and loads
// the directory of the earlier build.
func TestGolden(t *testing.T) {
	golden := filepath.Join("testdata", "golden")
	dir := t.TempDir()
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	for takenAt := 1.0; takenAt <= 2; takenAt++ {
		if err := store.Save(encodedState(takenAt)); err != nil {
			t.Fatal(err)
		}
	}
	if reached, err := store.SaveFinal(encodedState(3), time.Minute); err != nil || reached != Synced {
		t.Fatalf("reached %v, %v", reached, err)
	}
	store.Close()
	want, err := os.ReadDir(golden)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadDir(dir)
	if err != nil || len(got) != len(want) {
		t.Fatalf("%d files, want %d, %v", len(got), len(want), err)
	}
	for i, e := range want {
		if got[i].Name() != e.Name() {
			t.Errorf("file %s, want %s", got[i].Name(), e.Name())
		}
		wantContents := goldentest.Read(t, e.Name())
		if gotContents, err := os.ReadFile(filepath.Join(dir, e.Name())); err != nil || !bytes.Equal(wantContents, gotContents) {
			t.Errorf("%s: written as %x, want %x, %v", e.Name(), gotContents, wantContents, err)
		}
	}
	if s, err := Load(golden); err != nil || s.TakenAt != 3 || len(s.Servers) != 1 || s.Servers[0].Name != "s" || s.Servers[0].TimePerQueued != 3 {
		t.Errorf("the directory is loaded as %+v, %v", s, err)
	}
	if s, err := ReadFile(filepath.Join(golden, "learnt.before")); err != nil || s.TakenAt != 2 {
		t.Errorf("the previous file is read as %+v, %v", s, err)
	}
}
