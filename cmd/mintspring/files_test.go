package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// TestCheck checks that the command check prints every error in both files, or a summary with the enabled sections and the deprecated
// names.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	writeTestFile := func(name, text string) string {
		file := filepath.Join(dir, name)
		writeFile(t, file, text)
		return file
	}
	goodConfig, badConfig := writeTestFile("good.json", validConfig), writeTestFile("bad.json", strings.Replace(validConfig, `"SloTime":1000`, `"SloTime":0`, 1))
	goodOperator, badOperator := writeTestFile("on.toml", "[log]\nformat = \"json\"\n"), writeTestFile("off.toml", "[log]\nformat = \"csv\"\n")
	deprecatedOperator := writeTestFile("old.toml", "[learnt]\ndata_dir = \"d\"\n")
	for _, c := range []struct {
		files fileFlags
		ok    bool
		want  []string
	}{
		{fileFlags{Config: goodConfig}, true, []string{"node n3", "operator's file: nothing"}},
		{fileFlags{goodConfig, goodOperator}, true, []string{"operator's file: log"}},
		{fileFlags{goodConfig, deprecatedOperator}, true, []string{"operator's file: snapshot", "old.toml:1: learnt is deprecated, use snapshot"}},
		{fileFlags{badConfig, badOperator}, false, []string{"bad.json: settings: Workloads[0].SloTime", "off.toml:2: log.format"}},
	} {
		var out strings.Builder
		if err := checkFiles(c.files, &out); (err == nil) != c.ok {
			t.Errorf("%+v: %v", c.files, err)
		}
		for _, want := range c.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%+v: printed %q, want %q", c.files, out.String(), want)
			}
		}
	}
}
