package simulator

import (
	"fmt"
	"time"
)

// epochMs is the time of the virtual clock at the start of the simulation, in ms. It is not 0, as a start time of 0 marks a server that
// started long ago.
const epochMs = 1e9

// heapArity is the number of children of each element of the event heap.
const heapArity = 4

// simTime is a time of the simulation, in ns since its start.
type simTime int64

// ms returns the time as nodes and servers read it.
func (t simTime) ms() float64 { return epochMs + float64(t)/float64(time.Millisecond) }

// simTimeOf converts a time as nodes and servers read it. It rounds up, so that no event fires before it is due.
func simTimeOf(ms float64) simTime { return simTime(roundUpNs(ms - epochMs)) }

// durationOf converts ms to a duration, rounded up.
func durationOf(ms float64) time.Duration { return time.Duration(roundUpNs(ms)) }

// roundUpNs converts ms to ns, rounded up.
func roundUpNs(ms float64) int64 {
	exact := ms * float64(time.Millisecond)
	ns := int64(exact)
	if float64(ns) < exact {
		ns++
	}
	return ns
}

// action is the code that an event runs.
type action interface{ fire() }

// actionFunc adapts a function to an action.
type actionFunc func()

func (f actionFunc) fire() { f() }

// event is an action that is scheduled for a time.
type event struct {
	due      simTime
	sequence uint64 // increases with each scheduled event
	action   action
}

// before orders events by due time, and events with the same due time by the order in which they were scheduled. The order depends on
// nothing else, so that a seed always gives the same run.
func (e *event) before(other *event) bool {
	return e.due < other.due || e.due == other.due && e.sequence < other.sequence
}

// eventQueue is the virtual clock with the scheduled events.
type eventQueue struct {
	now          simTime
	lastSequence uint64
	firedCount   uint64
	heap         []event // d-ary heap: each element is before its children
}

// nowMs returns the time as nodes and servers read it.
func (q *eventQueue) nowMs() float64 { return q.now.ms() }

// schedule schedules an action for a time, or for now if that time has passed.
func (q *eventQueue) schedule(at simTime, a action) {
	q.lastSequence++
	e := event{max(at, q.now), q.lastSequence, a}
	q.heap = append(q.heap, e)
	index := len(q.heap) - 1
	for index > 0 {
		parent := (index - 1) / heapArity
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[index] = q.heap[parent]
		index = parent
	}
	q.heap[index] = e
}

// scheduleAfter schedules an action after a delay.
func (q *eventQueue) scheduleAfter(delay time.Duration, a action) {
	q.schedule(q.now+simTime(delay), a)
}

// fireNext fires the next event. It returns false if no event is scheduled.
func (q *eventQueue) fireNext() bool {
	if len(q.heap) == 0 {
		return false
	}
	e := q.pop()
	if e.due < q.now {
		panic(fmt.Sprintf("simulator: time goes back from %d to %d", q.now, e.due))
	}
	q.now = e.due
	q.firedCount++
	e.action.fire()
	return true
}

// hasEventDueBy reports whether an event is due at or before a time.
func (q *eventQueue) hasEventDueBy(at simTime) bool { return len(q.heap) > 0 && q.heap[0].due <= at }

// pop removes and returns the first event.
func (q *eventQueue) pop() event {
	first, last := q.heap[0], len(q.heap)-1
	moved := q.heap[last]
	q.heap[last] = event{}
	if q.heap = q.heap[:last]; last > 0 {
		q.siftDown(&moved)
	}
	return first
}

// siftDown inserts an event at the free root of the heap and moves it down to its position.
func (q *eventQueue) siftDown(moved *event) {
	index := 0
	for {
		earliest := -1
		for child := heapArity*index + 1; child < min(heapArity*(index+1)+1, len(q.heap)); child++ {
			if earliest < 0 || q.heap[child].before(&q.heap[earliest]) {
				earliest = child
			}
		}
		if earliest < 0 || !q.heap[earliest].before(moved) {
			break
		}
		q.heap[index] = q.heap[earliest]
		index = earliest
	}
	q.heap[index] = *moved
}
