package connpool

import (
	"math"
	"slices"
)

// Pool assigns the connections to one server to attempts. It owns neither sockets nor timers, so that its Owner can use real or
// simulated connections. It is not safe for concurrent use: the Owner calls it under a lock.
type Pool[C Connection, A Attempt] struct {
	Policy  *Policy
	Dialing int // dials in progress

	counters *Counters
	owner    Owner[C, A]

	addr        string
	available   bool // attempts may be sent to the server
	coolingDown []C  // unused, and not to be reused before ReadyAt; by ascending ReadyAt
	idle        []C  // unused and ready; the most recently used or opened last
	inUse       []C  // with an attempt in flight; unordered
	waiters     []A  // in order of arrival

	lastResponseAt float64
	nextTickAt     float64 // when the scheduled Tick is due; 0: no Tick is scheduled

	localFailure bool    // the last dial failed because of this machine
	dialAgainAt  float64 // when localFailure is set: no connection is dialed before
}

// localRetryInterval is the time in ms between two dials while dials fail because of this machine, for instance for lack of file
// descriptors. Only one connection is dialed at a time then.
const localRetryInterval = 5

// New returns a pool without a target. It admits no attempts before SetTarget.
func New[C Connection, A Attempt](policy *Policy, counters *Counters, owner Owner[C, A]) *Pool[C, A] {
	return &Pool[C, A]{Policy: policy, counters: counters, owner: owner}
}

// SetTarget sets the server's address and whether attempts may be sent to it. It closes unused connections to an earlier address. If
// the server is no longer available, it closes all unused connections, and removes and returns the waiting attempts.
func (p *Pool[C, A]) SetTarget(now float64, addr string, available bool) (removed []A) {
	moved := addr != p.addr
	p.addr, p.available = addr, available
	if !available {
		removed, p.waiters = p.waiters, nil
	}
	if moved || !available {
		p.CloseUnused()
	}
	p.Dispatch(now)
	return removed
}

// Usable reports whether attempts may be sent on a connection: the server is available and still has the connection's address.
func (p *Pool[C, A]) Usable(conn C) bool { return p.available && conn.PoolConn().Addr == p.addr }

// State returns the current counts.
func (p *Pool[C, A]) State() State {
	return State{
		Open: p.openConns(), InUse: len(p.inUse), CoolingDown: len(p.coolingDown),
		Dialing: p.Dialing, Waiting: len(p.waiters),
	}
}

func (p *Pool[C, A]) openConns() int { return p.unusedCount() + len(p.inUse) }

// Acquire closes connections that have exceeded the idle timeout, and then calls Enqueue.
func (p *Pool[C, A]) Acquire(now float64, attempt A) Admission {
	p.reapStale(now)
	return p.Enqueue(now, attempt)
}

// Enqueue admits an attempt unless the server is unavailable or too many attempts wait. An admitted attempt is assigned a connection at
// once or later.
func (p *Pool[C, A]) Enqueue(now float64, attempt A) Admission {
	switch {
	case !p.available:
		return Unavailable
	case p.Policy.queueFull(len(p.waiters)):
		p.counters.QueueFull.Add(1)
		return Rejected
	}
	attempt.PoolWaiter().waitingSince = now
	p.waiters = append(p.waiters, attempt)
	p.Dispatch(now)
	return Admitted
}

// CancelWait removes an attempt from the waiting attempts.
func (p *Pool[C, A]) CancelWait(attempt A) {
	if i := slices.Index(p.waiters, attempt); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
}

// Dispatch assigns ready connections to waiting attempts, dials more connections if needed, and schedules the next Tick.
func (p *Pool[C, A]) Dispatch(now float64) {
	p.promoteReady(now)
	for i := 0; i < len(p.waiters) && len(p.idle) > 0; {
		conn, found := p.takeIdle(now, p.waiters[i].PoolWaiter())
		if !found {
			i++
			continue
		}
		attempt := p.waiters[i]
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.assign(now, conn, attempt)
	}
	p.scheduleTick(now, min(p.dial(now), p.nextWaiterEvent(now)))
}

