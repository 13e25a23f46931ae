package invariants

import (
	"slices"

	"mintspring/internal/testbed/servermodel"
)

// Limits on how long an operation may take to come into effect, in ms.
const (
	settingsReloadLimit = 1200 // from the signal until the reloaded settings must apply
	takeoverLimit       = 2000 // from the successor's readiness until rule 3 applies again
)

// openSpanEnd is the end time of a span that has not ended.
const openSpanEnd = 1 << 53 // Unix ms

// Operations records what operators did to nodes, in order of time.
type Operations struct {
	Takeovers        []Takeover
	standbys         []span
	standbyCalls     int // calls for standby or active service
	exclusions       []exclusion
	stricterSettings []span
}

// Takeover is a hot restart of a node: a successor starts beside the running process.
type Takeover struct {
	Node        servermodel.NodeID
	From, Ready float64
}

// span is a time in which a state of a node lasts.
type span struct {
	node     servermodel.NodeID
	from, to float64
}

func (s *span) contains(node servermodel.NodeID, at float64) bool {
	return s.node == node && s.from <= at && at <= s.to
}

// exclusion is a time in which a node must not send to a server.
type exclusion struct {
	span
	server servermodel.ServerID
	id     string // under which the server was listed
}

// SetStandby records a call that puts a node on standby or back into active service. A node on standby must not serve requests once
// limit, in ms, has passed since the call.
func (o *Operations) SetStandby(node servermodel.NodeID, standby bool, at, limit float64) {
	o.standbyCalls++
	o.standbys = setSpan(o.standbys, node, standby, at, limit)
}

// StandbyCalls returns the number of calls to SetStandby.
func (o *Operations) StandbyCalls() int { return o.standbyCalls }

// SetStricterSettings records a signal that makes a node load other settings: if stricter is set, those under which some classes become
// non-idempotent, otherwise the previous ones.
func (o *Operations) SetStricterSettings(node servermodel.NodeID, stricter bool, at float64) {
	o.stricterSettings = setSpan(o.stricterSettings, node, stricter, at, settingsReloadLimit)
}

// setSpan starts a span of a node at delay after a call, or ends the open span at the call.
func setSpan(spans []span, node servermodel.NodeID, begins bool, at, delay float64) []span {
	for i := range spans {
		if spans[i].node == node && spans[i].to == openSpanEnd && !begins {
			spans[i].to = at
		}
	}
	isOpen := slices.ContainsFunc(spans, func(s span) bool { return s.node == node && s.to == openSpanEnd })
	if begins && !isOpen {
		spans = append(spans, span{node, at + delay, openSpanEnd})
	}
	return spans
}

// SetExcluded records a call that makes a node exclude a server, listed under an id, or use it again.
func (o *Operations) SetExcluded(node servermodel.NodeID, server servermodel.ServerID, id string, excluded bool, at float64) {
	current := o.currentExclusion(node, server)
	switch {
	case excluded && current == nil:
		o.exclusions = append(o.exclusions, exclusion{span{node, at, openSpanEnd}, server, id})
	case !excluded && current != nil:
		current.to = at
	}
}

// ExcludedID returns the id under which a node excludes a server at present.
func (o *Operations) ExcludedID(node servermodel.NodeID, server servermodel.ServerID) (id string, ok bool) {
	if current := o.currentExclusion(node, server); current != nil {
		return current.id, true
	}
	return "", false
}

func (o *Operations) currentExclusion(node servermodel.NodeID, server servermodel.ServerID) *exclusion {
	for i := range o.exclusions {
		if e := &o.exclusions[i]; e.node == node && e.server == server && e.to == openSpanEnd {
			return e
		}
	}
	return nil
}

// Add appends the operations of other nodes.
func (o *Operations) Add(others Operations) {
	o.Takeovers = append(o.Takeovers, others.Takeovers...)
	o.standbys = append(o.standbys, others.standbys...)
	o.exclusions = append(o.exclusions, others.exclusions...)
	o.stricterSettings = append(o.stricterSettings, others.stricterSettings...)
}

// onStandby reports whether a node must not serve at a time because it is on standby.
func (o *Operations) onStandby(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(o.standbys, func(s span) bool { return s.contains(node, at) })
}

// hasStricterSettings reports whether stricter settings apply to requests that reach a node at a time.
func (o *Operations) hasStricterSettings(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(o.stricterSettings, func(s span) bool { return s.contains(node, at) })
}

// excludedID returns the id under which a node excludes a server at a time. The exclusion applies once
// grace has passed since the call that excluded the server.
func (o *Operations) excludedID(node servermodel.NodeID, server servermodel.ServerID, at, grace float64) (id string, ok bool) {
	for _, e := range o.exclusions {
		if e.server == server && e.contains(node, at) && at > e.from+grace {
			return e.id, true
		}
	}
	return "", false
}

// inTakeover reports whether a node is exempt from rule 3 at a time because of a takeover.
func (o *Operations) inTakeover(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(o.Takeovers, func(t Takeover) bool {
		return t.Node == node && t.From <= at && at <= t.Ready+takeoverLimit
	})
}
