package upstream

import (
	"maps"
	"net"
	"slices"
	"sync"

	"mintspring/internal/clock"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/node/memlimit"
)

// Group holds the configuration and state that all endpoints of a node share. Its exported fields are set before the first
// endpoint is created.
type Group struct {
	Clock   *clock.Clock
	Sockets *fdlimit.Budget
	Memory  *memlimit.Budget // for buffered values of unknown length

	OnDone       func(*Attempt, Completion) // called once per attempt, from any goroutine; must not block
	OnResponding func(*Attempt)             // called when a response has begun that is not complete and gives its client nothing yet; must not block; may be nil
	OnStreamEnd  func(StreamTrace)          // called at the end of each streamed value, from any goroutine; may be nil
	OnPanic      func(any)                  // called after a panic in a connection's goroutine; only that connection is closed
	OnDuplicates func(*Endpoint)            // called when a server becomes suspected of duplicate responses; may be nil
	Random       func() float64             // returns a number from [0,1), called from any goroutine; nil: always 0

	Dialer             net.Dialer // opens connections; the zero value is usable
	ConnectTimeout     float64    // ms
	StreamStallTimeout float64    // ms that a large or unsized value, which cannot be requested again, may stall; 0: no limit
	DiscardTimeout     float64    // ms for which the rest of an unsized value is read after its attempt has timed out; 0: no limit

	counters connpool.Counters

	mu        sync.Mutex        // guards connected
	connected map[*Endpoint]int // number of open connections of each endpoint that has any: far fewer than all, with thousands of servers
}

// Stats counts events of the node's pools since its start.
type Stats struct {
	Opened       int // connections opened
	Reused       int // attempts on a connection that had served another one
	Waited       int // attempts that had to wait for a connection
	WaitTimeouts int // attempts that gave up waiting
	QueueFull    int // attempts rejected because too many waited
	Unsolicited  int // bytes without a request, and duplicates that arrived during one
	Expired      int // connections closed for their age
	Suspected    int // times that a server became suspected of duplicate responses

	Fences           int // fences sent to verify a response
	FencesUnanswered int // fences that were not answered

	Closed [connpool.NumCloseReasons]int // connections that the node closed, by reason
}

// Stats returns the current counts.
func (g *Group) Stats() Stats {
	c := &g.counters
	stats := Stats{
		Opened: int(c.Opened.Load()), Reused: int(c.Reused.Load()),
		Waited: int(c.Waited.Load()), WaitTimeouts: int(c.WaitTimeouts.Load()), QueueFull: int(c.QueueFull.Load()),
		Unsolicited: int(c.Unsolicited.Load()), Expired: int(c.Expired.Load()), Suspected: int(c.Suspected.Load()),
		Fences: int(c.Fences.Load()), FencesUnanswered: int(c.FencesUnanswered.Load()),
	}
	for reason := range stats.Closed {
		stats.Closed[reason] = int(c.Closed[reason].Load())
	}
	return stats
}

func (g *Group) random() float64 {
	if g.Random == nil {
		return 0
	}
	return g.Random()
}

// connOpened records that a connection of an endpoint was opened. Called with the endpoint's mutex held.
func (g *Group) connOpened(e *Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connected == nil {
		g.connected = map[*Endpoint]int{}
	}
	g.connected[e]++
}

// connClosed records that a connection of an endpoint was closed. Called with the endpoint's mutex held.
func (g *Group) connClosed(e *Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connected[e] > 1 {
		g.connected[e]--
	} else {
		delete(g.connected, e)
	}
}

// connectedEndpoints returns the endpoints that have connections, in any order.
func (g *Group) connectedEndpoints() []*Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.connected))
}

// CloseOldestUnused closes the connection of the group that has been unused longest, and reports whether there was one.
func (g *Group) CloseOldestUnused() bool {
	var oldest *Endpoint
	var oldestSince float64
	for _, e := range g.connectedEndpoints() {
		if since, found := e.oldestUnused(); found && (oldest == nil || since < oldestSince) {
			oldest, oldestSince = e, since
		}
	}
	return oldest != nil && oldest.closeOldestUnused()
}

// CloseUnused closes all unused connections of the group.
func (g *Group) CloseUnused() {
	for _, e := range g.connectedEndpoints() {
		e.CloseUnused()
	}
}
