package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// readText writes a text to a file and reads it as an operator file.
func readText(t *testing.T, text string) (*File, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "control.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(file)
}

// TestErrors checks that each error is one line with the file, the line and the field's current name, also if the file uses deprecated
// names.
func TestErrors(t *testing.T) {
	for text, want := range map[string]string{
		"listen = \"0.0.0.0:1\"":                      ":1: listen: \"0.0.0.0:1\" is not a loopback address",
		"listen = \"here\"":                           ":1: listen:",
		"cluster = \"a/b\"":                           ":1: cluster:",
		"lease = \"450ms\"":                           ":1: lease: 450ms is over 400ms",
		"lease = \"50ms\"":                            ":1: lease:",
		"ttl = \"5ms\"":                               ":1: endpoint_ttl:",
		"endpoint_ttl = \"5ms\"":                      ":1: endpoint_ttl:",
		"[streams]\nmax = -1":                         ":2: streams.max: -1 is below 1",
		"[load_reports]\nmin_reporters = -2":          ":2: load_reports.min_reporters:",
		"[streams]\nmost = -1":                        ":2: streams.max: -1 is below 1",
		"[load]\nwitnesses = -2":                      ":2: load_reports.min_reporters:",
		"[tls]\ncert = \"c\"":                         ":1: tls.key: missing",
		"[tls]\ncert=\"c\"\nkey=\"k\"\nclients=\"l\"": ":1: tls.allowed_names: empty",
		"[log]\nformat = \"csv\"":                     ":2: log.format",
		"[learnt]\nevery = \"9s\"":                    ":1: snapshot.data_dir: missing",
		"[tls]\npeer = \"x\"":                         ":2: tls.peer: no such field",
	} {
		if _, err := readText(t, text); err == nil || !strings.Contains(err.Error(), "control.toml"+want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	for _, text := range []string{
		"listen = \"0.0.0.0:1\"\nplain_anywhere = true", "listen = \"0.0.0.0:1\"\nallow_plaintext = true", "listen = \"[::1]:1\"", "lease = \"0s\"",
		"listen = \"0.0.0.0:1\"\n[tls]\ncert=\"c\"\nkey=\"k\"\nclients=\"l\"\npeers=[\"p\"]",
		"listen = \"0.0.0.0:1\"\n[tls]\ncert=\"c\"\nkey=\"k\"\nclient_ca=\"l\"\nallowed_names=[\"p\"]",
	} {
		if _, err := readText(t, text); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestDeprecatedNames checks that a file with all deprecated names is read like one with the current names, and that Read lists each
// deprecated name.
func TestDeprecatedNames(t *testing.T) {
	old, err := readText(t, `gather = "50ms"
ttl = "2s"
plain_anywhere = true
streams = { most = 1, connections = 2, per_connection = 3, names = 4, request_bytes = 5, stall = "6s" }
[load]
witnesses = 7
fresh = "8s"
every = "9s"
[tls]
cert = "c"
key = "k"
clients = "l"
peers = ["p"]
[learnt]
folder = "/d"
every = "10s"
forget_after = "11s"
`)
	if err != nil {
		t.Fatal(err)
	}
	current, err := readText(t, `batch_interval = "50ms"
endpoint_ttl = "2s"
allow_plaintext = true
streams = { max = 1, max_connections = 2, max_per_connection = 3, max_names = 4, max_request_bytes = 5, ack_timeout = "6s" }
[load_reports]
min_reporters = 7
max_age = "8s"
interval = "9s"
[tls]
cert = "c"
key = "k"
client_ca = "l"
allowed_names = ["p"]
[snapshot]
data_dir = "/d"
interval = "10s"
max_age = "11s"
`)
	if err != nil {
		t.Fatal(err)
	}
	if len(old.Deprecated) != len(aliases()) || len(current.Deprecated) != 0 {
		t.Errorf("deprecated %v and %v, want each of %v", old.Deprecated, current.Deprecated, aliases())
	}
	old.Deprecated = nil
	if !reflect.DeepEqual(old, current) {
		t.Errorf("deprecated names read as %+v, current ones as %+v", old, current)
	}
}

// deployedFields reads the file in deploy twice: as it is, and with the fields in its comments uncommented. The second result ends before
// the section [tls], whose certificate files do not exist.
func deployedFields(t *testing.T) (file, fields *File) {
	t.Helper()
	const name = "../../../deploy/control.toml"
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	file, err = Read(name)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		line = strings.TrimPrefix(line, "# ")
		if strings.HasPrefix(line, "[tls]") {
			break
		}
		if strings.Contains(line, " = ") || strings.HasPrefix(line, "[") {
			lines = append(lines, line)
		}
	}
	fields, err = readText(t, strings.Join(lines, ""))
	if err != nil {
		t.Fatal(err)
	}
	return file, fields
}

// TestDeployedFile checks that the file in deploy changes no default, and that its comments show the defaults under the current names.
func TestDeployedFile(t *testing.T) {
	defaults, err := Read("")
	if err != nil {
		t.Fatal(err)
	}
	file, fields := deployedFields(t)
	if file.ServerConfig() != defaults.ServerConfig() || fields.ServerConfig() != defaults.ServerConfig() ||
		fields.LoadReportConfig() != defaults.LoadReportConfig() || fields.BatchInterval != defaults.BatchInterval || fields.Listen != defaults.Listen {
		t.Errorf("%+v, defaults %+v", fields, defaults)
	}
	if len(fields.Deprecated) > 0 {
		t.Errorf("deprecated names: %v", fields.Deprecated)
	}
	if defaults.Lease.Duration() != 400*time.Millisecond {
		t.Errorf("lease %v", defaults.Lease.Duration())
	}
}
