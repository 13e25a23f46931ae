package connpool

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type testConn struct {
	Conn
	attempt     *testAttempt
	respondedAt float64

	key       KeyHash // of its latest attempt
	responses []testResponse
}

// testResponse is a response that a connection has had.
type testResponse struct {
	at          float64
	key         KeyHash
	recognition Recognition // of a duplicate of it
}

// canTellDuplicates reports whether duplicates of the connection's responses since the given time can be told from the response to an
// attempt, or do no harm.
func (c *testConn) canTellDuplicates(a *testAttempt, since float64) bool {
	for _, r := range c.responses {
		recognized := r.recognition == ByValue && r.key != a.Key || r.recognition == AsRepeat && !a.ExecuteOnce ||
			r.recognition == ByFence
		if r.at > since && !recognized {
			return false
		}
	}
	return true
}

type testAttempt struct {
	Waiter
	conn  *testConn
	ended bool
}

// testOwner is an owner whose connections open and break at random. It tracks what the pool does independently of the pool's own state.
type testOwner struct {
	t        *rapid.T
	now      float64
	pool     *Pool[*testConn, *testAttempt]
	dialing  int
	ticks    []float64
	closed   map[*testConn]int
	conns    []*testConn
	attempts []*testAttempt
}

func (o *testOwner) Dial(string) { o.dialing++ }

func (o *testOwner) Assign(_ float64, c *testConn, a *testAttempt) {
	switch {
	case c.Closed:
		o.t.Fatal("an attempt was assigned a closed connection")
	case c.attempt != nil:
		o.t.Fatal("two attempts are in flight on one connection")
	case a.ended || a.conn != nil:
		o.t.Fatal("an attempt that has ended or is already in flight was assigned a connection")
	case c.Responded && o.now < c.ReadyAt:
		o.t.Fatal("a connection was used during its cooldown")
	case c.Responded && o.pool.Policy.Suspected() && o.now-c.respondedAt < o.pool.Policy.suspicion.cooldown:
		o.t.Fatal("a connection of a suspected server was reused while a duplicate may still arrive")
	case !c.canTellDuplicates(a, o.now-o.pool.Policy.config.DuplicateWindow):
		o.t.Fatal("a connection was reused although a duplicate of one of its responses would not be recognized")
	case !o.pool.Usable(c):
		o.t.Fatal("an attempt was assigned a connection to an unavailable server or to an earlier address")
	}
	if c.Responded && o.now-c.IdleSince < o.pool.Policy.safeIdle() {
		for _, other := range o.pool.idle { // no longer contains c
			if o.pool.reuseRisk(o.now, &other.Conn, &a.Waiter) == mustNotReuse {
				continue
			}
			if !other.Responded || o.now-other.IdleSince >= o.pool.Policy.safeIdle() || other.IdleSince < c.IdleSince {
				o.t.Fatal("a connection on which a duplicate may still arrive was used although another one is safe or idle longer")
			}
		}
	}
	c.attempt, a.conn, c.key = a, c, a.Key
}

func (o *testOwner) CloseConn(c *testConn) { o.closed[c]++ }

func (o *testOwner) TickAfter(ms float64) { o.ticks = append(o.ticks, o.now+ms) }

// markEnded records that attempts ended because the pool returned them.
func (o *testOwner) markEnded(attempts []*testAttempt) {
	for _, a := range attempts {
		if a.ended || a.conn != nil {
			o.t.Fatal("the pool returned an attempt that has ended or is in flight")
		}
		a.ended = true
	}
}

func (o *testOwner) runTicks() {
	for len(o.ticks) > 0 && o.ticks[len(o.ticks)-1] <= o.now {
		o.ticks = o.ticks[:len(o.ticks)-1]
		o.markEnded(o.pool.Tick(o.now))
	}
}

// selectConns returns the connections that match.
func (o *testOwner) selectConns(match func(*testConn) bool) []*testConn {
	var selected []*testConn
	for _, c := range o.conns {
		if match(c) {
			selected = append(selected, c)
		}
	}
	return selected
}

func (o *testOwner) inFlight() []*testConn {
	return o.selectConns(func(c *testConn) bool { return c.attempt != nil })
}

