package recordlog

import (
	"os"
	"path/filepath"
	"syscall"
)

// Permissions of data directories and their files.
const (
	dirPermissions  = 0o700
	filePermissions = 0o600
)

// CreateDir creates a directory if it does not exist, and in it a file with these contents. Both are synced. It is an error if the file
// exists.
func CreateDir(dir, fileName string, contents []byte) error {
	if err := os.MkdirAll(dir, dirPermissions); err != nil {
		return err
	}
	if err := WriteNewFile(filepath.Join(dir, fileName), contents); err != nil {
		return err
	}
	return SyncDir(dir)
}

// WriteNewFile creates a file with these contents and syncs it. It is an error if the file exists. The directory is not synced.
func WriteNewFile(name string, contents []byte) error {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, filePermissions)
	if err != nil {
		return err
	}
	if _, err = f.Write(contents); err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close() // the error of the write matters more
		return err
	}
	return f.Close()
}

// Lock creates a file if it does not exist, and locks it until the file is closed or the process ends. The error is
// syscall.EWOULDBLOCK if the file is locked already.
func Lock(name string) (*os.File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written
		return nil, err
	}
	return f, nil
}

// SyncDir syncs a directory, so that the creations, renames and removals of files in it survive a crash.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close() // the error of the sync matters more
		return err
	}
	return d.Close()
}
