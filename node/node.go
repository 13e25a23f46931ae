// Package node is the real node: one goroutine that owns the decision module and the queries in hand, and the
// sockets round it. Sockets post events; the loop asks the module and does what it answers. It decides nothing
// itself and never blocks on a socket.
package node

import (
	"encoding/json"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/decide"
	"mintspring/fleet"
	"mintspring/hands"
	"mintspring/keep"
	"mintspring/lifecycle"
	"mintspring/maintenance"
	"mintspring/node/admin"
	"mintspring/node/clients"
	"mintspring/node/clock"
	"mintspring/node/exchange"
	"mintspring/node/link"
	"mintspring/node/list"
	"mintspring/node/origin"
	"mintspring/node/quota"
	"mintspring/node/room"
	"mintspring/node/servers"
	"mintspring/operator"
	"mintspring/pool"
	"mintspring/roster"
	"mintspring/settings"
	"mintspring/terms"
)

// Birth is what a node is started with.
type Birth struct {
	Name       string
	Discovery  string
	Known      list.Update
	Site       settings.Deployment
	MemoryMB   int
	Sockets    int
	Door       bool           // operators may call
	Operator   *operator.File // nil: nothing in it is on
	PeerListen string         // where peers are heard, and their addresses by number, as the platform has them
	Peers      []string
	Mind       func(now float64, l fleet.Limits, slab *fleet.Slab) Mind // nil: decide's
	Disk       func(dir string) keep.Files                              // nil: the folder's own
}

// Mind is what the loop asks.
type Mind = hands.Mind

// hand is a query in hand.
type hand = hands.Hand[*link.Execution]

// patience is how long a client may take before its first query is whole, in ms. The page of daily operation gives it 2,000
// for a head, and that of bad clients owes one that never gets there an end within 3,000. Usual ones connect to ask; those
// that never do come by hundreds, and would take the descriptors of others.
const patience = 2500

// idleMay is when a connection on which nothing is in hand may be closed, in ms (the page of the service, "The long day").
const idleMay = 2000

// roomShare is the part of the memory that large values may hold which have to be held whole: those whose length the origin
// does not tell and, as much again, those that clients write. It is that of commands and answers.
const roomShare = 8

// peer is one server as the list has it, with the link to it.
type peer struct {
	entry list.Entry
	link  *link.Link
}

// Node is one running node.
type Node struct {
	log      *logrus.Entry
	name     string
	seed     uint64
	door     bool
	memoryMB int
	sockets  *quota.Sockets
	kin      kin

	site  settings.Deployment
	clock *clock.Clock
	front *clients.Server
	group *link.Group
	calls *list.Caller
	inbox inbox
	life  lifecycle.Life
	draws atomic.Uint64

	// Owned by the loop.
	hands             *hands.Table[*link.Execution]
	roll              *maintenance.Roll
	table             terms.Table
	sweepAt           float64
	roster            *roster.Roster
	peers             []*peer // by their places there
	pools, originPool pool.Terms
	tally             tally
	memory            *memory  // nil: nothing is kept
	company           *company // nil: it has no peers
	tasks             *tasks   // nil: it has no council
	sales             *sales   // nil: it takes part in no book
	recalled          float64  // of when what was taken in last is; 0: nothing was
	endsAt            float64  // what comes by then has to be answered; 0: the node is not ending
	ending            bool
	answered          bool
	idle              chan struct{} // closed when the node is ending and all is answered
	quit              chan struct{} // closed when the loop is to end
}

