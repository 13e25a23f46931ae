// Package hands keeps the queries that a node has in hand, between what its sockets see and what its mind says of it: each event
// becomes a call on the mind, and each move of the mind something to do. It does no I/O and reads no clock, so that a node on
// sockets and an emulated one are the same here; times are float ms. One goroutine owns a table.
package hands

import (
	"cmp"
	"math"
	"slices"

	"mintspring/fleet"
	"mintspring/node/exchange"
)

// Mind is what is asked. decide.Node is the one that operators run; others are baselines of experiments.
type Mind interface {
	Where(now float64, q *fleet.Query) fleet.Move
	After(now float64, q *fleet.Query, o fleet.Outcome) fleet.Move
	Wait(now float64) (fleet.Ref, float64)
	Members(now float64, mode fleet.ListMode, entries []fleet.Member)
	Left(now float64, q *fleet.Query)
	Whole(now float64, q *fleet.Query)
}

// Ways are how a table reaches servers and the list. E is an execution as the owner knows it.
type Ways[E comparable] interface {
	Send(now float64, to fleet.ServerID, x *exchange.Exchange, no int, limit, by float64) E // given up after limit ms; not sent after by
	Cancel(now float64, at fleet.ServerID, e E)
	Withdraw(now float64, at fleet.ServerID, e E)             // give e up unless its last byte has gone
	Whole(now float64, at fleet.ServerID, e E, until float64) // the value of the query has come
	LetGo(of fleet.ServerID)                                  // close its idle connections
	Watch()                                                   // be told of changes of the list
	Ask()                                                     // have the whole list once
	Began(h *Hand[E])                                         // a query is in hand
	Over(now float64, h *Hand[E])                             // and no longer, nor is anything of it out
}

// Hand is a query in hand: its exchange and its executions by number.
type Hand[E comparable] struct {
	X       *exchange.Exchange
	Q       *fleet.Query
	Receipt []byte // of an execution that was completed; nil: none was, or its value is large
	execs   [fleet.MaxExecs]E
	drawn   bool // what had not gone of it was withdrawn
}

// Ending is how an execution ended, as the connection's side saw it.
type Ending struct {
	Result fleet.Result
	Took   float64
	Stale  bool // it was lost with a connection that had been forgotten while it was idle
	Note   fleet.Note
	Report fleet.Report
	Value  []byte
	Large  exchange.Stream // the value, in place of that
}

// Tally counts what went through.
type Tally struct {
	Answers  [3]int // by exchange.Kind
	Outcomes [fleet.Missed + 1]int
	Left     int
}

// Table is the queries in hand of one node.
type Table[E comparable] struct {
	Mind  Mind
	Slab  fleet.Slab
	Tally Tally

	Took func(q *fleet.Query, key []byte)                     // what has come; nil: nobody wants to know
	Saw  func(now float64, at fleet.ServerID, r fleet.Result) // how each execution ended; nil: the same

	ways   Ways[E]
	byX    map[*exchange.Exchange]*Hand[E]
	byRef  map[fleet.Ref]*Hand[E]
	lastID fleet.QueryID
}

// New makes an empty table. The mind is set before the first call: it wants the table's slab.
func New[E comparable](w Ways[E]) *Table[E] {
	return &Table[E]{ways: w, byX: map[*exchange.Exchange]*Hand[E]{}, byRef: map[fleet.Ref]*Hand[E]{}}
}

// Len is how many are in hand.
func (t *Table[E]) Len() int { return len(t.byX) }

// Take takes a query in that has come.
func (t *Table[E]) Take(now float64, x *exchange.Exchange) {
	q := t.Slab.Take()
	t.lastID++
	q.ID, q.Workload, q.Tenant = t.lastID, x.Workload, x.Tenant
	q.Key, q.HasKey, q.Write = x.Point, true, x.Write
	q.Arrived, q.Deadline, q.Work, q.Size = x.Arrived, x.Deadline, x.Work, x.Size
	q.Coming = x.Body != nil
	if t.Took != nil {
		t.Took(q, x.Key)
	}
	h := &Hand[E]{X: x, Q: q}
	t.byX[x], t.byRef[q.Ref] = h, h
	t.ways.Began(h)
	t.act(now, h, t.Mind.Where(now, q))
}

// Whole says that all of a value has come that was passed on as it came. The client's time runs from then.
func (t *Table[E]) Whole(now float64, x *exchange.Exchange, at float64) {
	h := t.byX[x]
	if h == nil || h.Q.Closed {
		return
	}
	h.Q.Arrived, h.Q.Deadline = at, at+x.Span
	t.Mind.Whole(now, h.Q)
	var none E
	for i := range h.Q.Execs[:h.Q.N] {
		if h.Q.Execs[i].Result == fleet.Pending && h.execs[i] != none {
			t.ways.Whole(now, h.Q.Execs[i].Server, h.execs[i], h.Q.Deadline)
		}
	}
}

// Left says that the client of a query has gone.
func (t *Table[E]) Left(now float64, x *exchange.Exchange) {
	h := t.byX[x]
	if h == nil || h.Q.Closed {
		return
	}
	t.Tally.Left++
	t.Mind.Left(now, h.Q)
	t.settle(now, h)
}

