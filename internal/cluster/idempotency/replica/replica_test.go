package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/storage"
	"mintspring/internal/testbed/logrecorder"
)

// A member is replaced after the loss of its machine, and the clock of the new machine is behind: the new storage takes a later incarnation
// than the old one and catches up. A process that is then started with the old storage must not store records any more.
func TestClockBehindAtNewStorage(t *testing.T) {
	c := newTestCluster(t)
	c.startAll(nil)
	if claim := c.claimAndSettle(0, "a"); claim.Decision != idempotency.DecisionGranted {
		t.Fatal(claim)
	}
	c.await(2, "its copy of the record", func(s Status) bool { return s.Records == 1 }) // it has voted, so the others know its storage
	c.replicas[2].Stop(time.Second)
	oldDataDir := c.dataDir(2) + "-old"
	if err := os.Rename(c.dataDir(2), oldDataDir); err != nil {
		t.Fatal(err)
	}
	c.start(2, 5, nil) // by its clock long before the old storage was created
	if s := c.awaitState(2, "holds"); s.StorageIncarnation <= incarnation(1002) || s.Records != 1 {
		t.Errorf("%+v", s)
	}
	c.replicas[2].Stop(time.Second)
	c.start(2, 3000, func(config *Config) { config.DataDir = oldDataDir })
	c.claimAndSettle(2, "b") // the replies of the others carry the later incarnation
	c.awaitState(2, "another process has its number")
	if claim := c.claimAndSettle(2, "a"); claim.Decision != idempotency.DecisionReplay || string(claim.Receipt) != "receipt a" {
		t.Errorf("claim by the member that only proposes: %v", claim)
	}
}