// takeIdle removes the idle connection to use for a waiting attempt from the pool. It closes connections that are too old.
func (p *Pool[C, A]) takeIdle(now float64, waiter *Waiter) (conn C, found bool) {
	for k := p.pickIdle(now, waiter); k >= 0; k = p.pickIdle(now, waiter) {
		conn = p.idle[k]
		p.idle = slices.Delete(p.idle, k, k+1)
		c := conn.PoolConn()
		if !p.Policy.expired(now, c.OpenedAt, c.Jitter) {
			return conn, true
		}
		p.counters.Expired.Add(1)
		p.CloseConn(conn, ClosedExpired)
	}
	return conn, false
}

func (p *Pool[C, A]) assign(now float64, conn C, attempt A) {
	c, since := conn.PoolConn(), attempt.PoolWaiter().waitingSince
	c.lastKey = attempt.PoolWaiter().Key
	if now > since {
		p.counters.Waited.Add(1)
	}
	if c.Responded {
		p.counters.Reused.Add(1)
		p.Policy.recordWait(now - since)
	}
	c.IdleDuration, c.inUse, c.inUseIndex = now-c.IdleSince, true, len(p.inUse)
	c.reusedEarly = c.Responded && c.IdleDuration < p.Policy.maxExpectedLateness()
	p.inUse = append(p.inUse, conn)
	p.Policy.recordInUse(now, len(p.inUse))
	p.owner.Assign(now, conn, attempt)
}

// dial dials as many connections as the policy allows, and returns when it may dial more; +Inf: not before the pool's state changes.
func (p *Pool[C, A]) dial(now float64) (retryAt float64) {
	if !p.available || len(p.waiters) == 0 && !p.Policy.prewarmEnabled() {
		return math.Inf(1)
	}
	switch {
	case p.localFailure && p.Dialing > 0:
		return math.Inf(1)
	case p.localFailure && now < p.dialAgainAt:
		return p.dialAgainAt
	}
	p.evictCoolingDown()
	n, retryAt := p.Policy.planDials(now, p.State())
	if p.localFailure {
		n = min(n, 1)
	}
	for range n {
		p.Dialing++
		p.owner.Dial(p.addr)
	}
	return retryAt
}

// nextWaiterEvent returns when a waiting attempt can be assigned a connection that is open and unused, or when the wait of the first one
// times out; +Inf: never.
func (p *Pool[C, A]) nextWaiterEvent(now float64) float64 {
	if len(p.waiters) == 0 {
		return math.Inf(1)
	}
	at := p.Policy.waitDeadline(p.waiters[0].PoolWaiter().waitingSince)
	if len(p.coolingDown) > 0 {
		at = min(at, p.coolingDown[0].PoolConn().ReadyAt)
	}
	for _, conn := range p.idle { // none of them can serve the waiting attempts yet
		at = min(at, conn.PoolConn().history.nextExpiry(now, p.Policy.config.DuplicateWindow))
	}
	return at
}

func (p *Pool[C, A]) scheduleTick(now, at float64) {
	if math.IsInf(at, 1) {
		return
	}
	if p.nextTickAt == 0 || at < p.nextTickAt {
		p.nextTickAt = at
		p.owner.TickAfter(max(0, at-now))
	}
}

// Tick does the work for which the pool called Owner.TickAfter. It removes and returns the attempts whose wait has timed out.
func (p *Pool[C, A]) Tick(now float64) (timedOut []A) {
	p.nextTickAt = 0
	for len(p.waiters) > 0 && p.Policy.waitDeadline(p.waiters[0].PoolWaiter().waitingSince) <= now {
		timedOut = append(timedOut, p.waiters[0])
		p.waiters = p.waiters[1:]
	}
	p.Dispatch(now)
	p.counters.WaitTimeouts.Add(int64(len(timedOut)))
	return timedOut
}

// DialSucceeded adds a connection that the owner has opened.
func (p *Pool[C, A]) DialSucceeded(now float64, conn C) {
	p.Dialing--
	p.localFailure = false
	p.Policy.prewarmPause = 0
	p.counters.Opened.Add(1)
	conn.PoolConn().OpenedAt = now
	p.Release(now, conn)
}

