package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/state/recordlog"
)

var testOwner = Owner{"sales", 2}

var testLimits = Limits{Retention: time.Minute}

// testIncarnation is the incarnation of data directories that Open creates.
const testIncarnation = 55

// testEntries returns the entries that a member stores for a number of completed operations.
func testEntries(operations int) [][]byte {
	state := idempotency.NewStoredState()
	for i := range operations {
		id := idempotency.ClaimID{Member: 1, Incarnation: 7, Number: uint64(i)}
		state.Records[idempotency.NewKey("w", []byte("k"), fmt.Append(nil, i))] = idempotency.VersionedRecord{
			AcceptedBallot: idempotency.Ballot{Round: 2, Claim: id},
			Record:         idempotency.Record{State: idempotency.StateCompleted, Claim: id, HasReceipt: true, Receipt: fmt.Appendf(nil, "receipt %d", i)},
		}
	}
	state.KnownStorage[0], state.BallotCeiling = 9, 1024
	return state.Entries()
}

func testDir(t *testing.T) string { return filepath.Join(t.TempDir(), "idempotency") }

func openStore(t *testing.T, dir string) (*Store, *idempotency.StoredState) {
	t.Helper()
	state := idempotency.NewStoredState()
	s, err := Open(dir, testOwner, testIncarnation, testLimits, state)
	if err != nil {
		t.Fatal(err)
	}
	return s, state
}

