package clients

import (
	"slices"
	"time"

	"mintspring/internal/node/fdlimit"
)

// ConnState is the state of a connection that decides whether it may be closed to free a descriptor.
type ConnState uint8

const (
	// Idle connections have sent a request, and have nothing in flight.
	Idle ConnState = iota
	// Silent connections have sent no request and no part of one.
	Silent
	// Incomplete connections have sent only part of their first request.
	Incomplete
	// Active connections have a request in flight.
	Active
)

// The descriptor of a connection can be freed a moment after the last byte of a reply is written, or after the connection is closed. A new
// client waits for the descriptor of another connection at most maxCloseWaits times closeWait before it is rejected.
const (
	maxCloseWaits = 100
	closeWait     = time.Millisecond
)

// acquireDescriptor counts a descriptor for a new connection, and evicts another connection if necessary. It checks before each attempt
// whether a connection is about to free its descriptor: if that connection finishes while the attempt fails, the next attempt evicts it.
func (s *Server) acquireDescriptor() bool {
	if s.Sockets.Acquire(fdlimit.Client) {
		return true
	}
	for range maxCloseWaits {
		closingSoon := s.anyClosingSoon()
		if s.Sockets.Acquire(fdlimit.Client) {
			return true
		}
		if !closingSoon {
			return false
		}
		time.Sleep(closeWait)
	}
	return s.Sockets.Acquire(fdlimit.Client)
}

// anyClosingSoon reports whether some connection is about to free its descriptor.
func (s *Server) anyClosingSoon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for c := range s.conns {
		if c.closingSoon(now) {
			return true
		}
	}
	return false
}

// EvictOldest closes the connection that has been in the given state for the longest time, provided that this time is at least minAge ms,
// and reports whether it closed one. The age of an incomplete connection counts from its accept, so bytes that trickle in do not make it
// younger.
func (s *Server) EvictOldest(state ConnState, minAge float64) bool {
	// The chosen connection may be in use again before it is closed. Then the next one is tried: giving up would reject new clients while
	// unused connections are open.
	var tried []*conn
	for {
		c := s.oldest(state, minAge, tried)
		if c == nil {
			return false
		}
		if c.evict(state) {
			s.counters.evicted[state].Add(1)
			return true
		}
		tried = append(tried, c)
	}
}

// oldest returns the connection that has been in the given state for the longest time, and for at least minAge ms. It skips the
// connections in except, and returns nil if no other connection qualifies.
func (s *Server) oldest(state ConnState, minAge float64, except []*conn) (oldest *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldestSince := s.Clock.Now() - minAge
	for c := range s.conns {
		if current, since := c.classify(); current == state && since <= oldestSince && !slices.Contains(except, c) {
			oldest, oldestSince = c, since
		}
	}
	return oldest
}

// If less than minReuseFraction of the connections send a second request, idle ones are not worth keeping. The fraction is used from
// minReuseSamples first requests on; the counts are halved at 2*maxReuseSamples first requests.
const (
	minReuseFraction = 0.25
	minReuseSamples  = 64
	maxReuseSamples  = 256
	answeredGrace    = 50.0 // ms from a reply until its connection may be closed if clients use connections once
	singleUseDivisor = 3    // divides the target for open connections if clients use them once
)

// reuseStats counts the connections that have sent a first and a second request, giving less weight to older ones.
type reuseStats struct {
	first, second int
}

func (r *reuseStats) record(ordinal requestOrdinal) {
	if ordinal == secondRequest {
		r.second++
		return
	}
	r.first++
	if r.first >= 2*maxReuseSamples {
		r.first, r.second = r.first/2, r.second/2
	}
}

// singleUse reports whether clients hardly ever send a second request on a connection.
func (r *reuseStats) singleUse() bool {
	return r.first >= minReuseSamples && float64(r.second) < minReuseFraction*float64(r.first)
}

// EvictAnswered closes the connection that has been idle for the longest time, provided that this time is at least minAge ms. If clients
// hardly ever send a second request, answeredGrace replaces minAge. Clients that send one request on each connection and keep it open would otherwise keep out clients whose first
// request is on its way.
func (s *Server) EvictAnswered(minAge float64) bool {
	if s.singleUse() {
		minAge = answeredGrace
	}
	return s.EvictOldest(Idle, minAge)
}

func (s *Server) singleUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reuse.singleUse()
}

func (s *Server) countRequest(ordinal requestOrdinal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reuse.record(ordinal)
}

// onFirstRequest counts a connection that has sent its first request. If more such connections are open than the target, it closes the
// one that has been idle longest, so that new clients find a descriptor.
func (s *Server) onFirstRequest() {
	s.countRequest(firstRequest)
	target := int64(s.Sockets.ClientTarget())
	if s.singleUse() {
		target /= singleUseDivisor
	}
	if s.connsWithRequest.Add(1) > target {
		s.EvictAnswered(0)
	}
}