// DialFailed records that a dial has failed. attempted is false if the cause was on this machine, such as a lack of file descriptors. It
// removes and returns the attempts that fail with the dial: the one that has waited longest, or all if the pool has no open connection
// and no other dial in progress.
func (p *Pool[C, A]) DialFailed(now, startedAt float64, attempted bool) (failed []A) {
	p.Dialing--
	p.Policy.pausePrewarming(now)
	if !attempted {
		return p.dialFailedLocally(now)
	}
	p.localFailure = false
	p.Policy.recordDialFailure(now, p.openConns(), p.lastResponseAt >= startedAt)
	n := min(1, len(p.waiters))
	if p.openConns()+p.Dialing == 0 {
		n = len(p.waiters)
	}
	failed = slices.Clone(p.waiters[:n])
	p.waiters = p.waiters[n:]
	p.Dispatch(now)
	return failed
}

// dialFailedLocally pauses dials that fail because of this machine. Attempts wait until another one releases its connection or a later dial
// succeeds: a retry would fail at once for the same reason. It removes and returns the attempts that have waited for as long as they may (Waiter.LimitLocalWait).
func (p *Pool[C, A]) dialFailedLocally(now float64) (failed []A) {
	p.localFailure, p.dialAgainAt = true, now+localRetryInterval
	p.waiters = slices.DeleteFunc(p.waiters, func(attempt A) bool {
		waiter := attempt.PoolWaiter()
		expired := now-waiter.waitingSince >= waiter.maxLocalWait
		if expired {
			failed = append(failed, attempt)
		}
		return expired
	})
	p.Dispatch(now)
	return failed
}

// Responded records the response to the attempt on a connection and releases the connection.
func (p *Pool[C, A]) Responded(now float64, conn C, response Response) {
	switch {
	case response.Last:
		p.CloseConn(conn, response.CloseReason)
	case p.exceedsLimit(now, conn, response):
		p.CloseConn(conn, ClosedByServer)
	}
	p.Detach(conn)
	c := conn.PoolConn()
	c.Responded = true
	c.history.add(pastResponse{now, c.lastKey, response.Digest, response.Recognition}, now-p.Policy.config.CompareWindow)
	p.Release(now, conn)
}

// exceedsLimit records what a response says about the server's connection limit, and reports whether its connection exceeds the limit.
func (p *Pool[C, A]) exceedsLimit(now float64, conn C, response Response) bool {
	if response.Rejected {
		return p.Policy.recordRejection(now, !conn.PoolConn().Responded, p.openConns()-1)
	}
	p.lastResponseAt = now
	p.Policy.recordResponse(now)
	return false
}

// Release makes a connection without an attempt available to other attempts. A connection that has had a response cools down first: a
// duplicate response or other unsolicited bytes that arrive during the cooldown close the connection. If the next attempt had
// already been sent, these bytes would be read as the response to that attempt. A connection that is no longer usable is closed.
func (p *Pool[C, A]) Release(now float64, conn C) {
	c := conn.PoolConn()
	switch {
	case c.Closed:
	case !p.Usable(conn):
		p.CloseConn(conn, ClosedUnavailable)
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

// Detach marks a connection as no longer in use by an attempt, without releasing the connection.
func (p *Pool[C, A]) Detach(conn C) {
	c := conn.PoolConn()
	if !c.inUse {
		return
	}
	c.inUse = false
	last := len(p.inUse) - 1
	p.inUse[c.inUseIndex] = p.inUse[last]
	p.inUse[c.inUseIndex].PoolConn().inUseIndex = c.inUseIndex
	p.inUse = slices.Delete(p.inUse, last, last+1)
}

// CloseConn closes a connection unless it is closed already.
func (p *Pool[C, A]) CloseConn(conn C, reason CloseReason) {
	if c := conn.PoolConn(); !c.Closed {
		c.Closed, c.CloseReason = true, reason
		p.counters.Closed[reason].Add(1)
		p.owner.CloseConn(conn)
	}
}
