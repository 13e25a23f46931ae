package invariants

import (
	"slices"

	"mintspring/internal/testbed/servermodel"
)

// What binds after an operation, in ms.
const (
	retuningLimit = 1200 // after the signal, until requests are of their new classes
	takeoverLimit = 2000 // after a successor is ready, until notifications bind again
)

// endOfRun is the end of what has not ended.
const endOfRun = 1 << 53 // Unix ms

// Operations are what operators did to nodes, in the order of their times.
type Operations struct {
	Takeovers []Takeover
	standbys  []span
	calls     int // of standby and active
	excluded  []exclusion
	stricter  []span
}

// Takeover is the start of a process beside another one of the same node.
type Takeover struct {
	Node        servermodel.NodeID
	From, Ready float64
}

// span is a time in which something holds for a node.
type span struct {
	node     servermodel.NodeID
	from, to float64
}

func (s *span) contains(node servermodel.NodeID, at float64) bool {
	return s.node == node && s.from <= at && at <= s.to
}

// exclusion is a time in which a node has to leave out a server.
type exclusion struct {
	span
	server servermodel.ServerID
	id     string // under which it was listed
}

// SetStandby records a call that puts a node on standby, or has it serve again. From limit after a call for standby, in ms, it may not
// serve.
func (o *Operations) SetStandby(node servermodel.NodeID, standby bool, at, limit float64) {
	o.calls++
	o.standbys = setSpan(o.standbys, node, standby, at, limit)
}

// StandbyCalls is the number of calls that were recorded.
func (o *Operations) StandbyCalls() int { return o.calls }

// SetStricterSettings records a signal by which a node reads settings under which requests of some classes may not be repeated, or may again.
func (o *Operations) SetStricterSettings(node servermodel.NodeID, stricter bool, at float64) {
	o.stricter = setSpan(o.stricter, node, stricter, at, retuningLimit)
}

// setSpan begins a span of a node some time after a call, or ends it at the call.
func setSpan(spans []span, node servermodel.NodeID, begins bool, at, delay float64) []span {
	for i := range spans {
		if spans[i].node == node && spans[i].to == endOfRun && !begins {
			spans[i].to = at
		}
	}
	holds := slices.ContainsFunc(spans, func(s span) bool { return s.node == node && s.to == endOfRun })
	if begins && !holds {
		spans = append(spans, span{node, at + delay, endOfRun})
	}
	return spans
}

// SetExcluded records that a node has been told to leave out a server with an id, or to use it again.
func (o *Operations) SetExcluded(node servermodel.NodeID, server servermodel.ServerID, id string, excluded bool, at float64) {
	current := o.currentExclusion(node, server)
	switch {
	case excluded && current == nil:
		o.excluded = append(o.excluded, exclusion{span{node, at, endOfRun}, server, id})
	case !excluded && current != nil:
		current.to = at
	}
}

// ExcludedID returns the id under which a node leaves out a server now.
func (o *Operations) ExcludedID(node servermodel.NodeID, server servermodel.ServerID) (id string, ok bool) {
	if current := o.currentExclusion(node, server); current != nil {
		return current.id, true
	}
	return "", false
}

func (o *Operations) currentExclusion(node servermodel.NodeID, server servermodel.ServerID) *exclusion {
	for i := range o.excluded {
		if e := &o.excluded[i]; e.node == node && e.server == server && e.to == endOfRun {
			return e
		}
	}
	return nil
}

// Add adds the operations of other nodes.
func (o *Operations) Add(others Operations) {
	o.Takeovers = append(o.Takeovers, others.Takeovers...)
	o.standbys = append(o.standbys, others.standbys...)
	o.excluded = append(o.excluded, others.excluded...)
	o.stricter = append(o.stricter, others.stricter...)
}

// onStandby reports whether a node may not serve at a time.
func (o *Operations) onStandby(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(o.standbys, func(s span) bool { return s.contains(node, at) })
}

// isStricter reports whether requests that reach a node at a time are of the stricter classes.
func (o *Operations) isStricter(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(o.stricter, func(s span) bool { return s.contains(node, at) })
}

// excludedID returns the id under which a node may not send to a server at a time, with a grace after the call.
func (o *Operations) excludedID(node servermodel.NodeID, server servermodel.ServerID, at, grace float64) (id string, ok bool) {
	for _, e := range o.excluded {
		if e.server == server && e.contains(node, at) && at > e.from+grace {
			return e.id, true
		}
	}
	return "", false
}

// inTakeover reports whether notifications do not bind a node at a time: a process starts beside another one.
func (o *Operations) inTakeover(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(o.Takeovers, func(t Takeover) bool {
		return t.Node == node && t.From <= at && at <= t.Ready+takeoverLimit
	})
}
