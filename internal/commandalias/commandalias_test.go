package commandalias

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// testTable returns a table with one renamed name of each kind.
func testTable() *Table {
	return &Table{
		Commands:    Renames{"old": "new"},
		Subcommands: map[string]Renames{"new": {"found": "init"}},
		Flags:       map[string]Renames{"new": {"--most": "--limit"}},
		Values:      map[string]map[string]Renames{"new": {"--limit": {"few": "2"}}},
	}
}

func TestResolve(t *testing.T) {
	command := Replacement{Old: "old", New: "new"}
	flag := Replacement{Old: "--most", New: "--limit"}
	value := Replacement{Old: "few", New: "2"}
	for _, test := range []struct {
		args, want string
		replaced   []Replacement
	}{
		{"", "", nil},
		{"new init --limit 2", "new init --limit 2", nil},
		{"old", "new", []Replacement{command}},
		{"old found", "new init", []Replacement{command, {Old: "found", New: "init"}}},
		{"new file found", "new file found", nil},
		{"new --most 3", "new --limit 3", []Replacement{flag}},
		{"new --most=3", "new --limit=3", []Replacement{flag}},
		{"new --most few", "new --limit 2", []Replacement{flag, value}},
		{"new --limit=few", "new --limit=2", []Replacement{value}},
		{"new --limit few,3,few", "new --limit 2,3,2", []Replacement{value, value}},
		{"new --limit=3,few=few", "new --limit=3,few=few", nil},
		{"new --limit", "new --limit", nil},
		{"new few --mostly few", "new few --mostly few", nil},
		{"new -- --most few", "new -- --most few", nil},
		{"other old found --most few", "other old found --most few", nil},
		{"--most old", "--most old", nil},
	} {
		args := strings.Fields(test.args)
		before := slices.Clone(args)
		resolved, replaced := testTable().Resolve(args)
		if got := strings.Join(resolved, " "); got != test.want || !slices.Equal(replaced, test.replaced) {
			t.Errorf("%q: %q with %v replaced, want %q with %v", test.args, got, replaced, test.want, test.replaced)
		}
		if !slices.Equal(args, before) {
			t.Errorf("%q: the caller's arguments were changed to %q", test.args, args)
		}
	}
}

// TestResolveWithWarnings checks that each deprecated name has its warning, and that a warning that cannot be written is ignored.
func TestResolveWithWarnings(t *testing.T) {
	args := []string{"old", "--most", "few"}
	want := []string{"new", "--limit", "2"}
	var warnings strings.Builder
	if got := testTable().ResolveWithWarnings("program", args, &warnings); !slices.Equal(got, want) {
		t.Errorf("resolved %q, want %q", got, want)
	}
	const text = `program: "old" is deprecated, use "new"
program: "--most" is deprecated, use "--limit"
program: "few" is deprecated, use "2"
`
	if warnings.String() != text {
		t.Errorf("warnings:\n%swant:\n%s", warnings.String(), text)
	}
	if got := testTable().ResolveWithWarnings("program", args, failingWriter{}); !slices.Equal(got, want) {
		t.Errorf("without warnings: resolved %q, want %q", got, want)
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }
