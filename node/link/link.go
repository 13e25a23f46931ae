// Package link keeps the connections to one peer, a cache server or the origin, with one execution at a time
// on each. It sends nothing by itself and nothing twice: every execution ends in one Ending, and what follows
// from that is decided elsewhere.
package link

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/fleet"
	"mintspring/node/clock"
	"mintspring/node/exchange"
	"mintspring/node/quota"
	"mintspring/node/room"
	"mintspring/pool"
)

// Wire is the protocol spoken with a peer.
type Wire interface {
	// Append writes the execution of x to the end of b; limit is how long the node will wait, in ms. Of a value that is Big it
	// writes what stands before it, and Behind is what stands behind.
	Append(b []byte, x *exchange.Exchange, limit float64) []byte
	Behind() string
	// Parse reads an answer off the head of b and says how long it was; 0 while it is not whole. Of one whose value is
	// too large to be held it reads what comes before the value, and says in the reply how large that is.
	Parse(b []byte) (int, Reply, error)
	// Tail reads what stands behind a large value; false while it is not whole. Sound tells whether at least the value's own
	// end is there, as it should be.
	Tail(b []byte, head Reply) (n int, sound, whole bool, r Reply, err error)
}

// Reply is a whole answer.
type Reply struct {
	Result fleet.Result
	Value  []byte
	Note   fleet.Note
	Report fleet.Report
	Last   bool            // the peer takes nothing more on this connection
	Large  int64           // the value has so many bytes and follows
	Parts  int             // after which so many more parts follow
	Stream exchange.Stream // that value, handed on in pieces
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
	since float64 // it waits for a connection since then
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
	errWaited    = errors.New("it waited too long for a connection")
	errCrowded   = errors.New("too many wait for a connection")
	errEarly     = errors.New("it was answered before its value had come")
)

// Group is what the links of a node share.
type Group struct {
	Clock          *clock.Clock
	Sockets        *quota.Sockets
	Done           func(*Execution, Ending) // called once an execution, from any goroutine; must not block
	Panicked       func(any)                // a panic in a connection's code, which closes that connection
	ConnectTimeout float64
	Stall          float64        // an answer that has begun may stand still for so long, ms; 0: for ever
	Room           *room.Room     // for values that have to be collected
	Pause          float64        // the same for a large value, which nobody can ask for again; 0: for ever
	Chance         func() float64 // from [0,1), from any goroutine; nil: always 0

	counts counts
	mu     sync.Mutex
	links  []*Link
}

type counts struct {
	opened, reused, waited, late, crowded, surplus, old atomic.Int64
}

// Counts say what the pools of a node have done so far.
type Counts struct {
	Opened  int // connections
	Reused  int // executions on a connection that was there
	Waited  int // executions that had to wait for one
	Late    int // of these, turned back for waiting too long
	Crowded int // turned back at once, for too many waited
	Surplus int // connections closed because more came on them than was asked for
	Old     int // closed for their age
}

// Counts returns them.
func (g *Group) Counts() Counts {
	c := &g.counts
	return Counts{int(c.opened.Load()), int(c.reused.Load()), int(c.waited.Load()), int(c.late.Load()),
		int(c.crowded.Load()), int(c.surplus.Load()), int(c.old.Load())}
}

func (g *Group) chance() float64 {
	if g.Chance == nil {
		return 0
	}
	return g.Chance()
}

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

// LetGo closes all idle connections of the group.
func (g *Group) LetGo() {
	g.mu.Lock()
	links := g.links
	g.mu.Unlock()
	for _, l := range links {
		l.LetGo()
	}
}

// Link is the connections to one peer. What its pool holds is the pool's to decide.
type Link struct {
	group *Group
	wire  Wire

	mu       sync.Mutex
	addr     string
	open     bool
	pool     *pool.Pool
	resting  []*conn // not used, and resting after an answer; the one ready first stands first
	idle     []*conn // not used, and rested; the one used last stands last
	inUse    int     // connections on which an execution is out
	waiting  []*Execution
	dialing  int
	answered float64 // when an answer came last
	timer    *time.Timer
	due      float64 // when it goes off; 0: it does not
}

