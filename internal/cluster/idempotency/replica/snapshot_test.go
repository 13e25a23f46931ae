package replica

import (
	"bytes"
	"testing"
	"time"
)

// A member fetches the snapshot of another member, even if it has several parts, and asks the next member if one has no snapshot.
func TestFetchSnapshot(t *testing.T) {
	c := newTestCluster(t)
	want := bytes.Repeat([]byte("snapshot"), 3*maxPartBytes/8)
	c.start(0, 2000, nil)
	c.start(1, 2001, nil) // has no snapshot, and is asked first
	c.start(2, 2002, func(config *Config) { config.Snapshot = func() []byte { return want } })
	if got, ok := c.replicas[0].FetchSnapshot(awaitTimeout); !ok || !bytes.Equal(got, want) {
		t.Errorf("%d bytes, %v; want %d", len(got), ok, len(want))
	}
	if got, ok := c.replicas[2].FetchSnapshot(50 * time.Millisecond); ok {
		t.Errorf("received %d bytes from members without a snapshot", len(got))
	}
}

// Parts may arrive in any order and more than once. Parts with a different count of parts, and parts that cannot be decoded, are ignored.
func TestSnapshotParts(t *testing.T) {
	f := &snapshotFetch{complete: make(chan []byte, 1)}
	for _, p := range []snapshotPart{{1, 3, []byte("b")}, {0, 2, []byte("x")}, {1, 3, []byte("y")}, {0, 3, []byte("a")}} {
		if f.addPart(p) {
			t.Fatalf("the snapshot is complete too early, with %+v", p)
		}
	}
	if !f.addPart(snapshotPart{2, 3, []byte("c")}) || string(<-f.complete) != "abc" {
		t.Error("the snapshot is not complete or wrong after the last part")
	}
	for name, b := range map[string][]byte{
		"no index":       {0, 1, 0},
		"no parts":       {0, 0, 0, 0},
		"index too high": {0, 2, 0, 2},
		"too many parts": {0, 0, 0, maxParts + 1},
	} {
		if p, ok := decodeSnapshotPart(b); ok {
			t.Errorf("%s: %+v", name, p)
		}
	}
}