// A reopened data directory has everything that was appended. Another member, and a second process, cannot open it.
func TestReopen(t *testing.T) {
	dir := testDir(t)
	s, state := openStore(t, dir)
	if state.CaughtUpStorage != 0 || s.Incarnation() != testIncarnation {
		t.Errorf("a new directory: incarnation %d, caught up %d", s.Incarnation(), state.CaughtUpStorage)
	}
	if _, err := Open(dir, testOwner, 56, testLimits, idempotency.NewStoredState()); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
	entries := testEntries(50)
	for i := 0; i < len(entries); i += 10 {
		if err := s.Append(entries[i:min(i+10, len(entries))], nil); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	if _, err := Open(dir, Owner{"sales", 3}, 57, testLimits, idempotency.NewStoredState()); !errors.Is(err, ErrWrongOwner) {
		t.Errorf("another member: %v", err)
	}
	reopened, state := openStore(t, dir)
	defer reopened.Close()
	if len(state.Records) != 50 || state.BallotCeiling != 1024 || state.KnownStorage[0] != 9 || reopened.Incarnation() != testIncarnation {
		t.Errorf("%d records, ceiling %d, known %v, incarnation %d", len(state.Records), state.BallotCeiling, state.KnownStorage, reopened.Incarnation())
	}
}

// An initial data directory can be created only once, and counts as caught up.
func TestInitialDirectoryIsCreatedOnce(t *testing.T) {
	dir := testDir(t)
	if err := Create(dir, testOwner, 60); err != nil {
		t.Fatal(err)
	}
	if err := Create(dir, testOwner, 61); err == nil {
		t.Error("a second Create succeeded")
	}
	s, state := openStore(t, dir)
	s.Close()
	if state.CaughtUpStorage != 60 || s.Incarnation() != 60 {
		t.Errorf("incarnation %d, caught up %d", s.Incarnation(), state.CaughtUpStorage)
	}
}

// Segments are closed at their maximum age, start with the header, and are deleted when all their records have expired.
func TestSegmentsExpire(t *testing.T) {
	dir := testDir(t)
	s, _ := openStore(t, dir)
	now := time.Now()
	s.Now = func() time.Time { return now }
	header := idempotency.NewStoredState()
	header.BallotCeiling = 4096
	for _, entry := range testEntries(20) {
		now = now.Add(10 * time.Second)
		if err := s.Append([][]byte{entry}, header.Entries()); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	summary, err := Inspect(dir)
	if err != nil {
		t.Fatal(err)
	}
	records := len(summary.State.Records)
	if summary.Segments < 4 || summary.Segments > 10 || summary.State.BallotCeiling != 4096 || records > 15 || records < 6 {
		t.Errorf("%d segments, ceiling %d, %d records", summary.Segments, summary.State.BallotCeiling, records)
	}
}

// After a failed write all later appends fail, because the content of the disk is unknown.
func TestAppendAfterFailure(t *testing.T) {
	s, _ := openStore(t, testDir(t))
	defer s.Close()
	errDisk := errors.New("input/output error")
	s.Sync = func(*os.File) error { return errDisk }
	if err := s.Append(testEntries(1), nil); !errors.Is(err, errDisk) {
		t.Errorf("%v", err)
	}
	s.Sync = (*os.File).Sync
	if err := s.Append(testEntries(1), nil); !errors.Is(err, errDisk) {
		t.Errorf("after a failure: %v", err)
	}
}

// After a failed write a store accepts entries again only once Recover has written and synced all entries, because a successful sync after
// a failed one does not cover the data of the failed one. The data directory can be opened after any number of failures.
func TestRecoverAfterFailure(t *testing.T) {
	errDisk := errors.New("no space left on device")
	const acknowledged = 4 // operations that were acknowledged before the failure
	for failures := range 6 {
		dir := testDir(t)
		s, _ := openStore(t, dir)
		if err := s.Append(testEntries(acknowledged), nil); err != nil {
			t.Fatal(err)
		}
		failuresLeft := failures
		s.Sync = func(f *os.File) error {
			if failuresLeft > 0 {
				failuresLeft--
				return errDisk
			}
			return f.Sync()
		}
		err := s.Append(testEntries(acknowledged+1), nil)
		if (err != nil) != (failures > 0) {
			t.Fatalf("%d failures: %v", failures, err)
		}
		for err != nil {
			if err = s.Recover(testEntries(acknowledged+2), nil); err != nil && !errors.Is(err, errDisk) {
				t.Fatalf("%d failures: %v", failures, err)
			}
		}
		if err := s.Append(testEntries(acknowledged+3), nil); err != nil {
			t.Errorf("%d failures: after the recovery: %v", failures, err)
		}
		s.Close()
		s, state := openStore(t, dir)
		if len(state.Records) != acknowledged+3 {
			t.Errorf("%d failures: %d records, want %d", failures, len(state.Records), acknowledged+3)
		}
		s.Close()
	}
}

// If the process dies between a failed write and the recovery, no acknowledged entry is lost.
func TestOpenAfterFailedRecovery(t *testing.T) {
	errDisk := errors.New("input/output error")
	dir := testDir(t)
	s, _ := openStore(t, dir)
	if err := s.Append(testEntries(4), nil); err != nil {
		t.Fatal(err)
	}
	s.Sync = func(*os.File) error { return errDisk }
	if s.Append(testEntries(5), nil) == nil || s.Recover(testEntries(5), nil) == nil || s.Recover(testEntries(5), nil) == nil {
		t.Fatal("a write did not fail")
	}
	s.Close()
	s, state := openStore(t, dir)
	defer s.Close()
	if n := len(state.Records); n < 4 || n > 5 {
		t.Errorf("%d records", n)
	}
	if err := s.Append(testEntries(6), nil); err != nil {
		t.Error(err)
	}
}

// Append fails with ErrFull instead of making a data directory larger than its limit.
func TestAppendBeyondTheLimit(t *testing.T) {
	limits := Limits{Retention: time.Minute, MaxBytes: 2000}
	s, err := Open(testDir(t), testOwner, 5, limits, idempotency.NewStoredState())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for err == nil {
		err = s.Append(testEntries(3), nil)
	}
	if !errors.Is(err, ErrFull) || s.Size() > limits.MaxBytes {
		t.Errorf("%v with %d bytes", err, s.Size())
	}
}

// A randomly damaged data directory is either rejected or read with exactly its synced records. A partially written record at the end is
// ignored.
func TestDamagedDirectories(t *testing.T) {
	dir := testDir(t)
	s, _ := openStore(t, dir)
	now := time.Now()
	s.Now = func() time.Time { return now }
	entries := testEntries(60)
	for i, entry := range entries {
		if i%20 == 19 {
			now = now.Add(20 * time.Second) // three segments
		}
		if err := s.Append([][]byte{entry}, nil); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	undamaged, err := Inspect(dir)
	if err != nil {
		t.Fatal(err)
	}
	segments, err := segmentNames(dir)
	if err != nil || len(segments) < 3 {
		t.Fatalf("%v, %v", segments, err)
	}
	rng := rand.New(rand.NewPCG(3, 5))
	rejected, truncated, unchanged := 0, 0, 0
	for range 1000 {
		damaged := t.TempDir()
		if err := os.CopyFS(damaged, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
		name, atEnd := damage(t, damaged, segments, rng, entries[0])
		summary, err := Inspect(damaged)
		switch {
		case err != nil && atEnd:
			t.Fatalf("a truncated record at the end: %v", err)
		case err != nil:
			rejected++
			continue
		case summary.TruncatedBytes > 0:
			truncated++
		default:
			unchanged++
		}
		if !reflect.DeepEqual(summary.State.Records, undamaged.State.Records) {
			t.Fatalf("%s: %d records of %d", name, len(summary.State.Records), len(undamaged.State.Records))
		}
	}
	t.Logf("%d rejected, %d read without a truncated record, %d read unchanged", rejected, truncated, unchanged)
	if rejected < 500 || truncated < 100 {
		t.Error("too few directories were rejected or truncated")
	}
}

// damage changes or removes one file of a data directory, or appends a partial record to its last segment. atEnd reports the latter.
func damage(t *testing.T, dir string, segments []string, rng *rand.Rand, entry []byte) (name string, atEnd bool) {
	t.Helper()
	name = append([]string{markFileName}, segments...)[rng.IntN(1+len(segments))]
	contents := readFile(t, filepath.Join(dir, name))
	switch rng.IntN(5) {
	case 0:
		contents[rng.IntN(len(contents))] ^= 1 << rng.IntN(8)
	case 1:
		contents = contents[:rng.IntN(len(contents))]
	case 2:
		at := rng.IntN(len(contents))
		clear(contents[at:min(at+512, len(contents))])
	case 3:
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
		return name, false
	default:
		name, atEnd = segments[len(segments)-1], true
		record := recordlog.Append(nil, entryRecord, entry)
		contents = append(readFile(t, filepath.Join(dir, name)), record[:rng.IntN(len(record))]...)
	}
	if err := os.WriteFile(filepath.Join(dir, name), contents, filePermissions); err != nil {
		t.Fatal(err)
	}
	return name, atEnd
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	contents, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

// A backup has the records of the data directory. A restored directory has a new incarnation and must catch up, unless all members have
// lost theirs.
func TestBackupAndRestore(t *testing.T) {
	tmp := t.TempDir()
	dir, backup := filepath.Join(tmp, "idempotency"), filepath.Join(tmp, "backup")
	s, _ := openStore(t, dir)
	if err := s.Append(testEntries(10), nil); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if summary, err := Backup(dir, backup); err != nil || len(summary.State.Records) != 10 {
		t.Fatalf("%+v, %v", summary, err)
	}
	for i, allLost := range []bool{false, true} {
		summary, err := Restore(backup, filepath.Join(tmp, fmt.Sprint("restored", i)), 70, allLost)
		if err != nil || len(summary.State.Records) != 10 || summary.Incarnation != 70 || (summary.State.CaughtUpStorage == 70) != allLost {
			t.Errorf("%+v, %v", summary, err)
		}
	}
}
