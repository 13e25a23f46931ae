package main

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/settings"
)

// fakeNode records the discovery address and the deployments that a reload applies.
type fakeNode struct {
	discovery   string
	deployments []settings.Deployment
}

func (n *fakeNode) SetDiscovery(addr string) { n.discovery = addr }

func (n *fakeNode) Reconfigure(deployment settings.Deployment) error {
	n.deployments = append(n.deployments, deployment)
	return nil
}

// TestReload checks that an unusable file changes nothing, and that changes are logged if they take effect only after a restart.
func TestReload(t *testing.T) {
	active, err := loadConfig(t, validConfig)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, discovery, log string }{
		{`"discovery":"127.0.0.1:2",`, `"discovery":"127.0.0.1:3","admin":"127.0.0.1:5",`, "127.0.0.1:3", "needs_restart=admin"},
		{"127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:3", "discovery=\"127.0.0.1:3\""},
		{"127.0.0.1:2", "127.0.0.1:2", "", "reloaded the configuration"},
		{`"memory_mb":192`, `"memory_mb":96`, "", "needs_restart=limits"},
		{`"SloTime":1000`, `"SloTime":900`, "", "reloaded the configuration"},
		{`"discovery":"127.0.0.1:2","seed"`, `"discovery":"127.0.0.1:3","sood"`, "", "seed: missing"},
		{`"SloTime":1000,`, ``, "", "SloTime: missing"},
		{`"SloTime":1000`, `"SloTime":"1000"`, "", "keeping the active one"},
		{validConfig, "", "", "keeping the active one"},
		{`"8c1f30d27a5be964"`, `"1"`, "", `configuration" discovery="127.0.0.1:2"` + "\n"},
		{validConfig, validConfig[:90], "", "keeping the active one"},
		{`"discovery":"127.0.0.1:2"`, `"discovery":"there"`, "", "keeping the active one"},
	} {
		file := filepath.Join(t.TempDir(), "config.json")
		writeFile(t, file, strings.Replace(validConfig, c.old, c.new, 1))
		var out strings.Builder
		log := logrus.New()
		log.SetOutput(&out)
		node := &fakeNode{}
		reloaded, err := activeConfig{active, &operatorfile.File{}}.reload(fileFlags{Config: file}, node, log)
		if err != nil {
			t.Error(err)
		}
		got := reloaded.platform
		settingsChange := strings.Contains(c.new, "900")
		if applied := len(node.deployments) == 1; applied != settingsChange || (got.Deployment.Limits.Classes[0].LatencyObjective == 0.9) != settingsChange {
			t.Errorf("%q instead of %q: %d changes of settings, now %+v", c.new, c.old, len(node.deployments), got.Deployment.Limits.Classes)
		}
		discovery := active.Discovery
		if c.discovery != "" {
			discovery = c.discovery
		}
		if node.discovery != c.discovery || got.Discovery != discovery || got.Limits != active.Limits {
			t.Errorf("%q instead of %q: switched to %q, active %q, %+v", c.new, c.old, node.discovery, got.Discovery, got.Limits)
		}
		if !strings.Contains(out.String(), c.log) || strings.Count(out.String(), "\n") != 1 {
			t.Errorf("%q instead of %q: logged %s", c.new, c.old, out.String())
		}
	}
}