// New makes a link that is shut. The name tells its server from others; the terms are those of its pool.
func New(g *Group, w Wire, name string, t pool.Terms) *Link {
	h := fnv.New64a()
	h.Write([]byte(name))
	l := &Link{group: g, wire: w, pool: pool.New(t, fleet.Mix(h.Sum64()), g.chance())}
	l.timer = time.AfterFunc(time.Hour, l.tick)
	l.timer.Stop()
	g.mu.Lock()
	g.links = append(g.links, l)
	g.mu.Unlock()
	return l
}

// Started says when the peer's process last started, Unix ms; 0: long ago.
func (l *Link) Started(at float64) {
	l.mu.Lock()
	l.pool.Started(at)
	l.mu.Unlock()
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
		l.closeIdle(l.unused())
	}
	l.serve(l.group.Clock.Now())
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

// place gives an execution a connection, or has it wait for one.
func (l *Link) place(e *Execution) {
	now := l.group.Clock.Now()
	switch {
	case !l.open:
		go l.end(e, fleet.NotSent, errShut)
	case l.pool.Crowded(len(l.waiting)):
		l.group.counts.crowded.Add(1)
		go l.end(e, fleet.Full, errCrowded)
	default:
		e.since = now
		l.waiting = append(l.waiting, e)
		l.serve(now)
	}
}

// serve gives connections to what waits, has others opened, and sees to it that it is called again when something is
// due. Of the connections that have rested, the one used last is taken. Called with the lock held.
func (l *Link) serve(now float64) {
	again := math.Inf(1)
	l.rested(now)
	for len(l.waiting) > 0 && len(l.idle) > 0 {
		k := len(l.idle) - 1
		c := l.idle[k]
		l.idle = l.idle[:k]
		if l.pool.TooOld(now, c.opened, c.chance) {
			l.group.counts.old.Add(1)
			l.shut(c)
			continue
		}
		e := l.waiting[0]
		l.waiting = l.waiting[1:]
		if now > e.since {
			l.group.counts.waited.Add(1)
		}
		if c.used {
			l.group.counts.reused.Add(1)
			l.pool.Waited(now - e.since)
		}
		c.idle = now - c.since
		l.assign(c, e)
	}
	if l.open && (len(l.waiting) > 0 || l.pool.Keen()) {
		s := l.state()
		n, at := l.pool.Open(now, s)
		for range n {
			l.dialing++
			go l.dial(l.addr)
		}
		again = at
	}
	if len(l.waiting) > 0 {
		if len(l.resting) > 0 {
			again = min(again, l.resting[0].ready)
		}
		again = min(again, l.pool.Gives(l.waiting[0].since))
	}
	if math.IsInf(again, 1) {
		return
	}
	if l.due == 0 || again < l.due {
		l.due = again
		l.timer.Reset(clock.Span(max(0, again-now)))
	}
}

// rested takes the connections that have rested to those that may be used.
func (l *Link) rested(now float64) {
	n := 0
	for n < len(l.resting) && l.resting[n].ready <= now {
		n++
	}
	if n > 0 {
		l.idle = append(l.idle, l.resting[:n]...)
		l.resting = slices.Delete(l.resting, 0, n)
	}
}

// unused is how many connections nothing is out on.
func (l *Link) unused() int { return len(l.idle) + len(l.resting) }

func (l *Link) state() pool.State {
	return pool.State{Open: l.unused() + l.inUse, InUse: l.inUse, Resting: len(l.resting), Dialing: l.dialing, Waiting: len(l.waiting)}
}

// tick does what is due: it turns back what has waited too long, and serves the rest.
func (l *Link) tick() {
	l.mu.Lock()
	now := l.group.Clock.Now()
	l.due = 0
	var late []*Execution
	for len(l.waiting) > 0 && l.pool.Gives(l.waiting[0].since) <= now {
		late = append(late, l.waiting[0])
		l.waiting = l.waiting[1:]
	}
	l.serve(now)
	l.mu.Unlock()
	for _, e := range late {
		l.group.counts.late.Add(1)
		l.end(e, fleet.Full, errWaited)
	}
}

