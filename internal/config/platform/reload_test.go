package platform

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const fullConfig = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"revision":41,"complete":true,"members":[{"id":"s"}]},
 "settings":{"PolicyLimits":{"MaxExecutions":4,"ConnIdle":15000000},"Guarantees":{"MustAskIn":10000000},"Discovery":"subscribe",
 "Workloads":[{"Name":"read","Effect":"pure","SloTime":1000,"StatementTimeout":2000,"AimStretch":0.5},
  {"Name":"put","Effect":"token","SloTime":1000,"StatementTimeout":2000,"MemorySpan":5000000}]}}`

// reloadError returns the error with which a node that runs with the active configuration refuses a file with this text, nil if
// it accepts the file.
func reloadError(t *testing.T, active *Config, text string) error {
	t.Helper()
	c, err := loadText(t, text)
	if err == nil {
		err = active.CheckComplete(c)
	}
	return err
}

// TestIncompleteFiles: a file that is truncated at any byte, or in which any required key is missing or null, is refused.
func TestIncompleteFiles(t *testing.T) {
	active, err := loadText(t, fullConfig)
	if err != nil {
		t.Fatal(err)
	}
	if err := reloadError(t, active, fullConfig); err != nil {
		t.Errorf("the active file: %v", err)
	}
	for i := range len(fullConfig) {
		if reloadError(t, active, fullConfig[:i]) == nil {
			t.Errorf("truncated to %d bytes it is accepted: %q", i, fullConfig[max(0, i-20):i])
		}
	}
	var tree map[string]any
	if err := json.Unmarshal([]byte(fullConfig), &tree); err != nil {
		t.Fatal(err)
	}
	k := &keyTester{t: t, active: active, tree: tree}
	k.walk(tree, "")
	if k.cases < 50 {
		t.Errorf("only %d cases were checked", k.cases)
	}
}

// keyTester reloads a configuration with each of its keys in turn set to null, and then removed.
type keyTester struct {
	t      *testing.T
	active *Config
	tree   map[string]any
	cases  int
}

func (k *keyTester) walk(node any, path string) {
	switch v := node.(type) {
	case map[string]any:
		for key, value := range v {
			// A key that only some classes have, such as MemorySpan, may be missing.
			optional := optionalKeys[key] || strings.HasPrefix(path, ".known") || key == "MemorySpan"
			v[key] = nil
			k.check(path+"."+key+" set to null", optional)
			delete(v, key)
			k.check(path+"."+key+" missing", optional)
			v[key] = value
			k.walk(value, path+"."+key)
		}
	case []any:
		for i := range v {
			k.walk(v[i], fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

// check fails the test unless the modified tree is accepted or refused as expected. The error names the change.
func (k *keyTester) check(change string, accepted bool) {
	k.t.Helper()
	k.cases++
	text, err := json.Marshal(k.tree)
	if err != nil {
		k.t.Fatal(err)
	}
	if err := reloadError(k.t, k.active, string(text)); (err == nil) != accepted {
		k.t.Errorf("%s: %v", change, err)
	}
}

// TestReloadedSettings: request classes may be added and removed. Timeouts, latency objectives and attempt limits have to be
// above 0.
func TestReloadedSettings(t *testing.T) {
	active, err := loadText(t, fullConfig)
	if err != nil {
		t.Fatal(err)
	}
	withAddedClass := strings.Replace(fullConfig, `{"Name":"put"`, `{"Name":"new","Effect":"side_effect","SloTime":5,"StatementTimeout":9},{"Name":"put"`, 1)
	c, err := loadText(t, withAddedClass)
	if err != nil || active.CheckComplete(c) != nil || !active.SettingsChanged(c) || len(c.Deployment.RequestClasses) != 3 {
		t.Errorf("a class added: %v, %v", err, active.CheckComplete(c))
	}
	withRemovedClass := strings.Replace(fullConfig, `{"Name":"read","Effect":"pure","SloTime":1000,"StatementTimeout":2000,"AimStretch":0.5},`, "", 1)
	if err := reloadError(t, active, withRemovedClass); err != nil {
		t.Errorf("a class removed: %v", err)
	}
	for _, bad := range []string{`0`, `-1`, `"2000"`, `"NaN"`, `NaN`, `null`, `1e999`, `[2000]`, `{}`, `true`, `""`, `-0.5`} {
		for _, good := range []string{`"StatementTimeout":2000`, `"MaxExecutions":4`, `"SloTime":1000`} {
			key, _, _ := strings.Cut(good, ":")
			if err := reloadError(t, active, strings.Replace(fullConfig, good, key+":"+bad, 1)); err == nil {
				t.Errorf("%s:%s is accepted", key, bad)
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("%s:%s is refused with more than one line: %v", key, bad, err)
			}
		}
	}
}

// A file that has not changed is not parsed again, and what its reload left for a restart is still reported. A changed file is read.
func TestReloadOfUnchangedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string { return map[string]string{configVariable: file}[name] }
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fullConfig)
	active, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := active.Reload(getenv); err != nil || again != active {
		t.Errorf("an unchanged file was parsed again: %v", err)
	}
	write(strings.Replace(fullConfig, `"sockets":1024`, `"sockets":512`, 1))
	changed, err := active.Reload(getenv)
	if err != nil || changed == active || active.CheckComplete(changed) != nil || changed.Limits.Sockets != 512 {
		t.Fatalf("a changed file: %+v, %v", changed, err)
	}
	active = active.Merged(changed)
	again, err := active.Reload(getenv)
	if err != nil || again != changed || active.CheckComplete(again) != nil || len(active.RestartRequired(again)) != 1 {
		t.Errorf("after a reload: needs a restart for %v, %v", active.RestartRequired(again), err)
	}
	write(fullConfig[:len(fullConfig)/2])
	if _, err := active.Reload(getenv); err == nil {
		t.Error("a truncated file was accepted")
	}
}
