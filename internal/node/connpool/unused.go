package connpool

import (
	"cmp"
	"slices"
)

// maxCoolingDown is how many connections cool down at a suspected server. More would cost the server more than opening new
// ones, and the node its descriptors.
const maxCoolingDown = 128

func (p *Pool[C, A]) unusedCount() int { return len(p.idle) + len(p.coolingDown) }

// pickIdle returns the index of the idle connection to use next. It is the one used last, so that connections in excess stay
// unused and are closed in time. Connections used so recently that a duplicate might still arrive come after all others, the one
// idle longest first: a late duplicate should find its connection without an attempt, where it is recognized.
func (p *Pool[C, A]) pickIdle(now float64) int {
	for k := len(p.idle) - 1; k >= 0; k-- {
		if c := p.idle[k].PoolConn(); !c.Responded || now-c.IdleSince >= p.Policy.safeIdle() {
			return k
		}
	}
	return 0
}

// promoteReady moves the connections whose cooldown is over to the idle ones.
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

// coolDown begins the cooldown of a connection after its response. At a suspected server only so many may cool down.
func (p *Pool[C, A]) coolDown(conn C) {
	c := conn.PoolConn()
	c.ReadyAt = c.IdleSince + p.Policy.cooldown()
	p.coolingDown = append(p.coolingDown, conn)
	if p.Policy.Suspected() && len(p.coolingDown) > maxCoolingDown {
		p.closeFirstCooling()
	}
}

func (p *Pool[C, A]) closeFirstCooling() {
	p.CloseConn(p.coolingDown[0])
	p.coolingDown = slices.Delete(p.coolingDown, 0, 1)
}

// evictCoolingDown closes cooling connections to a suspected server where attempts wait and no more connections may be
// open: a new one can be used at once.
func (p *Pool[C, A]) evictCoolingDown() {
	if !p.Policy.Suspected() {
		return
	}
	want := len(p.waiters) - p.Dialing
	excess := p.openConns() + p.Dialing + want - p.Policy.limit()
	for range min(excess, want, len(p.coolingDown)) {
		p.closeFirstCooling()
	}
}

// RemoveUnused removes a connection from the unused ones.
func (p *Pool[C, A]) RemoveUnused(conn C) {
	same := func(other C) bool { return other.PoolConn() == conn.PoolConn() }
	for _, unused := range []*[]C{&p.idle, &p.coolingDown} {
		if i := slices.IndexFunc(*unused, same); i >= 0 {
			*unused = slices.Delete(*unused, i, i+1)
		}
	}
}

// OldestUnused returns since when the connection has been unused that has been so longest; false: all are in use.
func (p *Pool[C, A]) OldestUnused() (since float64, found bool) {
	switch {
	case len(p.idle) > 0:
		return p.idle[0].PoolConn().IdleSince, true
	case len(p.coolingDown) > 0:
		return p.coolingDown[0].PoolConn().IdleSince, true
	}
	return 0, false
}

// CloseOldestUnused closes that connection and reports whether there was one.
func (p *Pool[C, A]) CloseOldestUnused() bool {
	found := p.unusedCount() > 0
	p.closeOldest(min(1, p.unusedCount()))
	return found
}

// CloseUnused closes all unused connections.
func (p *Pool[C, A]) CloseUnused() { p.closeOldest(p.unusedCount()) }

// Reap closes connections that have been unused for so long that the server may close them at any time, and those that are
// not needed any more. A request written as the server closes could be lost in a way that cannot be told from one that has run. It
// opens what the policy keeps open.
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

// CloseIdleBefore closes the idle connections that were last used before a time.
func (p *Pool[C, A]) CloseIdleBefore(at float64) {
	n := 0
	for n < len(p.idle) && p.idle[n].PoolConn().IdleSince < at {
		n++
	}
	p.closeOldest(n)
}

// closeOldest closes the n connections that have been unused longest; idle ones before cooling ones.
func (p *Pool[C, A]) closeOldest(n int) {
	for range n {
		unused := &p.idle
		if len(p.idle) == 0 {
			unused = &p.coolingDown
		}
		p.CloseConn((*unused)[0])
		*unused = slices.Delete(*unused, 0, 1)
	}
}

// ReceivedUnsolicited records that bytes arrived on a connection without a request. If the server becomes suspected by that, all
// unused connections cool down again, and it returns the connections in use on which a duplicate may yet arrive: nobody could tell
// that from the response, so their attempts must be failed.
func (p *Pool[C, A]) ReceivedUnsolicited(now float64, conn C) (suspected []C) {
	c := conn.PoolConn()
	if c.Closed {
		return nil
	}
	p.counters.Unsolicited.Add(1)
	if !p.Policy.recordUnsolicited(max(0, now-c.IdleSince), c.reusedEarly) {
		return nil
	}
	return p.suspect(c)
}

// DuplicatesReported records that another node has seen the server send duplicates, with the same effect.
func (p *Pool[C, A]) DuplicatesReported() (suspected []C) {
	if !p.Policy.DuplicatesReported() {
		return nil
	}
	return p.suspect(nil)
}

// suspect applies the longer cooldown of a suspected server to all connections. It leaves out the connection on which the
// duplicate arrived, which is closed anyway.
func (p *Pool[C, A]) suspect(except *Conn) (suspected []C) {
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
		if c := conn.PoolConn(); c != except && c.Responded && c.IdleDuration < p.Policy.cooldown() && !c.Closed {
			suspected = append(suspected, conn)
		}
	}
	return suspected
}
