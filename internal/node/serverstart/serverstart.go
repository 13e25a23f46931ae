// Package serverstart converts the start times of servers, which the endpoint list gives by the wall clock of other machines, to the clock
// of the node. The two may be apart by any time: the wall clock of either machine may have been stepped. How long ago a server started is
// then known only from when the list was seen without that start.
//
// The package does no I/O and reads no clock. Times are Unix ms as float64. One goroutine owns a Tracker.
package serverstart

import (
	"maps"
	"math"
	"slices"
)

// maxListDelayMs is how long, in ms, the discovery service may take to list a start without making its time implausible. A start that is
// listed later counts as seen just now, which is on the safe side: the server is spared for longer. A clock that is wrong by less goes
// unnoticed, and a server in slow start is sent less than half of what it bears (package slowstart), which covers that.
const maxListDelayMs = 2000

// Start is the start of one process of a server.
type Start struct {
	ID     string  `json:"id"`
	Listed float64 `json:"listed"` // as the endpoint list gives it
	At     float64 `json:"at"`     // by the node's clock
}

// Tracker knows the last start of each server. Its zero value knows none.
type Tracker struct {
	starts map[string]Start
}

// NeverConfirmed is the time of a confirmation that there has never been.
func NeverConfirmed() float64 { return math.Inf(-1) }

// Observe returns when the process of a server has started, by the node's clock, given the time that the endpoint list says and the time
// at which the list was last known to be complete without that start. A start that is listed as long ago (0), and one that is known
// already, are what they were. One that cannot have been at the time listed counts as now.
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

// Forget drops what is known of a server that has left the list for good.
func (t *Tracker) Forget(id string) { delete(t.starts, id) }

// Export returns all starts, for a process whose clock goes on where this one's is.
func (t *Tracker) Export() []Start {
	return slices.SortedFunc(maps.Values(t.starts), func(a, b Start) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Import takes over the starts of another process.
func (t *Tracker) Import(starts []Start) {
	for _, start := range starts {
		t.record(start)
	}
}
