// Package fdlimit keeps the node's budget of file descriptors, so that the process never runs out of them.
package fdlimit

import (
	"slices"
	"sync"
)

// reservedDescriptors descriptors are left to the runtime, the log, the listener, the connection to the discovery service and files.
const reservedDescriptors = 24

// defaultLimit is the limit where none is given: it is never reached.
const defaultLimit = 1 << 16

// Owner is whose connection a descriptor is for.
type Owner bool

// Owners of descriptors.
const (
	Client Owner = true
	Server Owner = false
)

// Budget counts the descriptors that connections may still take. Clients and servers share it, and neither can use up the other's part: a
// third of the limit is reserved for clients, and what clients may take beyond that is limited, since it is clients without a request
// that come by the hundred. It is safe for concurrent use.
type Budget struct {
	limit         int // of the node
	clientReserve int // left to clients
	clientLimit   int // that clients may hold

	mu         sync.Mutex // guards the fields below; it is not held while an evictor runs
	available  int
	clientHeld int // held by clients
	held       int // held by clients and servers
	lent       int // left to another process of the node
	evictors   []evictor
}

// evictor closes a connection that can be done without, and returns whether there was one.
type evictor struct {
	owner Owner
	evict func() bool
}

// New makes the budget of a process with a limit on descriptors, of which some more than the reserved ones are set aside. Without a limit
// (0) it has one that is never reached.
func New(limit, extraReserved int) *Budget {
	if limit <= 0 {
		limit = defaultLimit
	}
	available := max(limit-reservedDescriptors-extraReserved, limit/2)
	return &Budget{
		limit:         limit,
		available:     available,
		clientReserve: min(limit/3, available/2),
		clientLimit:   max(1, min(limit/2, available*2/3)),
	}
}

// Limit is the number of descriptors that the node may hold.
func (b *Budget) Limit() int { return b.limit }

// ClientTarget is how many connections clients with requests may keep before the quietest is closed. It is below the clients' reserve:
// Acquire evicts idle clients only when the reserve is used up, even if most of them are idle.
func (b *Budget) ClientTarget() int { return b.clientReserve * 3 / 4 }

// AddEvictor adds a way of making a descriptor free. Evictors are tried in the order in which they were added.
func (b *Budget) AddEvictor(owner Owner, evict func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictors = append(b.evictors, evictor{owner, evict})
}

// Acquire takes a descriptor for a connection, if need be by closing another one. It returns false if there is none.
func (b *Budget) Acquire(owner Owner) bool {
	for {
		refused := b.tryAcquire(owner)
		if refused == nil {
			return true
		}
		if !refused.evictOne() {
			return false
		}
	}
}

// refusal says whose connections can make room for a descriptor that was refused.
type refusal struct {
	evictClients, evictServers bool
	evictors                   []evictor
}

// evictOne closes one connection, and returns false if there is none to close.
func (r *refusal) evictOne() bool {
	return slices.ContainsFunc(r.evictors, func(e evictor) bool {
		eligible := e.owner == Client && r.evictClients || e.owner == Server && r.evictServers
		return eligible && e.evict()
	})
}

// tryAcquire takes a descriptor if one is available, and else returns why not.
func (b *Budget) tryAcquire(owner Owner) *refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case owner == Client && b.clientHeld >= b.clientLimit:
		return &refusal{evictClients: true, evictors: b.evictors}
	case owner == Client && b.available <= 0:
		return &refusal{evictClients: true, evictServers: true, evictors: b.evictors}
	case owner == Server && b.available <= max(0, b.clientReserve-b.clientHeld):
		// What clients release of their own reserve stays theirs.
		return &refusal{evictClients: b.clientHeld > b.clientReserve, evictServers: true, evictors: b.evictors}
	}
	b.acquireLocked(owner)
	return nil
}

func (b *Budget) acquireLocked(owner Owner) {
	b.available--
	b.held++
	if owner == Client {
		b.clientHeld++
	}
}

// Release returns a descriptor.
func (b *Budget) Release(owner Owner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available++
	b.held--
	if owner == Client {
		b.clientHeld--
	}
}

// Held is the number of descriptors that connections of this process hold.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Lend leaves a number of descriptors to another process of the node, in place of what was left to it before.
func (b *Budget) Lend(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += b.lent - count
	b.lent = count
}

// AcquireLent takes a descriptor for a client connection that another process of the node has passed on. It was lent to that one.
func (b *Budget) AcquireLent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lent > 0 {
		b.lent--
		b.available++
	}
	b.acquireLocked(Client)
}
