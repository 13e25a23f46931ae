// Package memlimit limits the memory of large values that are buffered as a whole, summed over all connections.
package memlimit

import "sync/atomic"

// Budget counts bytes that are acquired and released, up to a limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes; 0: no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// TryAcquire acquires n bytes. If fewer are available, it acquires none and returns false.
func (b *Budget) TryAcquire(n int64) bool {
	for {
		used := b.used.Load()
		if b.limit > 0 && used+n > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release returns n acquired bytes to the budget.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of acquired bytes.
func (b *Budget) Used() int64 { return b.used.Load() }
