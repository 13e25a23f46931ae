// Package serverstart converts the start times of servers to the node's clock. The endpoint list has them on the wall clocks of other
// machines, which may differ from the node's clock by any amount, because the wall clock of either machine may have been stepped. The node
// then knows how long ago a server started only from the time at which it last saw the list without that start.
//
// The package does no I/O and reads no clock. Times are Unix ms as float64. A Tracker is not safe for concurrent use.
package serverstart

import (
	"maps"
	"math"
	"slices"
)

// maxListDelayMs is how long the discovery service may take to list a start before the listed time counts as implausible. A start that is
// listed later counts as having happened now, which is safe: the server's slow start only ends later. A clock error below this value is not
// detected. The margin of the slow start covers it: a server in slow start is sent less than half of the load at which it fails (package
// slowstart).
const maxListDelayMs = 2000

// Start is the start of a server's process.
type Start struct {
	ID     string  `json:"id"`
	Listed float64 `json:"listed"` // time in the endpoint list
	At     float64 `json:"at"`     // time on the node's clock
}

// Tracker records the last start of each server. The zero value is empty and ready to use.
type Tracker struct {
	starts map[string]Start
}

// NeverConfirmed returns the confirmation time to pass to Observe when the list has never been confirmed.
func NeverConfirmed() float64 { return math.Inf(-1) }

// Observe returns the start time of a server's process on the node's clock. listed is the time in the endpoint list, and confirmedAt the time
// at which the list was last known to be complete without that start. A listed time of 0 means a start long ago and is returned as it is. A
// known start keeps its time. A start that cannot have happened at the listed time counts as having happened now.
func (t *Tracker) Observe(now float64, id string, listed, confirmedAt float64) float64 {
	if listed <= 0 {
		return listed
	}
	if known, ok := t.starts[id]; ok && known.Listed == listed {
		return known.At
	}
	at := listed
	if listed > now || listed < confirmedAt-maxListDelayMs {
		at = now
	}
	t.record(Start{ID: id, Listed: listed, At: at})
	return at
}

func (t *Tracker) record(start Start) {
	if t.starts == nil {
		t.starts = map[string]Start{}
	}
	t.starts[start.ID] = start
}

// Forget drops the start of a server that has left the endpoint list for good.
func (t *Tracker) Forget(id string) { delete(t.starts, id) }

// Export returns all starts, sorted by id, for a successor that continues this process's clock.
func (t *Tracker) Export() []Start {
	return slices.SortedFunc(maps.Values(t.starts), func(a, b Start) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Import adds the starts that the predecessor has exported.
func (t *Tracker) Import(starts []Start) {
	for _, start := range starts {
		t.record(start)
	}
}
