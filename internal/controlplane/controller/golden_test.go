package controller

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/node/discovery"
	"mintspring/internal/state/snapshot"
	"mintspring/internal/state/snapshotfile"
)

// TestGolden compares the file of the learned state with the golden file of an earlier build: its name, its bytes, and the decoded values.
func TestGolden(t *testing.T) {
	now := 1_700_000_000_000.0
	c := newStartedCore(t, now, 9, 6)
	addReports(c, &now, 6, 3)
	state := c.LearnedState(now, testTrustPolicy())
	path := filepath.Join("testdata", "golden", "learnt")
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := snapshot.Append(nil, state); !bytes.Equal(got, want) {
		t.Errorf("encoded as %x, the file has %x", got, want)
	}
	state.Global.Trust = 0 // trust and slots are not stored
	for i := range state.Servers {
		state.Servers[i].ID, state.Servers[i].Trust = 0, 0
	}
	read, err := snapshotfile.Load(filepath.Dir(path))
	if err != nil || !reflect.DeepEqual(read, state) {
		t.Fatalf("read as %+v (%v), want %+v", read, err, state)
	}
	restarted := newStartedCore(t, now, 9, 6)
	if trust := restarted.RestoreState(now, read, testTrustPolicy()); trust.Global != 1 || len(trust.Servers) != 7 {
		t.Errorf("trust %+v", trust)
	}
}

// TestGoldenFileNames checks the names of the files in the data directory, by which a process of another build finds the state and the lock.
func TestGoldenFileNames(t *testing.T) {
	dir := t.TempDir()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(log, testConfig(9), "127.0.0.1:1", &Persistence{Dir: dir, Interval: time.Hour, TrustPolicy: testTrustPolicy()})
	c.core.UpdateEndpoints(c.clock.Now(), discovery.Update{Complete: true, Members: []json.RawMessage{serverEntry(0, discovery.PhaseInService, 0)}})
	c.saveState()
	c.state.close()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	if !reflect.DeepEqual(names, []string{"learnt", "learnt.lock"}) {
		t.Errorf("files %v", names)
	}
}
