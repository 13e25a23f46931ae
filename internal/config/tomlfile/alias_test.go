package tomlfile

import (
	"reflect"
	"strings"
	"testing"
)

type aliasTarget struct {
	Top   int
	Outer struct {
		Name  string         `toml:"name"`
		Inner map[string]int `toml:"inner"`
	} `toml:"outer"`
}

var testAliases = []Alias{
	{Old: "old_top", New: "Top"},
	{Old: "shell", New: "outer"},
	{Table: "outer", Old: "title", New: "name"},
	{Table: "outer", Old: "core", New: "inner"},
}

func TestAliases(t *testing.T) {
	want := aliasTarget{Top: 1}
	want.Outer.Name, want.Outer.Inner = "x", map[string]int{"title": 2}
	for _, c := range []struct {
		name, text string
		deprecated []Deprecation
	}{
		{"new names", "Top = 1\n[outer]\nname = \"x\"\n[outer.inner]\ntitle = 2\n", nil},
		{"a field", "Top = 1\n[outer]\ntitle = \"x\"\n[outer.inner]\ntitle = 2\n", []Deprecation{{3, "outer.title", "outer.name"}}},
		{"at the top", "old_top = 1\n[outer]\nname = \"x\"\ninner.title = 2\n", []Deprecation{{1, "old_top", "Top"}}},
		{"a table, once", "Top = 1\n[shell]\nname = \"x\"\n[shell.inner]\ntitle = 2\n", []Deprecation{{2, "shell", "outer"}}},
		{"all", "old_top = 1 # old_top\n\n[ shell ] # core\n\"title\" = \"x\"\n[shell . core]\ntitle = 2\n", []Deprecation{
			{1, "old_top", "Top"}, {3, "shell", "outer"}, {4, "shell.title", "outer.name"}, {5, "shell.core", "outer.inner"},
		}},
		{"dotted keys", "old_top = 1\nshell.title = \"x\"\nshell.core.title = 2\n", []Deprecation{
			{1, "old_top", "Top"}, {2, "shell", "outer"}, {2, "shell.title", "outer.name"}, {3, "shell.core", "outer.inner"},
		}},
		{"an inline table", "Top = 1\nshell = {title = \"x\", core = {title = 2}}\n", []Deprecation{
			{2, "shell", "outer"}, {2, "shell.title", "outer.name"}, {2, "shell.core", "outer.inner"},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got aliasTarget
			f, err := Parse("f.toml", []byte(c.text), &got, testAliases...)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("read as %+v, want %+v", got, want)
			}
			if !reflect.DeepEqual(f.Deprecated, c.deprecated) {
				t.Errorf("deprecated %+v, want %+v", f.Deprecated, c.deprecated)
			}
		})
	}
}

// Errors contain the line numbers of the file with old names, and a field that is given under both its names is refused.
func TestAliasErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[shell]\n\ntitle = 7\n":                     "f.toml:3: outer.name: ",
		"[shell]\ntitle = \"x\"\nname = \"y\"\n":     "f.toml:3: ",
		"[outer]\nname = \"x\"\n[shell]\ntop = 1\n":  "f.toml:3: ",
		"[shell]\n\nother = 7\n":                     "f.toml:3: outer.other: no such field",
		"old_top = 1\n[shell\n":                      "f.toml:2: ",
		"old_top = 1\n[shell.old_top]\nname = \"x\"": "f.toml:2: outer.old_top: no such field",
	} {
		_, err := Parse("f.toml", []byte(text), &aliasTarget{}, testAliases...)
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, wanted %q", text, err, want)
		}
	}
}

func TestFieldErrorf(t *testing.T) {
	var v struct {
		At []struct{ Box string }
	}
	f, err := Parse("f.toml", []byte("\n[[At]]\nBox = \"a\"\n[[At]]\n\nBox = \"b\"\n[[At]]\n"), &v)
	if err != nil {
		t.Fatal(err)
	}
	for field, want := range map[string]string{
		"At[1].Box": "f.toml:6: At[1].Box: bad",
		"At[2].Box": "f.toml:7: At[2].Box: bad",
		"None":      "f.toml: None: bad",
	} {
		if err := f.FieldErrorf(field, "%s", "bad"); err.Error() != want {
			t.Errorf("error %q, want %q", err, want)
		}
	}
}

// In any text, aliases change only names: the number of lines stays the same, and so does a text without old names.
func FuzzAliases(f *testing.F) {
	for _, text := range []string{"old_top = 1", "[shell]\ntitle = \"x\"", "shell = {title = 1}", "[[shell]]", "\"old_top\" = 1", "a.b = [{title = 1}]", "[shell.'core']"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		resolved, deprecated := resolveAliases([]byte(text), testAliases)
		if strings.Count(string(resolved), "\n") != strings.Count(text, "\n") {
			t.Errorf("%q became %q", text, resolved)
		}
		if len(deprecated) == 0 && string(resolved) != text {
			t.Errorf("%q became %q without an old name", text, resolved)
		}
	})
}
