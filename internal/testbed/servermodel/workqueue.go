package servermodel

import (
	"container/heap"
	"math"
	"slices"
)

// workQueue holds the executions that run on a server's cores and those that wait for a core.
type workQueue struct {
	config    ServerConfig
	startedAt float64 // -Inf: long ago
	slowdown  float64 // multiple of the usual time that work takes
	paused    bool
	pausedAt  float64

	running completionHeap
	waiting []*Execution

	pendingHandshakeWork   float64 // work of handshakes, done before the work of the next execution that starts
	uncountedHandshakeWork float64 // work of handshakes that has not been counted as offered yet
	offered                slidingWindow

	busyTime      float64 // core-ms until busyCountedAt
	busyCountedAt float64
}

func newWorkQueue(config ServerConfig, startedAt float64) workQueue {
	return workQueue{config: config, startedAt: startedAt, slowdown: 1, offered: newSlidingWindow(max(config.OverloadWindow, 1))}
}

// warmth returns the available share of the full capacity, which rises linearly from StartCapacity to 1 within WarmWithin.
func (q *workQueue) warmth(now float64) float64 {
	if q.config.WarmWithin <= 0 || now-q.startedAt >= q.config.WarmWithin {
		return 1
	}
	return q.config.StartCapacity + (1-q.config.StartCapacity)*max(0, now-q.startedAt)/q.config.WarmWithin
}

// capacity returns the work that can be done per ms.
func (q *workQueue) capacity(now float64) float64 {
	return float64(q.config.Cores) * q.config.Speed * q.warmth(now)
}

// enqueue starts an execution or appends it to the queue. It returns false if the queue is full.
func (q *workQueue) enqueue(now float64, e *Execution) bool {
	if len(q.running) < q.config.Cores && !q.paused {
		q.start(now, e)
		return true
	}
	if len(q.waiting) >= q.config.QueueLimit {
		return false
	}
	q.waiting = append(q.waiting, e)
	return true
}

// start starts an execution. A core must be free.
func (q *workQueue) start(now float64, e *Execution) {
	q.accountBusyTime(now)
	e.StartedAt = now
	e.endsAt = now + (e.work+q.pendingHandshakeWork)*q.slowdown/(q.config.Speed*q.warmth(now))
	q.pendingHandshakeWork = 0
	heap.Push(&q.running, e)
}

// startWaiting starts waiting executions while cores are free. It passes those whose deadline has passed to expire, in queue order.
func (q *workQueue) startWaiting(now float64, expire func(*Execution)) {
	for len(q.waiting) > 0 && len(q.running) < q.config.Cores && !q.paused {
		e := q.waiting[0]
		q.waiting = q.waiting[1:]
		if e.Deadline < now {
			expire(e)
			continue
		}
		q.start(now, e)
	}
}

// nextCompletion returns when the next running execution ends, +Inf for never.
func (q *workQueue) nextCompletion() float64 {
	if len(q.running) == 0 || q.paused {
		return math.Inf(1)
	}
	return q.running[0].endsAt
}

// completeNext removes the execution that ends next and starts waiting ones. It passes those whose deadline has passed to expire.
func (q *workQueue) completeNext(expire func(*Execution)) *Execution {
	at := q.running[0].endsAt
	q.accountBusyTime(at)
	e := heap.Pop(&q.running).(*Execution)
	q.startWaiting(at, expire)
	return e
}

// all returns the running executions, followed by the waiting ones.
func (q *workQueue) all() []*Execution { return append(slices.Clip(q.running), q.waiting...) }

// clear removes all executions.
func (q *workQueue) clear() { q.running, q.waiting = nil, nil }

// setPaused pauses or resumes the cores. Resuming delays the end of running executions by the length of the pause.
func (q *workQueue) setPaused(now float64, paused bool) {
	if q.paused == paused {
		return
	}
	q.accountBusyTime(now)
	if q.paused = paused; paused {
		q.pausedAt = now
		return
	}
	for _, e := range q.running {
		e.endsAt += now - q.pausedAt
	}
}

// addHandshake charges the handshake of a new connection.
func (q *workQueue) addHandshake() {
	q.pendingHandshakeWork += q.config.Handshake
	q.uncountedHandshakeWork += q.config.Handshake
}

// countOffered adds the offered work of an execution and of the handshakes since the previous call of countOffered. It returns the work
// offered within the overload window and the part of this work that nodes could have avoided sending.
//
// Each handshake counts once. Clients keep reconnecting to a paused server; counting all of its pending handshakes with every execution
// would make it collapse.
func (q *workQueue) countOffered(now, work float64, isAvoidable bool) (offered, avoidableWork float64) {
	work += q.uncountedHandshakeWork
	q.uncountedHandshakeWork = 0
	return q.offered.add(now, work, isAvoidable)
}

// accountBusyTime adds the time that cores were busy since the last call.
func (q *workQueue) accountBusyTime(now float64) {
	if !q.paused {
		q.busyTime += float64(len(q.running)) * max(0, now-q.busyCountedAt)
	}
	q.busyCountedAt = now
}

// backlog estimates how long a new execution would wait for a core, in ms.
func (q *workQueue) backlog(now float64) float64 {
	if len(q.running) < q.config.Cores && !q.paused {
		return 0
	}
	waitingWork := q.pendingHandshakeWork
	for _, e := range q.waiting {
		waitingWork += e.work
	}
	remaining := 0.0
	for _, e := range q.running {
		remaining += max(0, e.endsAt-now)
	}
	return (remaining + waitingWork*q.slowdown/(q.config.Speed*q.warmth(now))) / float64(q.config.Cores)
}

// completionHeap is a heap of executions, ordered by end time.
type completionHeap []*Execution

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(*Execution)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
