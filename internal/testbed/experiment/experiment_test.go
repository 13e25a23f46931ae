package experiment

import (
	_ "embed"
	"path/filepath"
	"strings"
	"testing"
)

// small is the text of a small valid experiment.
//
//go:embed testdata/small.toml
var small string

func parse(t *testing.T, text string) *Experiment {
	t.Helper()
	x, err := Parse("small.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// An invalid file is rejected with a one-line error that names the line and the field.
func TestInvalidExperiments(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`length = "2s"`, `length = "2 s"`, "small.toml:3: length"},
		{`length = "2s"`, `length = "20h"`, "small.toml:3: length"},
		{`count = 2`, `count = 0`, "small.toml:9: nodes.count"},
		{`count = 3`, "count = 3\nzone = \"c\"", "small.toml:8: fleet.boxes[0].zone: no zone is called \"c\""},
		{`share = 0.3`, `share = 0.4`, "workloads: shares add up to 1.100"},
		{`name = "pay"`, `name = "read"`, `workloads[1].name: "read" is listed twice`},
		{`effect = "non-idempotent"`, `effect = "safe"`, "small.toml:25: workloads[1].effect"},
		{`effect = "non-idempotent"`, `effect = "deduplicated"`, "workloads[1].dedup_span: missing"},
		{`rate = 150`, `rat = 150`, "small.toml:13: load.rat: no such field"},
		{`what = "completed"`, `what = "complete"`, "small.toml:30: expect[0].what"},
		{`at_least = 0.95`, "at_least = 0.95\nat_most = 1", "expect[0]"},
		{`[[expect]]`, "[[at]]\ntime = \"1s\"\ndo = \"melt\"\n[[expect]]", "small.toml:31: at[0].do"},
		{`[[expect]]`, "[[at]]\ntime = \"1s\"\ndo = \"kill\"\n[[expect]]", "small.toml:29: at[0]: one of box"},
		{`[[expect]]`, "[[at]]\ntime = \"9s\"\ndo = \"kill\"\nbox = \"box-1\"\n[[expect]]", "at[0].time"},
		{`[[expect]]`, "[[at]]\ntime = \"1s\"\ndo = \"kill\"\nbox = \"box-7\"\n[[expect]]", "small.toml:32: at[0].box: no server"},
		{`name = "small"`, ``, "name: missing"},
	} {
		_, err := Parse("small.toml", strings.Replace(small, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q instead of %q: error %v, want %s", c.new, c.old, err, c.want)
		}
	}
}

// All experiment files of the repository are valid.
func TestRepositoryExperiments(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		if _, err := Read(f); err != nil {
			t.Error(err)
		}
	}
}
