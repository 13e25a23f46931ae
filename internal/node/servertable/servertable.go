// Package servertable assigns slots to the servers of a node. Each id of the endpoint list has a slot, which is reused some time after its
// server has been removed, once no request in flight has an attempt there. The package does no I/O and reads no clock.
//
// Times of type float64 are ms on the caller's clock. A Table is not safe for concurrent use.
package servertable

import (
	"slices"

	"mintspring/internal/fleet"
)

type slot struct {
	id        string
	state     fleet.State
	goneSince float64 // valid in the state Gone
	attempts  int     // attempts at the server, also ended ones, of requests that are still in flight
}

// Table maps the ids of a node's servers to slots and holds the state of each server.
type Table struct {
	SlotByID  map[string]fleet.ServerID // read only for callers
	Retention float64                   // time in ms for which a removed server that comes back gets its slot again

	slots    []slot
	removals []removal // of servers that may still be gone, the earliest first
}

// removal is the time at which the server of a slot was removed. It is out of date once the server has come back, or the slot is reused.
type removal struct {
	slot fleet.ServerID
	at   float64
}

// New returns an empty table.
func New(retention float64) *Table {
	return &Table{SlotByID: map[string]fleet.ServerID{}, Retention: retention}
}

// Assign returns the slot of the server with the given id. If the id has no slot, added is true, and the server gets a slot that can be
// reused, whose server's id is returned as replaced, or else a new slot at the end. Reuse keeps the table from growing when servers are
// continually replaced by servers with new ids.
func (t *Table) Assign(now float64, id string) (slotID fleet.ServerID, added bool, replaced string) {
	if known, ok := t.SlotByID[id]; ok {
		return known, false, ""
	}
	slotID, reused := t.takeReusableSlot(now)
	if !reused {
		slotID = fleet.ServerID(len(t.slots))
		t.slots = append(t.slots, slot{})
	}
	if replaced = t.slots[slotID].id; replaced != "" {
		delete(t.SlotByID, replaced)
	}
	t.slots[slotID] = slot{id: id}
	t.recordRemoval(now, slotID) // until SetState
	t.SlotByID[id] = slotID
	return slotID, true, replaced
}

// takeReusableSlot returns the slot whose server has been gone longest, if that is longer than the retention and no request in flight refers to
// the slot.
func (t *Table) takeReusableSlot(now float64) (slotID fleet.ServerID, found bool) {
	for i := 0; i < len(t.removals) && now-t.removals[i].at > t.Retention; {
		r := t.removals[i]
		if t.isCurrent(r) && t.slots[r.slot].attempts > 0 {
			i++
			continue
		}
		found = t.isCurrent(r)
		t.dropRemoval(i)
		if found {
			return r.slot, true
		}
	}
	return 0, false
}

// isCurrent reports whether the server of a removal is still gone since then.
func (t *Table) isCurrent(r removal) bool {
	s := &t.slots[r.slot]
	return s.state == fleet.Gone && s.goneSince == r.at
}

// dropRemoval removes the removal at index i. The first one, nearly always, is removed without a copy of the others.
func (t *Table) dropRemoval(i int) {
	if i == 0 {
		t.removals = t.removals[1:]
		return
	}
	t.removals = slices.Delete(t.removals, i, i+1)
}

// maxRemovalsPerSlot bounds the removals that are kept, also of servers that leave and come back again and again.
const maxRemovalsPerSlot = 2

// recordRemoval records that the server of a slot is gone from now on.
func (t *Table) recordRemoval(now float64, slotID fleet.ServerID) {
	t.slots[slotID].goneSince = now
	if len(t.removals) >= maxRemovalsPerSlot*len(t.slots) {
		t.removals = slices.DeleteFunc(t.removals, func(r removal) bool { return !t.isCurrent(r) })
	}
	t.removals = append(t.removals, removal{slotID, now})
}

// AddAttempt keeps the slot of a server from being reused until the attempt is released by ReleaseAttempts: the request refers to the server
// by its slot, also after the attempt has ended.
func (t *Table) AddAttempt(id fleet.ServerID) { t.slots[id].attempts++ }

// ReleaseAttempts releases the attempts of a request that is no longer in flight.
func (t *Table) ReleaseAttempts(request *fleet.Request) {
	for i := range request.Attempts[:request.NumAttempts] {
		t.slots[request.Attempts[i].Server].attempts--
	}
}

// State returns the state of the server in a slot.
func (t *Table) State(id fleet.ServerID) fleet.State { return t.slots[id].state }

// SetState sets the state of the server in a slot.
func (t *Table) SetState(now float64, id fleet.ServerID, state fleet.State) {
	wasGone := t.slots[id].state == fleet.Gone
	t.slots[id].state = state
	if state == fleet.Gone && !wasGone {
		t.recordRemoval(now, id)
	}
}

// Missing returns the slots whose servers are not in a complete list of endpoints, including the slots of servers that are already gone.
func (t *Table) Missing(endpoints []fleet.Endpoint) []fleet.ServerID {
	listed := make([]bool, len(t.slots))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
	}
	var missing []fleet.ServerID
	for i := range t.slots {
		if !listed[i] {
			missing = append(missing, fleet.ServerID(i))
		}
	}
	return missing
}
