// Package members says which nodes of a fleet are there. Each node asks one other a period whether it lives, in an order drawn anew each
// round; one that does not answer is asked through others, then suspected, and is gone when nothing was heard against that for a time that
// grows with the fleet and shrinks as others suspect it too. That is SWIM (Das, Gupta, Motivala, 2002), with Lifeguard's additions (Dadgar,
// Phillips, Currey, 2018): a node that fails to reach several takes more time for everything, and suspicion begins long.
//
// Added here: a node that has heard nobody for a while takes itself for cut off, and nobody is gone for it until somebody is heard again
// and had the time to speak; and a start is a new life of its name, which overrules whatever was said of the one before.
//
// It does no I/O and reads no clock. One goroutine owns it.
package members

import (
	"hash/fnv"
	"math"
	"slices"

	"mintspring/fleet"
	"mintspring/peers"
	"mintspring/peers/wire"
)

// Terms are what holds for all. Times are ms.
type Terms struct {
	Self   peers.NodeID
	Most   int     // nodes that there may be; numbers are below
	Period float64 // from one probe to the next
	Answer float64 // an answer is waited for so long before others are asked
	Seed   uint64
}

// Ratios of SWIM and Lifeguard, to the period where they are times.
const (
	indirect  = 3 // others through which a node is asked that does not answer
	least     = 4 // times log10 of the fleet: the shortest suspicion
	longest   = 6 // times that: the longest
	confirms  = 3 // others whose suspicion shortens it to the shortest
	verify    = 4 // periods before a suspect is gone for this node, in which it asks for itself
	eachHalf  = 2 // times a period, while it does
	worstSelf = 8 // the greatest multiple by which a node that fares badly takes more time
	spread    = 4 // times log10 of the fleet: how often a word is passed on
	cutOff    = 4 // periods without a word from anybody, after which this node takes itself for cut off
	seek      = 4 // one probe in so many goes to a node that is not known to be there
	regain    = 2 // a node that was cut off and hears again gives the others so many times the longest suspicion
)

// Event is a change of what this node holds of another.
type Event struct {
	At    float64
	Node  peers.NodeID
	From  wire.State
	To    wire.State
	Life  peers.Life
	Why   string
	After float64 // ms since it was heard last; -1: never
}

// member is one other node.
type member struct {
	word   wire.Word
	heard  float64 // a message of its own came last
	since  float64 // it is in this state
	until  float64 // suspect: it is gone then, as far as it is known now
	by     map[peers.NodeID]bool
	passed int // how often its word was passed on
	asked  float64
	blamed wire.Word // what others say of it though it was heard just now: it is told, so that it can speak against it
}

// probe is one that is on its way.
type probe struct {
	to     peers.NodeID
	no     uint32
	next   float64 // when it is asked once more, and others with it
	rounds int     // how often that was done
}

// asked is a probe for somebody else.
type asked struct {
	from peers.NodeID
	no   uint32
	at   float64
}

// Core is what one node holds of all.
type Core struct {
	t     Terms
	self  wire.Word
	all   []member // by number; that of this node is not used
	order []peers.NodeID
	place int
	draws uint64

	nextAt  float64
	no      uint32
	probe   *probe
	relayed map[uint32]asked // by our number
	badly   int              // how this node itself fares: 0 is well
	heardAt float64          // of anybody
	cut     bool
	freeAt  float64 // nobody is gone before that
	clashes int     // another process under this name was met
	clashAt float64
	fresh   []peers.NodeID // whose words have changed and are still to be passed on
	found   []peers.NodeID // who was found for the first time: their words go where there is room
	turn    int            // of words passed on for completeness
	alive   int
	doubted int // suspects
	events  []Event
}

// New is a node that has just started and knows nobody.
func New(now float64, t Terms, life peers.Life) *Core {
	c := &Core{t: t, self: wire.Word{Node: t.Self, Life: life, State: wire.Alive}, all: make([]member, t.Most), relayed: map[uint32]asked{},
		heardAt: now, freeAt: now, nextAt: now + t.Period*fleet.Unit(t.Seed)}
	for i := range c.all {
		c.all[i] = member{word: wire.Word{Node: peers.NodeID(i)}, heard: math.Inf(-1), asked: math.Inf(-1)}
	}
	c.announce(t.Self, true)
	return c
}

