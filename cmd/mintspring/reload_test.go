package main

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

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

// TestReloadAtTakeover checks that a process that takes over reads the files again if one of them has changed, and otherwise keeps a retry that
// is pending. A changed operator's file was once passed over, and a pending retry was forgotten.
func TestReloadAtTakeover(t *testing.T) {
	dir := t.TempDir()
	files := fileFlags{Config: filepath.Join(dir, "config.json"), Operator: filepath.Join(dir, "operator.toml")}
	writeFile(t, files.Config, validConfig)
	writeFile(t, files.Operator, "[log]\nlevel = \"info\"\n")
	platformConfig, err := loadConfig(t, validConfig)
	if err != nil {
		t.Fatal(err)
	}
	operator, err := operatorfile.Read(files.Operator)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	log := logrus.New()
	log.SetOutput(&out)
	active, pending := activeConfig{platformConfig, operator}, make(<-chan time.Time)
	if _, retry := active.reloadIfChanged(files, &fakeNode{}, log, pending); retry != pending || out.Len() > 0 {
		t.Errorf("nothing has changed, the pending retry is kept: %v, logged %q", retry == pending, out.String())
	}
	writeFile(t, files.Operator, "[log]\nlevel = \"debug\"\n")
	if reloaded, retry := active.reloadIfChanged(files, &fakeNode{}, log, pending); retry != nil || log.GetLevel() != logrus.DebugLevel {
		t.Errorf("after a change of the operator's file the level is %v, %+v", log.GetLevel(), reloaded.operator.Log)
	}
}

// TestReloadReportsChangedPeers checks that changed addresses of peers, which take effect only after a restart, are logged. They were once
// neither taken nor reported.
func TestReloadReportsChangedPeers(t *testing.T) {
	active, err := loadConfig(t, validConfig)
	if err != nil {
		t.Fatal(err)
	}
	changed, err := loadConfig(t, strings.Replace(validConfig, `"seed"`, `"peer_listen":"127.0.0.1:7","peers":["127.0.0.1:7"],"seed"`, 1))
	if err != nil {
		t.Fatal(err)
	}
	if names := active.RestartRequired(changed); !slices.Equal(names, []string{"peer_listen", "peers"}) {
		t.Errorf("these need a restart: %v", names)
	}
}
