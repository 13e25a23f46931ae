// Package settings parses the settings object that a node is started with. The simulator's first message and a real node's
// configuration contain it in the same form.
package settings

import "mintspring/internal/fleet"

// Deployment holds the parsed settings: the limits of the decision module, and values that only the node around it uses. Times
// are in ms.
type Deployment struct {
	Limits fleet.Limits

	RequestClasses, Tenants, Kinds, Zones []string // names, in the order of their ids

	NodeIndex       int     // this node's number among all nodes, from 0; negative if the settings have none
	MaxInFlight     int     // requests that the node may have in flight; 0: no limit
	ConnectTimeout  float64 // a connection attempt fails after this time; 0: not set
	ProbesAllowed   bool    // nodes may probe servers with PING
	ConnIdleTimeout float64 // servers close a connection that has been idle for this time; 0: not set
}

// defaultTimeMs is the latency objective and the deadline that TimeBounds assumes without request classes.
const defaultTimeMs = 1000

// TimeBounds returns the shortest latency objective of all request classes, but at most 1 s, and their longest deadline, but at
// least 1 s.
func (d *Deployment) TimeBounds() (shortestObjective, longestTimeout float64) {
	shortestObjective, longestTimeout = defaultTimeMs, defaultTimeMs
	for _, class := range d.Limits.Classes {
		shortestObjective = min(shortestObjective, class.LatencyObjective)
		longestTimeout = max(longestTimeout, class.ClientTimeout)
	}
	return shortestObjective, longestTimeout
}
