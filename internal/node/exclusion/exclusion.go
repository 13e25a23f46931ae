// Package exclusion keeps which cache servers operators have excluded for maintenance. Servers are known by id and never by
// slot of the node's table: slots are reused, and servers leave the endpoint list and come back.
//
// It does no I/O and reads no clock; times are Unix ms. A Set belongs to one goroutine.
package exclusion

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"mintspring/internal/fleet"
)

// maxSeen bounds how many ids are remembered as once listed; those first listed longest ago are forgotten first. Where a
// server is replaced every second, that lasts for over half a day.
const maxSeen = 1 << 16

// IDHash is the hash of an id that was listed once. The id itself is not needed: nothing is asked but whether it was listed.
type IDHash uint64

// Interval is a time during which a server was excluded, in Unix ms.
type Interval struct {
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// Set is the set of excluded servers, and the ids that may be excluded.
type Set struct {
	excluded   map[string]float64  // by id, since when
	readmitted map[string]Interval // by id, the last exclusion of a server that was readmitted
	seen       map[IDHash]struct{}
	seenOrder  []IDHash // a ring buffer once it is full
	oldestSeen int      // index in seenOrder
}

// New makes an empty set.
func New() *Set {
	return &Set{excluded: map[string]float64{}, readmitted: map[string]Interval{}, seen: map[IDHash]struct{}{}}
}

func hashID(id string) IDHash {
	h := fnv.New64a()
	h.Write([]byte(id)) //nolint:errcheck // a hash never fails to write
	return IDHash(h.Sum64())
}

// MarkListed records that the endpoint list has a cache server of this id.
func (s *Set) MarkListed(id string) { s.remember(hashID(id)) }

func (s *Set) remember(id IDHash) {
	if _, known := s.seen[id]; known {
		return
	}
	s.seen[id] = struct{}{}
	if len(s.seenOrder) < maxSeen {
		s.seenOrder = append(s.seenOrder, id)
		return
	}
	delete(s.seen, s.seenOrder[s.oldestSeen])
	s.seenOrder[s.oldestSeen] = id
	s.oldestSeen = (s.oldestSeen + 1) % maxSeen
}

// UnknownServerError is returned for an id that the endpoint list never had, so that a mistyped id does not pass for an
// excluded server.
type UnknownServerError struct{ ID string }

// Error returns the text that the admin port answers.
func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("no cache server %q was ever listed", e.ID)
}

func (s *Set) checkKnown(id string) error {
	_, seen := s.seen[hashID(id)]
	if _, excluded := s.excluded[id]; !seen && !excluded {
		return &UnknownServerError{ID: id}
	}
	return nil
}

// Exclude excludes a server from now on. It changes nothing if the server is excluded already. The error is an
// *UnknownServerError.
func (s *Set) Exclude(id string, now float64) (changed bool, err error) {
	if err := s.checkKnown(id); err != nil {
		return false, err
	}
	if _, excluded := s.excluded[id]; excluded {
		return false, nil
	}
	s.excluded[id] = now
	delete(s.readmitted, id)
	return true, nil
}

// Readmit puts a server back into use, however often it was excluded. The error is an *UnknownServerError.
func (s *Set) Readmit(id string, now float64) (changed bool, err error) {
	if err := s.checkKnown(id); err != nil {
		return false, err
	}
	since, excluded := s.excluded[id]
	if !excluded {
		return false, nil
	}
	delete(s.excluded, id)
	s.readmitted[id] = Interval{From: since, To: now}
	return true, nil
}

// EffectiveState returns the state in which a server is to be taken that the endpoint list has in the given one.
func (s *Set) EffectiveState(id string, listed fleet.State) fleet.State {
	if _, excluded := s.excluded[id]; excluded && listed == fleet.Ready {
		return fleet.Draining
	}
	return listed
}

// StartedAt returns when the process of a server is taken to have started. Operators restart a server while it is excluded:
// if the endpoint list has a start since then, that is the time; otherwise it may be any time until the server was
// readmitted.
func (s *Set) StartedAt(id string, listed float64) float64 {
	if last := s.readmitted[id]; listed < last.From {
		return last.To
	}
	return listed
}

// ForgetReadmission drops when a server that has left the list was readmitted. That a server is excluded is not forgotten.
func (s *Set) ForgetReadmission(id string) { delete(s.readmitted, id) }

// State is the stored form of a set, and the form in which a process hands it over to its successor.
type State struct {
	Excluded   map[string]float64  `json:"out"`
	Readmitted map[string]Interval `json:"back,omitempty"`
	Seen       []IDHash            `json:"seen,omitempty"`
}

// Export returns the state of the set. The ids once listed, which are many, are included only on demand.
func (s *Set) Export(withSeen bool) State {
	state := State{Excluded: maps.Clone(s.excluded), Readmitted: maps.Clone(s.readmitted)}
	if withSeen {
		state.Seen = append(slices.Clone(s.seenOrder[s.oldestSeen:]), s.seenOrder[:s.oldestSeen]...)
	}
	return state
}

// Import replaces the exclusions by those of another process, and adds the ids that it has seen.
func (s *Set) Import(state State) {
	for _, id := range state.Seen {
		s.remember(id)
	}
	s.excluded, s.readmitted = map[string]float64{}, map[string]Interval{}
	maps.Copy(s.excluded, state.Excluded)
	maps.Copy(s.readmitted, state.Readmitted)
}

// RebaseStored adapts a stored state to the clock of a process that starts at a time. Its times are of another process's clock, from
// which the wall clock may have been stepped since: a start listed before now says nothing of an excluded server, and none has been
// readmitted later than now.
func (state *State) RebaseStored(now float64) {
	for id := range state.Excluded {
		state.Excluded[id] = now
	}
	for id, interval := range state.Readmitted {
		state.Readmitted[id] = Interval{From: min(interval.From, now), To: min(interval.To, now)}
	}
}

// ExcludedIDs returns the ids of the excluded servers, sorted.
func (s *Set) ExcludedIDs() []string { return slices.Sorted(maps.Keys(s.excluded)) }
