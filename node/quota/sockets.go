// Package quota keeps the node's budget of descriptors, so that it never runs out of them.
package quota

import (
	"slices"
	"sync"
)

// reserve is what the runtime, the logs, the listener, the call to discovery and files being opened take.
const reserve = 24

// Sockets counts the descriptors that connections may still take. Clients and servers share it, and neither can
// crowd the other out: a third of the limit is left to clients, and what clients may take beyond that is bounded,
// for it is those who connect and say nothing that come by hundreds.
type Sockets struct {
	mu      sync.Mutex
	free    int
	clients int // held by clients
	held    int // by clients and servers
	lent    int // to another process of the same node
	limit   int
	kept    int // left to clients
	most    int // that clients may hold
	spares  []spare
}

type spare struct {
	client bool
	close  func() bool
}

// New starts a budget for a process that may hold so many descriptors, of which some more are set aside; none given means
// no limit that matters.
func New(limit, aside int) *Sockets {
	if limit <= 0 {
		limit = 1 << 16
	}
	free := max(limit-reserve-aside, limit/2)
	return &Sockets{limit: limit, free: free, kept: min(limit/3, free/2), most: max(1, min(limit/2, free*2/3))}
}

// Usual is how many connections clients with queries may keep before the quietest has to go. It is less than the part
// left to them: what opens connections for clients stops at that part, also where most of them are idle.
func (s *Sockets) Usual() int { return s.kept * 3 / 4 }

// Spare adds a way of making room: each call closes one connection that can be done without, or tells that there is
// none. Those added first are tried first.
func (s *Sockets) Spare(client bool, f func() bool) {
	s.mu.Lock()
	s.spares = append(s.spares, spare{client, f})
	s.mu.Unlock()
}

// Take books a descriptor for a connection to a server, or of a client.
func (s *Sockets) Take(client bool) bool {
	for {
		ok, clients, servers, spares := s.book(client)
		if ok || !slices.ContainsFunc(spares, func(p spare) bool {
			return (p.client && clients || !p.client && servers) && p.close()
		}) {
			return ok
		}
	}
}

// book takes one if it may, and tells whose connections would have to be closed for it if not.
func (s *Sockets) book(client bool) (ok, clients, servers bool, spares []spare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case client && s.clients >= s.most:
		return false, true, false, s.spares
	case client && s.free <= 0:
		return false, true, true, s.spares
	case !client && s.free <= max(0, s.kept-s.clients):
		return false, s.clients > s.kept, true, s.spares // what clients give up of their own part stays theirs
	}
	s.keep(client)
	return true, false, false, nil
}

func (s *Sockets) keep(client bool) {
	s.free--
	s.held++
	if client {
		s.clients++
	}
}

// Adopt books one for a client that another process of the node has handed over: it was lent to that one.
func (s *Sockets) Adopt() {
	s.mu.Lock()
	if s.lent > 0 {
		s.lent--
		s.free++
	}
	s.keep(true)
	s.mu.Unlock()
}

// Limit is how many the node may hold.
func (s *Sockets) Limit() int { return s.limit }

// Held is how many this process holds for connections.
func (s *Sockets) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Lend leaves so many to another process of the same node, in place of what was left to it before.
func (s *Sockets) Lend(n int) {
	s.mu.Lock()
	s.free += s.lent - n
	s.lent = n
	s.mu.Unlock()
}

// Give returns one.
func (s *Sockets) Give(client bool) {
	s.mu.Lock()
	s.held--
	if s.free++; client {
		s.clients--
	}
	s.mu.Unlock()
}
