package simulator

import (
	"slices"

	"mintspring/internal/fleet"
	"mintspring/internal/node"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/testbed/servermodel"
)

// serverLink is the connections of one node to one server. Its pool decides on them, as in the node on sockets.
type serverLink struct {
	process *process
	server  *server // by its address
	pool    *connpool.Pool[*conn, *attempt]
	tickAt  simTime // when the pool wants to be called; notScheduled for never
}

// Dial implements connpool.Owner. The connection is begun once the pool has done what it does now: making room for it may close others of
// the same pool.
func (l *serverLink) Dial(addr string) {
	l.process.sim.scheduleAfter(0, &dialRequest{l, addr})
}

// dialRequest begins to open a connection.
type dialRequest struct {
	link *serverLink
	addr string
}

func (r *dialRequest) fire() {
	p := r.link.process
	switch {
	case p.exited:
	case p.descriptors.Acquire(fdlimit.Server):
		p.sim.scheduleAfter(serverHop, &dialArrival{r.link, r.addr, p.localNow()})
	default:
		r.link.dialFailed(p.localNow(), false)
	}
}

// dialArrival is a connection that arrives at its server.
type dialArrival struct {
	link    *serverLink
	addr    string
	beganAt float64
}

func (d *dialArrival) fire() {
	s, p := d.link.server, d.link.process
	fail := actionFunc(func() { d.link.dialFailed(d.beganAt, true) })
	switch {
	case s.isBlackholed(p.node.index):
		p.sim.schedule(p.toSimTime(d.beganAt+node.ConnectTimeout(&p.node.deployment)), fail)
		return
	case s.down || s.refusing:
		p.sim.scheduleAfter(serverHop, fail)
		return
	}
	c := &conn{Conn: connpool.Conn{Addr: d.addr, Jitter: p.uniform()}, link: d.link, server: s}
	c.overLimit = !p.sim.cluster.OpenConnection(s.model.ID)
	s.addConn(c)
	p.sim.result.RecordConnection(p.sim.nowMs(), s.model.ID, servermodel.NodeID(p.node.index), c.overLimit)
	p.sim.scheduleAfter(serverHop, p.whenRunning(func() {
		if p.exited {
			c.closeServerSide()
			return
		}
		d.link.pool.DialSucceeded(p.localNow(), c)
		p.runDueWork()
	}))
}

// dialFailed records that a connection is not established. hadDescriptor is false where no descriptor was left for it.
func (l *serverLink) dialFailed(beganAt float64, hadDescriptor bool) {
	if l.process.exited || l.process.deferIfStalled(actionFunc(func() { l.dialFailed(beganAt, hadDescriptor) })) {
		return
	}
	result := fleet.NotSent
	if hadDescriptor {
		l.process.descriptors.Release(fdlimit.Server)
		result = fleet.ConnectFailed
	}
	for _, a := range l.pool.DialFailed(l.process.localNow(), beganAt, hadDescriptor) {
		l.endAttempt(a, result)
	}
	l.process.runDueWork()
}

// CloseConn implements connpool.Owner. The server learns of it a hop later.
func (l *serverLink) CloseConn(c *conn) {
	l.process.descriptors.Release(fdlimit.Server)
	l.process.sim.scheduleAfter(serverHop, actionFunc(c.closeServerSide))
}

// TickAfter implements connpool.Owner.
func (l *serverLink) TickAfter(ms float64) {
	l.tickAt = l.process.sim.now + simTime(durationOf(ms))
	l.process.sim.schedule(l.tickAt, (*linkTimer)(l))
}

// linkTimer is the timer of a link's pool.
type linkTimer serverLink

func (t *linkTimer) fire() {
	l := (*serverLink)(t)
	if l.process.exited || l.process.sim.now != l.tickAt {
		return // it was set again
	}
	if !l.process.deferIfStalled(actionFunc(l.tick)) {
		l.tick()
	}
}

// tick calls the pool as it wanted to be.
func (l *serverLink) tick() {
	l.tickAt = notScheduled
	for _, a := range l.pool.Tick(l.process.localNow()) {
		l.endAttempt(a, fleet.Declined)
	}
	l.process.runDueWork()
}

// recordUnsolicited records that unsolicited bytes came on a connection.
func (l *serverLink) recordUnsolicited(now float64, c *conn) {
	wasSuspected := l.pool.Policy.Suspected()
	l.failSuspects(l.pool.ReceivedUnsolicited(now, c))
	member := l.process.member
	if member == nil || wasSuspected || !l.pool.Policy.Suspected() {
		return
	}
	if slot := slices.Index(l.process.links, l); slot >= 0 {
		member.participant.ObserveDuplicate(now, fleet.ServerID(slot))
	}
}

// failSuspects ends what may be answered with what was meant for another request.
func (l *serverLink) failSuspects(conns []*conn) {
	for _, c := range conns {
		if c.current != nil {
			l.endAttemptLater(c.current, fleet.Reset)
		}
	}
}
