package connpool

import (
	"math"
	"slices"
)

// Pool assigns the connections to one server to attempts. It owns neither sockets nor timers and is not safe for
// concurrent use: its Owner, on real or on simulated connections, calls it under a lock.
type Pool[C Connection, A Attempt] struct {
	Policy  *Policy
	Dialing int // dials in progress

	counters *Counters
	owner    Owner[C, A]

	addr        string
	open        bool // attempts may go to the server
	coolingDown []C  // unused, and not to be reused before ReadyAt; in the order of that
	idle        []C  // unused and ready; the one used last stands last
	inUse       []C  // with an attempt in flight; unordered
	waiters     []A  // in the order in which they came

	lastResponseAt float64
	tickAt         float64 // when the scheduled Tick is due; 0: none is scheduled
}

// New returns a pool without a target, in which no attempt is admitted.
func New[C Connection, A Attempt](policy *Policy, counters *Counters, owner Owner[C, A]) *Pool[C, A] {
	return &Pool[C, A]{Policy: policy, counters: counters, owner: owner}
}

// SetTarget sets the server's address and whether attempts may go to it. Unused connections to an earlier address are
// closed. Where attempts may not go any more, it returns those that waited.
func (p *Pool[C, A]) SetTarget(now float64, addr string, open bool) (removed []A) {
	moved := addr != p.addr
	p.addr, p.open = addr, open
	if !open {
		removed, p.waiters = p.waiters, nil
	}
	if moved || !open {
		p.CloseUnused()
	}
	p.Dispatch(now)
	return removed
}

// Usable reports whether attempts may be sent on a connection: its server is open and has not moved.
func (p *Pool[C, A]) Usable(conn C) bool { return p.open && conn.PoolConn().Addr == p.addr }

// State returns the present counts.
func (p *Pool[C, A]) State() State {
	return State{
		Open: p.openConns(), InUse: len(p.inUse), CoolingDown: len(p.coolingDown),
		Dialing: p.Dialing, Waiting: len(p.waiters),
	}
}

func (p *Pool[C, A]) openConns() int { return p.unusedCount() + len(p.inUse) }

// Acquire closes stale connections and then admits an attempt.
func (p *Pool[C, A]) Acquire(now float64, attempt A) Admission {
	p.reapStale(now)
	return p.Enqueue(now, attempt)
}

// Enqueue admits an attempt: it is assigned a connection, now or later.
func (p *Pool[C, A]) Enqueue(now float64, attempt A) Admission {
	switch {
	case !p.open:
		return Unavailable
	case p.Policy.queueFull(len(p.waiters)):
		p.counters.QueueFull.Add(1)
		return Rejected
	}
	attempt.PoolWaiter().since = now
	p.waiters = append(p.waiters, attempt)
	p.Dispatch(now)
	return Admitted
}

// CancelWait removes an attempt that waits no longer.
func (p *Pool[C, A]) CancelWait(attempt A) {
	if i := slices.Index(p.waiters, attempt); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
}

// Dispatch assigns ready connections to waiting attempts, has further connections dialed, and schedules the next Tick.
func (p *Pool[C, A]) Dispatch(now float64) {
	p.promoteReady(now)
	for len(p.waiters) > 0 && len(p.idle) > 0 {
		k := p.pickIdle(now)
		conn := p.idle[k]
		p.idle = slices.Delete(p.idle, k, k+1)
		if c := conn.PoolConn(); p.Policy.expired(now, c.OpenedAt, c.Jitter) {
			p.counters.Expired.Add(1)
			p.CloseConn(conn)
			continue
		}
		attempt := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.assign(now, conn, attempt)
	}
	p.scheduleTick(now, min(p.dial(now), p.nextWaiterEvent()))
}

func (p *Pool[C, A]) assign(now float64, conn C, attempt A) {
	c, since := conn.PoolConn(), attempt.PoolWaiter().since
	if now > since {
		p.counters.Waited.Add(1)
	}
	if c.Responded {
		p.counters.Reused.Add(1)
		p.Policy.recordWait(now - since)
	}
	c.IdleDuration, c.inUse, c.position = now-c.IdleSince, true, len(p.inUse)
	c.reusedEarly = c.Responded && c.IdleDuration < p.Policy.plausibleLateness()
	p.inUse = append(p.inUse, conn)
	p.Policy.recordInUse(now, len(p.inUse))
	p.owner.Assign(now, conn, attempt)
}

// dial has connections opened as the policy says, and returns when it may open more; +Inf: not before something changes.
func (p *Pool[C, A]) dial(now float64) (retryAt float64) {
	if !p.open || len(p.waiters) == 0 && !p.Policy.prewarms() {
		return math.Inf(1)
	}
	p.evictCoolingDown()
	n, retryAt := p.Policy.dials(now, p.State())
	for range n {
		p.Dialing++
		p.owner.Dial(p.addr)
	}
	return retryAt
}

