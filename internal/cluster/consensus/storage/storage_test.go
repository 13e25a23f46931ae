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

func entry(term, index uint64, data string) *pb.Entry {
	return &pb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(index), Data: []byte(data)}
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

// A data directory can be created only once. It can be opened only by one process at a time, and only for its own replica and generation.
func TestDataDirectoryIdentity(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "data"), testIdentity); !errors.Is(err, ErrNotInitialized) {
		t.Errorf("opening a missing data directory: error %v", err)
	}
	dir := createStore(t)
	if err := Create(dir, testIdentity); err == nil {
		t.Error("an existing data directory was created again")
	}
	if _, err := Open(dir, Identity{Group: "north", ReplicaNumber: 3}); !errors.Is(err, ErrWrongIdentity) {
		t.Errorf("opening as another replica: error %v", err)
	}
	if _, err := Open(dir, Identity{Group: "north", ReplicaNumber: 2, Generation: 1}); !errors.Is(err, ErrWrongIdentity) {
		t.Errorf("opening in another generation: error %v", err)
	}
	openStore(t, dir)
	if _, err := Open(dir, testIdentity); !errors.Is(err, ErrInUse) {
		t.Errorf("opening a data directory that is already open: error %v", err)
	}
}

// A reopened data directory contains everything that was saved, without the entries that later ones replaced. This also holds after the log file was
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

// damageKind is a way of damaging the files of a data directory.
type damageKind int

const (
	truncateLog         damageKind = iota
	flipLogBit                     // anywhere in the log file
	flipMarkBit                    // anywhere in the sync mark
	appendPartialRecord            // after the sync mark, as a process that dies during a write leaves it
	damageKindCount
)

// apply returns damaged copies of the contents of the log file and of the sync mark.
func (kind damageKind) apply(rng *rand.Rand, log, mark []byte) (damagedLog, damagedMark []byte) {
	log, mark = slices.Clone(log), slices.Clone(mark)
	switch kind {
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

// A randomly damaged data directory must be rejected, except for a partial record after the sync mark. In that case it must open with everything that
// was synced.
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
		kind := damageKind(i) % damageKindCount
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
			t.Fatalf("trial %d: with damage of kind %d, the data directory was opened with %d entries in term %d", i, kind, len(got.Entries), got.HardState.GetTerm())
		}
	}
	if want := trials * 3 / 4; rejected != want {
		t.Errorf("%d damaged data directories were rejected, want %d", rejected, want)
	}
}

// After a failed sync the contents of the disk are unknown, so every later Save must fail too.
func TestFailedSync(t *testing.T) {
	s := openStore(t, createStore(t))
	syncErr := errors.New("no space left on device")
	s.syncFile = func(*os.File) error { return syncErr }
	if err := s.Save(Update{HardState: hardState(1, 1, 0)}); !errors.Is(err, syncErr) {
		t.Fatalf("with a failing sync, Save returned %v", err)
	}
	s.syncFile = (*os.File).Sync
	if err := s.Save(Update{HardState: hardState(2, 1, 0)}); !errors.Is(err, syncErr) {
		t.Errorf("Save after a failed sync returned %v", err)
	}
}
