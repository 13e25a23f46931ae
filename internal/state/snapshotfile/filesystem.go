package snapshotfile

import (
	"os"
	"path/filepath"
)

// FileSystem provides the file operations of a Store in one directory. Tests use it to stop a write after any operation and to
// simulate slow disks.
type FileSystem interface {
	// WriteFile creates or truncates the file, and writes to it.
	WriteFile(name string, b []byte) error
	// SyncFile returns once the contents of the file are on the disk.
	SyncFile(name string) error
	Rename(from, to string) error
	// SyncDir returns once the directory's entries are on the disk.
	SyncDir() error
}

// DirFileSystem returns the FileSystem of a directory of the operating system.
func DirFileSystem(dir string) FileSystem { return dirFileSystem(dir) }

type dirFileSystem string

func (d dirFileSystem) path(name string) string { return filepath.Join(string(d), name) }

func (d dirFileSystem) WriteFile(name string, b []byte) error {
	return os.WriteFile(d.path(name), b, 0o644)
}

func (d dirFileSystem) SyncFile(name string) error { return syncPath(d.path(name), os.O_RDWR) }

func (d dirFileSystem) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

func (d dirFileSystem) SyncDir() error { return syncPath(string(d), os.O_RDONLY) }

func syncPath(path string, flags int) error {
	f, err := os.OpenFile(path, flags, 0)
	if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // the contents were synced, or Sync has returned an error
	return f.Sync()
}
