// Package settings parses the object of settings that a node is started with. The simulator's first message and a real
// node's configuration hold the same one.
package settings

import "mintspring/internal/fleet"

// Deployment is what the settings say: the limits that the decision module needs, and what only the node on sockets does.
// Times are in ms.
type Deployment struct {
	Limits fleet.Limits

	RequestClasses, Tenants, Kinds, Zones []string // names, in the order of their ids

	NodeIndex       int     // the node's number among all, from 0; below 0 if the settings have none
	MaxInFlight     int     // requests that the node may have in flight; 0: no limit
	ConnectTimeout  float64 // a connection that is not established by then never is
	ConnIdleTimeout float64 // a server closes a connection that has been idle for so long
}

// defaultTime stands for a latency objective or deadline that no request class states, in ms.
const defaultTime = 1000

// TimeBounds returns the shortest latency objective and the longest deadline of all request classes, each at least or at
// most 1 s.
func (d *Deployment) TimeBounds() (shortestObjective, longestTimeout float64) {
	shortestObjective, longestTimeout = defaultTime, defaultTime
	for _, class := range d.Limits.Classes {
		shortestObjective = min(shortestObjective, class.LatencyObjective)
		longestTimeout = max(longestTimeout, class.ClientTimeout)
	}
	return shortestObjective, longestTimeout
}
