package snapshot

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Trust is how far a snapshot may be relied on. All values are from 0 (not at all) to 1 (fully).
type Trust struct {
	Global  float64            // for what belongs to no single server: popular keys, the origin's window
	Servers map[string]float64 // by server name; a server that is missing has trust 0
	Reasons []string           // what reduced the trust, for people
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

// Config is what the trust in a snapshot is computed from.
type Config struct {
	HalfLife          float64 // ms; trust halves with each
	MaxAge            float64 // ms; an older snapshot is not trusted
	PolicyFingerprint uint64
	Node              string
	Zone              string
}

// CurrentServer is one server as a starting node finds it.
type CurrentServer struct {
	Name      string
	StartedAt float64 // Unix ms
	Ready     bool
}

const (
	// maxClockSkewShare is how far a snapshot may lie in the future, as a share of the half-life.
	maxClockSkewShare = 0.01
	// otherNodeTrust is the factor for a snapshot of another node of the same zone: its traffic was similar, not the same.
	otherNodeTrust = 0.5
	// otherZoneTrust is the factor for a snapshot of another zone, whose response times and hit rates differ.
	otherZoneTrust = 0.0
)

// Assess computes how far a node that starts now among the given servers may rely on the snapshot. A server that has
// restarted since is not trusted, and the more of the fleet has changed, the less the global part is.
func (s *State) Assess(now float64, config Config, servers []CurrentServer) Trust {
	result := Trust{Servers: map[string]float64{}}
	if reason := s.unusable(now, config); reason != "" {
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

// unusable returns why nothing of the snapshot can be relied on, or an empty string.
func (s *State) unusable(now float64, config Config) string {
	age := now - s.TakenAt
	switch {
	case s.PolicyFingerprint != config.PolicyFingerprint:
		return "it was written by another decision module or deployment"
	case age < -maxClockSkewShare*config.HalfLife:
		return fmt.Sprintf("it is from the future by %.0f s: a clock is wrong", -age/1000)
	case age > config.MaxAge:
		return fmt.Sprintf("it is %.0f s old, over %.0f", age/1000, config.MaxAge/1000)
	}
	return ""
}

// unchangedServers returns the names of the ready servers whose process is the one of the snapshot, and how many servers
// are ready.
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