// duplicate lets a duplicate response arrive on a connection without an attempt.
func (o *testOwner) duplicate() {
	inFlight := o.inFlight()
	unused := o.selectConns(func(c *testConn) bool { return c.attempt == nil && c.Responded && !c.Closed })
	if len(unused) == 0 {
		return
	}
	c, wasSuspected := rapid.SampledFrom(unused).Draw(o.t, "duplicate on"), o.pool.Policy.Suspected()
	lateness := max(0, o.now-c.IdleSince)
	recognizedAnyway := o.pool.Policy.config.Fences && lateness < o.pool.Policy.config.DuplicateWindow
	suspected := o.pool.ReceivedUnsolicited(o.now, c)
	o.pool.RemoveUnused(c)
	o.pool.CloseConn(c, ClosedBroken)
	if recognizedAnyway && !wasSuspected && o.pool.Policy.Suspected() {
		o.t.Fatalf("a server with fences became suspected for a duplicate that was %v ms late", lateness)
	}
	for _, other := range inFlight {
		want := !wasSuspected && o.pool.Policy.Suspected() && other.Responded && other.IdleDuration < o.pool.Policy.cooldown() &&
			(other.IdleDuration >= o.pool.Policy.config.DuplicateWindow || lateness >= o.pool.Policy.config.DuplicateWindow)
		if want != slices.Contains(suspected, other) {
			o.t.Fatalf("returned as suspected: %v for a connection reused after %v ms", !want, other.IdleDuration)
		}
	}
	o.pool.Dispatch(o.now)
}

func (o *testOwner) acquire() {
	a := &testAttempt{Waiter: Waiter{
		Key:         rapid.SampledFrom([]KeyHash{1, 2, 3}).Draw(o.t, "key"),
		ExecuteOnce: rapid.Bool().Draw(o.t, "execute once"),
	}}
	if o.pool.Acquire(o.now, a) == Admitted {
		o.attempts = append(o.attempts, a)
	}
}

func (o *testOwner) endDial() {
	if o.dialing == 0 {
		return
	}
	o.dialing--
	if rapid.IntRange(0, 4).Draw(o.t, "dial fails") == 0 {
		o.markEnded(o.pool.DialFailed(o.now, o.now-10, rapid.Bool().Draw(o.t, "attempted")))
		return
	}
	c := &testConn{Conn: Conn{Addr: rapid.SampledFrom([]string{"a", "a", "b"}).Draw(o.t, "addr")}}
	o.conns = append(o.conns, c)
	o.pool.DialSucceeded(o.now, c)
}

func (o *testOwner) respond() {
	inFlight := o.inFlight()
	if len(inFlight) == 0 {
		return
	}
	c := rapid.SampledFrom(inFlight).Draw(o.t, "responded")
	c.attempt.ended = true
	c.attempt, c.respondedAt = nil, o.now
	rejected := rapid.IntRange(0, 5).Draw(o.t, "rejected") == 0
	last := rapid.IntRange(0, 5).Draw(o.t, "last") == 0
	recognitions := []Recognition{Unrecognizable, ByValue, AsRepeat}
	if o.pool.Policy.config.Fences {
		recognitions = []Recognition{Unrecognizable, ByFence}
	}
	recognition := rapid.SampledFrom(recognitions).Draw(o.t, "recognition")
	c.responses = append(c.responses, testResponse{o.now, c.key, recognition})
	o.pool.Responded(o.now, c, Response{Rejected: rejected, Last: last, Recognition: recognition})
}

// breakConn breaks a connection, which fails or cancels its attempt.
func (o *testOwner) breakConn() {
	if len(o.conns) == 0 {
		return
	}
	c := rapid.SampledFrom(o.conns).Draw(o.t, "broken")
	o.pool.RemoveUnused(c)
	o.pool.CloseConn(c, ClosedBroken)
	if a := c.attempt; a != nil {
		c.attempt, a.ended = nil, true
		o.pool.Detach(c)
	}
	o.pool.Dispatch(o.now)
}

func (o *testOwner) reapOrRetarget() {
	available := rapid.Bool().Draw(o.t, "available")
	if rapid.Bool().Draw(o.t, "reap") {
		o.pool.Reap(o.now)
		return
	}
	o.markEnded(o.pool.SetTarget(o.now, rapid.SampledFrom([]string{"a", "b"}).Draw(o.t, "to"), available))
}

func (o *testOwner) step() {
	switch rapid.IntRange(0, 10).Draw(o.t, "step") {
	case 0, 1, 2:
		o.acquire()
	case 3, 4:
		o.endDial()
	case 5, 6, 7:
		o.respond()
	case 8:
		o.breakConn()
	case 10:
		o.duplicate()
	default:
		o.reapOrRetarget()
	}
}

// check compares the pool's state with what the owner tracked.
func (o *testOwner) check() {
	for c, n := range o.closed {
		if n > 1 || !c.Closed {
			o.t.Fatalf("a connection was closed %d times", n)
		}
	}
	state, inFlight, waiting := o.pool.State(), len(o.inFlight()), 0
	for _, a := range o.attempts {
		if !a.ended && a.conn == nil {
			waiting++
		}
	}
	if state.InUse != inFlight || state.Waiting != waiting || state.Dialing != o.dialing {
		o.t.Fatalf("%+v, but %d in use, %d waiting, %d dialing", state, inFlight, waiting, o.dialing)
	}
	for _, a := range o.pool.waiters {
		if k := o.pool.pickIdle(o.now, &a.Waiter); k >= 0 {
			o.t.Fatalf("%d attempts wait although a connection is ready: %+v", waiting, o.pool.idle[k])
		}
	}
	if len(o.pool.idle) != state.Open-state.InUse-state.CoolingDown {
		o.t.Fatalf("%+v, but %d connections are ready", state, len(o.pool.idle))
	}
}

