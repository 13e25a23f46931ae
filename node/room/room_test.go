package room

import (
	"sync"
	"testing"
)

// However takes and returns cross, no more is held than there is, and all comes back.
func TestRoom(t *testing.T) {
	r := New(10)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 1000 {
				if n := int64((i+k)%4 + 1); r.Take(n) {
					r.Give(n)
				}
			}
		})
	}
	wg.Wait()
	if r.Held() != 0 || r.Take(11) || !r.Take(10) || r.Take(1) || !New(0).Take(1<<40) {
		t.Errorf("%d are held", r.Held())
	}
}
