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

// testIncarnation is that of data directories which Open creates.
const testIncarnation = 55

// testEntries returns what a member stores of so many completed operations.
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

// A data directory gives back what was appended, to its owner alone and to one process at a time.
func TestOpenAgain(t *testing.T) {
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
	again, state := openStore(t, dir)
	defer again.Close()
	if len(state.Records) != 50 || state.BallotCeiling != 1024 || state.KnownStorage[0] != 9 || again.Incarnation() != testIncarnation {
		t.Errorf("%d records, ceiling %d, known %v, incarnation %d", len(state.Records), state.BallotCeiling, state.KnownStorage, again.Incarnation())
	}
}

// An initial data directory is created once, and has nothing to catch up with.
func TestCreate(t *testing.T) {
	dir := testDir(t)
	if err := Create(dir, testOwner, 60); err != nil {
		t.Fatal(err)
	}
	if err := Create(dir, testOwner, 61); err == nil {
		t.Error("it is created twice")
	}
	s, state := openStore(t, dir)
	s.Close()
	if state.CaughtUpStorage != 60 || s.Incarnation() != 60 {
		t.Errorf("incarnation %d, caught up %d", s.Incarnation(), state.CaughtUpStorage)
	}
}

// Segments are closed by their age, begin with the header, and are deleted when all in them has expired.
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
	found, err := Inspect(dir)
	if err != nil {
		t.Fatal(err)
	}
	records := len(found.State.Records)
	if found.Segments < 4 || found.Segments > 10 || found.State.BallotCeiling != 4096 || records > 15 || records < 6 {
		t.Errorf("%d segments, ceiling %d, %d records", found.Segments, found.State.BallotCeiling, records)
	}
}

// A disk that has failed once takes nothing more: what it holds is not known.
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

// After a failure a store takes entries again once all that is to be there has been written anew and synced: a sync that succeeds after
// one that failed says nothing of what that one had covered. Whatever the process dies in, the data directory can be opened.
func TestRecoverAfterFailure(t *testing.T) {
	errDisk := errors.New("no space left on device")
	const good = 4 // operations that were acknowledged before the failure
	for failures := range 6 {
		dir := testDir(t)
		s, _ := openStore(t, dir)
		if err := s.Append(testEntries(good), nil); err != nil {
			t.Fatal(err)
		}
		left := failures
		s.Sync = func(f *os.File) error {
			if left > 0 {
				left--
				return errDisk
			}
			return f.Sync()
		}
		err := s.Append(testEntries(good+1), nil)
		if (err != nil) != (failures > 0) {
			t.Fatalf("%d failures: %v", failures, err)
		}
		for err != nil {
			if err = s.Recover(testEntries(good+2), nil); err != nil && !errors.Is(err, errDisk) {
				t.Fatalf("%d failures: %v", failures, err)
			}
		}
		if err := s.Append(testEntries(good+3), nil); err != nil {
			t.Errorf("%d failures: after the recovery: %v", failures, err)
		}
		s.Close()
		s, state := openStore(t, dir)
		if len(state.Records) != good+3 {
			t.Errorf("%d failures: %d records, want %d", failures, len(state.Records), good+3)
		}
		s.Close()
	}
}

// A process that dies between a failure and the recovery from it leaves what was acknowledged.
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

// A data directory never becomes larger than its limit.
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

// Of a data directory damaged in a thousand random ways each reads as it was, without a record that was being written at its end, or is refused: never a
// record that was not written, and never without one that was synced.
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
	complete, err := Inspect(dir)
	if err != nil {
		t.Fatal(err)
	}
	segments, err := segmentNames(dir)
	if err != nil || len(segments) < 3 {
		t.Fatalf("%v, %v", segments, err)
	}
	rng := rand.New(rand.NewPCG(3, 5))
	refused, truncated, unchanged := 0, 0, 0
	for range 1000 {
		damaged := t.TempDir()
		if err := os.CopyFS(damaged, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
		name, atEnd := damage(t, damaged, segments, rng, entries[0])
		found, err := Inspect(damaged)
		switch {
		case err != nil && atEnd:
			t.Fatalf("a truncated record at the end: %v", err)
		case err != nil:
			refused++
			continue
		case found.TruncatedBytes > 0:
			truncated++
		default:
			unchanged++
		}
		if !reflect.DeepEqual(found.State.Records, complete.State.Records) {
			t.Fatalf("%s: %d records of %d", name, len(found.State.Records), len(complete.State.Records))
		}
	}
	t.Logf("%d refused, %d without a truncated record, %d as they were", refused, truncated, unchanged)
	if refused < 500 || truncated < 100 {
		t.Error("too few were damaged")
	}
}

// damage changes one file of a data directory, or appends a part of a record to its last segment.
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

// A backup reads like the data directory. What is restored from it has another incarnation and catches up, unless all members have lost theirs.
func TestBackupAndRestore(t *testing.T) {
	tmp := t.TempDir()
	dir, backup := filepath.Join(tmp, "idempotency"), filepath.Join(tmp, "backup")
	s, _ := openStore(t, dir)
	if err := s.Append(testEntries(10), nil); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if found, err := Backup(dir, backup); err != nil || len(found.State.Records) != 10 {
		t.Fatalf("%+v, %v", found, err)
	}
	for i, allLost := range []bool{false, true} {
		found, err := Restore(backup, filepath.Join(tmp, fmt.Sprint("restored", i)), 70, allLost)
		if err != nil || len(found.State.Records) != 10 || found.Incarnation != 70 || (found.State.CaughtUpStorage == 70) != allLost {
			t.Errorf("%+v, %v", found, err)
		}
	}
}
