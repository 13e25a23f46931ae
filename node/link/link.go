// Package link keeps the connections to one peer, a cache server or the origin, with one execution at a time
// on each. It sends nothing by itself and nothing twice: every execution ends in one Ending, and what follows
// from that is decided elsewhere.
package link

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/fleet"
	"mintspring/node/clock"
	"mintspring/node/exchange"
	"mintspring/node/quota"
)

// Wire is the protocol spoken with a peer.
type Wire interface {
	// Append writes the execution of x to the end of b; limit is how long the node will wait, in ms.
	Append(b []byte, x *exchange.Exchange, limit float64) []byte
	// Parse reads an answer off the head of b and says how long it was; 0 while it is not whole.
	Parse(b []byte) (int, Reply, error)
}

// Reply is a whole answer.
type Reply struct {
	Result fleet.Result
	Value  []byte
	Note   fleet.Note
	Report fleet.Report
	Last   bool // the peer takes nothing more on this connection
}

// Ending is how an execution ended: with a reply, or with a break.
type Ending struct {
	At    float64
	Reply Reply
	Break *exchange.Break
}

// Execution is one execution of a query.
type Execution struct {
	X     *exchange.Exchange
	No    int
	Sent  float64 // when it was handed over
	Until float64 // it is given up then

	conn  *conn
	reach exchange.Reach
	stale bool // its connection was forgotten by the peer
	done  bool
	timer *time.Timer
}

// Causes of breaks that the node brings about itself.
var (
	errExpired   = errors.New("its time is up")
	errCancelled = errors.New("it was cancelled")
	errShut      = errors.New("nothing new may go to this server")
	errSockets   = errors.New("no descriptor is left")
)

// Group is what the links of a node share.
type Group struct {
	Clock          *clock.Clock
	Sockets        *quota.Sockets
	Done           func(*Execution, Ending) // called once an execution, from any goroutine; must not block
	Panicked       func(any)                // a panic in a connection's code, which closes that connection
	ConnectTimeout float64
	ConnIdle       float64
	Stall          float64 // an answer that has begun may stand still for so long, ms; 0: for ever
	Rest           float64 // a connection is not used for so long after an answer, in ms, for more may come behind it

	opened atomic.Int64

	mu    sync.Mutex
	links []*Link
}

// Opened is how many connections were opened so far.
func (g *Group) Opened() int { return int(g.opened.Load()) }

// Spare closes the connection of the group that has been idle longest, and tells whether there was one.
func (g *Group) Spare() bool {
	g.mu.Lock()
	links := g.links
	g.mu.Unlock()
	var oldest *Link
	var since float64
	for _, l := range links {
		if at, any := l.idleSince(); any && (oldest == nil || at < since) {
			oldest, since = l, at
		}
	}
	return oldest != nil && oldest.spare()
}

// Link is the connections to one peer.
type Link struct {
	group *Group
	wire  Wire

	mu      sync.Mutex
	addr    string
	open    bool
	idle    []*conn // the one used last stands last
	waiting []*Execution
	dialing int
	resting int // connections that will be free in a moment
}

// New makes a link that is shut.
func New(g *Group, w Wire) *Link {
	l := &Link{group: g, wire: w}
	g.mu.Lock()
	g.links = append(g.links, l)
	g.mu.Unlock()
	return l
}

// Drop takes the link of a server that is long gone out of the group.
func (l *Link) Drop() {
	l.group.mu.Lock()
	l.group.links = slices.DeleteFunc(slices.Clone(l.group.links), func(o *Link) bool { return o == l })
	l.group.mu.Unlock()
}

// Aim says where the peer is and whether executions may go to it. Connections to an address of before are
// not used again; what waits for one when the link is shut is not sent.
func (l *Link) Aim(addr string, open bool) {
	l.mu.Lock()
	moved := addr != l.addr
	l.addr, l.open = addr, open
	var left []*Execution
	if !open {
		left, l.waiting = l.waiting, nil
	}
	if moved || !open {
		l.closeIdle(len(l.idle))
	}
	l.mu.Unlock()
	for _, e := range left {
		l.end(e, fleet.NotSent, errShut)
	}
}

// Send starts the execution number no of x, to be given up after limit ms.
func (l *Link) Send(x *exchange.Exchange, no int, limit float64) *Execution {
	now := l.group.Clock.Now()
	e := &Execution{X: x, No: no, Sent: now, Until: now + limit}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reap(now)
	e.timer = time.AfterFunc(clock.Span(limit), func() { l.end(e, fleet.TimedOut, errExpired) })
	l.place(e)
	return e
}

// place gives an execution the connection that was used last, or has it wait for one.
func (l *Link) place(e *Execution) {
	switch k := len(l.idle); {
	case !l.open:
		go l.end(e, fleet.NotSent, errShut)
	case k > 0:
		c := l.idle[k-1]
		l.idle = l.idle[:k-1]
		c.idle = l.group.Clock.Now() - c.since
		l.assign(c, e)
	default:
		// Whichever connection comes free first takes it: one that is busy now, or the new one.
		l.waiting = append(l.waiting, e)
		l.dialAll()
	}
}

// dialAll sees to it that a connection is on its way for each execution that waits.
func (l *Link) dialAll() {
	for l.open && l.dialing+l.resting < len(l.waiting) {
		l.dialing++
		go l.dial(l.addr)
	}
}

