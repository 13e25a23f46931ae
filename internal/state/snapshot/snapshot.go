// Package snapshot represents what a node has learned about its servers, popular keys and the origin, so that it can be kept
// across a restart. It encodes and decodes snapshots, and computes how far a later start can trust them.
//
// The package does no I/O and reads no clock. Callers pass in times as Unix milliseconds. Only the decision module interprets
// the values; it exports and imports them as plain types of package fleet.
package snapshot

import (
	"slices"

	"mintspring/internal/fleet"
)

// State is a snapshot of what a node has learned.
type State struct {
	TakenAt           float64 // Unix ms
	PolicyFingerprint uint64  // identifies the decision module and the settings under which the state was learned
	Node              string  // name of the node
	Zone              string
	Servers           []Server
	Global            fleet.Snapshot // state that is not specific to a server; its Servers field is unused
}

// Server is what was learned about one server. Name is the server's name in the endpoint list.
type Server struct {
	Name string
	fleet.ServerSnapshot
}

// New makes a snapshot of the state that the decision module has exported. Servers are stored by the names that name returns,
// because a server's id is its slot in the node's server table, which differs from process to process.
func New(now float64, config Config, learned *fleet.Snapshot, name func(fleet.ServerID) string) *State {
	s := &State{
		TakenAt:           now,
		PolicyFingerprint: config.PolicyFingerprint,
		Node:              config.Node,
		Zone:              config.Zone,
		Servers:           make([]Server, 0, len(learned.Servers)),
		Global:            *learned,
	}
	s.Global.Servers, s.Global.Keys = nil, slices.Clone(learned.Keys)
	for _, server := range learned.Servers {
		s.Servers = append(s.Servers, Server{Name: name(server.ID), ServerSnapshot: server})
	}
	return s
}

// Restore returns the learned state for a decision module that starts now with the given servers, with the trust in each part.
// Servers without an id in ids are left out.
func (s *State) Restore(now float64, config Config, servers []CurrentServer, ids map[string]fleet.ServerID) (fleet.Snapshot, Trust) {
	trust := s.Assess(now, config, servers)
	learned := s.Global
	learned.Trust, learned.Servers = trust.Global, nil
	for i := range s.Servers {
		name, server := s.Servers[i].Name, s.Servers[i].ServerSnapshot
		id, known := ids[name]
		if !known {
			continue
		}
		server.ID, server.Trust = id, trust.Servers[name]
		learned.Servers = append(learned.Servers, server)
	}
	return learned, trust
}
