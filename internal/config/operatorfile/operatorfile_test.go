package operatorfile

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

var allSections = []string{"log", "connections", "snapshot", "fleet", "consensus", "idempotency"}

// TestSectionsListAllFields: each field of File except Deprecated is a section, and sections lists them under their names in the file.
func TestSectionsListAllFields(t *testing.T) {
	var names []string
	for _, field := range reflect.VisibleFields(reflect.TypeFor[File]()) {
		if name := field.Tag.Get("toml"); name != "-" {
			names = append(names, name)
		}
	}
	var got []string
	for _, s := range (&File{}).sections() {
		got = append(got, s.name)
	}
	if !slices.Equal(names, allSections) || !slices.Equal(got, allSections) {
		t.Errorf("the file has %v, sections returns %v, want %v", names, got, allSections)
	}
}

func readText(t *testing.T, text string) (*File, error) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "op.toml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(name)
}

// idempotencySection is a section with three members, on four lines.
const idempotencySection = "[idempotency]\nname = \"b\"\nmembers = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\ndata_dir = \"f\"\n"

// TestDeployedFileIsValid: all sections in deploy/operator.toml, which are comments there, are valid when uncommented.
func TestDeployedFileIsValid(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "operator.toml"))
	if err != nil {
		t.Fatal(err)
	}
	_, fields, _ := strings.Cut(string(b), "\n\n") // after the introduction
	f, err := readText(t, strings.ReplaceAll("\n"+fields, "\n# ", "\n"))
	if err != nil {
		t.Fatal(err)
	}
	if enabled := f.EnabledSections(); !slices.Equal(enabled, allSections) || len(f.Deprecated) > 0 {
		t.Errorf("sections %v are enabled, with old names %v", enabled, f.Deprecated)
	}
	c := f.Idempotency.ReplicaConfig(1)
	if len(c.MemberAddrs) != 3 || c.DataDir == "" || c.ListenAddr != c.MemberAddrs[1] || len(c.Core.ReplicaSets) != 1 {
		t.Errorf("%+v", c)
	}
}

func TestFile(t *testing.T) {
	f, err := readText(t, "[log]\nformat = \"json\"\n")
	if err != nil || !slices.Equal(f.EnabledSections(), []string{"log"}) || f.Log.Level != "info" {
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
	if err != nil || len(none.EnabledSections()) != 0 || len(none.RestartRequired(f)) != 0 {
		t.Errorf("no file: %+v, %v", none, err)
	}
}

// TestErrorsNameLineAndField: an error is one line with the file, the line and the field.
func TestErrorsNameLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"[log]\n\nformat = \"xml\"\n":        "op.toml:3: log.format: ",
		"[log]\nlevel = \"loud\"\n":          "op.toml:2: log.level: ",
		"[log]\ncolour = true\n":             "op.toml:2: log.colour: no such field",
		"\n[logs]\n":                         "op.toml:2: logs: no such field",
		"[log]\nformat = 7\n":                "op.toml:2: log.format: ",
		"[log\n":                             "op.toml:1: ",
		"[log]\nlevel = \"info\"\nlevel = 1": "op.toml:3: ",
		"[consensus]\nname = \"c\"\nmembers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n":                                     "consensus.members: there are 2",
		"[consensus]\nname = \"c\"\ninitial_members = 2\nmembers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n":                "consensus.initial_members: 2 is not an odd number",
		"[consensus]\nname = \"c\"\ninitial_members = 3\nmembers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n":                "consensus.initial_members: 3 is not an odd number",
		"[consensus]\nname = \"c\"\ninitial_members = 1\nmembers = [" + strings.Repeat("\"127.0.0.1:1\", ", 16) + "]\n": "consensus.members: there are 16, at most 15",
		"[idempotency]\nname = \"b\"\n":                                "idempotency.members: there are 0",
		idempotencySection + "member = 4\n":                            "op.toml:5: idempotency.member: 4 is not the number of a member",
		idempotencySection + "replication_factor = 2\n":                "op.toml:5: idempotency.replication_factor: 2 is not 1, 3 or 5",
		idempotencySection + "replicas = [1, 1]\n":                     "op.toml:5: idempotency.replicas: 1 is",
		idempotencySection + "zones = [\"a\"]\n":                       "op.toml:5: idempotency.zones: there are 1 for 3 members",
		idempotencySection + "retention = \"1ms\"\n":                   "op.toml:5: idempotency.retention: 1ms is not between",
		idempotencySection + "max_records = -1\n":                      "op.toml:5: idempotency.max_records: -1 is not between",
		idempotencySection + "[idempotency.no_quorum]\nsale = \"go\"":  "idempotency.no_quorum.sale: \"go\" is neither refuse nor origin",
		strings.Replace(idempotencySection, "data_dir = \"f\"", "", 1): "idempotency.data_dir: missing",
		strings.Replace(idempotencySection, "127.0.0.1:2", "there", 1): "idempotency.members: member 2: \"there\" is not address:port",
	} {
		_, err := readText(t, text)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, wanted %q", text, err, want)
		}
	}
	if _, err := Read("/nowhere/op.toml"); err == nil || !strings.Contains(err.Error(), "/nowhere/op.toml") {
		t.Errorf("error %v", err)
	}
}

// TestWarnDeprecated: each old name is logged in one line, with its new name.
func TestWarnDeprecated(t *testing.T) {
	f, err := readText(t, "[council]\nname = \"c\"\nmembers = [\"127.0.0.1:1\"]\nask = \"2s\"\n")
	if err != nil || f.Consensus.PollInterval.Milliseconds() != 2000 {
		t.Fatalf("%+v, %v", f, err)
	}
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	WarnDeprecated(log, f.Deprecated)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("logged %q", lines)
	}
	for i, want := range []string{"line=1 new=consensus old=council", "line=4 new=consensus.poll_interval old=council.ask"} {
		if !strings.Contains(lines[i], "level=warning") || !strings.Contains(lines[i], want) {
			t.Errorf("logged %q, want %q", lines[i], want)
		}
	}
}
