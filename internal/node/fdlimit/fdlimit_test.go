package fdlimit

import "testing"

// acquireAll acquires descriptors until one is refused, and returns how many it got.
func acquireAll(b *Budget, owner Owner) int {
	count := 0
	for b.Acquire(owner) {
		count++
	}
	return count
}

// TestReservedDescriptorsPerOwner: of 300 descriptors, 24 are reserved for the process. Servers leave 100 for clients, which is a third of
// the limit, and clients hold at most 150, half of the limit.
func TestReservedDescriptorsPerOwner(t *testing.T) {
	b := New(300, 0)
	if got := acquireAll(b, Server); got != 176 {
		t.Errorf("servers got %d descriptors", got)
	}
	if got := acquireAll(b, Client); got != 100 {
		t.Errorf("clients got %d descriptors beside them", got)
	}
	b = New(300, 0)
	if got := acquireAll(b, Client); got != 150 {
		t.Errorf("clients got %d descriptors", got)
	}
	if got := acquireAll(b, Server); got != 126 {
		t.Errorf("servers got %d descriptors beside them", got)
	}
	if b.Held() != 276 {
		t.Errorf("%d are held", b.Held())
	}
}

// TestEvictorsFreeDescriptors: evictors are tried in order and only for owners whose connections may be evicted. After a successful
// eviction the descriptor is acquired.
func TestEvictorsFreeDescriptors(t *testing.T) {
	b := New(300, 0)
	var calls []string
	evict := func(name string, owner Owner, succeeds bool) func() bool {
		return func() bool {
			calls = append(calls, name)
			if succeeds {
				b.Release(owner)
			}
			return succeeds
		}
	}
	acquireAll(b, Client) // up to the limit of clients, where only clients may be evicted
	b.AddEvictor(Server, evict("server", Server, true))
	b.AddEvictor(Client, evict("silent", Client, false))
	b.AddEvictor(Client, evict("idle", Client, true))
	if !b.Acquire(Client) {
		t.Error("no descriptor after an eviction")
	}
	if len(calls) != 2 || calls[0] != "silent" || calls[1] != "idle" {
		t.Errorf("called %v", calls)
	}
	if b.Held() != 150 {
		t.Errorf("%d are held", b.Held())
	}
}

// TestLentDescriptors: descriptors lent to the other process are not available here, except for client connections that it hands over.
func TestLentDescriptors(t *testing.T) {
	b := New(300, 0)
	b.Lend(276)
	if b.Acquire(Client) || b.Acquire(Server) {
		t.Error("acquired a descriptor although all are lent")
	}
	b.AcquireLent()
	if b.Held() != 1 || b.Acquire(Client) {
		t.Errorf("%d are held after a client was handed over", b.Held())
	}
	b.Lend(0)
	if got := acquireAll(b, Client); got != 149 {
		t.Errorf("clients got %d descriptors after none were lent any more", got)
	}
	for range 150 {
		b.Release(Client)
	}
	if b.Held() != 0 {
		t.Errorf("%d are held", b.Held())
	}
}

// TestRetire: a process that has handed its clients over keeps some descriptors for connections to servers, and none that it has left to the
// other process comes back. It once kept none.
func TestRetire(t *testing.T) {
	b := New(300, 0)
	for range 40 {
		b.Acquire(Client)
	}
	b.Lend(75)
	if usable := b.Retire(10); usable != 50 {
		t.Errorf("%d descriptors may be held, %d are", usable, b.Held())
	}
	if got := acquireAll(b, Server); got != 10 {
		t.Errorf("servers got %d more descriptors", got)
	}
	for range 20 {
		b.Release(Client)
	}
	if usable := b.Retire(5); usable != 35 {
		t.Errorf("%d descriptors may be held after 20 of 50 were released", usable)
	}
	if usable := b.Retire(100); usable != 35 {
		t.Errorf("%d descriptors may be held: some have come back", usable)
	}
	b.Lend(0)
	if got := acquireAll(b, Server); b.Held() != 276-80 {
		t.Errorf("%d descriptors are held, %d of them acquired once the process was alone again", b.Held(), got)
	}
}

func TestLimits(t *testing.T) {
	for _, c := range []struct{ limit, extraReserved, want, clientTarget int }{{300, 0, 300, 75}, {300, 16, 300, 75}, {40, 16, 40, 7}, {0, 0, 1 << 16, 16383}} {
		if b := New(c.limit, c.extraReserved); b.Limit() != c.want || b.ClientTarget() != c.clientTarget {
			t.Errorf("New(%d, %d): limit %d, client target %d", c.limit, c.extraReserved, b.Limit(), b.ClientTarget())
		}
	}
}
