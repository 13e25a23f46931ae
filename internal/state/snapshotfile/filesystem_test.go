package snapshotfile

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

var errKilled = errors.New("killed")

// crashingFileSystem fails all operations from the given one on, as if the process had been killed during it. A WriteFile that is
// interrupted writes half of the contents.
type crashingFileSystem struct {
	dirFileSystem
	stepsLeft int // operations until the kill, including the one that it interrupts
}

func (d *crashingFileSystem) step(complete, partial func() error) error {
	if d.stepsLeft--; d.stepsLeft > 0 {
		return complete()
	}
	if d.stepsLeft == 0 && partial != nil {
		_ = partial() // the operation fails in any case
	}
	return errKilled
}

func (d *crashingFileSystem) WriteFile(name string, b []byte) error {
	return d.step(
		func() error { return d.dirFileSystem.WriteFile(name, b) },
		func() error { return d.dirFileSystem.WriteFile(name, b[:len(b)/2]) },
	)
}

func (d *crashingFileSystem) SyncFile(name string) error {
	return d.step(func() error { return d.dirFileSystem.SyncFile(name) }, nil)
}

func (d *crashingFileSystem) SyncDir() error { return d.step(d.dirFileSystem.SyncDir, nil) }

func (d *crashingFileSystem) Rename(from, to string) error {
	return d.step(func() error { return d.dirFileSystem.Rename(from, to) }, nil)
}

// slowFileSystem simulates a disk with slow syncs, and records which files would survive a power loss.
type slowFileSystem struct {
	dirFileSystem
	syncDuration time.Duration

	mu      sync.Mutex      // guards durable and the files
	durable map[string]bool // by file name; true: synced since it was last written
}

func (d *slowFileSystem) WriteFile(name string, b []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durable[name] = false
	return d.dirFileSystem.WriteFile(name, b)
}

func (d *slowFileSystem) SyncFile(name string) error {
	time.Sleep(d.syncDuration)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durable[name] = true
	return nil
}

func (d *slowFileSystem) SyncDir() error {
	time.Sleep(d.syncDuration)
	return nil
}

func (d *slowFileSystem) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durable[to] = d.durable[from]
	return d.dirFileSystem.Rename(from, to)
}

// afterPowerLoss returns a copy of the directory as a power loss would leave it: files that are not durable are truncated.
func (d *slowFileSystem) afterPowerLoss(t *testing.T) string {
	t.Helper()
	to := t.TempDir()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range []string{currentName, previousName} {
		b, err := os.ReadFile(d.path(name))
		if err != nil {
			continue
		}
		if !d.durable[name] {
			b = b[:len(b)/2]
		}
		if err := os.WriteFile(filepath.Join(to, name), b, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return to
}

// stuckFileSystem simulates a disk that hangs in WriteFile until release is closed.
type stuckFileSystem struct {
	dirFileSystem
	release chan struct{}
}

func (d stuckFileSystem) WriteFile(string, []byte) error {
	<-d.release
	return errKilled
}