// New makes a node that knows what it was started with.
func New(b Birth, log *logrus.Logger) *Node {
	n := &Node{log: log.WithField("node", b.Name), name: b.Name, seed: b.Site.Limits.Seed, door: b.Door, memoryMB: b.MemoryMB, site: b.Site, clock: clock.New(),
		roll: maintenance.New(),
		idle: make(chan struct{}), quit: make(chan struct{})}
	n.hands = hands.New(hands.Ways[*link.Execution](ways{n}))
	n.inbox.wake = make(chan struct{}, 1)
	aside := 0
	if b.Door {
		aside = admin.Most
	}
	sockets := quota.New(b.Sockets, aside)
	n.sockets = sockets
	soonest, longest := b.Site.Spans()
	n.group = &link.Group{Clock: n.clock, Sockets: sockets, Done: n.done, Panicked: n.panicked,
		ConnectTimeout: ConnectTimeout(&b.Site), Stall: soonest / 4, Pause: longest,
		Room:   room.New(int64(b.MemoryMB) << 20 / roomShare),
		Chance: n.chance}
	n.front = &clients.Server{Node: n, Life: &n.life, Chance: n.chance, Clock: n.clock, Sockets: sockets,
		Panicked: n.panicked, Logf: n.log.Warnf, Patience: patience, MostHeld: int64(b.MemoryMB) << 20 / 8,
		Room: room.New(int64(b.MemoryMB) << 20 / roomShare)}
	n.table.Turn(n.clock.Now(), b.Site.Workloads, b.Site.Limits.Workloads)
	n.front.Tune(clients.NewNames(b.Site, n.table.ID))
	n.calls = &list.Caller{Addr: b.Discovery,
		Told: func(u list.Update) {
			mode := fleet.ListDelta
			if u.Complete {
				mode = fleet.ListFull
			}
			n.inbox.post(listed{mode, u.Members})
		},
		Failed: func(err error) { n.inbox.post(unlisted{err}) }}
	// Who has asked and stays goes before who has just come: where the quiet ones held all there is, each newcomer took
	// the place of the one before it, whose query was still on its way.
	sockets.Spare(true, func() bool { return n.front.SpareAnswered(idleMay) })
	sockets.Spare(true, func() bool { return n.front.Spare(clients.Mute, 0) })
	sockets.Spare(false, n.group.Spare)
	sockets.Spare(true, func() bool { return n.front.Spare(clients.Idle, 0) })
	sockets.Spare(true, func() bool { return n.front.Spare(clients.Unfinished, 0) })
	n.pools, n.originPool = Pools(&b.Site, b.Operator)
	n.roster = roster.New(Keeps(&b.Site))
	now := n.clock.Now()
	b.Site.Limits.Subscribe = true // over HTTP nothing comes unasked, also where the settings say that changes do
	if b.Mind == nil {
		n.hands.Mind = decide.New(now, b.Site.Limits, &n.hands.Slab)
	} else {
		n.hands.Mind = b.Mind(now, b.Site.Limits, &n.hands.Slab)
	}
	if err := n.join(b); err != nil {
		n.log.WithError(err).Error("going on without peers")
	}
	if err := n.convene(b); err != nil {
		n.log.WithError(err).Error("going on without a council")
	}
	if err := n.keepBook(b); err != nil {
		n.log.WithError(err).Error("going on without the book")
	}
	n.remember(b)
	n.calls.Start(b.Known.Revision)
	listed{fleet.ListCached, b.Known.Members}.handle(n, now)
	return n
}

// ConnectTimeout is when a connection that has not come up is given up, in ms.
func ConnectTimeout(site *settings.Deployment) float64 {
	if site.ConnectTimeout > 0 {
		return site.ConnectTimeout
	}
	_, longest := site.Spans()
	return longest / 4
}

// Keeps is how long the place of a server that is gone is kept, in ms: no query in hand is as old.
func Keeps(site *settings.Deployment) float64 {
	_, longest := site.Spans()
	return longest + site.Limits.StopSendingWithin
}

// Pools are the terms of connections to a cache server and to the origin. Without the operator's section nothing bounds
// them but the peers.
func Pools(site *settings.Deployment, o *operator.File) (cache, origin pool.Terms) {
	q := site.Limits.Quantum
	t := pool.Terms{Nodes: site.Limits.Nodes, Self: site.Self, Rest: q / 2, Patience: 10 * q,
		Idle: 0.75 * site.ConnIdle, StartFor: site.Limits.WarmWithin}
	if o == nil || o.Connections == nil {
		return t, t
	}
	return o.Connections.Over(t)
}

// Serve runs the node on a listener until Stop has come to its end.
func (n *Node) Serve(ln net.Listener) error {
	go n.loop()
	return n.front.Serve(ln)
}

// settle is how long past its bound a stop may take, for the last answers on their way and for what was learnt. The platform
// kills 100 ms past the bound that the program gives.
const settle = 80 * time.Millisecond

