package snapshot

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Trust says how far a start can rely on a snapshot. Its values range from 0 (not at all) to 1 (fully).
type Trust struct {
	Global  float64            // in the state that is not specific to a server, such as popular keys and the origin's window
	Servers map[string]float64 // by server name; a server that is not listed has trust 0
	Reasons []string           // what reduced the trust, in words
}

// TrustedServers returns the names of the servers with any trust, sorted.
func (t Trust) TrustedServers() []string {
	var names []string
	for name, trust := range t.Servers {
		if trust > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

// Config identifies a node and its deployment, and says how fast trust in a snapshot declines.
type Config struct {
	HalfLife          float64 // ms in which trust halves
	MaxAge            float64 // ms; trust in an older snapshot is 0
	PolicyFingerprint uint64
	Node              string
	Zone              string
}

// CurrentServer is the state of a server when a node starts.
type CurrentServer struct {
	Name      string
	StartedAt float64 // Unix ms
	Ready     bool
}

const (
	// maxClockSkewShare limits how far in the future a snapshot may be dated, as a share of the half-life.
	maxClockSkewShare = 0.01
	// otherNodeTrust is the factor for a snapshot of another node of the same zone: its traffic was similar, not the same.
	otherNodeTrust = 0.5
	// otherZoneTrust is the factor for a snapshot of another zone, whose response times and hit rates differ.
	otherZoneTrust = 0.0
)

// Assess computes the trust in the snapshot for a node that starts now with the given servers. The state of a server that has
// restarted since the snapshot was taken gets no trust. Trust in all other state is multiplied by the share of servers that have
// not changed.
func (s *State) Assess(now float64, config Config, servers []CurrentServer) Trust {
	result := Trust{Servers: map[string]float64{}}
	if reason := s.unusableReason(now, config); reason != "" {
		result.Reasons = append(result.Reasons, reason)
		return result
	}
	trust := math.Exp2(-max(0, now-s.TakenAt) / config.HalfLife)
	switch {
	case s.Zone != config.Zone:
		result.Reasons = append(result.Reasons, fmt.Sprintf("it is from a node of zone %q", s.Zone))
		trust *= otherZoneTrust
	case s.Node != config.Node:
		result.Reasons = append(result.Reasons, fmt.Sprintf("it is from node %q", s.Node))
		trust *= otherNodeTrust
	}
	unchanged, ready := s.unchangedServers(servers)
	if total := max(ready, len(s.Servers)); total > 0 && len(unchanged) < total {
		result.Reasons = append(result.Reasons, fmt.Sprintf("%d of %d servers are the same", len(unchanged), total))
		trust *= float64(len(unchanged)) / float64(total)
	}
	result.Global = trust
	for _, name := range unchanged {
		result.Servers[name] = trust
	}
	return result
}

// unusableReason returns why the whole snapshot cannot be trusted, or an empty string if it can.
func (s *State) unusableReason(now float64, config Config) string {
	age := now - s.TakenAt
	switch {
	case s.PolicyFingerprint != config.PolicyFingerprint:
		return "it was written by another decision module or deployment"
	case age < -maxClockSkewShare*config.HalfLife:
		return fmt.Sprintf("it is from the future by %.0f s: a clock is wrong", -age/1000)
	case age > config.MaxAge:
		return fmt.Sprintf("it is %.0f s old, over the maximum of %.0f s", age/1000, config.MaxAge/1000)
	}
	return ""
}

// unchangedServers returns the names of the ready servers that have not restarted since the snapshot, and the number of ready
// servers.
func (s *State) unchangedServers(servers []CurrentServer) (unchanged []string, ready int) {
	startedAt := make(map[string]float64, len(s.Servers))
	for i := range s.Servers {
		startedAt[s.Servers[i].Name] = s.Servers[i].StartedAt
	}
	for _, server := range servers {
		if !server.Ready {
			continue
		}
		ready++
		if started, known := startedAt[server.Name]; known && started == server.StartedAt {
			unchanged = append(unchanged, server.Name)
		}
	}
	return unchanged, ready
}
