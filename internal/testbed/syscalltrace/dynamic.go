package syscalltrace

import (
	"debug/elf"
	"errors"
	"fmt"
	"slices"
)

// cLibrary is the name under which a program imports the C library.
const cLibrary = "libc.so.6"

// ErrNotDynamic is returned for a program into which the platform cannot preload its library.
var ErrNotDynamic = errors.New("not dynamically linked with the C library")

// CheckDynamic returns nil for an ELF program that has a dynamic loader and imports the C library, and an error that wraps
// ErrNotDynamic for any other ELF program. The operators' bench redirects the sockets and the clock of its nodes with a preloaded
// library, which a static program would ignore.
func CheckDynamic(program string) error {
	file, err := elf.Open(program)
	if err != nil {
		return fmt.Errorf("reading the headers of %s: %w", program, err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	isInterpreter := func(header *elf.Prog) bool { return header.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(file.Progs, isInterpreter) {
		return fmt.Errorf("%s is static: %w", program, ErrNotDynamic)
	}
	libraries, err := file.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("reading the imported libraries of %s: %w", program, err)
	}
	if !slices.Contains(libraries, cLibrary) {
		return fmt.Errorf("%s imports %v: %w", program, libraries, ErrNotDynamic)
	}
	return nil
}
