package platform

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"testing"

	"mintspring/internal/node/discovery"
)

// TestGolden checks that a configuration with every key is read into the same values as by earlier builds.
func TestGolden(t *testing.T) {
	file := filepath.Join("testdata", "golden", "config.json")
	got, err := Load(func(name string) string { return map[string]string{"LB_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{
		Name: "n3", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", PeerListen: "127.0.0.1:3",
		Peers: []string{"127.0.0.1:3", "127.0.0.1:5"}, Admin: "127.0.0.1:4", Seed: "8c1f30d27a5be964",
		CachedList: discovery.Update{Revision: 41, Complete: true, Members: []json.RawMessage{json.RawMessage(`{"id":"box-0","host_port":"127.0.0.1:6"}`)}},
		Deployment: got.Deployment, Settings: got.Settings, raw: got.raw,
	}
	want.Limits.Cores, want.Limits.MemoryMB, want.Limits.Sockets = 1.5, 192, 1024
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, want %+v", got, want)
	}
	if d := got.Deployment; len(d.RequestClasses) != 1 || d.RequestClasses[0] != "read" || d.Limits.Classes[0].LatencyObjective != 1 || d.Limits.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("settings read as %+v", d)
	}
	fromEnv, err := Load(func(name string) string {
		return map[string]string{
			"LB_CONFIG": filepath.Join("testdata", "golden", "bare.json"), "LB_NAME": "n4", "LB_LISTEN": "127.0.0.1:11",
			"LB_DISCOVERY": "127.0.0.1:12", "LB_ADMIN": "127.0.0.1:14",
		}[name]
	})
	if err != nil || fromEnv.Name != "n4" || fromEnv.Listen != "127.0.0.1:11" || fromEnv.Discovery != "127.0.0.1:12" || fromEnv.Admin != "127.0.0.1:14" {
		t.Errorf("from the environment %+v, %v", fromEnv, err)
	}
}
