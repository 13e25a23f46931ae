package simulator

import (
	"slices"

	"mintspring/internal/fleet"
	"mintspring/internal/node"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/testbed/servermodel"
)

// serverLink holds the connections of one process to one server, managed by a connpool.Pool as in the node on sockets.
type serverLink struct {
	process    *process
	server     *server
	pool       *connpool.Pool[*conn, *attempt]
	poolTickAt simTime // when pool.Tick is called next; notScheduled if the timer is not set
}

// Dial implements connpool.Owner. The connection is opened in a later event, as freeing a descriptor for it may close other connections
// of the pool that is calling Dial.
func (l *serverLink) Dial(addr string) {
	l.process.sim.scheduleAfter(0, &dialRequest{l, addr})
}

// dialRequest is the event in which a process starts to open a connection.
type dialRequest struct {
	link *serverLink
	addr string
}

func (r *dialRequest) fire() {
	p := r.link.process
	switch {
	case p.exited:
	case p.descriptors.Acquire(fdlimit.Server):
		p.sim.scheduleAfter(serverHopDelay, &dialArrival{r.link, r.addr, p.localNow()})
	default:
		r.link.dialFailed(p.localNow(), false)
	}
}

// dialArrival is the arrival of a connection request at its server.
type dialArrival struct {
	link      *serverLink
	addr      string
	startedAt float64
}

func (d *dialArrival) fire() {
	s, p := d.link.server, d.link.process
	fail := actionFunc(func() { d.link.dialFailed(d.startedAt, true) })
	switch {
	case s.isBlackholed(p.node.index):
		p.sim.schedule(p.localToSimTime(d.startedAt+node.ConnectTimeout(&p.node.deployment)), fail)
		return
	case s.down || s.refusing:
		p.sim.scheduleAfter(serverHopDelay, fail)
		return
	}
	c := &conn{Conn: connpool.Conn{Addr: d.addr, Jitter: p.uniform()}, link: d.link, server: s}
	c.overLimit = !p.sim.cluster.OpenConnection(s.model.ID)
	s.addConn(c)
	p.sim.result.RecordConnection(p.sim.nowMs(), s.model.ID, servermodel.NodeID(p.node.index), c.overLimit)
	p.sim.scheduleAfter(serverHopDelay, p.whenRunning(func() {
		if p.exited {
			c.closeServerSide()
			return
		}
		d.link.pool.DialSucceeded(p.localNow(), c)
		p.runDueWork()
	}))
}

// dialFailed handles a connection that was not established. hadDescriptor is false if no descriptor was left for it.
func (l *serverLink) dialFailed(startedAt float64, hadDescriptor bool) {
	if l.process.exited || l.process.deferIfStalled(actionFunc(func() { l.dialFailed(startedAt, hadDescriptor) })) {
		return
	}
	result := fleet.NotSent
	if hadDescriptor {
		l.process.descriptors.Release(fdlimit.Server)
		result = fleet.ConnectFailed
	}
	for _, a := range l.pool.DialFailed(l.process.localNow(), startedAt, hadDescriptor) {
		l.endAttempt(a, result)
	}
	l.process.runDueWork()
}

// CloseConn implements connpool.Owner. The server's side is closed after serverHopDelay.
func (l *serverLink) CloseConn(c *conn) {
	l.process.descriptors.Release(fdlimit.Server)
	l.process.sim.scheduleAfter(serverHopDelay, actionFunc(c.closeServerSide))
}

// TickAfter implements connpool.Owner.
func (l *serverLink) TickAfter(ms float64) {
	l.poolTickAt = l.process.sim.now + simTime(durationOf(ms))
	l.process.sim.schedule(l.poolTickAt, (*poolTimer)(l))
}

// poolTimer is the timer that calls the pool.
type poolTimer serverLink

func (t *poolTimer) fire() {
	l := (*serverLink)(t)
	if l.process.exited || l.process.sim.now != l.poolTickAt {
		return // a later call replaced this timer
	}
	if !l.process.deferIfStalled(actionFunc(l.tick)) {
		l.tick()
	}
}

// tick calls the pool and ends the attempts that it declines.
func (l *serverLink) tick() {
	l.poolTickAt = notScheduled
	for _, a := range l.pool.Tick(l.process.localNow()) {
		l.endAttempt(a, fleet.Declined)
	}
	l.process.runDueWork()
}

// recordUnsolicited reports unsolicited bytes on a connection to the pool, and to the peers if the server becomes suspected.
func (l *serverLink) recordUnsolicited(now float64, c *conn) {
	wasSuspected := l.pool.Policy.Suspected()
	l.failSuspectAttempts(l.pool.ReceivedUnsolicited(now, c))
	member := l.process.member
	if member == nil || wasSuspected || !l.pool.Policy.Suspected() {
		return
	}
	if slot := slices.Index(l.process.links, l); slot >= 0 {
		member.participant.ObserveDuplicate(now, fleet.ServerID(slot))
	}
}

// failSuspectAttempts ends the attempts on connections that may deliver the response to another request.
func (l *serverLink) failSuspectAttempts(conns []*conn) {
	for _, c := range conns {
		if c.current != nil {
			l.endAttemptLater(c.current, fleet.Reset)
		}
	}
}