// Stop ends the node at a planned restart. Clients go on coming for a moment, and those that are there are
// answered: it returns when the grace is over and all is answered. What has no answer when the bound is
// reached is aborted, for a query that the end of the process finds unanswered is lost.
func (n *Node) Stop(grace, bound time.Duration) {
	start := time.Now()
	n.life.End()
	n.inbox.post(ending{n.clock.Now() + float64(bound/time.Millisecond)})
	n.front.Sweep()
	if _, heir, yes := n.other(); heir || !yes {
		time.Sleep(grace)
		n.life.Finish()
	} else {
		// Newcomers are a successor's already, and so are clients between two queries. Those that never stand there are ended in time.
		defer time.AfterFunc(bound/2, n.life.Finish).Stop()
	}
	n.front.Shut()
	n.front.Sweep()
	n.inbox.post(leave{})
	select {
	case <-n.idle:
	case <-time.After(time.Until(start.Add(bound))):
	}
	// A client may have begun a command that is whole only now; all are answered when all are closed.
	for n.front.Open() > 0 && time.Since(start) < bound {
		time.Sleep(time.Millisecond)
	}
	if n.front.Open() > 0 {
		n.log.Warn("aborting what is still in hand")
		n.inbox.post(leave{now: true})
	}
	n.closeBook(start.Add(bound + settle))
	// The last answers are on their way through the writers.
	for n.front.Open() > 0 && time.Since(start) < bound+settle/2 {
		time.Sleep(time.Millisecond)
	}
	if n.memory != nil {
		n.memory.last(start.Add(bound + settle))
	}
	if n.company != nil {
		n.company.socket.Close()
	}
	if n.tasks != nil {
		n.order(func(float64) (string, error) { n.tasks.stop(); return "", nil })
	}
	close(n.quit)
}

// Follow turns to discovery at another address. Queries in hand and clients are not touched.
func (n *Node) Follow(discovery string) { n.calls.Follow(discovery) }

// LongestTimeout is the longest statement timeout, in ms.
func (n *Node) LongestTimeout() float64 { return n.front.Names().Stalled }

// chance draws from [0,1).
func (n *Node) chance() float64 { return fleet.Unit(n.seed + n.draws.Add(1)) }

// Ready tells whether the node would answer PING with yes.
func (n *Node) Ready() bool { return n.life.Serves() }

// Take, Whole and Left are what the client side calls.
func (n *Node) Whole(x *exchange.Exchange, at float64) { n.inbox.post(whole{x, at}) }
func (n *Node) Take(x *exchange.Exchange)              { n.inbox.post(arrived{x}) }
func (n *Node) Left(x *exchange.Exchange)              { n.inbox.post(gone{x}) }

func (n *Node) done(e *link.Execution, end link.Ending) { n.inbox.post(ended{e, end}) }

func (n *Node) panicked(p any) {
	n.log.WithField("stack", string(debug.Stack())).Errorf("panic: %v", p)
}

// sweeps is the time between two looks at which connections are to be closed, while any are.
const sweeps = 50 * time.Millisecond

// loop is the one goroutine that owns the module.
func (n *Node) loop() {
	timer := time.NewTimer(0)
	tick := time.NewTicker(5 * time.Second)
	var events []event
	for {
		events = n.inbox.take(events[:0])
		now := n.clock.Now()
		for _, e := range events {
			n.guard(e.about(), func() { e.handle(n, now) })
		}
		wait := 10 * time.Millisecond
		n.guard(nil, func() { wait = n.due(now) })
		if n.company != nil {
			n.guard(nil, func() { n.company.tick(now) })
			wait = min(wait, meshWait)
		}
		if n.tasks != nil {
			n.guard(nil, func() { n.tasks.tick(now) })
			wait = min(wait, meshWait)
		}
		if n.sales != nil {
			n.guard(nil, func() { n.sales.tick(now) })
			wait = min(wait, bookWait)
		}
		if n.life.Leaving() {
			// Connections go by and by, each at its time.
			if wait = min(wait, sweeps); now >= n.sweepAt {
				n.sweepAt = now + float64(sweeps/time.Millisecond)
				go n.front.Sweep()
			}
		}
		timer.Reset(wait)
		if n.ending && !n.answered && !n.hands.Owing() && (n.sales == nil || !n.sales.owing()) {
			n.answered = true
			close(n.idle)
		}
		select {
		case <-n.quit:
			return
		case <-n.inbox.wake:
		case <-timer.C:
		case <-tick.C:
			n.upkeep()
		}
	}
}