func (c *Core) chance() float64 {
	c.draws++
	h := fnv.New64a()
	for i := range 8 {
		h.Write([]byte{byte(c.t.Seed >> (8 * i)), byte(c.draws >> (8 * i))})
	}
	return fleet.Unit(h.Sum64())
}

// Life is that of this process as it stands: another process of its name may have made it take a later one.
func (c *Core) Life() peers.Life { return c.self.Life }

// Clashes is how often another process under this node's name was met.
func (c *Core) Clashes() int { return c.clashes }

// Alive is how many nodes are there, this one and suspects among them.
func (c *Core) Alive() int { return c.alive + 1 }

// CutOff tells whether this node takes itself for cut off.
func (c *Core) CutOff() bool { return c.cut }

// Badly is how badly this node itself fares, from 0 to 8.
func (c *Core) Badly() int { return c.badly }

// Known is a node's word as it is held, and how long ago it was heard itself; +Inf: never.
func (c *Core) Known(now float64, n peers.NodeID) (wire.Word, float64) {
	if n == c.t.Self {
		return c.self, 0
	}
	return c.all[n].word, now - c.all[n].heard
}

// There tells whether a node is alive or only suspected.
func (c *Core) There(n peers.NodeID) bool {
	return n == c.t.Self || int(n) < len(c.all) && there(c.all[n].word.State)
}

func there(s wire.State) bool { return s == wire.Alive || s == wire.Suspect }

// Events are the changes since it was asked last.
func (c *Core) Events() []Event {
	e := c.events
	c.events = nil
	return e
}

// slower is the multiple of time that this node takes while it fares badly.
func (c *Core) slower() float64 { return float64(1 + c.badly) }

// suspicion is the shortest time of one; logarithms of small fleets are those of ten.
func (c *Core) suspicion() float64 {
	return least * max(1, math.Log10(float64(c.Alive()))) * c.t.Period
}

func (c *Core) passes() int { return int(spread * math.Ceil(math.Log10(float64(c.Alive()+1)))) }

// announce has the word of a node passed on.
func (c *Core) announce(n peers.NodeID, found bool) {
	if n == c.t.Self {
		return // its own word goes with every message
	}
	c.all[n].passed = 0
	is := func(o peers.NodeID) bool { return o == n }
	c.fresh, c.found = slices.DeleteFunc(c.fresh, is), slices.DeleteFunc(c.found, is)
	// What has changed goes before what was only found: behind the words of a whole fleet that has just been found, a suspicion took ten
	// seconds a hop among a hundred nodes, and among a thousand it died out.
	if found {
		c.found = append(c.found, n)
	} else {
		c.fresh = slices.Insert(c.fresh, 0, n)
	}
}

// turnTo takes a word in as what is held of a node.
func (c *Core) turnTo(now float64, w wire.Word, why string) {
	m := &c.all[w.Node]
	was := m.word.State
	for _, x := range []struct {
		s  wire.State
		by int
	}{{m.word.State, -1}, {w.State, 1}} {
		if x.s == wire.Suspect {
			c.doubted += x.by
		}
	}
	if was != w.State || m.word.Life != w.Life {
		if there(was) != there(w.State) {
			c.alive += map[bool]int{true: 1, false: -1}[there(w.State)]
		}
		after := now - m.heard
		if math.IsInf(after, 1) {
			after = -1
		}
		c.events = append(c.events, Event{now, w.Node, was, w.State, w.Life, why, after})
		m.since = now
	}
	m.word = w
	if m.by = nil; w.State == wire.Suspect {
		m.by = map[peers.NodeID]bool{}
		m.until = now + longest*c.suspicion()
	}
	c.announce(w.Node, was == wire.Unknown && w.State == wire.Alive)
}

