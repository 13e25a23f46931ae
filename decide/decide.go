// Package decide holds every decision of a mintspring node. It is called as a client library is.
//
// The adapter puts each query into the slab it shares with the node and asks through three calls:
// Where says where to send this query (or not yet, or never), After says what to do after this outcome,
// and Wait says how long to wait and which query to ask about then (none: Where(now, nil), for the node's
// own upkeep). Facts are reported without an answer: Members, Probed, Heard, Begun, Left. The interface is
// in this file; ring.go moves the points, health.go judges servers, admit.go meters the origin and cold
// servers, list.go follows the list. All times are milliseconds on the caller's clock.
package decide

import (
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"math"

	"mintspring/fleet"
)

// Stages of a query in hand.
const (
	fresh     uint8 = iota
	out             // an execution is out at a cache
	following       // waits for another query's fetch of the same key
	queued          // waits for room at the origin
	fetching        // an execution is out at the origin
	again           // is to be routed anew
)

// Node is the state of one balancer. Nodes share nothing.
type Node struct {
	lim      limits
	slab     *fleet.Slab
	now      float64
	seed     uint64
	draws    uint64
	servers  []*server // by ServerID
	ring     []*server // by point
	origin   *server
	ready    []fleet.Ref // to be asked about now
	next     int
	alarms   alarms
	fetches  map[fleet.Key]fleet.Ref
	follows  []fleet.Ref
	list     follower
	gate4    meter
	store    stock
	moveAt   float64
	copies   float64 // budget for further executions
	atCaches int     // executions out at caches
	typical  float64 // usual answer time over all caches
	late     float64 // recent share of cache answers that were late or nearly so
}

// limits are the derived figures that decisions use.
type limits struct {
	fleet.Limits
	sloMin  float64 // shortest SLO time
	slack   float64 // kept before a deadline
	period  float64 // between moves of the ring
	through bool

	topImportance float64
	maxExecs      int
	copyRate      float64 // further executions per first one
}

// New starts a node that knows nothing but its limits.
func New(now float64, lim fleet.Limits, slab *fleet.Slab) *Node {
	n := &Node{slab: slab, now: now, seed: lim.Seed, fetches: map[fleet.Key]fleet.Ref{}}
	n.lim.Limits = lim
	n.lim.sloMin = math.Inf(1)
	for _, w := range lim.Workloads {
		n.lim.sloMin = min(n.lim.sloMin, w.SLOTime)
		n.lim.topImportance = max(n.lim.topImportance, w.Importance)
	}
	if math.IsInf(n.lim.sloMin, 1) {
		n.lim.sloMin = 1000
	}
	n.lim.slack = lim.Quantum + n.lim.sloMin/100
	n.lim.period = n.lim.sloMin
	if lim.WarmWithin > 0 {
		n.lim.period = lim.WarmWithin / 20
	}
	n.lim.through = lim.OriginKind < 0
	n.lim.maxExecs = min(max(lim.MaxExecutions, 1), fleet.MaxExecs)
	n.lim.copyRate = 0.05 / (0.5 + 2*lim.WasteCost)
	if n.lim.MustAskIn <= 0 {
		n.lim.MustAskIn = 10 * n.lim.sloMin
	}
	n.typical = n.lim.sloMin / 8
	n.store.start(n)
	n.list.start(n)
	n.moveAt = now + n.lim.period*(0.5+0.5*n.chance())
	return n
}

