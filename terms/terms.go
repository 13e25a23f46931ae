// Package terms keeps the workloads of a node over generations of its settings. A query keeps the terms under which it
// came, and names them by an id; so an id means the same for as long as any query may hold it, a workload whose terms change
// gets another, and ids are used again so that a node retuned every day does not grow. It does no I/O and reads no clock;
// times are float ms.
package terms

import (
	"fmt"
	"slices"

	"mintspring/fleet"
)

// settles is how long an id of a generation before is left alone after the last query under it ended, and after it was
// retired: a query that is just being read holds the id before it is counted. Reading takes far below a millisecond.
const settles = 10_000.0

type row struct {
	name    string
	terms   fleet.Workload
	current bool
	out     int     // queries in hand
	since   float64 // it is not current, and none is in hand
}

// Table is the workloads by id.
type Table struct{ rows []row }

// Turn begins a generation. Workloads that are as before keep their ids. What can't be taken changes nothing.
func (t *Table) Turn(now float64, names []string, ws []fleet.Workload) error {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			return fmt.Errorf("settings: Workloads: %q stands there twice", name)
		}
	}
	kept := make([]bool, len(t.rows))
	ids := make([]int, len(names))
	for i := range names {
		// Also one of an earlier generation is taken up again: its terms are the same.
		ids[i] = slices.IndexFunc(t.rows, func(r row) bool { return r.name == names[i] && r.terms == ws[i] })
		if ids[i] >= 0 {
			kept[ids[i]] = true
		}
	}
	for i := range t.rows {
		if r := &t.rows[i]; r.current && !kept[i] {
			r.current, r.since = false, now
		}
	}
	for i, id := range ids {
		if id < 0 {
			id = slices.IndexFunc(t.rows, func(r row) bool { return !r.current && r.out == 0 && now-r.since > settles })
		}
		if id < 0 || kept[id] && ids[i] < 0 {
			id = len(t.rows)
			t.rows = append(t.rows, row{})
			kept = append(kept, true)
		}
		kept[id] = true
		r := &t.rows[id]
		r.name, r.terms, r.current = names[i], ws[i], true
	}
	return nil
}

// ID is that of a workload of this generation.
func (t *Table) ID(name string) (fleet.WorkloadID, bool) {
	id := slices.IndexFunc(t.rows, func(r row) bool { return r.current && r.name == name })
	return fleet.WorkloadID(id), id >= 0
}

// Take counts a query in hand, and Give one that no longer is.
func (t *Table) Take(id fleet.WorkloadID) { t.rows[id].out++ }

// Give says that a query is in hand no more.
func (t *Table) Give(now float64, id fleet.WorkloadID) {
	r := &t.rows[id]
	if r.out--; r.out == 0 && !r.current {
		r.since = now
	}
}

// Workloads are the terms by id. Under an id that means nothing now stand those that it had last.
func (t *Table) Workloads() []fleet.Workload {
	ws := make([]fleet.Workload, len(t.rows))
	for i := range t.rows {
		ws[i] = t.rows[i].terms
	}
	return ws
}