// confirm counts one more that suspects a node, and has the time of that shrink.
func (c *Core) confirm(now float64, m *member, by peers.NodeID) {
	if m.by[by] || len(m.by) >= confirms+1 {
		return
	}
	m.by[by] = true
	if m.word.By != by { // each that suspects it is told of: by their number others know how sure it is
		m.word.By = by
		c.announce(m.word.Node, false)
	}
	k := float64(len(m.by) - 1)
	short, long := c.suspicion(), longest*c.suspicion()
	c.shorten(now, m, m.since+max(short, long-(long-short)*math.Log(k+1)/math.Log(confirms+1)))
}

// shorten has a suspect be gone earlier, but not before this node could ask for itself. Where two fifths of all datagrams are lost among
// hundreds, words against a suspicion go round more slowly than it does: whoever believed it, or that another found the time over, declared
// living nodes gone, and the rest believed that.
func (c *Core) shorten(now float64, m *member, until float64) {
	m.until = min(m.until, max(until, now+verify*c.t.Period))
}

// Take takes in what a message says, and returns what is to be said for it. What it carries for others is not looked at.
func (c *Core) Take(now float64, m *wire.Message) []*wire.Message {
	if int(m.From) >= len(c.all) {
		return nil
	}
	if m.From == c.t.Self {
		c.clash(now, m.Life)
		return nil
	}
	c.heardAnyone(now)
	if f := &c.all[m.From]; m.Life >= f.word.Life {
		f.heard = now
		if m.Life > f.word.Life || !there(f.word.State) {
			turn := uint16(0)
			if m.Life == f.word.Life {
				turn = f.word.Turn // gone for others too perhaps: it will answer that itself when it is told
			}
			c.turnTo(now, wire.Word{Node: m.From, Life: m.Life, Turn: turn, State: wire.Alive}, "it was heard")
		}
	}
	for _, w := range m.Words {
		c.hear(now, w)
	}
	switch m.Kind {
	case wire.Ping:
		if m.About != c.t.Self {
			return nil // for another of this address
		}
		return []*wire.Message{{Kind: wire.Ack, To: m.From, No: m.No, About: c.t.Self}}
	case wire.Relay:
		if int(m.About) >= len(c.all) || m.About == c.t.Self || len(c.relayed) > 64 {
			return nil
		}
		c.no++
		c.relayed[c.no] = asked{m.From, m.No, now}
		return []*wire.Message{{Kind: wire.Ping, To: m.About, No: c.no, About: m.About}}
	case wire.Ack:
		if p := c.probe; p != nil && p.no == m.No && p.to == m.About {
			c.probe, c.badly = nil, max(0, c.badly-1)
		} else if r, is := c.relayed[m.No]; is && m.From == m.About {
			delete(c.relayed, m.No)
			return []*wire.Message{{Kind: wire.Ack, To: r.from, No: r.no, About: m.About}}
		}
	}
	return nil
}

// heardAnyone ends a time in which nobody was heard.
func (c *Core) heardAnyone(now float64) {
	if c.cut {
		c.cut = false
		c.freeAt = now + regain*longest*c.suspicion()
		for i := range c.all { // what was suspected in silence is looked at anew
			if m := &c.all[i]; m.word.State == wire.Suspect {
				m.until = max(m.until, c.freeAt)
			}
		}
	}
	c.heardAt = now
}

// clash meets another process under this node's name: the later life stands, and a process is told of itself in the earlier one.
func (c *Core) clash(now float64, l peers.Life) {
	if l <= c.self.Life {
		return
	}
	// A clock that stands behind that of an earlier process is the usual cause; once a period, for two that live would rise for ever.
	if now-c.clashAt < c.t.Period && c.clashes > 0 {
		return
	}
	c.clashAt = now
	c.clashes++
	c.self.Life, c.self.Turn = l.After()|peers.Life(c.chance()*(1<<16)), 0
	c.announce(c.t.Self, false)
}

