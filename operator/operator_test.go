package operator

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

func read(t *testing.T, text string) (*File, error) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "op.toml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(name)
}

func TestFile(t *testing.T) {
	f, err := read(t, "[log]\nformat = \"json\"\n")
	if err != nil || !slices.Equal(f.On(), []string{"log"}) || f.Log.Level != "info" {
		t.Fatalf("%+v, %v", f, err)
	}
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	f.Log.Apply(log)
	log.Debug("no")
	log.Info("yes")
	if s := out.String(); !strings.HasPrefix(s, "{") || strings.Count(s, "\n") != 1 {
		t.Errorf("logged %q", s)
	}
	none, err := Read("")
	if err != nil || len(none.On()) != 0 || len(none.Waits(f)) != 0 {
		t.Errorf("no file: %+v, %v", none, err)
	}
}

// What is wrong is told in one line with the file, the line and the field.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[log]\n\nformat = \"xml\"\n":        "op.toml:3: log.format: ",
		"[log]\nlevel = \"loud\"\n":          "op.toml:2: log.level: ",
		"[log]\ncolour = true\n":             "op.toml:2: log.colour: no such field",
		"\n[logs]\n":                         "op.toml:2: logs: no such field",
		"[log]\nformat = 7\n":                "op.toml:2: log.format: ",
		"[log\n":                             "op.toml:1: ",
		"[log]\nlevel = \"info\"\nlevel = 1": "op.toml:3: ",
	} {
		_, err := read(t, text)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, wanted %q", text, err, want)
		}
	}
	if _, err := Read("/nowhere/op.toml"); err == nil || !strings.Contains(err.Error(), "/nowhere/op.toml") {
		t.Errorf("error %v", err)
	}
}