// Cancel gives an execution up.
func (l *Link) Cancel(e *Execution) { l.end(e, fleet.Cancelled, errCancelled) }

// LetGo closes the idle connections.
func (l *Link) LetGo() {
	l.mu.Lock()
	l.closeIdle(len(l.idle))
	l.mu.Unlock()
}

// idleSince is since when the connection that is idle longest has been; false: none is idle.
func (l *Link) idleSince() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) == 0 {
		return 0, false
	}
	return l.idle[0].since, true
}

// spare closes that connection.
func (l *Link) spare() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	had := len(l.idle) > 0
	l.closeIdle(min(1, len(l.idle)))
	return had
}

// Reap closes what has been idle for so long that the peer may close it any time: what is written to it then
// could be lost in a way that nobody can tell from its having run.
func (l *Link) Reap() {
	l.mu.Lock()
	l.reap(l.group.Clock.Now())
	l.mu.Unlock()
}

func (l *Link) reap(now float64) {
	if l.group.ConnIdle > 0 {
		l.closeOlder(now - 0.75*l.group.ConnIdle)
	}
}

// closeOlder closes what has been idle since before then.
func (l *Link) closeOlder(then float64) {
	n := 0
	for n < len(l.idle) && l.idle[n].since < then {
		n++
	}
	l.closeIdle(n)
}

// forgot tells whether a connection broke because its peer, or what stands between, had forgotten it while it was
// idle, as some do long before they say so. Those idle as long are closed: the next execution would meet the same.
func (l *Link) forgot(c *conn, e *Execution) bool {
	if e.reach == exchange.AnswerBegun || c.idle < l.group.ConnectTimeout/5 {
		return false
	}
	l.closeOlder(l.group.Clock.Now() - c.idle)
	return true
}

// closeIdle closes the n connections that have been idle longest.
func (l *Link) closeIdle(n int) {
	for _, c := range l.idle[:n] {
		l.shut(c)
	}
	l.idle = slices.Delete(l.idle, 0, n)
}

// shut closes a connection once. Its goroutines end by that.
func (l *Link) shut(c *conn) {
	if !c.closed {
		c.closed = true
		close(c.work)
		c.net.Close()
		l.group.Sockets.Give(false)
	}
}

// assign gives an execution to a connection on which nothing is out.
func (l *Link) assign(c *conn, e *Execution) {
	c.cur, e.conn = e, c
	c.work <- e
}

// finish marks an execution ended; false: it had ended before.
func (l *Link) finish(e *Execution) bool {
	if e.done {
		return false
	}
	e.done = true
	e.timer.Stop()
	return true
}

// end gives an execution up on the node's side. A connection it is on is closed: while that stays open the
// execution counts as out, and its late answer would be read as the next one's.
func (l *Link) end(e *Execution, r fleet.Result, cause error) {
	l.mu.Lock()
	if !l.finish(e) {
		l.mu.Unlock()
		return
	}
	if e.conn != nil {
		e.conn.cur = nil
		l.shut(e.conn)
	}
	if i := slices.Index(l.waiting, e); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	b := &exchange.Break{Reach: e.reach, Result: r, Stale: e.stale, Cause: cause}
	l.mu.Unlock()
	l.group.Done(e, Ending{At: l.group.Clock.Now(), Break: b})
}

// dial opens one connection for whatever waits longest.
func (l *Link) dial(addr string) {
	var nc net.Conn
	err := error(errSockets)
	result := fleet.NotSent
	if l.group.Sockets.Take(false) {
		ctx, stop := context.WithTimeout(context.Background(), clock.Span(l.group.ConnectTimeout))
		d := net.Dialer{KeepAlive: -1}
		nc, err = d.DialContext(ctx, "tcp", addr)
		stop()
		if result = fleet.ConnectFailed; err != nil {
			l.group.Sockets.Give(false)
		}
	}
	l.mu.Lock()
	l.dialing--
	if err == nil {
		c := &conn{link: l, net: nc, addr: addr, work: make(chan *Execution, 1)}
		l.group.opened.Add(1)
		go c.writes()
		go c.reads()
		l.free(c)
		l.dialAll() // the peer may have moved meanwhile, and the connection be of no use
		l.mu.Unlock()
		return
	}
	var e *Execution
	if len(l.waiting) > 0 {
		e, l.waiting = l.waiting[0], l.waiting[1:]
	}
	l.mu.Unlock()
	if e != nil {
		l.end(e, result, err)
	}
}

// rest keeps a connection from use for a moment after an answer. A second copy or noise that comes behind it closes
// the connection then; later it would be read as the answer of the next execution.
func (l *Link) rest(c *conn) {
	if c.closed || l.group.Rest <= 0 {
		l.free(c)
		return
	}
	l.resting++
	time.AfterFunc(clock.Span(l.group.Rest), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.resting--
		l.free(c)
		l.dialAll() // something may have come, and the connection be of no use
	})
}

// free lets a connection take what waits, or stand idle. The state of the peer is looked at here once more:
// since the execution was handed over, its grace may have run out.
func (l *Link) free(c *conn) {
	switch {
	case c.closed:
	case !l.open || c.addr != l.addr:
		l.shut(c)
	case len(l.waiting) > 0:
		e := l.waiting[0]
		l.waiting = l.waiting[1:]
		c.idle = 0
		l.assign(c, e)
	default:
		c.since = l.group.Clock.Now()
		l.idle = append(l.idle, c)
	}
}
