package connpool

import (
	"cmp"
	"slices"
)

// maxCoolingDown is how many connections to a suspected server may cool down at a time. More of them would cost the server more than
// opening new connections does, and would exhaust the node's file descriptors.
const maxCoolingDown = 128

func (p *Pool[C, A]) unusedCount() int { return len(p.idle) + len(p.coolingDown) }

// promoteReady moves the connections whose cooldown has ended to the idle ones.
func (p *Pool[C, A]) promoteReady(now float64) {
	n := 0
	for n < len(p.coolingDown) && p.coolingDown[n].PoolConn().ReadyAt <= now {
		n++
	}
	if n > 0 {
		p.idle = append(p.idle, p.coolingDown[:n]...)
		p.coolingDown = slices.Delete(p.coolingDown, 0, n)
	}
}

// coolDown starts the cooldown of a connection after its response. It keeps the number of cooling connections to a suspected server
// within maxCoolingDown.
func (p *Pool[C, A]) coolDown(conn C) {
	c := conn.PoolConn()
	c.ReadyAt = p.cooldownEnd(c)
	at := len(p.coolingDown)
	for at > 0 && p.coolingDown[at-1].PoolConn().ReadyAt > c.ReadyAt { // the cooldown has become shorter
		at--
	}
	p.coolingDown = slices.Insert(p.coolingDown, at, conn)
	if p.Policy.Suspected() && len(p.coolingDown) > maxCoolingDown {
		p.closeNextReady()
	}
}

// closeNextReady closes the first of the cooling connections, which would become ready first.
func (p *Pool[C, A]) closeNextReady() {
	p.CloseConn(p.coolingDown[0], ClosedReplaced)
	p.coolingDown = slices.Delete(p.coolingDown, 0, 1)
}

// evictCoolingDown closes cooling connections to a suspected server if attempts wait and the connection limit is reached: new
// connections can be used at once, cooling ones cannot.
func (p *Pool[C, A]) evictCoolingDown() {
	if !p.Policy.Suspected() {
		return
	}
	dialsNeeded := len(p.waiters) - p.Dialing
	excess := p.openConns() + p.Dialing + dialsNeeded - p.Policy.limit()
	for range min(excess, dialsNeeded, len(p.coolingDown)) {
		p.closeNextReady()
	}
}

// RemoveUnused removes a connection from the pool if it is unused, without closing it.
func (p *Pool[C, A]) RemoveUnused(conn C) {
	isConn := func(other C) bool { return other.PoolConn() == conn.PoolConn() }
	for _, unused := range []*[]C{&p.idle, &p.coolingDown} {
		if i := slices.IndexFunc(*unused, isConn); i >= 0 {
			*unused = slices.Delete(*unused, i, i+1)
		}
	}
}

// OldestUnused returns the time since which the longest unused connection has been unused. It considers cooling connections only if none
// is idle. found is false if the pool has no unused connection.
func (p *Pool[C, A]) OldestUnused() (since float64, found bool) {
	switch {
	case len(p.idle) > 0:
		return p.idle[0].PoolConn().IdleSince, true
	case len(p.coolingDown) > 0:
		return p.coolingDown[0].PoolConn().IdleSince, true
	}
	return 0, false
}

// CloseOldestUnused closes the unused connection that OldestUnused selects, and reports whether there was one.
func (p *Pool[C, A]) CloseOldestUnused() bool {
	found := p.unusedCount() > 0
	p.closeOldest(min(1, p.unusedCount()))
	return found
}

// CloseUnused closes all unused connections.
func (p *Pool[C, A]) CloseUnused() { p.closeOldest(p.unusedCount()) }

// Reap closes connections that the policy no longer needs and connections that have been unused for so long that the server may close
// them at any time: if the server closes a connection while a request is being written, the node cannot tell whether the request was
// executed. It also opens the connections that the policy keeps open.
func (p *Pool[C, A]) Reap(now float64) {
	p.reapStale(now)
	if excess := p.unusedCount() - p.Policy.idleTarget(now, p.State()); excess > 0 {
		p.closeOldest(excess)
	}
	p.Dispatch(now)
}

func (p *Pool[C, A]) reapStale(now float64) {
	if timeout := p.Policy.idleTimeout(); timeout > 0 {
		p.CloseIdleBefore(now - timeout)
	}
}

// CloseIdleBefore closes the idle connections that were last used before the given time.
func (p *Pool[C, A]) CloseIdleBefore(at float64) {
	n := 0
	for n < len(p.idle) && p.idle[n].PoolConn().IdleSince < at {
		n++
	}
	p.closeOldest(n)
}

// closeOldest closes the n connections that have been unused longest, idle ones before cooling ones.
func (p *Pool[C, A]) closeOldest(n int) {
	for range n {
		unused := &p.idle
		if len(p.idle) == 0 {
			unused = &p.coolingDown
		}
		p.CloseConn((*unused)[0], ClosedUnused)
		*unused = slices.Delete(*unused, 0, 1)
	}
}

// ReceivedUnsolicited records that bytes arrived on a connection without a request, or a duplicate while an attempt was in flight. A server
// that is sent fences is not suspected for a duplicate that would be recognized wherever it arrives. If this
// makes the server suspected, all unused connections that have had a response cool down again, and the connections in use on which a
// duplicate may still arrive and would not be recognized are returned: the caller must fail their attempts.
func (p *Pool[C, A]) ReceivedUnsolicited(now float64, conn C) (suspected []C) {
	c := conn.PoolConn()
	if c.Closed {
		return nil
	}
	p.counters.Unsolicited.Add(1)
	lateness := max(0, now-c.IdleSince)
	if p.Policy.FenceState(now) != FenceUnsupported && lateness < p.Policy.config.DuplicateWindow {
		return nil
	}
	if !p.Policy.recordUnsolicited(lateness, c.reusedEarly) {
		return nil
	}
	return p.suspect(c, lateness)
}

// RecordDuplicateReport records that another node has received duplicate responses from the server. It has the same effect as
// ReceivedUnsolicited.
func (p *Pool[C, A]) RecordDuplicateReport() (suspected []C) {
	if !p.Policy.RecordDuplicateReport() {
		return nil
	}
	return p.suspect(nil, 0)
}

// suspect applies the longer cooldown of a suspected server to all connections, and returns the connections in use on which a duplicate
// may still arrive and would not be recognized, except the one on which the duplicate has arrived, lateness ms after a response.
func (p *Pool[C, A]) suspect(duplicateConn *Conn, lateness float64) (suspected []C) {
	p.counters.Suspected.Add(1)
	unused := slices.Concat(p.idle, p.coolingDown)
	p.idle, p.coolingDown = nil, nil
	for _, conn := range unused {
		if conn.PoolConn().Responded {
			p.coolDown(conn)
		} else {
			p.idle = append(p.idle, conn)
		}
	}
	slices.SortStableFunc(p.coolingDown, func(a, b C) int { return cmp.Compare(a.PoolConn().ReadyAt, b.PoolConn().ReadyAt) })
	for _, conn := range p.inUse {
		c := conn.PoolConn()
		mayArrive := c.Responded && !c.Closed && c.IdleDuration < p.Policy.cooldown()
		recognized := max(c.IdleDuration, lateness) < p.Policy.config.DuplicateWindow
		if c != duplicateConn && mayArrive && !recognized {
			suspected = append(suspected, conn)
		}
	}
	return suspected
}