// Whole says that the value of an execution has come, which was passed on meanwhile: it is sent now, and given up then.
func (l *Link) Whole(e *Execution, until float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.group.Clock.Now(); !e.done {
		e.Sent, e.Until = now, until
		e.timer.Reset(clock.Span(max(0, until-now)))
	}
}

// Cancel gives an execution up.
func (l *Link) Cancel(e *Execution) { l.end(e, fleet.Cancelled, errCancelled) }

// LetGo closes the idle connections.
func (l *Link) LetGo() {
	l.mu.Lock()
	l.closeIdle(l.unused())
	l.mu.Unlock()
}

// idleSince is since when the connection that is idle longest has been; false: none is idle.
func (l *Link) idleSince() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case len(l.idle) > 0:
		return l.idle[0].since, true
	case len(l.resting) > 0:
		return l.resting[0].since, true
	}
	return 0, false
}

// spare closes that connection.
func (l *Link) spare() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	had := l.unused() > 0
	l.closeIdle(min(1, l.unused()))
	return had
}

// Reap closes what has been idle for so long that the peer may close it any time, for what is written to it then could be
// lost in a way that nobody can tell from its having run, and what is not needed any more. It opens what is to be there.
func (l *Link) Reap() {
	l.mu.Lock()
	now := l.group.Clock.Now()
	l.reap(now)
	if extra := l.unused() - l.pool.Keeps(now, l.state()); extra > 0 {
		l.closeIdle(extra)
	}
	l.serve(now)
	l.mu.Unlock()
}

func (l *Link) reap(now float64) {
	if stale := l.pool.Stale(); stale > 0 {
		l.closeOlder(now - stale)
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
	for range n {
		from := &l.idle
		if len(l.idle) == 0 {
			from = &l.resting
		}
		l.shut((*from)[0])
		*from = slices.Delete(*from, 0, 1)
	}
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
	l.inUse++
	l.pool.Use(l.group.Clock.Now(), l.inUse)
	c.work <- e
}

// leave takes its execution off a connection.
func (l *Link) leave(c *conn) {
	if c.cur != nil {
		c.cur = nil
		l.inUse--
	}
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
	if e.X.Body != nil && e.reach >= exchange.PartlyWritten {
		e.X.Body.Drop(cause)
	}
	if e.conn != nil {
		l.leave(e.conn)
		if e.conn.collecting {
			e.conn.dropping.Store(true)
		} else {
			l.shut(e.conn)
		}
	}
	if i := slices.Index(l.waiting, e); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	if e.conn != nil {
		l.serve(l.group.Clock.Now()) // there is room for another
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
	began := l.group.Clock.Now()
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
	now := l.group.Clock.Now()
	if err == nil {
		c := &conn{link: l, net: nc, addr: addr, work: make(chan *Execution, 1), opened: now, chance: l.group.chance()}
		l.group.counts.opened.Add(1)
		go c.writes()
		go c.reads()
		l.free(c, now)
		l.mu.Unlock()
		return
	}
	if result == fleet.ConnectFailed {
		l.pool.NotUp(now, l.unused()+l.inUse, l.answered >= began)
	}
	// The one that waits longest ends with it, and all if nothing is left that could serve them.
	k := min(1, len(l.waiting))
	if l.unused()+l.inUse+l.dialing == 0 {
		k = len(l.waiting)
	}
	failed := slices.Clone(l.waiting[:k])
	l.waiting = l.waiting[k:]
	l.serve(now)
	l.mu.Unlock()
	for _, e := range failed {
		l.end(e, result, err)
	}
}

// free has a connection stand idle, or serve what waits once it has rested: a second copy or noise that comes behind an
// answer closes it until then; later that would be read as the answer of the next execution. The state of the peer is
// looked at here once more: since the execution was handed over, its grace may have run out.
func (l *Link) free(c *conn, now float64) {
	switch {
	case c.closed:
	case !l.open || c.addr != l.addr:
		l.shut(c)
	default:
		if c.since, c.ready = now, now; c.used {
			c.ready = now + l.pool.Rests(now)
		}
		if c.used {
			l.resting = append(l.resting, c)
		} else {
			l.idle = append(l.idle, c)
		}
	}
	l.serve(now)
}
