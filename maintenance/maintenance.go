// Package maintenance keeps which cache servers the operators have left out, by id and never by place: places are used
// again, and servers leave the list and come back. It does no I/O and reads no clock; times are Unix ms.
package maintenance

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"mintspring/fleet"
)

// mostSeen bounds the ids that are remembered as once listed; those listed longest ago are forgotten first. Where a
// server is replaced every second, that is over half a day.
const mostSeen = 1 << 16

// Mark is an id that was listed once, as a hash: only whether it was is ever asked.
type Mark uint64

// Roll is what is left out, and what may be.
type Roll struct {
	out    map[string]float64 // since when
	back   map[string]Span    // of the last time out of each that was called back
	seen   map[Mark]struct{}
	order  []Mark // a ring once it is full
	oldest int
}

// Span is a time out.
type Span struct {
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// New makes an empty roll.
func New() *Roll {
	return &Roll{out: map[string]float64{}, back: map[string]Span{}, seen: map[Mark]struct{}{}}
}

func mark(id string) Mark {
	h := fnv.New64a()
	h.Write([]byte(id))
	return Mark(h.Sum64())
}

// Listed takes in that a cache server of this id was listed.
func (r *Roll) Listed(id string) { r.see(mark(id)) }

func (r *Roll) see(m Mark) {
	if _, known := r.seen[m]; known {
		return
	}
	r.seen[m] = struct{}{}
	if len(r.order) < mostSeen {
		r.order = append(r.order, m)
		return
	}
	delete(r.seen, r.order[r.oldest])
	r.order[r.oldest] = m
	r.oldest = (r.oldest + 1) % mostSeen
}

// known refuses an id that was never listed: a word mistyped must not pass for a server left out.
func (r *Roll) known(id string) error {
	_, seen := r.seen[mark(id)]
	if _, out := r.out[id]; !seen && !out {
		return fmt.Errorf("no cache server %q was ever listed", id)
	}
	return nil
}

// Out leaves a server out from now on. Said again it changes nothing.
func (r *Roll) Out(id string, now float64) (changed bool, err error) {
	if err := r.known(id); err != nil {
		return false, err
	}
	if _, out := r.out[id]; out {
		return false, nil
	}
	r.out[id] = now
	delete(r.back, id)
	return true, nil
}

// Back has it used again, however often it was left out.
func (r *Roll) Back(id string, now float64) (changed bool, err error) {
	if err := r.known(id); err != nil {
		return false, err
	}
	since, out := r.out[id]
	if !out {
		return false, nil
	}
	delete(r.out, id)
	r.back[id] = Span{since, now}
	return true, nil
}

// State is what is to hold of a server of which the list says something.
func (r *Roll) State(id string, listed fleet.State) fleet.State {
	if _, out := r.out[id]; out && listed == fleet.Ready {
		return fleet.Draining
	}
	return listed
}

// Started is when its process started. It was restarted while it was out: where the list tells of a start since then that is
// it, and else it may have been any time until it was called back.
func (r *Roll) Started(id string, listed float64) float64 {
	if out := r.back[id]; listed < out.From {
		return out.To
	}
	return listed
}

// Forget drops when a server that is long gone was called back. That it is left out is kept.
func (r *Roll) Forget(id string) { delete(r.back, id) }

// Kept is what a successor needs, or the next process after a kill.
type Kept struct {
	Out  map[string]float64 `json:"out"`
	Back map[string]Span    `json:"back,omitempty"`
	Seen []Mark             `json:"seen,omitempty"`
}

// Keep gives it out. The ids once listed, which are many, only when asked for.
func (r *Roll) Keep(seen bool) Kept {
	k := Kept{Out: maps.Clone(r.out), Back: maps.Clone(r.back)}
	if seen {
		k.Seen = append(slices.Clone(r.order[r.oldest:]), r.order[:r.oldest]...)
	}
	return k
}

// Take takes in what another process kept, in place of what was known.
func (r *Roll) Take(k Kept) {
	for _, m := range k.Seen {
		r.see(m)
	}
	r.out, r.back = map[string]float64{}, map[string]Span{}
	maps.Copy(r.out, k.Out)
	maps.Copy(r.back, k.Back)
}

// Names are the ids left out, in order.
func (r *Roll) Names() []string { return slices.Sorted(maps.Keys(r.out)) }
