package simulator

import (
	"slices"
	"time"
)

// deferIfStalled postpones an action if the process is frozen or busy, and reports whether it did.
func (p *process) deferIfStalled(a action) bool {
	if p.node.frozen && p.node.process == p && !p.exited {
		p.deferred = append(p.deferred, a)
		return true
	}
	return p.cpu.deferIfBusy(a)
}

// whenRunning returns an action that is postponed while the process is frozen or busy.
func (p *process) whenRunning(run func()) action {
	var a actionFunc
	a = func() {
		if !p.deferIfStalled(a) {
			run()
		}
	}
	return a
}

// resume schedules the actions and handles the datagrams that arrived while the process was frozen.
func (p *process) resume() {
	if p.member != nil {
		p.member.handleInbox()
	}
	deferred := p.deferred
	p.deferred = nil
	for _, a := range deferred {
		p.sim.scheduleAfter(0, a)
	}
}

// cpuQueue models the processor time of a process. It runs one action at a time, and each request costs requestCost; later actions wait in
// order of arrival, so that a node overloaded by its requests responds late. With a requestCost of 0 the process is never busy.
type cpuQueue struct {
	sim          *Simulation
	requestCost  time.Duration
	busyUntil    simTime
	queue        []action
	runningQueue bool // true while an action of the queue runs
}

// deferIfBusy queues an action if the processor is busy, and reports whether it did.
func (c *cpuQueue) deferIfBusy(a action) bool {
	if c.requestCost == 0 || c.runningQueue || len(c.queue) == 0 && c.sim.now >= c.busyUntil {
		return false
	}
	c.queue = append(c.queue, a)
	if len(c.queue) == 1 {
		c.scheduleQueue()
	}
	return true
}

// chargeRequest makes the processor busy for requestCost with a request that has arrived, queues the arrival to be repeated afterwards, and
// returns true. It returns false if the request was charged before or requestCost is 0: then the caller processes the request now.
func (c *cpuQueue) chargeRequest(a *clientAttempt) bool {
	if c.requestCost == 0 || a.started {
		return false
	}
	a.started = true
	c.busyUntil = c.sim.now + simTime(c.requestCost)
	c.queue = slices.Insert(c.queue, 0, action((*requestArrival)(a)))
	if len(c.queue) == 1 && !c.runningQueue {
		c.scheduleQueue()
	}
	return true
}

// scheduleQueue schedules runQueue for when the processor is free.
func (c *cpuQueue) scheduleQueue() { c.sim.schedule(c.busyUntil, actionFunc(c.runQueue)) }

// runQueue runs the queued actions until one of them makes the processor busy again.
func (c *cpuQueue) runQueue() {
	for len(c.queue) > 0 && c.sim.now >= c.busyUntil {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.runningQueue = true
		next.fire()
		c.runningQueue = false
	}
	if len(c.queue) > 0 {
		c.scheduleQueue()
	}
}
