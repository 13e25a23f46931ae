// Package exclusion records which cache servers operators have excluded for maintenance. Servers are identified by id and never by their
// slot in the server table, because slots are reused and servers leave the endpoint list and come back.
//
// The package does no I/O and reads no clock. Times are Unix ms. A Set is not safe for concurrent use.
package exclusion

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"mintspring/internal/fleet"
)

// maxSeen is how many ids are remembered as once listed. When it is reached, the id that was first listed longest ago is forgotten. With one
// new server per second an id is remembered for over half a day.
const maxSeen = 1 << 16

// IDHash is the hash of an id that was listed once. The hash is enough to tell whether an id was ever listed.
type IDHash uint64

// Interval is the time during which a server was excluded, in Unix ms.
type Interval struct {
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// Set is the set of excluded servers. It also knows the ids that were ever listed, which are the ones that may be excluded.
type Set struct {
	excluded   map[string]float64  // start of the exclusion by id
	readmitted map[string]Interval // last exclusion of each readmitted server by id
	seen       map[IDHash]struct{}
	seenOrder  []IDHash // in the order of first listing; a ring buffer once it has maxSeen elements
	oldestSeen int      // index of the oldest element of seenOrder
}

// New returns an empty set.
func New() *Set {
	return &Set{excluded: map[string]float64{}, readmitted: map[string]Interval{}, seen: map[IDHash]struct{}{}}
}

func hashID(id string) IDHash {
	h := fnv.New64a()
	h.Write([]byte(id)) //nolint:errcheck // Write of a hash never fails
	return IDHash(h.Sum64())
}

// MarkListed records that the endpoint list contains a cache server with this id.
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

// UnknownServerError is returned for an id that was never in the endpoint list, so that excluding a mistyped id fails.
type UnknownServerError struct{ ID string }

// Error returns the text that the admin port replies with.
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

// Exclude excludes a server from now on. It changes nothing if the server is excluded already. A non-nil error is an *UnknownServerError.
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

// Readmit ends the exclusion of a server, no matter how often Exclude was called. A non-nil error is an *UnknownServerError.
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

// EffectiveState returns the state of a server after exclusions: an excluded server that is listed as ready is draining.
func (s *Set) EffectiveState(id string, listed fleet.State) fleet.State {
	if _, excluded := s.excluded[id]; excluded && listed == fleet.Ready {
		return fleet.Draining
	}
	return listed
}

// StartedAt returns the time to assume for the last start of a server's process. Operators restart servers while these are excluded. If the
// start in the endpoint list is not before the beginning of the last exclusion, it is used. Otherwise the restart may have happened at any
// time during the exclusion, and StartedAt returns the end of the exclusion.
func (s *Set) StartedAt(id string, listed float64) float64 {
	if last := s.readmitted[id]; listed < last.From {
		return last.To
	}
	return listed
}

// ForgetReadmission drops the last exclusion of a readmitted server that has left the endpoint list. A server that is excluded stays so.
func (s *Set) ForgetReadmission(id string) { delete(s.readmitted, id) }

// State is the form in which a set is stored and handed over to a successor.
type State struct {
	Excluded   map[string]float64  `json:"out"`
	Readmitted map[string]Interval `json:"back,omitempty"`
	Seen       []IDHash            `json:"seen,omitempty"`
}

// Export returns the state of the set. The hashes of ids once listed, of which there may be many, are included only with withSeen.
func (s *Set) Export(withSeen bool) State {
	state := State{Excluded: maps.Clone(s.excluded), Readmitted: maps.Clone(s.readmitted)}
	if withSeen {
		state.Seen = append(slices.Clone(s.seenOrder[s.oldestSeen:]), s.seenOrder[:s.oldestSeen]...)
	}
	return state
}

// Import replaces the exclusions by those of an exported state and adds the ids that were listed in that process.
func (s *Set) Import(state State) {
	for _, id := range state.Seen {
		s.remember(id)
	}
	s.excluded, s.readmitted = map[string]float64{}, map[string]Interval{}
	maps.Copy(s.excluded, state.Excluded)
	maps.Copy(s.readmitted, state.Readmitted)
}

// RebaseStored adapts a stored state to the clock of a process that starts now. The stored times are on the clock of another process, and the
// wall clock may have been stepped since. Exclusions therefore begin now, so that StartedAt does not use a listed start before now, and the
// last exclusions of readmitted servers begin and end no later than now.
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