// hear takes in what another says of a node.
func (c *Core) hear(now float64, w wire.Word) {
	if int(w.Node) >= len(c.all) || w.State == wire.Unknown || w.State > wire.Gone {
		return
	}
	if w.Node == c.t.Self {
		switch {
		case w.Life > c.self.Life:
			c.clash(now, w.Life)
		case w.Life == c.self.Life && w.State != wire.Alive && w.Turn >= c.self.Turn:
			c.self.Turn = w.Turn + 1
			c.badly = min(worstSelf, c.badly+1) // others do not hear us in time
			c.announce(c.t.Self, false)
		}
		return
	}
	m := &c.all[w.Node]
	held := m.word
	switch newer := w.Life > held.Life || w.Life == held.Life && w.Turn > held.Turn; {
	case newer || w.Life == held.Life && w.Turn == held.Turn && w.State > held.State:
		if w.Life == held.Life && w.State != wire.Alive && now-m.heard < c.t.Period {
			m.blamed = w // on the other side of a partition they say so of whom we hear
			return
		}
		if w.State == wire.Gone && c.cut {
			return
		}
		if w.State == wire.Gone && w.Life == held.Life && there(held.State) {
			// Gone for another: this node asks for itself, and soon.
			if w.State = wire.Suspect; held.State == wire.Alive || w.Turn > held.Turn {
				c.turnTo(now, w, "it is gone for others")
			}
			c.shorten(now, m, now)
			return
		}
		c.turnTo(now, w, "others say so")
		if w.State == wire.Suspect {
			c.confirm(now, m, w.By)
		}
	case w.Life == held.Life && w.Turn == held.Turn && w.State == held.State && w.State == wire.Suspect:
		c.confirm(now, m, w.By) // by who suspects it, not by who passes it on: a word that goes round is one all the same
	}
}

// Words fills in what is to be passed on: what is new in turn, and then whatever comes next, so that all is known by all in the end.
func (c *Core) Words(m *wire.Message, most int) {
	n := 0
	add := func(w wire.Word) {
		if n < most {
			m.Words = append(m.Words, w)
			n++
		}
	}
	if to := &c.all[m.To]; m.To != c.t.Self { // so that it can speak against it
		if to.word.State >= wire.Suspect {
			add(to.word)
		} else if to.blamed.State >= wire.Suspect && to.blamed.Life == to.word.Life && to.blamed.Turn >= to.word.Turn {
			add(to.blamed)
		}
	}
	add(c.self)
	passes := c.passes()
	for _, from := range []*[]peers.NodeID{&c.fresh, &c.found} {
		for range *from {
			if n >= most {
				return
			}
			id := (*from)[0]
			*from = (*from)[1:]
			x := &c.all[id]
			if id != m.To {
				x.passed++
				add(x.word)
			}
			if x.passed < passes {
				*from = append(*from, id)
			}
		}
	}
	for range c.all {
		if n >= most || n >= 4 {
			return
		}
		c.turn = (c.turn + 1) % len(c.all)
		if w := c.all[c.turn].word; w.State != wire.Unknown && w.Node != c.t.Self && w.Node != m.To {
			add(w)
		}
	}
}

