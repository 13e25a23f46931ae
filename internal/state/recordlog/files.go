package recordlog

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Permissions of data directories and their files.
const (
	dirPermissions  = 0o700
	filePermissions = 0o600
)

// unfinishedSuffix is the suffix of the name of a file that CreateDir is writing.
const unfinishedSuffix = ".unfinished"

// CreateDir creates a directory if it does not exist, and in it a file with these contents. Both are synced. It is an error if the file
// exists. The file never exists with a part of its contents, also if the process dies meanwhile.
func CreateDir(dir, fileName string, contents []byte) error {
	if err := os.MkdirAll(dir, dirPermissions); err != nil {
		return err
	}
	name := filepath.Join(dir, fileName)
	unfinished := name + unfinishedSuffix
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, fs.ErrNotExist) { // a process that died may have left one
		return err
	}
	if err := WriteNewFile(unfinished, contents); err != nil {
		return err
	}
	if err := os.Link(unfinished, name); err != nil { // unlike a rename, this replaces no file
		return errors.Join(err, os.Remove(unfinished))
	}
	if err := os.Remove(unfinished); err != nil {
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