// nextWaiterEvent returns when the first waiting attempt may be assigned a cooling connection, or gives up.
func (p *Pool[C, A]) nextWaiterEvent() float64 {
	if len(p.waiters) == 0 {
		return math.Inf(1)
	}
	at := p.Policy.waitDeadline(p.waiters[0].PoolWaiter().since)
	if len(p.coolingDown) > 0 {
		at = min(at, p.coolingDown[0].PoolConn().ReadyAt)
	}
	return at
}

func (p *Pool[C, A]) scheduleTick(now, at float64) {
	if math.IsInf(at, 1) {
		return
	}
	if p.tickAt == 0 || at < p.tickAt {
		p.tickAt = at
		p.owner.TickAfter(max(0, at-now))
	}
}

// Tick does what is due at the time given to Owner.TickAfter. It returns the attempts that have waited for too long.
func (p *Pool[C, A]) Tick(now float64) (timedOut []A) {
	p.tickAt = 0
	for len(p.waiters) > 0 && p.Policy.waitDeadline(p.waiters[0].PoolWaiter().since) <= now {
		timedOut = append(timedOut, p.waiters[0])
		p.waiters = p.waiters[1:]
	}
	p.Dispatch(now)
	p.counters.WaitTimeouts.Add(int64(len(timedOut)))
	return timedOut
}

// DialSucceeded takes over a connection that has been opened.
func (p *Pool[C, A]) DialSucceeded(now float64, conn C) {
	p.Dialing--
	p.Policy.prewarmPause = 0
	p.counters.Opened.Add(1)
	conn.PoolConn().OpenedAt = now
	p.Release(now, conn)
}

// DialFailed records that a dial begun at a time has failed; attempted is false where the reason was this machine's, such as a want of
// descriptors. It returns the attempts that fail with it: the one that has waited longest, or all if no connection is left that could
// serve them.
func (p *Pool[C, A]) DialFailed(now, began float64, attempted bool) (failed []A) {
	p.Dialing--
	p.Policy.pausePrewarming(now)
	if attempted {
		p.Policy.recordDialFailure(now, p.openConns(), p.lastResponseAt >= began)
	}
	n := min(1, len(p.waiters))
	if p.openConns()+p.Dialing == 0 {
		n = len(p.waiters)
	}
	failed = slices.Clone(p.waiters[:n])
	p.waiters = p.waiters[n:]
	p.Dispatch(now)
	return failed
}

// Responded records the response to the attempt on a connection and releases the connection. Rejected says that the
// server rejected the attempt as full, last that it accepts nothing more on this connection.
func (p *Pool[C, A]) Responded(now float64, conn C, rejected, last bool) {
	if last || p.overLimit(now, conn, rejected) {
		p.CloseConn(conn)
	}
	p.Detach(conn)
	conn.PoolConn().Responded = true
	p.Release(now, conn)
}

// overLimit records what a response tells of the connections that the server accepts, and reports whether this one is one
// too many.
func (p *Pool[C, A]) overLimit(now float64, conn C, rejected bool) bool {
	if rejected {
		return p.Policy.recordRejection(now, !conn.PoolConn().Responded, p.openConns()-1)
	}
	p.lastResponseAt = now
	p.Policy.recordResponse(now)
	return false
}

// Release makes a connection without an attempt available. After a response it cools down first: a duplicate or stray bytes that
// arrive meanwhile close it, while later they would be read as the response to the next attempt. A connection
// whose server has moved or been closed since is closed.
func (p *Pool[C, A]) Release(now float64, conn C) {
	c := conn.PoolConn()
	switch {
	case c.Closed:
	case !p.Usable(conn):
		p.CloseConn(conn)
	default:
		c.IdleSince, c.ReadyAt = now, now
		if c.Responded {
			p.coolDown(conn)
		} else {
			p.idle = append(p.idle, conn)
		}
	}
	p.Dispatch(now)
}

// Detach removes the attempt from a connection, without releasing the connection.
func (p *Pool[C, A]) Detach(conn C) {
	c := conn.PoolConn()
	if !c.inUse {
		return
	}
	c.inUse = false
	last := len(p.inUse) - 1
	p.inUse[c.position] = p.inUse[last]
	p.inUse[c.position].PoolConn().position = c.position
	p.inUse = slices.Delete(p.inUse, last, last+1)
}

// CloseConn closes a connection unless it is closed already.
func (p *Pool[C, A]) CloseConn(conn C) {
	if c := conn.PoolConn(); !c.Closed {
		c.Closed = true
		p.owner.CloseConn(conn)
	}
}
