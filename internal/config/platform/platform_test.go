package platform

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":41,"complete":true,"members":[{"id":"s"}]},
 "settings":{"Workloads":[{"Name":"read","SloTime":1000,"StatementTimeout":2000}]},"later":[1]}`

func loadText(t *testing.T, text string) (*Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		return map[string]string{"LB_CONFIG": file, "LB_LISTEN": "127.0.0.1:9"}[name]
	})
}

func TestLoad(t *testing.T) {
	c, err := loadText(t, validConfig)
	if err != nil {
		t.Fatal(err)
	}
	n := c.NodeConfig()
	if n.Deployment.Limits.Seed != 0x8c1f30d27a5be964 || n.CachedList.Revision != 41 || n.MaxDescriptors != 1024 || n.MemoryMB != 192 ||
		n.Deployment.RequestClasses[0] != "read" || n.Deployment.Limits.Classes[0].ClientTimeout != 2 {
		t.Errorf("read as %+v", n)
	}
	if c, err = loadText(t, strings.Replace(validConfig, `"listen":"127.0.0.1:1",`, "", 1)); err != nil || c.Listen != "127.0.0.1:9" {
		t.Errorf("listens on %v, %v", c, err)
	}
}

// TestLoadErrors: an error is one line with the file and the field.
func TestLoadErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{validConfig, "", "unexpected end"},
		{validConfig, "[]", "cannot unmarshal array"},
		{`"listen":"127.0.0.1:1"`, `"listen":7`, "listen"},
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:2",`, "", "discovery"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		{`"settings":{`, `"other":{`, "settings: missing"},
		{`"Workloads"`, `"Other"`, "Workloads"},
		{`"SloTime":1000`, `"SloTime":"soon"`, "SloTime"},
		{`"Name":"read",`, "", "Workloads[0].Name"},
		{`"StatementTimeout":2000`, `"StatementTimeout":0`, "Workloads[0].StatementTimeout"},
		{`"sockets":1024`, `"sockets":-1`, "limits"},
	} {
		_, err := loadText(t, strings.Replace(validConfig, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "config.json") ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q in place of %q: error %v", c.new, c.old, err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("error %v", err)
	}
}
