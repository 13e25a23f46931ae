package recordlog

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

func TestWriteNewFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "file")
	if err := WriteNewFile(name, []byte("contents")); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(name); err != nil || string(got) != "contents" {
		t.Errorf("%q, %v", got, err)
	}
	if err := WriteNewFile(name, []byte("other")); !errors.Is(err, os.ErrExist) {
		t.Errorf("written twice: %v", err)
	}
}

// CreateDir creates a directory with its file, and does not replace a file that exists.
func TestCreateDir(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "outer", "inner")
	if err := CreateDir(dir, "file", []byte("contents")); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(dir)
	if err != nil || info.Mode().Perm() != dirPermissions {
		t.Errorf("%v, %v", info, err)
	}
	if err := CreateDir(dir, "file", []byte("other")); !errors.Is(err, os.ErrExist) {
		t.Errorf("created twice: %v", err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, "file")); err != nil || string(got) != "contents" {
		t.Errorf("%q, %v", got, err)
	}
}

// A locked file cannot be locked again until it is closed.
func TestLock(t *testing.T) {
	name := filepath.Join(t.TempDir(), "lock")
	first, err := Lock(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(name); !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Errorf("locked twice: %v", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	second, err := Lock(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := second.Close(); err != nil {
		t.Error(err)
	}
}

// CreateDir succeeds after a process that died while it wrote the file, and a failed call leaves nothing behind. The file itself was once
// written in place, and stayed empty after a crash.
func TestCreateDirAfterCrash(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "file"+unfinishedSuffix), []byte("con"), filePermissions); err != nil {
		t.Fatal(err)
	}
	if err := CreateDir(dir, "file", []byte("contents")); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, "file")); err != nil || string(got) != "contents" {
		t.Errorf("%q, %v", got, err)
	}
	if err := CreateDir(dir, "file", []byte("other")); !errors.Is(err, os.ErrExist) {
		t.Errorf("created twice: %v", err)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("%d files, %v", len(files), err)
	}
}
