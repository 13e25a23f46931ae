package storage

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/state/recordlog"
)

var testIdentity = Identity{Group: "north", ReplicaNumber: 2}

func entry(term, index uint64, text string) *pb.Entry {
	return &pb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(index), Data: []byte(text)}
}

func hardState(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

func createStore(t *testing.T) (dir string) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), "data")
	if err := Create(dir, testIdentity); err != nil {
		t.Fatal(err)
	}
	return dir
}

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func save(t *testing.T, s *Store, u Update) {
	t.Helper()
	if err := s.Save(u); err != nil {
		t.Fatal(err)
	}
}

// A data directory is created once, and opened by one process at a time, for the replica and the generation that it was created for.
func TestDataDirectoryIdentity(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "data"), testIdentity); !errors.Is(err, ErrNotInitialized) {
		t.Errorf("without a data directory: %v", err)
	}
	dir := createStore(t)
	if err := Create(dir, testIdentity); err == nil {
		t.Error("created twice")
	}
	if _, err := Open(dir, Identity{Group: "north", ReplicaNumber: 3}); !errors.Is(err, ErrWrongIdentity) {
		t.Errorf("by another replica: %v", err)
	}
	if _, err := Open(dir, Identity{Group: "north", ReplicaNumber: 2, Generation: 1}); !errors.Is(err, ErrWrongIdentity) {
		t.Errorf("in another generation: %v", err)
	}
	openStore(t, dir)
	if _, err := Open(dir, testIdentity); !errors.Is(err, ErrInUse) {
		t.Errorf("by two processes: %v", err)
	}
}

// What was saved is there when the data directory is opened again, with entries in place of those that they replaced, and also after the log was
// rewritten.
func TestSaveAndReopen(t *testing.T) {
	dir := createStore(t)
	s := openStore(t, dir)
	save(t, s, Update{HardState: hardState(1, 2, 0), Entries: []*pb.Entry{entry(1, 1, "a"), entry(1, 2, "b"), entry(1, 3, "c")}})
	save(t, s, Update{HardState: hardState(2, 3, 1), Entries: []*pb.Entry{entry(2, 2, "d")}})
	s.Close()

	s = openStore(t, dir)
	got := s.State()
	if len(got.Entries) != 2 || string(got.Entries[1].GetData()) != "d" || got.HardState.GetTerm() != 2 || got.HardState.GetVote() != 3 {
		t.Fatalf("reopened with %+v", got)
	}
	save(t, s, Update{Snapshot: &pb.Snapshot{Data: []byte("all"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1)}}})
	if err := s.rewrite(); err != nil {
		t.Fatal(err)
	}
	save(t, s, Update{Entries: []*pb.Entry{entry(2, 3, "e")}})
	s.Close()

	got = openStore(t, dir).State()
	if len(got.Entries) != 2 || string(got.Entries[1].GetData()) != "e" || string(got.Snapshot.GetData()) != "all" || got.HardState.GetTerm() != 2 {
		t.Fatalf("reopened after a rewrite with %+v", got)
	}
}

// damage is one way in which the files of a data directory are damaged.
type damage int

const (
	truncateLog         damage = iota
	flipLogBit                 // anywhere in the log file
	flipMarkBit                // anywhere in the sync mark
	appendPartialRecord        // a record behind the sync mark, as a process leaves it that dies while it writes
	damageKindCount
)

func (d damage) apply(rng *rand.Rand, log, mark []byte) (damagedLog, damagedMark []byte) {
	log, mark = slices.Clone(log), slices.Clone(mark)
	switch d {
	case truncateLog:
		log = log[:rng.IntN(len(log))]
	case flipLogBit:
		log[rng.IntN(len(log))] ^= 1 << rng.IntN(8)
	case flipMarkBit:
		mark[rng.IntN(len(mark))] ^= 1 << rng.IntN(8)
	case appendPartialRecord:
		log = append(log, log[:1+rng.IntN(30)]...)
	}
	return log, mark
}

// A data directory that is damaged in a thousand drawn ways is rejected, unless the damage is a partial write behind the sync mark: then it is
// opened with everything that was synced.
func TestDamagedFiles(t *testing.T) {
	const (
		updates = 20
		trials  = 1000
	)
	rng := rand.New(rand.NewPCG(1, 9))
	intactDir := createStore(t)
	s := openStore(t, intactDir)
	for i := uint64(1); i <= updates; i++ {
		save(t, s, Update{HardState: hardState(i, 1, i), Entries: []*pb.Entry{entry(i, i, "payload of some length")}})
	}
	s.Close()
	log, err := os.ReadFile(filepath.Join(intactDir, logFileName))
	if err != nil {
		t.Fatal(err)
	}
	mark, err := os.ReadFile(filepath.Join(intactDir, markFileName))
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for i := range trials {
		kind := damage(i) % damageKindCount
		dir := createStore(t)
		damagedLog, damagedMark := kind.apply(rng, log, mark)
		if err := errors.Join(os.WriteFile(filepath.Join(dir, logFileName), damagedLog, filePermissions),
			os.WriteFile(filepath.Join(dir, markFileName), damagedMark, filePermissions)); err != nil {
			t.Fatal(err)
		}
		s, err := Open(dir, testIdentity)
		if err != nil {
			rejected++
			if !errors.Is(err, recordlog.ErrCorrupt) || kind == appendPartialRecord {
				t.Fatalf("trial %d: %v", i, err)
			}
			continue
		}
		got := s.State()
		s.Close()
		if kind != appendPartialRecord || len(got.Entries) < updates || got.HardState.GetTerm() < updates {
			t.Fatalf("trial %d: opened with %d entries in term %d", i, len(got.Entries), got.HardState.GetTerm())
		}
	}
	if want := trials * 3 / 4; rejected != want {
		t.Errorf("%d of %d rejected", rejected, want)
	}
}

// After a failed sync nothing is saved any more, since the contents of the disk are unknown.
func TestFailedSync(t *testing.T) {
	s := openStore(t, createStore(t))
	syncErr := errors.New("no space left on device")
	s.syncFile = func(*os.File) error { return syncErr }
	if err := s.Save(Update{HardState: hardState(1, 1, 0)}); !errors.Is(err, syncErr) {
		t.Fatalf("%v", err)
	}
	s.syncFile = (*os.File).Sync
	if err := s.Save(Update{HardState: hardState(2, 1, 0)}); !errors.Is(err, syncErr) {
		t.Errorf("saved after a failed sync: %v", err)
	}
}