// Ended takes in how an execution of a query has ended.
func (t *Table[E]) Ended(now float64, x *exchange.Exchange, no int, e Ending) {
	h := t.byX[x]
	if h == nil {
		if e.Large != nil {
			e.Large.Close()
		}
		return
	}
	o := fleet.Outcome{Exec: no, Result: e.Result, Took: max(0, e.Took), Stale: e.Stale, Note: e.Note, Report: e.Report}
	t.Tally.Outcomes[o.Result]++
	if t.Saw != nil && !e.Stale {
		t.Saw(now, h.Q.Execs[no].Server, e.Result)
	}
	h.Q.Spent = x.Body != nil && x.Body.Used()
	if e.Result == fleet.Completed && e.Large == nil {
		h.Receipt = e.Value
	}
	if o.Over = h.Q.Closed; o.Result == fleet.Completed && !o.Over {
		// Of a large value the rest is between its server and its client: to the module the query is over.
		o.Over = true
		t.Answer(x, exchange.Answer{Kind: exchange.Completed, Value: e.Value, Large: e.Large})
	} else if e.Large != nil {
		e.Large.Close()
	}
	t.act(now, h, t.Mind.After(now, h.Q, o))
}

// Next says what is due: a query to Ask about, nil for the node's own upkeep, or nothing for so many ms.
func (t *Table[E]) Next(now float64) (h *Hand[E], wait float64) {
	r, wait := t.Mind.Wait(now)
	if wait > 0 {
		return nil, wait
	}
	return t.byRef[r], 0
}

// Ask asks the mind about a query, or without one about the node itself, and does what it says.
func (t *Table[E]) Ask(now float64, h *Hand[E]) {
	if h == nil {
		t.act(now, nil, t.Mind.Where(now, nil))
		return
	}
	t.act(now, h, t.Mind.Where(now, h.Q))
}

// Crashed ends a query whose handling has failed within the node.
func (t *Table[E]) Crashed(now float64, x *exchange.Exchange, why string) {
	t.Answer(x, exchange.Answer{Kind: exchange.Aborted, Why: why})
	if h := t.byX[x]; h != nil {
		h.Q.Closed = true
		t.settle(now, h)
	}
}

// Owing tells whether a query waits for its answer. Executions of answered ones may still be out.
func (t *Table[E]) Owing() bool {
	for _, h := range t.byX {
		if !h.Q.Closed {
			return true
		}
	}
	return false
}

// Abort ends all that have no answer yet, in the order in which they came.
func (t *Table[E]) Abort(now float64, why string) {
	var open []*Hand[E]
	for _, h := range t.byX {
		if !h.Q.Closed {
			open = append(open, h)
		}
	}
	slices.SortFunc(open, func(a, b *Hand[E]) int { return cmp.Compare(a.Q.ID, b.Q.ID) })
	for _, h := range open {
		t.Answer(h.X, exchange.Answer{Kind: exchange.Aborted, Why: why})
		t.Mind.Left(now, h.Q)
		t.settle(now, h)
	}
}

// Answer gives a query its final answer, unless it has one.
func (t *Table[E]) Answer(x *exchange.Exchange, a exchange.Answer) {
	if x.Answer(a) {
		t.Tally.Answers[a.Kind]++
	} else if a.Large != nil {
		a.Large.Close()
	}
}

// act does what the mind answered.
func (t *Table[E]) act(now float64, h *Hand[E], m fleet.Move) {
	switch m.Action {
	case fleet.Send:
		h.execs[m.Exec] = t.ways.Send(now, m.Server, h.X, m.Exec, m.Limit, cmp.Or(m.By, math.Inf(1)))
	case fleet.Cancel:
		t.ways.Cancel(now, h.Q.Execs[m.Exec].Server, h.execs[m.Exec])
	case fleet.Reject:
		t.Answer(h.X, exchange.Answer{Kind: exchange.Rejected, Wait: m.Wait})
	case fleet.Abort:
		t.Answer(h.X, exchange.Answer{Kind: exchange.Aborted, Why: "it may or may not have been carried out"})
	case fleet.Subscribe:
		t.ways.Watch()
	case fleet.AskList:
		t.ways.Ask()
	}
	if m.LetGo {
		t.ways.LetGo(m.Close)
	}
	if h != nil {
		t.settle(now, h)
	}
}

// settle gives the place of a query back once it is closed and nothing of it is out.
//
// Of a closed query nothing more is sent: what still waits for a connection, or is being written, is withdrawn. A client that leaves
// while connections come up late otherwise has its query executed long after.
func (t *Table[E]) settle(now float64, h *Hand[E]) {
	if h.Q.Closed && h.Q.Out > 0 && !h.drawn {
		h.drawn = true
		for i := range h.Q.Execs[:h.Q.N] {
			if e := &h.Q.Execs[i]; e.Result == fleet.Pending && !e.Quit {
				t.ways.Withdraw(now, e.Server, h.execs[i])
			}
		}
	}
	if h.Q.Closed && h.Q.Out == 0 && t.byX[h.X] == h {
		t.ways.Over(now, h)
		delete(t.byX, h.X)
		delete(t.byRef, h.Q.Ref)
		t.Slab.Free(h.Q)
	}
}
