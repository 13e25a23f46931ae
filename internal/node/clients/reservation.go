package clients

import "mintspring/internal/node/memlimit"

// reservation is memory reserved for a large command while it is read. It ends when release or transfer is called. Only the
// reader goroutine uses it. A nil reservation holds no memory.
type reservation struct {
	budget *memlimit.Budget
	size   int64 // bytes; 0: released or transferred
}

// reserve reserves size bytes of a budget. It returns nil if they are not available.
func reserve(budget *memlimit.Budget, size int64) *reservation {
	if !budget.TryAcquire(size) {
		return nil
	}
	return &reservation{budget: budget, size: size}
}

// bytes returns how many bytes are reserved.
func (r *reservation) bytes() int64 {
	if r == nil {
		return 0
	}
	return r.size
}

// transfer leaves the memory to a new owner, which has to release it.
func (r *reservation) transfer() {
	if r != nil {
		r.size = 0
	}
}

// release gives the memory back, unless it has been released or transferred.
func (r *reservation) release() {
	if r != nil {
		r.budget.Release(r.size)
		r.size = 0
	}
}
