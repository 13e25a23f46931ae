// Package servertable numbers the servers of a node: each id of the endpoint list has a slot, which is reused when its server is long
// gone. It does no I/O and reads no clock.
//
// Times of type float64 are ms on the caller's clock. One goroutine owns a table.
package servertable

import "mintspring/internal/fleet"

type slot struct {
	id        string
	state     fleet.State
	goneSince float64 // in the state Gone
}

// Table is the servers of one node.
type Table struct {
	SlotByID  map[string]fleet.ServerID // slots by id; read only
	Retention float64                   // how long the slot of a removed server is kept, in ms

	slots []slot
}

// New makes an empty table. No request in flight may be older than the retention, for it could refer to the slot's next server.
func New(retention float64) *Table {
	return &Table{SlotByID: map[string]fleet.ServerID{}, Retention: retention}
}

// Assign returns the slot of a server by its id, and whether it is a new one. A new server has the slot of one that is long gone, whose
// id is returned as replaced, or else a slot behind all others: so the table does not grow where servers are replaced all the time by
// ones with ids of their own.
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

// reusableSlot is the first slot whose server has been gone for longer than the retention, -1 for none.
func (t *Table) reusableSlot(now float64) int {
	for i := range t.slots {
		if s := &t.slots[i]; s.state == fleet.Gone && now-s.goneSince > t.Retention {
			return i
		}
	}
	return -1
}

// State is the state of a server.
func (t *Table) State(id fleet.ServerID) fleet.State { return t.slots[id].state }

// SetState changes the state of a server.
func (t *Table) SetState(now float64, id fleet.ServerID, state fleet.State) {
	s := &t.slots[id]
	if state == fleet.Gone && s.state != fleet.Gone {
		s.goneSince = now
	}
	s.state = state
}

// Missing returns the slots whose servers are not among the endpoints of a complete list, those of removed servers too.
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