// Storing a later incarnation is retried until it succeeds, and only the first failure is logged.
func TestLaterIncarnationIsRetried(t *testing.T) {
	c := newTestCluster(t)
	c.startAll(nil)
	c.claimAndSettle(0, "a")
	c.await(2, "its copy of the record", func(s Status) bool { return s.Records == 1 })
	c.replicas[2].Stop(time.Second)
	if err := os.Rename(c.dataDir(2), c.dataDir(2)+"-old"); err != nil {
		t.Fatal(err)
	}
	blockingDir := filepath.Join(c.dataDir(2), "member.new") // a non-empty directory at the path of the new identity file
	if err := os.MkdirAll(filepath.Join(blockingDir, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	c.start(2, 5, nil)
	var log logrecorder.Recorder
	c.replicas[2].log.Logger.SetOutput(&log)
	c.awaitState(2, "its disk has failed: asks only")
	time.Sleep(20 * 10 * time.Millisecond) // 80 ticks
	if lines := strings.Count(log.String(), "setting a later storage incarnation failed"); lines > 1 {
		t.Errorf("%d log lines for repeated failures, want at most 1", lines)
	}
	if err := os.RemoveAll(blockingDir); err != nil {
		t.Fatal(err)
	}
	if s := c.awaitState(2, "holds"); s.StorageIncarnation <= incarnation(1002) {
		t.Errorf("%+v", s)
	}
}

// Claims do not wait for one slow disk among three, because the other two members are a quorum. A member whose disk fails promises nothing
// more and goes on as a proposer.
func TestSlowAndFailingDisks(t *testing.T) {
	c := newTestCluster(t)
	c.start(0, 2000, func(config *Config) { config.SyncDelay = 300 * time.Millisecond })
	c.start(1, 2001, nil)
	c.start(2, 2002, nil)
	c.claimAndSettle(0, "first") // also waits until the ballot ceilings are synced
	start := time.Now()
	for i := range 20 {
		if claim := c.claimAndSettle(i%testMembers, fmt.Sprint("m", i)); claim.Decision != idempotency.DecisionGranted {
			t.Fatal(claim)
		}
	}
	if took := time.Since(start); took > 1500*time.Millisecond {
		t.Errorf("20 claims took %v although only one disk is slow, with 300 ms a sync", took)
	}
	c.replicas[1].Stop(time.Second)
	c.start(1, 2003, nil)
	errDisk := errors.New("input/output error")
	failDisk := func() bool {
		c.replicas[1].disk.store.Sync = func(*os.File) error { return errDisk }
		return true
	}
	if _, err := query(c.replicas[1], failDisk); err != nil {
		t.Fatal(err)
	}
	c.claimAndSettle(2, "n")
	c.awaitState(1, "its disk has failed: asks only")
	if claim := c.claimAndSettle(1, "m3"); claim.Decision != idempotency.DecisionReplay {
		t.Errorf("claim by the member that only proposes: %v", claim)
	}
	if claim := c.claimAndSettle(2, "o"); claim.Decision != idempotency.DecisionGranted {
		t.Errorf("with two of three: %v", claim)
	}
}

// When the disks of two of three members fail temporarily, claims fail for lack of a quorum. Both members recover without a restart once
// the disks work again, and keep all records that they had acknowledged.
func TestTransientDiskFailures(t *testing.T) {
	c := newTestCluster(t)
	c.startAll(nil)
	if claim := c.claimAndSettle(0, "before"); claim.Decision != idempotency.DecisionGranted {
		t.Fatal(claim)
	}
	setSync := func(member int, sync func(*os.File) error) {
		r := c.replicas[member]
		set := func() bool {
			if r.disk.busy {
				return false // the disk's goroutine is using the store
			}
			r.disk.store.Sync = sync
			return true
		}
		for isSet := false; !isSet; time.Sleep(time.Millisecond) {
			var err error
			if isSet, err = query(r, set); err != nil {
				t.Fatal(err)
			}
		}
	}
	var failing atomic.Bool
	failing.Store(true)
	syncUnlessFailing := func(f *os.File) error {
		if failing.Load() {
			return syscall.ENOSPC
		}
		return f.Sync()
	}
	setSync(1, syncUnlessFailing)
	setSync(2, syncUnlessFailing)
	c.claimAndSettle(0, "meanwhile")
	c.awaitState(1, "its disk has failed: asks only")
	c.awaitState(2, "its disk has failed: asks only")
	failing.Store(false)
	c.awaitState(1, "holds")
	c.awaitState(2, "holds")
	if claim := c.claimAndSettle(2, "after"); claim.Decision != idempotency.DecisionGranted {
		t.Errorf("after the disks work again: %v", claim)
	}
	if claim := c.claimAndSettle(1, "before"); claim.Decision != idempotency.DecisionReplay {
		t.Errorf("a key that was settled before the failure: %v", claim)
	}
	// The records are on the disks: restarted processes read them.
	for _, member := range []int{1, 2} {
		c.replicas[member].Stop(time.Second)
		c.start(member, 4000+member, nil)
	}
	for _, key := range []string{"before", "after"} {
		if claim := c.claimAndSettle(1, key); claim.Decision != idempotency.DecisionReplay {
			t.Errorf("%s, after a restart: %v", key, claim)
		}
	}
}

// A data directory that has lost synced data is rejected: its member stores nothing, shows this in its state, and only proposes.
func TestCorruptDataDirectory(t *testing.T) {
	c := newTestCluster(t)
	c.startAll(nil)
	c.claimAndSettle(0, "a")
	c.replicas[1].Stop(time.Second)
	segments := c.segments(1)
	if len(segments) != 1 {
		t.Fatal(segments)
	}
	if err := os.Truncate(segments[0], 40); err != nil {
		t.Fatal(err)
	}
	c.start(1, 2009, nil)
	c.awaitState(1, "asks only")
	if claim := c.claimAndSettle(1, "a"); claim.Decision != idempotency.DecisionReplay {
		t.Errorf("%v", claim)
	}
}

// A segment that becomes corrupt while its member runs is detected, and all records are rewritten from memory, so that the member can be
// restarted.
func TestSegmentBecomesCorrupt(t *testing.T) {
	c := newTestCluster(t)
	// Segments are closed after 400 ms and verified every 200 ms.
	c.startAll(func(config *Config) { config.Core.RetentionMs, config.Core.AntiEntropyIntervalMs = 1600, 200 })
	segment := ""
	for i := 0; segment == ""; i++ {
		c.claimAndSettle(0, fmt.Sprint("m", i))
		time.Sleep(10 * time.Millisecond)
		if segments := c.segments(1); len(segments) > 1 {
			segment = segments[0]
		}
		if i > 500 {
			t.Fatal("no segment was closed")
		}
	}
	flipBit(t, segment)
	for deadline := time.Now().Add(awaitTimeout); ; time.Sleep(10 * time.Millisecond) {
		if _, err := os.Stat(segment); errors.Is(err, os.ErrNotExist) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the corrupt segment was not replaced")
		}
	}
	if claim := c.claimAndSettle(2, "last"); claim.Decision != idempotency.DecisionGranted {
		t.Fatal(claim)
	}
	c.replicas[1].Stop(time.Second)
	if found, err := storage.Inspect(c.dataDir(1)); err != nil || len(found.State.Records) == 0 {
		t.Fatalf("%+v, %v", found, err)
	}
	c.start(1, 2009, nil)
	c.awaitState(1, "holds")
}

func flipBit(t *testing.T, name string) {
	t.Helper()
	contents, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	contents[len(contents)/2] ^= 4
	if err := os.WriteFile(name, contents, 0o600); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkOperations measures claims with their settlements, with three members on sockets and the disk of this machine.
func BenchmarkOperations(b *testing.B) {
	for _, workers := range []int{1, 64} {
		b.Run(fmt.Sprint(workers, " at a time"), func(b *testing.B) {
			c := newTestCluster(b)
			c.startAll(func(config *Config) {
				config.Core.RetentionMs, config.Core.RetryIntervalMs, config.Core.AntiEntropyIntervalMs, config.Core.MaxReceiptBytes = 600e3, 20, 30e3, 1024
			})
			b.ResetTimer()
			runOperations(b, c, workers)
			b.StopTimer()
			if s, err := c.replicas[0].Status(); err == nil && s.Syncs > 0 {
				b.ReportMetric(float64(s.SyncedEntries)/float64(s.Syncs), "entries/sync")
			}
		})
	}
}

// runOperations claims and settles b.N keys with a number of concurrent workers.
func runOperations(b *testing.B, c *testCluster, workers int) {
	b.Helper()
	operations := make(chan int)
	var workersDone sync.WaitGroup
	for range workers {
		workersDone.Go(func() {
			for i := range operations {
				if claim := c.claimAndSettle(i%testMembers, fmt.Sprint(i)); claim.Decision != idempotency.DecisionGranted {
					b.Error(claim)
				}
			}
		})
	}
	for i := range b.N {
		operations <- i
	}
	close(operations)
	workersDone.Wait()
}
