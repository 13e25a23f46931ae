package decide

import (
	"encoding/binary"
	"math"

	"mintspring/fleet"
)

// upkeep does what is due for the node itself: it moves the ring and renews the subscription.
func (n *Node) upkeep() fleet.Move {
	if n.now >= n.askAt {
		// One call answers once; should that answer never come, ask again within the time allowed.
		n.askAt = n.now + n.lim.askWithin
		return fleet.Move{Action: fleet.Subscribe}
	}
	if n.now >= n.moveAt {
		n.moveAt = n.now + n.lim.period*(0.9+0.2*n.chance())
		n.late *= 0.8 // a node that turns most away sees few answers; it must find out when it may stop
		for i := range n.heat {
			n.heat[i] *= 0.95
		}
		if !n.led() {
			n.moveRing()
		}
	}
	if n.now >= n.tellAt {
		n.tellAt = n.now + 2*n.lim.period
		if !n.led() {
			return fleet.Move{Action: fleet.Tell, Body: n.points()}
		}
	}
	return fleet.Move{}
}

// Members reports what the list says. Entries are applied on top of what is known; a full list removes
// what it lacks.
func (n *Node) Members(now float64, mode fleet.ListMode, entries []fleet.Member) {
	n.now = now
	if mode == fleet.ListFailed {
		if n.lim.askWithin > 0 {
			// Back off, but stay well inside the time after which the rules treat the node as told.
			wait := min(n.lim.sloMin*float64(int(1)<<min(n.asks, 6)), n.lim.askWithin/2)
			n.askAt = now + wait*(0.5+0.5*n.chance())
			n.asks++
		}
		return
	}
	if mode != fleet.ListCached {
		n.askAt, n.asks = math.Inf(1), 0
	}
	for _, s := range n.servers {
		if s != nil {
			s.listed = mode == fleet.ListDelta
		}
	}
	for i := range entries {
		n.member(&entries[i])
	}
	for _, s := range n.servers {
		if s != nil && !s.listed {
			s.state = fleet.Gone
		}
	}
	n.rebuild()
}

// member takes one entry in. A new start makes a new server of it: what was learnt of the old process
// does not hold, and it takes its own arc again. Executions still out at the old one are counted on.
func (n *Node) member(m *fleet.Member) {
	for int(m.ID) >= len(n.servers) {
		n.servers = append(n.servers, nil)
	}
	s := n.servers[m.ID]
	if s == nil || m.State == fleet.Ready && (s.state != fleet.Ready || m.Started != s.started) {
		fresh := &server{id: m.ID, report: fleet.NewReport(), stride: stride, pace: n.typical, rt: n.typical,
			home: fleet.Home(m.Name), point: fleet.Home(m.Name), tokenAt: n.now}
		if s != nil {
			fresh.out, fresh.quiet = s.out, s.quiet
		}
		n.servers[m.ID], s = fresh, fresh
	}
	s.listed = true
	s.state, s.kind, s.zone, s.cell, s.started = m.State, m.Kind, m.Zone, m.Cell, m.Started
}

// leader is the node whose ring this one follows. Departure: where nodes may talk, the one with most traffic tells
// its points, as the thesis broadcasts one ring; rings that drift apart keep copies on several servers. Nothing
// hangs on it: a node that hears nothing for a while moves its own points again.
type leader struct {
	id       fleet.NodeID
	rate, at float64
}

func (n *Node) led() bool { return n.lead.at > 0 && n.now-n.lead.at < 5*n.lim.period }

// points is the message: this node's rate of work, and for each server a tag and its point.
func (n *Node) points() []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, 256), uint32(n.cold.rate*1e6))
	for _, s := range n.ring {
		if len(b) > 252 {
			break
		}
		b = binary.BigEndian.AppendUint16(b, uint16(s.home*65536))
		b = binary.BigEndian.AppendUint16(b, uint16(s.point*65536))
	}
	return b
}

// Heard takes in the points of another node, if that one sees more traffic than this one and its leader.
func (n *Node) Heard(now float64, from fleet.NodeID, body []byte) {
	if n.now = now; len(body) < 4 || len(body)%4 != 0 {
		return
	}
	rate, own := float64(binary.BigEndian.Uint32(body))/1e6, n.cold.rate
	more := rate > 1.2*own || rate > own/1.2 && from < n.lim.self
	if !more || n.led() && from != n.lead.id && rate < 1.2*n.lead.rate {
		return
	}
	n.lead = leader{from, rate, now}
	for k := 4; k < len(body); k += 4 {
		tag, point := binary.BigEndian.Uint16(body[k:]), binary.BigEndian.Uint16(body[k+2:])
		for _, s := range n.ring {
			if uint16(s.home*65536) == tag {
				s.point = float64(point) / 65536
			}
		}
	}
	n.rebuild()
}
