// Package keep keeps one file with what a node has learnt, in a folder that outlives the node. The file is never half
// written where a reader can see it, the one before it stays beside it, and one process at a time writes.
package keep

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"mintspring/learnt"
)

// Names in the folder.
const (
	newest = "learnt"
	before = "learnt.before"
	side   = "learnt.new"
	lock   = "learnt.lock"
)

// Files are the steps of a write. Tests stop after any of them.
type Files interface {
	Write(name string, b []byte) error // makes or empties the file, and writes
	Sync(name string) error            // what was written is on the disk
	Rename(from, to string) error
	SyncFolder() error // so are the names
}

// Folder is a folder in use by this process.
type Folder struct {
	dir   string
	files Files
	lock  *os.File
}

// ErrTaken says that another process has the folder.
var ErrTaken = errors.New("another process keeps its file there")

// Open takes a folder into use, which it makes if it is not there.
func Open(dir string) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("the folder for what was learnt: %w", err)
	}
	l, err := os.OpenFile(filepath.Join(dir, lock), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("the folder for what was learnt: %w", err)
	}
	if err := syscall.Flock(int(l.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		l.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrTaken)
	}
	return &Folder{dir: dir, files: disk(dir), lock: l}, nil
}

// Close gives the folder back.
func (f *Folder) Close() { f.lock.Close() }

// Save writes a file: to the side, synced, and then in place of the newest, which becomes the one before. Wherever it
// stops, a reader finds the new one, or the newest or the one before as they were.
func (f *Folder) Save(b []byte) error { return save(f.files, b) }

func save(d Files, b []byte) error {
	if err := d.Write(side, b); err != nil {
		return fmt.Errorf("writing %s: %w", side, err)
	}
	if err := d.Sync(side); err != nil {
		return fmt.Errorf("syncing %s: %w", side, err)
	}
	if err := d.Rename(newest, before); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("keeping the file of before: %w", err)
	}
	if err := d.Rename(side, newest); err != nil {
		return fmt.Errorf("putting the file in place: %w", err)
	}
	if err := d.SyncFolder(); err != nil {
		return fmt.Errorf("syncing the folder: %w", err)
	}
	return nil
}

// Load reads the newest file that can be read. With none there it returns nil and no error. The error says what was wrong
// with files passed over, also when an older one could be read.
func Load(dir string) (*learnt.State, error) {
	var wrong []error
	for _, name := range []string{newest, before} {
		s, err := Read(filepath.Join(dir, name))
		if err == nil {
			return s, errors.Join(wrong...)
		}
		if !errors.Is(err, fs.ErrNotExist) {
			wrong = append(wrong, err)
		}
	}
	return nil, errors.Join(wrong...)
}

// Read reads one file.
func Read(name string) (*learnt.State, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, learnt.MostBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s, err := learnt.Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

// disk is the folder itself.
type disk string

func (d disk) path(name string) string { return filepath.Join(string(d), name) }

func (d disk) Write(name string, b []byte) error { return os.WriteFile(d.path(name), b, 0o644) }

func (d disk) Sync(name string) error {
	f, err := os.OpenFile(d.path(name), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d disk) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d disk) SyncFolder() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
