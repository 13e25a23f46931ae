// Package room is the memory that large values may hold while they have to be held whole, by all connections together.
package room

import (
	"slices"
	"sync"
	"time"
)

// Room is a number of bytes that are taken and given back. Those who wait for some get it in their order, so that small
// values do not keep a large one out for ever.
type Room struct {
	most int64

	mu      sync.Mutex
	held    int64
	waiting []*wait
}

type wait struct {
	n  int64
	ok chan struct{} // closed once it has what it waits for
}

// New makes room for so many bytes; 0 has no bound.
func New(most int64) *Room { return &Room{most: most} }

// Take takes n bytes, or none where they are not free or others wait.
func (r *Room) Take(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.take(n)
}

func (r *Room) take(n int64) bool {
	if r.most > 0 && (len(r.waiting) > 0 || r.held+n > r.most) {
		return false
	}
	r.held += n
	return true
}

// Wait takes n bytes, waiting for them for so long at the most.
func (r *Room) Wait(n int64, most time.Duration) bool {
	r.mu.Lock()
	if r.take(n) {
		r.mu.Unlock()
		return true
	}
	if n > r.most {
		r.mu.Unlock()
		return false // never
	}
	w := &wait{n, make(chan struct{})}
	r.waiting = append(r.waiting, w)
	r.mu.Unlock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-w.ok:
		return true
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.waiting, w)
	if i < 0 {
		return true // just now
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	r.serve() // it may have stood before one that fits
	return false
}

// Give gives n bytes back.
func (r *Room) Give(n int64) {
	r.mu.Lock()
	r.held -= n
	r.serve()
	r.mu.Unlock()
}

// serve gives to those who wait. Called with the lock held.
func (r *Room) serve() {
	for len(r.waiting) > 0 && r.held+r.waiting[0].n <= r.most {
		w := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.held += w.n
		close(w.ok)
	}
}

// Held is how many bytes are taken.
func (r *Room) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}
