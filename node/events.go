package node

import (
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"mintspring/fleet"
	"mintspring/hands"
	"mintspring/node/clients"
	"mintspring/node/exchange"
	"mintspring/node/link"
)

// event is something that sockets have seen. The loop handles it.
type event interface {
	handle(n *Node, now float64)
	about() *exchange.Exchange // the query that it is about, nil for none
}

// inbox takes events from any goroutine. Posting never blocks.
type inbox struct {
	wake chan struct{}

	mu     sync.Mutex
	events []event
}

func (b *inbox) post(e event) {
	b.mu.Lock()
	b.events = append(b.events, e)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take moves what is pending to the end of into.
func (b *inbox) take(into []event) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into, b.events...)
	clear(b.events)
	b.events = b.events[:0]
	return into
}

// arrived: a query has come.
type arrived struct{ x *exchange.Exchange }

func (e arrived) about() *exchange.Exchange  { return e.x }
func (e gone) about() *exchange.Exchange     { return e.x }
func (e ended) about() *exchange.Exchange    { return e.exec.X }
func (e listed) about() *exchange.Exchange   { return nil }
func (e unlisted) about() *exchange.Exchange { return nil }
func (e leave) about() *exchange.Exchange    { return nil }

func (e arrived) handle(n *Node, now float64) {
	x := e.x
	if n.endsAt > 0 {
		x.Deadline = min(x.Deadline, n.endsAt) // it is over before the process is; past that it is rejected unsent
	}
	waiting := 0
	if n.sales != nil {
		waiting = n.sales.claims
	}
	if most := n.site.MostOpen; most > 0 && n.hands.Len()+waiting >= most {
		n.hands.Answer(x, exchange.Answer{Kind: exchange.Rejected, Wait: n.front.Names().BusyWait})
		return
	}
	if n.sales != nil && n.sales.takes(now, x) {
		return
	}
	n.hands.Take(now, x)
}

// whole: all of a value has come that was passed on as it came. The client's time runs from here.
type whole struct {
	x  *exchange.Exchange
	at float64
}

func (e whole) about() *exchange.Exchange { return e.x }

func (e whole) handle(n *Node, now float64) {
	if n.sales == nil || !n.sales.wholeOf(e.x, e.at) {
		n.hands.Whole(now, e.x, e.at)
	}
}

// gone: the client of a query has left.
type gone struct{ x *exchange.Exchange }

func (e gone) handle(n *Node, now float64) {
	if n.sales == nil || !n.sales.leftOf(e.x) {
		n.hands.Left(now, e.x)
	}
}

// ended: an execution has.
type ended struct {
	exec *link.Execution
	end  link.Ending
}

func (e ended) handle(n *Node, now float64) {
	r := e.end.Reply
	end := hands.Ending{Result: r.Result, Took: e.end.At - e.exec.Sent, Note: r.Note, Report: r.Report, Value: r.Value, Large: r.Stream}
	if b := e.end.Break; b != nil {
		end.Result, end.Report, end.Stale = b.Outcome(), fleet.NewReport(), b.Stale
		n.tally.lastBreak = b
	}
	n.hands.Ended(now, e.exec.X, e.exec.No, end)
}

// listed: discovery has told of servers.
type listed struct {
	mode    fleet.ListMode
	entries []json.RawMessage
}

func (e listed) handle(n *Node, now float64) {
	members := make([]fleet.Member, 0, len(e.entries))
	for _, text := range e.entries {
		m, err := n.member(now, text)
		if err != nil {
			n.log.WithError(err).Warn("an entry of the list cannot be read")
			continue
		}
		members = append(members, m)
	}
	if e.mode != fleet.ListDelta {
		for _, id := range n.roster.Missing(members) {
			n.turn(now, id, fleet.Gone)
		}
	}
	n.hands.Mind.Members(now, e.mode, members)
	if n.memory != nil && e.mode != fleet.ListCached {
		n.memory.listed = true
		n.memory.recall(now)
	}
	for id := range n.peers {
		if n.roster.State(fleet.ServerID(id)) == fleet.Ready && n.life.Listed() {
			n.log.WithField("servers", len(members)).Info("serving")
		}
	}
}

// unlisted: a call to discovery has failed, or the watch ended. The list held stays.
type unlisted struct{ err error }

func (e unlisted) handle(n *Node, now float64) {
	n.log.WithError(e.err).Warn("the list cannot be had; the one held stays")
	if n.calls.Watches() {
		return // of a call before: the next one is out already
	}
	n.hands.Mind.Members(now, fleet.ListFailed, nil)
}

// ending: the process is to end by then.
type ending struct{ by float64 }

func (e ending) about() *exchange.Exchange { return nil }

func (e ending) handle(n *Node, now float64) { n.endsAt = e.by }

// leave: the node is to end once nothing is in hand, or now.
type leave struct{ now bool }

func (e leave) handle(n *Node, now float64) {
	n.ending = true
	if e.now {
		n.hands.Abort(now, "the node is stopping")
		if n.sales != nil {
			n.sales.abort(now)
		}
	}
}

// tally counts what went through since the last line of the log.
type tally struct {
	pools link.Counts

	lastBreak error // one is enough for on-call staff to see what kind it is
}

func (t *tally) log(log *logrus.Entry, h *hands.Table[*link.Execution], front *clients.Server, c link.Counts) {
	o, a, was := &h.Tally.Outcomes, &h.Tally.Answers, t.pools
	refused, bad, silent, cut, room := front.Counts()
	if t.lastBreak != nil {
		log = log.WithField("last_break", t.lastBreak.Error())
	}
	log.WithFields(logrus.Fields{
		"completed": a[exchange.Completed], "rejected": a[exchange.Rejected],
		"aborted": a[exchange.Aborted], "left": h.Tally.Left, "in_hand": h.Len(), "clients": front.Open(),
		"clients_refused": refused, "clients_silent": silent, "bad_commands": bad, "values_cut": cut,
		"room_idle": room[clients.Idle], "room_mute": room[clients.Mute], "room_unfinished": room[clients.Unfinished],
		"connections_opened": c.Opened - was.Opened, "connections_reused": c.Reused - was.Reused,
		"connection_waits": c.Waited - was.Waited, "waited_too_long": c.Late - was.Late, "crowded": c.Crowded - was.Crowded,
		"surplus": c.Surplus - was.Surplus, "servers_in_doubt": c.Doubts - was.Doubts, "missed": o[fleet.Missed], "failed": o[fleet.Failed],
		"full": o[fleet.Full], "timed_out": o[fleet.TimedOut], "connect_failed": o[fleet.ConnectFailed],
		"reset": o[fleet.Reset], "cancelled": o[fleet.Cancelled], "not_sent": o[fleet.NotSent],
	}).Info("traffic")
	h.Tally, *t = hands.Tally{}, tally{pools: c}
}
