package fleet

import "container/heap"

// Timer is the time at which a request is due.
type Timer struct {
	At  float64
	Ref Ref
}

// TimerHeap is a min-heap of timers by time. Add and PopMin are used in place of heap.Push and heap.Pop, which allocate.
type TimerHeap []Timer

func (h TimerHeap) Len() int           { return len(h) }
func (h TimerHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h TimerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *TimerHeap) Push(x any) { *h = append(*h, x.(Timer)) }

// Pop implements heap.Interface.
func (h *TimerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	*h = (*h)[:last]
	return timer
}

// Add adds a timer.
func (h *TimerHeap) Add(timer Timer) {
	*h = append(*h, timer)
	heap.Fix(h, len(*h)-1)
}

// PopMin removes the earliest timer. The heap must not be empty.
func (h *TimerHeap) PopMin() {
	last := len(*h) - 1
	h.Swap(0, last)
	*h = (*h)[:last]
	if last > 0 {
		heap.Fix(h, 0)
	}
}
