// Package requestclass assigns ids to the request classes of a node, across changes of its settings.
//
// A request refers by id to the class under which it arrived. An id therefore keeps its meaning while any request may hold it, and a class
// whose settings change gets another id. Ids are reused, so that the table does not grow with every change of the settings.
//
// The package does no I/O and reads no clock. Times of type float64 are ms on the caller's clock. One goroutine owns a table.
package requestclass

import (
	"fmt"
	"slices"

	"mintspring/internal/fleet"
)

// reuseDelay is the time in ms for which an id is not reused after its class was replaced and its last request ended: a request that is
// being read holds the id before Acquire counts it. Reading takes far less than a millisecond.
const reuseDelay = 10_000.0

type entry struct {
	name        string
	class       fleet.Class
	current     bool    // it is a class of the current settings
	inFlight    int     // requests in flight that hold the id
	unusedSince float64 // if not current: when the class was replaced or its last request ended, whichever was later
}

// Table holds the request classes by id.
type Table struct{ entries []entry }

// Update applies the classes of new settings. Unchanged classes keep their ids. If it returns an error, the table is unchanged.
func (t *Table) Update(now float64, names []string, classes []fleet.Class) error {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			return fmt.Errorf("settings: Workloads: %q is listed twice", name)
		}
	}
	ids := make([]int, len(names))
	kept := make([]bool, len(t.entries))
	for i, name := range names {
		ids[i] = t.findUnchanged(name, &classes[i])
		if ids[i] >= 0 {
			kept[ids[i]] = true
			t.entries[ids[i]].current = true // so that allocID does not reuse the id
		}
	}
	for i := range t.entries {
		if e := &t.entries[i]; e.current && !kept[i] {
			e.current, e.unusedSince = false, now
		}
	}
	for i, id := range ids {
		if id < 0 {
			id = t.allocID(now)
		}
		e := &t.entries[id]
		e.name, e.class, e.current = names[i], classes[i], true
	}
	return nil
}

// findUnchanged returns the id under which the table has the same class, from the current or from earlier settings; -1 if there is none.
func (t *Table) findUnchanged(name string, class *fleet.Class) int {
	return slices.IndexFunc(t.entries, func(e entry) bool { return e.name == name && e.class == *class })
}

// allocID returns an id that no request can hold. It adds a new one if none can be reused.
func (t *Table) allocID(now float64) int {
	id := slices.IndexFunc(t.entries, func(e entry) bool {
		return !e.current && e.inFlight == 0 && now-e.unusedSince > reuseDelay
	})
	if id < 0 {
		id = len(t.entries)
		t.entries = append(t.entries, entry{})
	}
	return id
}

// ID returns the id of a class of the current settings.
func (t *Table) ID(name string) (fleet.ClassID, bool) {
	id := slices.IndexFunc(t.entries, func(e entry) bool { return e.current && e.name == name })
	return fleet.ClassID(id), id >= 0
}

// Acquire counts a request that holds an id. The id is not reused before Release.
func (t *Table) Acquire(id fleet.ClassID) { t.entries[id].inFlight++ }

// Release stops counting a request that Acquire has counted.
func (t *Table) Release(now float64, id fleet.ClassID) {
	e := &t.entries[id]
	e.inFlight--
	if e.inFlight == 0 && !e.current {
		e.unusedSince = now
	}
}

// Classes returns the classes by id. For an id that is not in use it has the last class with that id.
func (t *Table) Classes() []fleet.Class {
	classes := make([]fleet.Class, len(t.entries))
	for i := range t.entries {
		classes[i] = t.entries[i].class
	}
	return classes
}
