// Package fdlimit limits the file descriptors of client and server connections, so that the process never exhausts its limit.
package fdlimit

import (
	"slices"
	"sync"
)

// reservedDescriptors is the number of descriptors left to the runtime, the log, the listener, the connection to the discovery service and
// files.
const reservedDescriptors = 24

// defaultLimit is used if no limit is given. It is high enough never to be reached.
const defaultLimit = 1 << 16

// Owner says whether a descriptor is for a connection of a client or of a server.
type Owner bool

// The owners of descriptors.
const (
	Client Owner = true
	Server Owner = false
)

// Budget tracks the descriptors that connections hold and may still acquire. Clients and servers share it, but neither can exhaust the part
// of the other: a third of the limit is reserved for clients, and the descriptors that clients may hold beyond it are limited too, because
// clients without a request may connect by the hundred. A Budget is safe for concurrent use.
type Budget struct {
	limit         int // descriptors of the node
	clientReserve int // descriptors reserved for clients
	clientLimit   int // maximum that clients may hold

	mu         sync.Mutex // guards the fields below; not held while an evictor runs
	available  int
	clientHeld int  // held by clients
	held       int  // held by clients and servers
	lent       int  // descriptors left to another process of the node
	retiring   bool // another process of the node accepts the clients (Retire)
	evictors   []evictor
}

// evictor closes a dispensable connection of an owner. evict reports whether there was one.
type evictor struct {
	owner Owner
	evict func() bool
}

// New returns the budget of a process that may hold limit descriptors; 0: defaultLimit. Connections cannot use reservedDescriptors of them,
// nor the extraReserved that the caller needs for other purposes, but at least half of the limit is left to them.
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

// Limit returns the number of descriptors that the node may hold.
func (b *Budget) Limit() int { return b.limit }

// ClientTarget returns the number of connections that clients with requests may keep before the least active one is closed. It is below the
// reserve for clients, because Acquire evicts idle clients only when the reserve is used up, even if most clients are idle.
func (b *Budget) ClientTarget() int { return b.clientReserve * 3 / 4 }

// AddEvictor adds a function that closes a connection of an owner to free its descriptor and reports whether there was one to close.
// Evictors are tried in the order in which they were added.
func (b *Budget) AddEvictor(owner Owner, evict func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictors = append(b.evictors, evictor{owner, evict})
}

// Acquire acquires a descriptor for a connection. If none is available, it evicts another connection; it returns false if there is none to
// evict.
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

// refusal says the connections of which owners may be evicted to make a refused descriptor available.
type refusal struct {
	evictClients, evictServers bool
	evictors                   []evictor
}

// evictOne evicts one connection. It returns false if there is none to evict.
func (r *refusal) evictOne() bool {
	return slices.ContainsFunc(r.evictors, func(e evictor) bool {
		eligible := e.owner == Client && r.evictClients || e.owner == Server && r.evictServers
		return eligible && e.evict()
	})
}

// tryAcquire acquires a descriptor if one is available. Otherwise it returns a refusal.
func (b *Budget) tryAcquire(owner Owner) *refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case owner == Client && b.clientHeld >= b.clientLimit:
		return &refusal{evictClients: true, evictors: b.evictors}
	case owner == Client && b.available <= 0:
		return &refusal{evictClients: true, evictServers: true, evictors: b.evictors}
	case owner == Server && b.available <= b.unusedClientReserve():
		// Unused descriptors of the reserve for clients are not available to servers.
		return &refusal{evictClients: b.clientHeld > b.clientReserve, evictServers: true, evictors: b.evictors}
	}
	b.acquireLocked(owner)
	return nil
}

// unusedClientReserve returns how many of the available descriptors are reserved for clients. The caller holds mu.
func (b *Budget) unusedClientReserve() int {
	if b.retiring {
		return 0
	}
	return max(0, b.clientReserve-b.clientHeld)
}

// acquireLocked counts an acquired descriptor. The caller holds mu.
func (b *Budget) acquireLocked(owner Owner) {
	b.available--
	b.held++
	if owner == Client {
		b.clientHeld++
	}
}

// Release returns an acquired descriptor to the budget.
func (b *Budget) Release(owner Owner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available++
	b.held--
	if owner == Client {
		b.clientHeld--
	}
}

// Held returns the number of descriptors that connections of this process hold.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Lend leaves count descriptors to another process of the node. The count replaces that of earlier calls, and of Retire.
func (b *Budget) Lend(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retiring = false
	b.setLent(count)
}

// Retire leaves descriptors to another process of the node, which accepts the clients from now on: all but those that are held, and up to
// keep more, with which connections to servers may still be opened. What was lent before stays lent. Retire returns how many descriptors
// connections of this process may hold.
func (b *Budget) Retire(keep int) (usable int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retiring = true
	b.setLent(b.lent + max(0, b.available-keep))
	return b.held + max(0, b.available)
}

// setLent sets the number of descriptors that are lent. The caller holds mu.
func (b *Budget) setLent(count int) {
	b.available += b.lent - count
	b.lent = count
}

// AcquireLent acquires a descriptor for a client connection that another process of the node has handed over. The descriptor is one of those
// lent to that process, which no longer needs it.
func (b *Budget) AcquireLent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lent > 0 {
		b.lent--
		b.available++
	}
	b.acquireLocked(Client)
}
