package fleet

import "container/heap"

// Alarm names a query to ask about at a time.
type Alarm struct {
	At  float64
	Ref Ref
}

// Alarms is a heap of alarms by time. Add and Drop go through heap.Fix, which boxes nothing.
type Alarms []Alarm

func (a Alarms) Len() int           { return len(a) }
func (a Alarms) Less(i, j int) bool { return a[i].At < a[j].At }
func (a Alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push and Pop complete heap.Interface; Add and Drop are used in their place.
func (a *Alarms) Push(x any) { *a = append(*a, x.(Alarm)) }
func (a *Alarms) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// Add puts an alarm in.
func (a *Alarms) Add(x Alarm) {
	*a = append(*a, x)
	heap.Fix(a, len(*a)-1)
}

// Drop takes the earliest alarm out.
func (a *Alarms) Drop() {
	last := len(*a) - 1
	a.Swap(0, last)
	*a = (*a)[:last]
	if last > 0 {
		heap.Fix(a, 0)
	}
}
