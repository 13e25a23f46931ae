package memlimit

import (
	"sync"
	"testing"
)

// TestBudget: after concurrent acquisitions and releases no bytes are in use. Acquisitions beyond the limit are refused, and a limit of 0
// refuses none.
func TestBudget(t *testing.T) {
	b := New(10)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 1000 {
				if n := int64((i+k)%4 + 1); b.TryAcquire(n) {
					b.Release(n)
				}
			}
		})
	}
	wg.Wait()
	if b.Used() != 0 || b.TryAcquire(11) || !b.TryAcquire(10) || b.TryAcquire(1) || !New(0).TryAcquire(1<<40) {
		t.Errorf("%d bytes are in use", b.Used())
	}
}

// TestRefusedAcquisitionTakesNothing: a refused acquisition does not count as used even briefly; otherwise it would make a concurrent
// acquisition fail.
func TestRefusedAcquisitionTakesNothing(t *testing.T) {
	b := New(10)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					b.TryAcquire(11)
				}
			}
		})
	}
	for k := range 100_000 {
		if !b.TryAcquire(10) {
			t.Errorf("acquisition %d was refused with %d in use", k, b.Used())
			break
		}
		b.Release(10)
	}
	close(stop)
	wg.Wait()
}