// In any sequence of events, a connection serves one attempt at a time, and none while it is closed, cooling or connected to an earlier
// address, nor one for which a duplicate would not be recognized; each connection is closed once, and no attempt waits while a connection
// that it may use is ready.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Nodes: 1, Cooldown: 5, DialAfterWait: 20, IdleTimeout: 400,
			DuplicateWindow: rapid.SampledFrom([]float64{0, 40}).Draw(t, "duplicate window"),
			Fences:          rapid.Bool().Draw(t, "fences"),
			MaxConns:        rapid.IntRange(0, 4).Draw(t, "max conns"), MaxWaiting: rapid.IntRange(0, 6).Draw(t, "max waiting"),
			WaitTimeout: rapid.SampledFrom([]float64{0, 50}).Draw(t, "wait timeout"),
			MaxAge:      rapid.SampledFrom([]float64{0, 300}).Draw(t, "max age"),
		}
		config.CompareWindow = 2 * config.DuplicateWindow
		o := &testOwner{t: t, now: 1000, closed: map[*testConn]int{}}
		o.pool = New(NewPolicy(config, 1, 0.5), &Counters{}, Owner[*testConn, *testAttempt](o))
		o.pool.SetTarget(o.now, "a", true)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			o.now += rapid.Float64Range(0, 15).Draw(t, "ms")
			o.runTicks()
			o.step()
			o.check()
		}
	})
}

// While dials fail because of this machine, attempts wait for connections that others release, and fail when they have waited for a sixteenth
// of their timeout. They once failed with each dial, and all attempts of a request within milliseconds.
func TestAttemptsWaitWhileDialsFailLocally(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &testOwner{t: t, now: 1000, closed: map[*testConn]int{}}
		o.pool = New(NewPolicy(Config{Cooldown: 2}, 1, 0.5), &Counters{}, Owner[*testConn, *testAttempt](o))
		o.pool.SetTarget(o.now, "a", true)
		newAttempt := func() *testAttempt {
			a := &testAttempt{}
			a.LimitLocalWait(160)
			o.pool.Acquire(o.now, a)
			return a
		}
		first := newAttempt()
		o.dialing--
		c := &testConn{Conn: Conn{Addr: "a"}}
		o.pool.DialSucceeded(o.now, c)
		second, third := newAttempt(), newAttempt()
		for o.dialing > 0 {
			o.dialing--
			o.markEnded(o.pool.DialFailed(o.now, o.now, false))
		}
		if second.ended || third.ended {
			t.Fatal("an attempt failed with the first dial")
		}
		o.now += localRetryInterval
		o.runTicks()
		if o.dialing != 1 {
			t.Fatalf("%d dials after the first ones have failed", o.dialing)
		}
		c.attempt, first.ended = nil, true
		o.pool.Responded(o.now, c, Response{})
		o.now += o.pool.Policy.config.Cooldown
		o.runTicks()
		if second.conn != c {
			t.Fatal("the attempt that waited longest has not got the connection that was released")
		}
		o.now += 10
		o.dialing--
		o.markEnded(o.pool.DialFailed(o.now, o.now, false))
		if !third.ended {
			t.Fatal("an attempt waits for longer than it may")
		}
	})
}

// After the cooldown has become shorter, a connection is used as soon as its own cooldown is over. It once waited for those before it.
func TestShorterCooldownTakesEffectAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &testOwner{t: t, now: 1000, closed: map[*testConn]int{}}
		o.pool = New(NewPolicy(Config{Cooldown: 500}, 1, 0.5), &Counters{}, Owner[*testConn, *testAttempt](o))
		o.pool.SetTarget(o.now, "a", true)
		var conns []*testConn
		for range 2 {
			o.pool.Acquire(o.now, &testAttempt{})
			c := &testConn{Conn: Conn{Addr: "a"}}
			o.pool.DialSucceeded(o.now, c)
			conns = append(conns, c)
		}
		for _, c := range conns {
			c.attempt = nil
			o.pool.Responded(o.now, c, Response{})
			o.pool.Policy.config.Cooldown = 2
		}
		o.now += 2
		next := &testAttempt{}
		o.pool.Acquire(o.now, next)
		if next.conn != conns[1] {
			t.Fatal("the attempt does not get the connection whose cooldown is over")
		}
	})
}