// guard keeps the loop alive through a panic. The query that it was about is aborted, which promises nothing.
func (n *Node) guard(x *exchange.Exchange, f func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		n.panicked(p)
		if x != nil {
			n.hands.Crashed(n.clock.Now(), x, "internal error")
		}
	}()
	f()
}

// due asks the module about everything that is due, and says how long to wait for the next.
func (n *Node) due(now float64) time.Duration {
	for {
		h, wait := n.hands.Next(now)
		if wait > 0 {
			return clock.Span(min(wait, 1000))
		}
		if h == nil {
			n.hands.Ask(now, nil)
			continue
		}
		n.guard(h.X, func() { n.hands.Ask(now, h) })
	}
}

// upkeep closes connections that have been idle for long and logs what went through.
func (n *Node) upkeep() {
	for _, p := range n.peers {
		p.link.Reap()
	}
	log := n.log
	if n.sales != nil {
		log = log.WithFields(n.sales.fields())
	}
	n.tally.log(log, n.hands, n.front, n.group.Counts())
}

// ways are how queries in hand reach servers and discovery. The loop calls them.
type ways struct{ *Node }

func (w ways) Send(_ float64, to fleet.ServerID, x *exchange.Exchange, no int, limit, by float64) *link.Execution {
	return w.peers[to].link.Send(x, no, limit, by)
}
func (w ways) Cancel(_ float64, at fleet.ServerID, e *link.Execution)   { w.peers[at].link.Cancel(e) }
func (w ways) Withdraw(_ float64, at fleet.ServerID, e *link.Execution) { w.peers[at].link.Withdraw(e) }
func (w ways) Whole(_ float64, at fleet.ServerID, e *link.Execution, until float64) {
	w.peers[at].link.Whole(e, until)
}
func (w ways) LetGo(of fleet.ServerID) { w.peers[of].link.LetGo() }
func (w ways) Watch()                  { w.calls.Watch() }
func (w ways) Ask()                    { w.calls.Ask() }
func (w ways) Began(h *hand)           { w.table.Take(h.Q.Workload) }
func (w ways) Over(now float64, h *hand) {
	if w.sales != nil {
		w.sales.over(now, h)
	}
	w.trace(now, h)
	w.table.Give(now, h.Q.Workload)
}

// member takes an entry of the list in over what was known of the server, and aims the link at it.
func (n *Node) member(now float64, text json.RawMessage) (fleet.Member, error) {
	e, err := list.Over(list.Entry{}, text)
	if err != nil {
		return fleet.Member{}, err
	}
	id, fresh, before := n.roster.Find(now, e.ID)
	if fresh {
		if before != "" {
			n.roll.Forget(before)
			n.peers[id].link.Drop()
		} else {
			n.peers = append(n.peers, nil)
		}
		var w link.Wire = servers.Wire{}
		terms := n.pools
		if e.Flavor == list.Origin {
			w, terms = origin.Wire{}, n.originPool
		} else if n.door {
			n.roll.Listed(e.ID) // nobody else asks whether it ever was
		}
		n.peers[id] = &peer{link: link.New(n.group, w, e.ID, terms)}
	} else if e, err = list.Over(n.peers[id].entry, text); err != nil {
		return fleet.Member{}, err
	}
	n.peers[id].entry = e
	return n.merged(now, id), nil
}

// merged turns to what holds of a server: what the list says of it, and whether the operators have left it out.
func (n *Node) merged(now float64, id fleet.ServerID) fleet.Member {
	p := n.peers[id]
	e := &p.entry
	m := e.Member(id, &n.site)
	if m.Started = n.roll.Started(e.ID, m.Started); e.Flavor != list.Origin {
		m.State = n.roll.State(e.ID, m.State)
	}
	m = n.tasked(e.ID, e.Flavor, m)
	p.link.Started(m.Started)
	n.turn(now, id, m.State)
	return m
}

// turn takes in what the list says of a server.
func (n *Node) turn(now float64, id fleet.ServerID, to fleet.State) {
	n.roster.Turn(now, id, to)
	if n.company != nil {
		n.company.followed(now, id, to)
	}
	n.peers[id].link.Aim(n.peers[id].entry.HostPort, to == fleet.Ready)
}
