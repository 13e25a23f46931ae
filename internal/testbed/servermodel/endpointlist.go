package servermodel

import "math"

// Phases of a server, as named by the discovery service.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// EndpointUpdate is one change of the endpoint list.
type EndpointUpdate struct {
	Revision  int64
	VisibleAt float64 // earliest time at which nodes are notified of it
	Server    ServerID
	Name      string // the id under which the server is listed
	Phase     string
	Started   float64 // when the server started; 0: long ago

	ClockOffset float64 // how far the clock of the server's machine is ahead of the cluster's, in ms; added to Started in ListedStart
}

// EndpointList is the endpoint list of the discovery service: a log of changes, ordered by revision. The zero value is empty.
type EndpointList struct {
	Delay float64 // time until a change becomes visible, in ms

	revision int64
	updates  []EndpointUpdate
}

// Publish appends a change and sets its revision and the time at which it becomes visible.
func (l *EndpointList) Publish(now float64, update EndpointUpdate) {
	l.revision++
	update.Revision, update.VisibleAt = l.revision, now+l.Delay
	l.updates = append(l.updates, update)
}

// ResetRevision restarts the revisions at 1 and keeps only the visible list, as after the discovery service lost its state.
func (l *EndpointList) ResetRevision(now float64) {
	current := l.visible(now)
	l.revision, l.updates = 0, nil
	for _, update := range current {
		l.revision++
		update.Revision = l.revision
		l.updates = append(l.updates, update)
	}
}

// visible returns the list as of the given time: the last visible change of each server id.
func (l *EndpointList) visible(now float64) []EndpointUpdate {
	indexByName := map[string]int{}
	var current []EndpointUpdate
	for _, update := range l.updates {
		if update.VisibleAt > now {
			continue
		}
		if place, found := indexByName[update.Name]; found {
			current[place] = update
			continue
		}
		indexByName[update.Name] = len(current)
		current = append(current, update)
	}
	return current
}

// ChangesSince returns the changes that are sent to a node at revision from: the visible changes after it or, if from is negative or
// above the current revision, the complete list. upTo is the node's revision afterwards. due is when the next change becomes visible,
// +Inf for none.
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

// ListedStart returns the start time that the endpoint list gives, measured by the clock of the server's machine.
func (u *EndpointUpdate) ListedStart() float64 {
	if u.Started <= 0 {
		return 0
	}
	return math.Floor(u.Started + u.ClockOffset)
}
