package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// goldenUpdates returns the updates that were saved to the data directories under testdata/golden. They contain every kind of record, and an entry
// that replaces another.
func goldenUpdates() []Update {
	return []Update{
		{Snapshot: &pb.Snapshot{Data: []byte(`{"last":0,"leases":{}}`), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}},
		{HardState: hardState(2, 3, 1), Entries: []*pb.Entry{entry(2, 2, ""), entry(2, 3, "b"), entry(2, 4, "c")}},
		{HardState: hardState(3, 18, 4), Entries: []*pb.Entry{entry(3, 4, "d")}},
		{Snapshot: &pb.Snapshot{Data: []byte("all"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(2), Term: proto.Uint64(2), ConfState: &pb.ConfState{Voters: []uint64{1, 3}, Learners: []uint64{18}}}}},
	}
}

// Every later version, and the previous one, must be able to open the data directories of running fleets, so the bytes must not change.
func TestGoldenDataDirectories(t *testing.T) {
	id := Identity{Group: "north", ReplicaNumber: 2, Generation: 1}
	for name, rewritten := range map[string]bool{"appended": false, "rewritten": true} {
		t.Run(name, func(t *testing.T) {
			golden := filepath.Join("testdata", "golden", name)
			compareDirectories(t, writeGoldenUpdates(t, id, rewritten), golden)

			copiedDir := filepath.Join(t.TempDir(), "copied")
			if err := os.CopyFS(copiedDir, os.DirFS(golden)); err != nil {
				t.Fatal(err)
			}
			s, err := Open(copiedDir, id)
			if err != nil {
				t.Fatal(err)
			}
			got := s.State()
			s.Close()
			updates := goldenUpdates()
			if !proto.Equal(got.HardState, updates[2].HardState) || !proto.Equal(got.Snapshot, updates[3].Snapshot) || len(got.Entries) != 2 ||
				!proto.Equal(got.Entries[0], updates[1].Entries[1]) || !proto.Equal(got.Entries[1], updates[2].Entries[0]) {
				t.Errorf("the golden data directory was read as %+v", got)
			}
		})
	}
}

func writeGoldenUpdates(t *testing.T, id Identity, rewritten bool) (dir string) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), "written")
	if err := Create(dir, id); err != nil {
		t.Fatal(err)
	}
	s, err := Open(dir, id)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, u := range goldenUpdates() {
		save(t, s, u)
	}
	if rewritten {
		if err := s.rewrite(); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// compareDirectories checks that a directory contains the same files as a golden directory, byte for byte.
func compareDirectories(t *testing.T, dir, golden string) {
	t.Helper()
	files, err := os.ReadDir(golden)
	if err != nil {
		t.Fatal(err)
	}
	if written, err := os.ReadDir(dir); err != nil || len(written) != len(files) {
		t.Errorf("%d files were written (error %v), want %d", len(written), err, len(files))
	}
	for _, f := range files {
		want, err := os.ReadFile(filepath.Join(golden, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(filepath.Join(dir, f.Name())); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s was written as %x (error %v), want %x", f.Name(), got, err, want)
		}
	}
}

// Generation 0 is omitted from the identity file, as in versions that had no generations.
func TestGoldenFirstGeneration(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "c")
	if err := Create(dir, testIdentity); err != nil {
		t.Fatal(err)
	}
	if b, err := os.ReadFile(filepath.Join(dir, identityFileName)); err != nil || string(b) != `{"council":"north","member":2}` {
		t.Errorf("the identity file contains %s (error %v)", b, err)
	}
}
