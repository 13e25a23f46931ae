package snapshotfile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"mintspring/internal/state/snapshot"
)

// Load returns the newest snapshot in the directory that can be read, or nil. It tries the newest file first and stops at
// the first it can read. The error reports each file it tried that exists but cannot be read, even if Load returns an older
// snapshot. In a directory without files, the snapshot and the error are nil. Load takes no lock.
func Load(dir string) (*snapshot.State, error) {
	var unreadable []error
	for _, name := range []string{currentName, previousName} {
		s, err := ReadFile(filepath.Join(dir, name))
		if err == nil {
			return s, errors.Join(unreadable...)
		}
		if !errors.Is(err, fs.ErrNotExist) {
			unreadable = append(unreadable, err)
		}
	}
	return nil, errors.Join(unreadable...)
}

// ReadFile reads the snapshot in a file.
func ReadFile(name string) (*snapshot.State, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()                                              //nolint:errcheck // nothing was written
	b, err := io.ReadAll(io.LimitReader(f, snapshot.MaxBytes+1)) // one byte more, so that Parse detects a file over the limit
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s, err := snapshot.Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}
