package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
)

// TestSnapshotCommands checks that a snapshot can be shown and checked, and that the error about a corrupt file is one line with its
// path.
func TestSnapshotCommands(t *testing.T) {
	now := time.UnixMilli(1_700_000_600_000)
	file := filepath.Join(t.TempDir(), "learnt")
	s := &snapshot.State{TakenAt: 1_700_000_000_000, Node: "n3", Zone: "a", Servers: []snapshot.Server{{Name: "s-1", ServerSnapshot: fleet.ServerSnapshot{TimePerQueued: 12.5}}}}
	writeFile(t, file, string(snapshot.Append(nil, s)))
	var out strings.Builder
	if err := printSnapshot(file, now, &out); err != nil || !strings.Contains(out.String(), "node n3 of zone a, 2023-11-14T22:13:20Z, 10m0s ago; 1 servers") ||
		!strings.Contains(out.String(), "s-1") || !strings.Contains(out.String(), "12.5") {
		t.Errorf("%v: %s", err, out.String())
	}
	out.Reset()
	if err := checkSnapshot(file, fileFlags{}, now, &out); err != nil || !strings.Contains(out.String(), "trust it to 50%") {
		t.Errorf("%v: %s", err, out.String())
	}
	out.Reset()
	config := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, config, validConfig)
	if err := checkSnapshot(file, fileFlags{Config: config}, now, &out); err != nil || !strings.Contains(out.String(), "trust it to 0%") ||
		!strings.Contains(out.String(), "another decision module or deployment") {
		t.Errorf("%v: %s", err, out.String())
	}
	writeFile(t, file, "mslt")
	if err := printSnapshot(file, now, &out); err == nil || !strings.Contains(err.Error(), file) || strings.Contains(err.Error(), "\n") {
		t.Errorf("a corrupt file: %v", err)
	}
}

// TestCheckOwnSnapshot checks that a snapshot that a node has written is accepted as one of its own deployment, also if the settings have
// the endpoint list polled. The check once attributed such a snapshot to another deployment, although the node itself trusted it.
func TestCheckOwnSnapshot(t *testing.T) {
	n := newTestNode(t)
	dir := filepath.Join(n.dir, "learnt")
	n.writeOperatorFile(fmt.Sprintf("[snapshot]\ndata_dir = %q\n", dir))
	p := n.start()
	p.waitForReply("status", "OK")
	p.signalAndWait(syscall.SIGTERM, 5*time.Second)
	files, err := filepath.Glob(filepath.Join(dir, "learnt*"))
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, file := range files {
		if filepath.Base(file) == "learnt.lock" {
			continue
		}
		checked++
		var out strings.Builder
		err := checkSnapshot(file, fileFlags{Config: p.configFile}, time.Now(), &out)
		if text := out.String(); err != nil || !strings.Contains(text, "trust it to") || strings.Contains(text, "another decision module or deployment") {
			t.Errorf("%s: %v: %s", file, err, text)
		}
	}
	if checked == 0 {
		t.Errorf("no snapshot among %q", files)
	}
}
