//go:build linux

package syscalltrace

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Go's linker makes a program static if nothing imports the C library. CheckDynamic must reject such a program and accept a dynamic one.
func TestCheckDynamic(t *testing.T) {
	dir := t.TempDir()
	source := filepath.Join(dir, "main.go")
	if err := os.WriteFile(source, []byte("package main\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	static := filepath.Join(dir, "static")
	build := exec.Command("go", "build", "-o", static, source)
	build.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building a static program: %v: %s", err, out)
	}
	if err := CheckDynamic(static); !errors.Is(err, ErrNotDynamic) || !strings.Contains(err.Error(), "is static") {
		t.Errorf("static program: %v, want ErrNotDynamic with \"is static\"", err)
	}
	if err := CheckDynamic(source); err == nil {
		t.Error("text file accepted as a program")
	}
	if err := CheckDynamic("/bin/sh"); err != nil {
		t.Errorf("dynamic program: %v", err)
	}
}