// chance draws from [0,1) by hashing the instance seed and a counter, so that equal events give equal moves.
func (n *Node) chance() float64 {
	var b [16]byte
	n.draws++
	binary.LittleEndian.PutUint64(b[:], n.seed)
	binary.LittleEndian.PutUint64(b[8:], n.draws)
	h := fnv.New64a()
	h.Write(b[:])
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// Where says where to send q now, to hold it, or to answer it finally. With no query it does the node's upkeep.
func (n *Node) Where(now float64, q *fleet.Query) fleet.Move {
	n.now = now
	if q == nil {
		return n.upkeep()
	}
	if q.Closed || q.Streamed {
		return fleet.Move{}
	}
	return n.gate(q, n.place(q))
}

// After takes in how an execution ended and says what to do next for its query.
func (n *Node) After(now float64, q *fleet.Query, o fleet.Outcome) fleet.Move {
	n.now = now
	if o.Exec < 0 || o.Exec >= q.N || q.Execs[o.Exec].Result != fleet.Pending {
		return fleet.Move{}
	}
	e := &q.Execs[o.Exec]
	e.Result = o.Result
	q.Out--
	s := n.servers[e.Server]
	n.learn(s, q, e, o)
	if o.Over || q.Closed {
		n.close(q)
		return n.cancelLoser(q)
	}
	if q.Streamed {
		return fleet.Move{}
	}
	if s == n.origin || q.Stage == fetching && o.Result != fleet.Missed {
		n.release(q) // the fetch is over and brought nothing; its followers look for themselves
	}
	if q.Out > 0 {
		return fleet.Move{Action: fleet.Hold}
	}
	q.Stage = again
	return n.gate(q, n.place(q))
}

// Wait says how long to wait and which query Where is to be asked about then.
func (n *Node) Wait(now float64) (fleet.Ref, float64) {
	n.now = now
	for n.next < len(n.ready) {
		r := n.ready[n.next]
		n.next++
		if q := n.slab.Get(r); q != nil && !q.Closed {
			return r, 0
		}
	}
	n.ready, n.next = n.ready[:0], 0
	if r := n.store.best(n); r != fleet.NoQuery {
		return r, 0
	}
	due := min(n.moveAt, n.list.askAt)
	for len(n.alarms) > 0 {
		a := n.alarms[0]
		if q := n.slab.Get(a.ref); q == nil || q.Closed || q.Wake != a.at {
			n.alarms.drop()
			continue
		}
		if a.at <= now {
			n.alarms.drop()
			return a.ref, 0
		}
		if a.at < due {
			return a.ref, a.at - now
		}
		break
	}
	return fleet.NoQuery, max(0, due-now)
}

// Begun reports that the answer of q streams: it belongs to the client now.
func (n *Node) Begun(now float64, q *fleet.Query, exec int) {
	n.now = now
	q.Streamed = true
	if exec >= 0 && exec < q.N {
		n.servers[q.Execs[exec].Server].hear(n)
	}
}

// Left reports that the client of q is gone.
func (n *Node) Left(now float64, q *fleet.Query) {
	n.now = now
	n.close(q)
}

// Heard takes a message of another node. None is in use yet: nothing may hang on their arrival.
func (n *Node) Heard(now float64, from fleet.NodeID, body []byte) { n.now = now }

// close ends q for the module; executions that are out still report.
func (n *Node) close(q *fleet.Query) {
	q.Closed = true
	n.release(q)
}

// release frees those who waited for q's fetch.
func (n *Node) release(q *fleet.Query) {
	if !q.HasKey || n.fetches[q.Key] != q.Ref {
		return
	}
	delete(n.fetches, q.Key)
	kept := n.follows[:0]
	for _, r := range n.follows {
		f := n.slab.Get(r)
		if f == nil || f.Closed || f.Stage != following {
			continue
		}
		if f.Leader != q.Ref {
			kept = append(kept, r)
			continue
		}
		f.Stage = again
		n.ready = append(n.ready, r)
	}
	n.follows = kept
}

// cancelLoser stops an execution that nobody waits for any more, where that frees work.
func (n *Node) cancelLoser(q *fleet.Query) fleet.Move {
	if q.Out > 0 && n.lim.Cancelling && !q.Streamed {
		for i := range q.Execs[:q.N] {
			if e := &q.Execs[i]; e.Result == fleet.Pending && !e.Quit {
				e.Quit = true
				return fleet.Move{Action: fleet.Cancel, Exec: i}
			}
		}
	}
	return fleet.Move{}
}

// place chooses for an open query; gate has the last word.
func (n *Node) place(q *fleet.Query) fleet.Move {
	if q.Out > 0 {
		return n.lookBack(q)
	}
	if q.Deadline-n.now <= n.lim.slack || q.N >= n.lim.maxExecs {
		return n.giveUp(q, n.lim.sloMin)
	}
	if !n.lim.through && q.Write {
		return n.toOrigin(q)
	}
	if q.Stage == queued {
		return n.toOrigin(q)
	}
	if q.Stage == again && q.N > 0 && !n.lim.through {
		if last := q.Execs[q.N-1]; last.Result == fleet.Missed {
			if s := n.elsewhere(q); s != nil {
				return n.send(q, s)
			}
			return n.toOrigin(q)
		}
	}
	if m, ok := n.follow(q); ok {
		return m
	}
	s := n.route(q)
	if s == nil {
		if !n.lim.through && n.origin != nil {
			return n.toOrigin(q)
		}
		return n.giveUp(q, n.typical)
	}
	if n.late > 0.15 && s.est(n) > n.bearable(q) {
		if s = n.quickest(q); s.est(n) > n.bearable(q) {
			return n.giveUp(q, s.est(n))
		}
	}
	return n.send(q, s)
}

// follow makes q wait for a fetch of its key that this node already has under way.
func (n *Node) follow(q *fleet.Query) (fleet.Move, bool) {
	if n.lim.through || !q.HasKey || q.Write {
		return fleet.Move{}, false
	}
	r, there := n.fetches[q.Key]
	if lead := n.slab.Get(r); !there || lead == nil || lead == q || lead.Closed {
		return fleet.Move{}, false
	}
	q.Stage, q.Leader = following, r
	n.follows = append(n.follows, q.Ref)
	return n.hold(q, q.Deadline-n.lim.slack), true
}

// send proposes an execution at s and says how long it may take.
func (n *Node) send(q *fleet.Query, s *server) fleet.Move {
	return fleet.Move{Action: fleet.Send, Server: s.id, Limit: n.allowed(q, s)}
}

// hold keeps q and asks again at the given time.
func (n *Node) hold(q *fleet.Query, at float64) fleet.Move {
	q.Wake = at
	n.alarms.add(alarm{at, q.Ref})
	return fleet.Move{Action: fleet.Hold}
}

// giveUp answers q at once, with a time to come back where the client may be told one.
func (n *Node) giveUp(q *fleet.Query, wait float64) fleet.Move {
	m := fleet.Move{Action: fleet.Reject}
	if n.lim.RetryAfter {
		m.Wait = min(wait, n.lim.MaxRetryAfter)
	}
	return m
}

// gate is the one place that every send, rejection, abort and cancel passes. It keeps the four rules:
// what they forbid becomes the nearest thing that they allow.
func (n *Node) gate(q *fleet.Query, m fleet.Move) fleet.Move {
	if m.Action == fleet.Send && (q.Out > 0 && !n.lim.SecondCopies || !n.maySend(q, n.servers[m.Server])) {
		if q.Out > 0 {
			return n.hold(q, q.Deadline)
		}
		m = n.giveUp(q, n.lim.sloMin)
	}
	switch m.Action {
	case fleet.Send:
		s := n.servers[m.Server]
		m.Exec = q.N
		q.Execs[q.N] = fleet.Exec{Server: s.id, Sent: n.now, Ahead: s.ahead(n)}
		q.N++
		q.Out++
		n.sent(s, q)
		if s == n.origin {
			q.Stage = fetching
		} else {
			q.Stage = out
		}
		if s != n.origin && n.looksBack(q) {
			n.hold(q, n.now+n.patience(q, s))
		}
	case fleet.Reject:
		if q.Out > 0 || !n.mayReject(q) {
			m = fleet.Move{Action: fleet.Abort}
		}
		n.close(q)
	case fleet.Abort:
		n.close(q)
	}
	return m
}

// maySend checks rules 1 to 4 for one more execution of q at s.
func (n *Node) maySend(q *fleet.Query, s *server) bool {
	if q.Closed || q.Streamed || q.N >= n.lim.maxExecs || n.now >= q.Deadline {
		return false
	}
	if s.state != fleet.Ready || !n.gate4.room(n, s, q) {
		return false
	}
	w := &n.lim.Workloads[q.Workload]
	for i := range q.Execs[:q.N] {
		e := &q.Execs[i]
		if w.Effect == fleet.Idempotent || e.Result.NeverRan() {
			continue
		}
		first := n.servers[e.Server]
		if w.Effect == fleet.NonIdempotent || n.now+n.lim.slack > e.Sent+w.DedupSpan ||
			w.Scope == fleet.ScopeZone && first.zone != s.zone ||
			w.Scope == fleet.ScopeCell && first.cell != s.cell {
			return false
		}
	}
	return true
}

// mayReject tells whether the client may safely try q again.
func (n *Node) mayReject(q *fleet.Query) bool {
	w := &n.lim.Workloads[q.Workload]
	for i := range q.Execs[:q.N] {
		if q.Execs[i].Result.NeverRan() || w.Effect == fleet.Idempotent {
			continue
		}
		if w.Effect == fleet.NonIdempotent || w.Scope != fleet.ScopeAll {
			return false
		}
	}
	return true
}

type alarm struct {
	at  float64
	ref fleet.Ref
}

// alarms is a heap by time. Entries that no longer match their query's Wake are dropped when they surface.
type alarms []alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(any)          {} // add and drop use heap.Fix, which boxes nothing
func (a *alarms) Pop() any          { return nil }

func (a *alarms) add(x alarm) {
	*a = append(*a, x)
	heap.Fix(a, len(*a)-1)
}

func (a *alarms) drop() {
	last := len(*a) - 1
	a.Swap(0, last)
	*a = (*a)[:last]
	if last > 0 {
		heap.Fix(a, 0)
	}
}
