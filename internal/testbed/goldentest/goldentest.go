// Package goldentest reads and compares golden files: data written by an earlier build, whose encoding must not change. The files are in
// the directory testdata/golden of the package under test. Only test files may import it.
package goldentest

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// Path returns the path of a golden file, relative to the directory of the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Read returns the contents of a golden file.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	contents, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

// ReadQuoted reads a golden file in which each line has a name, a tab and a quoted string. It returns the strings by name.
func ReadQuoted(t *testing.T, name string) map[string]string {
	t.Helper()
	entries := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(Read(t, name))), "\n") {
		entry, quoted, _ := strings.Cut(line, "\t")
		value, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: %q: %v", name, line, err)
		}
		entries[entry] = value
	}
	return entries
}

// CheckProto checks that the encoding of a message equals a golden file, and that the file decodes to the message.
func CheckProto(t *testing.T, name string, message proto.Message) {
	t.Helper()
	got, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	want := Read(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: encoded as %x, the file has %x", name, got, want)
	}
	decoded := message.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(want, decoded); err != nil || !proto.Equal(decoded, message) {
		t.Errorf("%s: the file decodes as %v (%v), want %v", name, decoded, err, message)
	}
}
