// Package servertable assigns slots to the servers of a node. Each id of the endpoint list has a slot, which is reused some time after its
// server has been removed, once no request in flight has an attempt there. The package does no I/O and reads no clock.
//
// Times of type float64 are ms on the caller's clock. A Table is not safe for concurrent use.
package servertable

import "mintspring/internal/fleet"

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

	slots []slot
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
	index := t.reusableSlot(now)
	if index < 0 {
		index = len(t.slots)
		t.slots = append(t.slots, slot{})
	}
	if replaced = t.slots[index].id; replaced != "" {
		delete(t.SlotByID, replaced)
	}
	t.slots[index] = slot{id: id, goneSince: now}
	t.SlotByID[id] = fleet.ServerID(index)
	return fleet.ServerID(index), true, replaced
}

// reusableSlot returns the first slot whose server has been gone for longer than the retention and to which no request in flight refers, or -1
// if there is none.
func (t *Table) reusableSlot(now float64) int {
	for i := range t.slots {
		if s := &t.slots[i]; s.state == fleet.Gone && s.attempts == 0 && now-s.goneSince > t.Retention {
			return i
		}
	}
	return -1
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
	s := &t.slots[id]
	if state == fleet.Gone && s.state != fleet.Gone {
		s.goneSince = now
	}
	s.state = state
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