// Tick does what is due and returns what is to be said.
func (c *Core) Tick(now float64) (out []*wire.Message) {
	if !c.cut && c.alive > 0 && now-c.heardAt > cutOff*c.t.Period {
		c.cut = true
	}
	for no, r := range c.relayed {
		if now-r.at > 4*c.t.Period {
			delete(c.relayed, no)
		}
	}
	if p := c.probe; p != nil && now >= p.next && now < c.nextAt {
		// Again and again until the period is over: asked once each way, one probe in fourteen fails where a fifth of all datagrams is lost,
		// and words of suspicion then fill what nodes have to say.
		p.next = now + c.t.Answer*c.slower()
		if p.rounds++; p.rounds > 1 {
			out = append(out, &wire.Message{Kind: wire.Ping, To: p.to, No: p.no, About: p.to})
		}
		for _, via := range c.some(indirect, p.to) {
			out = append(out, &wire.Message{Kind: wire.Relay, To: via, No: p.no, About: p.to})
		}
	}
	if now >= c.nextAt {
		if c.nextAt += c.t.Period * c.slower(); c.nextAt < now { // it stood still
			c.nextAt = now + c.t.Period*c.slower()*c.chance()
		}
		if p := c.probe; p != nil {
			c.probe = nil
			c.unanswered(now, p)
		}
		if to, any := c.next(now); any {
			c.no++
			c.probe = &probe{to: to, no: c.no, next: now + c.t.Answer*c.slower()}
			c.all[to].asked = now
			out = append(out, &wire.Message{Kind: wire.Ping, To: to, No: c.no, About: to})
		}
	}
	for i := range c.all {
		if c.doubted == 0 {
			break
		}
		m := &c.all[i]
		if m.word.State != wire.Suspect {
			continue
		}
		// Asked each period from here on by whoever suspects it, and told why: words that go round would take longer to and fro than a
		// short suspicion. Before it is gone everybody asks for itself, more often and through more others.
		every, through := c.t.Period, 1
		if now >= m.until-verify*c.t.Period {
			every, through = c.t.Period/eachHalf, indirect
		} else if !m.by[c.t.Self] {
			every = math.Inf(1)
		}
		if now-m.asked >= every {
			m.asked = now
			c.no++
			out = append(out, &wire.Message{Kind: wire.Ping, To: peers.NodeID(i), No: c.no, About: peers.NodeID(i)})
			for _, via := range c.some(through, peers.NodeID(i)) {
				out = append(out, &wire.Message{Kind: wire.Relay, To: via, No: c.no, About: peers.NodeID(i)})
			}
		}
		if !c.cut && now >= c.freeAt && now >= m.until {
			w := m.word
			w.State = wire.Gone
			c.turnTo(now, w, "it was suspected and nothing was heard against it")
		}
	}
	return out
}

// unanswered takes in that a probe had no answer, also through others.
func (c *Core) unanswered(now float64, p *probe) {
	m := &c.all[p.to]
	if !there(m.word.State) {
		return // it was not known to be there
	}
	c.badly = min(worstSelf, c.badly+1)
	switch m.word.State {
	case wire.Alive:
		w := m.word
		w.State, w.By = wire.Suspect, c.t.Self
		c.turnTo(now, w, "it does not answer, nor through others")
		c.confirm(now, m, c.t.Self)
	case wire.Suspect:
		c.confirm(now, m, c.t.Self)
	}
}

// next is whom to ask now: in turn those that are there, in an order drawn anew each round, and now and then one that is not.
func (c *Core) next(now float64) (peers.NodeID, bool) {
	if c.alive == 0 || c.no%seek == seek-1 {
		best := -1
		start := int(c.chance() * float64(len(c.all)))
		for k := range c.all {
			i := (start + k) % len(c.all)
			if m := &c.all[i]; peers.NodeID(i) != c.t.Self && !there(m.word.State) && (best < 0 || m.asked < c.all[best].asked) {
				best = i
			}
		}
		if best >= 0 {
			return peers.NodeID(best), true
		}
	}
	for range 2 {
		for c.place < len(c.order) {
			id := c.order[c.place]
			if c.place++; there(c.all[id].word.State) {
				return id, true
			}
		}
		c.order, c.place = c.order[:0], 0
		for i := range c.all {
			if peers.NodeID(i) != c.t.Self && there(c.all[i].word.State) {
				c.order = append(c.order, peers.NodeID(i))
			}
		}
		for i := len(c.order) - 1; i > 0; i-- {
			k := int(c.chance() * float64(i+1))
			c.order[i], c.order[k] = c.order[k], c.order[i]
		}
	}
	return 0, false
}

// some are a few nodes that are there, drawn, without one.
func (c *Core) some(n int, but peers.NodeID) (out []peers.NodeID) {
	for range 4 * n {
		if len(c.order) == 0 || len(out) == n {
			break
		}
		id := c.order[int(c.chance()*float64(len(c.order)))]
		if id != but && c.all[id].word.State == wire.Alive && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// Some are a few other nodes that are there, drawn.
func (c *Core) Some(n int) []peers.NodeID { return c.some(n, c.t.Self) }

// NextAt is when Tick has something to do at the latest.
func (c *Core) NextAt() float64 {
	at := c.nextAt
	if p := c.probe; p != nil {
		at = min(at, p.next)
	}
	return at
}
