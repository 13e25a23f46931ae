package snapshotfile

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
)

func encodedState(takenAt float64) []byte {
	return snapshot.Append(nil, &snapshot.State{TakenAt: takenAt, Node: "n", Servers: []snapshot.Server{{Name: "s", ServerSnapshot: fleet.ServerSnapshot{TimePerQueued: 3}}}})
}

// syncedStore returns a store that treats the current file as synced.
func syncedStore(fsys FileSystem) *Store { return &Store{fsys: fsys, currentSynced: true} }

// writerDirEnv is the environment variable with the directory to which the test binary writes snapshots until it is killed. If it
// is not set, the binary runs the tests.
const writerDirEnv = "MINTSPRING_TEST_WRITES_TO"

func TestMain(m *testing.M) {
	dir := os.Getenv(writerDirEnv)
	if dir == "" {
		os.Exit(m.Run())
	}
	store, err := Open(dir)
	for takenAt := 1.0; err == nil; takenAt++ {
		err = store.Save(encodedState(takenAt))
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// TestSnapshotSurvivesSIGKILL: a process that is killed at any moment of a write leaves a complete snapshot, and the directory is unlocked.
func TestSnapshotSurvivesSIGKILL(t *testing.T) {
	dir, rng := t.TempDir(), rand.New(rand.NewPCG(1, 2))
	for range 12 {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), writerDirEnv+"="+dir)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if s, err := Load(dir); s != nil && err == nil {
				break
			}
		}
		time.Sleep(time.Duration(rng.IntN(20_000)) * time.Microsecond)
		if err := c.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = c.Wait() // the error reports the kill
		if s, err := Load(dir); err != nil || s == nil || s.Servers[0].TimePerQueued != 3 {
			t.Fatalf("after a kill the snapshot is %+v, %v", s, err)
		}
	}
}

// TestKilledAtEveryStep: after a kill at any step of a write, a reader finds the previous snapshot or the new one, complete.
func TestKilledAtEveryStep(t *testing.T) {
	for steps := 1; steps <= 7; steps++ {
		dir := t.TempDir()
		if err := syncedStore(dirFileSystem(dir)).Save(encodedState(1)); err != nil {
			t.Fatal(err)
		}
		if err := syncedStore(dirFileSystem(dir)).Save(encodedState(2)); err != nil {
			t.Fatal(err)
		}
		err := syncedStore(&crashingFileSystem{dirFileSystem(dir), steps}).Save(encodedState(3))
		s, loadErr := Load(dir)
		switch {
		case s == nil || loadErr != nil:
			t.Errorf("killed at step %d: %v, %v", steps, s, loadErr)
		case err == nil && s.TakenAt != 3, err != nil && s.TakenAt != 2 && s.TakenAt != 3:
			t.Errorf("killed at step %d (%v) the snapshot is that of %v", steps, err, s.TakenAt)
		}
		if err := syncedStore(dirFileSystem(dir)).Save(encodedState(4)); err != nil {
			t.Fatal(err)
		}
		if s, err := Load(dir); err != nil || s.TakenAt != 4 {
			t.Errorf("after step %d the next snapshot is %+v, %v", steps, s, err)
		}
	}
}

// TestLoadFallsBackToPreviousFile: if the current file is truncated, corrupt, too long or of another version, the previous one is loaded.
func TestLoadFallsBackToPreviousFile(t *testing.T) {
	for name, corrupt := range map[string]func([]byte) []byte{
		"truncated":       func(b []byte) []byte { return b[:len(b)/2] },
		"empty":           func([]byte) []byte { return nil },
		"a flipped bit":   func(b []byte) []byte { b[len(b)-3] ^= 4; return b },
		"a newer version": func(b []byte) []byte { b[4] = 9; return b },
		"too long":        func(b []byte) []byte { return append(b, make([]byte, 2<<20)...) },
	} {
		dir := t.TempDir()
		for i := 1.0; i <= 2; i++ {
			if err := syncedStore(dirFileSystem(dir)).Save(encodedState(i)); err != nil {
				t.Fatal(err)
			}
		}
		if err := os.WriteFile(filepath.Join(dir, currentName), corrupt(encodedState(2)), 0o644); err != nil {
			t.Fatal(err)
		}
		s, err := Load(dir)
		if s == nil || s.TakenAt != 1 || err == nil || !strings.Contains(err.Error(), filepath.Join(dir, currentName)) {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
		if err := os.WriteFile(filepath.Join(dir, previousName), []byte("x"), 0o644); err != nil {
			t.Fatal(err)
		}
		if s, err := Load(dir); s != nil || err == nil {
			t.Errorf("%s, both: %+v, %v", name, s, err)
		}
	}
	if s, err := Load(filepath.Join(t.TempDir(), "none")); s != nil || err != nil {
		t.Errorf("nothing there: %+v, %v", s, err)
	}
}

// TestLock: only one process at a time can open the directory. A failed write is an error of one line.
func TestLock(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "here")
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir); !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), dir) {
		t.Errorf("a second Open: %v", err)
	}
	if err := store.Save(encodedState(1)); err != nil {
		t.Error(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := store.Save(encodedState(2)); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("a directory that is gone: %v", err)
	}
	store.Close()
	second, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(filepath.Join(file, "in")); err == nil {
		t.Error("a directory below a file was opened")
	}
}

// BenchmarkSave measures a Save, with its syncs, of a snapshot of 1000 servers.
func BenchmarkSave(b *testing.B) {
	s := &snapshot.State{TakenAt: 1}
	for i := range 1000 {
		s.Servers = append(s.Servers, snapshot.Server{Name: fmt.Sprintf("s-%08x", i), ServerSnapshot: fleet.ServerSnapshot{TimePerQueued: 3, QueuePeak: 1}})
	}
	d := dirFileSystem(b.TempDir())
	for b.Loop() {
		encoded := snapshot.Append(nil, s)
		if err := syncedStore(d).Save(encoded); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(encoded)), "bytes")
	}
}
