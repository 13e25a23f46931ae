package snapshotfile

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// slowDiskCase is a final write that starts saveElapsed after a Save, on a disk whose syncs take syncDuration.
type slowDiskCase struct{ syncDuration, saveElapsed time.Duration }

const finalTimeout = 600 * time.Millisecond

// TestSaveFinalOnSlowDisks: on a disk of any speed and during any Save, the final snapshot can be read within the timeout, before
// the process ends, and no older one replaces it. A power loss at that moment leaves an older file intact. This guards against a
// final write that waits for the Save in progress and for two syncs of its own; such a write was abandoned after 300 ms.
func TestSaveFinalOnSlowDisks(t *testing.T) {
	for _, syncDuration := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		for _, saveElapsed := range []time.Duration{0, syncDuration / 2, syncDuration * 3 / 2, syncDuration * 3} {
			c := slowDiskCase{syncDuration, saveElapsed}
			t.Run(fmt.Sprintf("syncs of %v, %v into a Save", syncDuration, saveElapsed), func(t *testing.T) {
				synctest.Test(t, c.run)
			})
		}
	}
}

func (c slowDiskCase) run(t *testing.T) {
	disk := &slowFileSystem{dirFileSystem: dirFileSystem(t.TempDir()), syncDuration: c.syncDuration, durable: map[string]bool{}}
	dir := string(disk.dirFileSystem)
	store, err := OpenWith(dir, disk)
	if err != nil {
		t.Fatal(err)
	}
	for i := 1.0; i <= 2; i++ {
		if err := store.Save(encodedState(i)); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		if err := store.Save(encodedState(3)); err != nil && !errors.Is(err, ErrFinalWritten) {
			t.Errorf("the Save in progress: %v", err)
		}
	}()
	time.Sleep(c.saveElapsed)
	synctest.Wait()
	start := time.Now()
	reached, err := store.SaveFinal(encodedState(4), finalTimeout)
	elapsed, expectSynced := time.Since(start), 2*c.syncDuration < finalTimeout
	if err != nil || elapsed > finalTimeout || (reached == Synced) != expectSynced || reached == NotWritten {
		t.Errorf("reached %v after %v, %v", reached, elapsed, err)
	}
	s, err := Load(disk.afterPowerLoss(t))
	if s == nil || s.TakenAt < 2 || reached == Synced && (err != nil || s.TakenAt != 4) {
		t.Errorf("after a power loss %+v, %v", s, err)
	}
	time.Sleep(time.Minute)
	if s, err := Load(dir); err != nil || s.TakenAt != 4 {
		t.Errorf("the current snapshot is %+v, %v", s, err)
	}
	store.Close()
	// The next process stops before its first Save. The previous file must still be a synced one.
	nextDisk := &slowFileSystem{dirFileSystem: disk.dirFileSystem, syncDuration: 2 * time.Second, durable: map[string]bool{previousName: true}}
	if store, err = OpenWith(dir, nextDisk); err != nil {
		t.Fatal(err)
	}
	if _, err := store.SaveFinal(encodedState(5), 0); err != nil {
		t.Error(err)
	}
	synctest.Wait()
	if s, _ := Load(nextDisk.afterPowerLoss(t)); s == nil {
		t.Error("no snapshot is readable after two final writes without a sync and a power loss")
	}
	store.Close()
	time.Sleep(time.Minute)
}

// TestSaveFinalOnHangingDisk: on a disk that hangs, SaveFinal returns after its timeout.
func TestSaveFinalOnHangingDisk(t *testing.T) {
	disk := stuckFileSystem{dirFileSystem(t.TempDir()), make(chan struct{})}
	store, err := OpenWith(string(disk.dirFileSystem), disk)
	if err != nil {
		t.Fatal(err)
	}
	saved := make(chan error, 1)
	go func() { saved <- store.Save(encodedState(1)) }()
	if reached, err := store.SaveFinal(encodedState(2), time.Millisecond); reached != NotWritten || err != nil {
		t.Errorf("reached %v, %v", reached, err)
	}
	close(disk.release)
	if err := <-saved; !errors.Is(err, errKilled) {
		t.Errorf("the Save in progress: %v", err)
	}
	store.Close()
}
