package servermodel

import "math"

// Phases of a server, as discovery names them.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// EndpointUpdate is one change of discovery's endpoint list.
type EndpointUpdate struct {
	Revision  int64
	VisibleAt float64 // nodes can be notified of it from then on
	Server    ServerID
	Name      string // the id under which the server is listed
	Phase     string
	Started   float64 // 0: long ago

	ClockOffset float64 // by which the clock that Started is listed by was ahead, in ms
}

// EndpointList is discovery's endpoint list, as a log of its changes in the order of their revisions. The zero value is empty.
type EndpointList struct {
	Delay float64 // until changes become visible, in ms

	revision int64
	updates  []EndpointUpdate
}

// Publish adds a change, to which it gives a revision and the time from which on it is visible.
func (l *EndpointList) Publish(now float64, update EndpointUpdate) {
	l.revision++
	update.Revision, update.VisibleAt = l.revision, now+l.Delay
	l.updates = append(l.updates, update)
}

// ResetRevision makes the revision start again from the beginning, as after a loss of discovery's state.
func (l *EndpointList) ResetRevision(now float64) {
	current := l.visible(now)
	l.revision, l.updates = 0, nil
	for _, update := range current {
		l.revision++
		update.Revision = l.revision
		l.updates = append(l.updates, update)
	}
}

// visible returns the list as it is at a time: the last visible change of each id.
func (l *EndpointList) visible(now float64) []EndpointUpdate {
	places := map[string]int{}
	var current []EndpointUpdate
	for _, update := range l.updates {
		if update.VisibleAt > now {
			continue
		}
		if place, found := places[update.Name]; found {
			current[place] = update
			continue
		}
		places[update.Name] = len(current)
		current = append(current, update)
	}
	return current
}

// ChangesSince returns what is sent to a node that has all changes up to a revision: the changes after it or, for a revision below 0
// or one that was never reached, the complete list. upTo is the revision that the node has then, and due is when the next change
// becomes visible, +Inf for none.
func (l *EndpointList) ChangesSince(from int64, now float64) (changes []EndpointUpdate, complete bool, upTo int64, due float64) {
	due, upTo = math.Inf(1), from
	candidates := l.updates
	if complete = from < 0 || from > l.revision; complete {
		candidates, upTo = l.visible(now), 0
	}
	for _, update := range candidates {
		if !complete && update.Revision <= from {
			continue
		}
		if update.VisibleAt > now {
			due = update.VisibleAt
			break
		}
		upTo = max(upTo, update.Revision)
		changes = append(changes, update)
	}
	return changes, complete, upTo, due
}

// ListedStart is Started by the clock of the server's machine, as lists give it.
func (u *EndpointUpdate) ListedStart() float64 {
	if u.Started <= 0 {
		return 0
	}
	return math.Floor(u.Started + u.ClockOffset)
}
