package experiment

import (
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// System is what a timeline acts on: real processes among fake servers, or simulated ones. Its methods are called from one goroutine,
// and errors end the run.
type System interface {
	// SetRateFactor has clients send the given multiple of the experiment's rate.
	SetRateFactor(multiple float64)
	// Server returns a server by its place; the origin is the last one.
	Server(place int) ServerControl
	// Node returns a node by its number.
	Node(index int) NodeControl
	Discovery() DiscoveryControl
	// RelocateDiscovery moves the discovery service to other addresses, of which nodes learn by a reload of their configuration.
	RelocateDiscovery() error
	// UpdateLinks changes the links between nodes.
	UpdateLinks(change func(*faultrelay.Links)) error
}

// ServerControl acts on one server. A process that is killed resets its connections; one that is blackholed leaves them open, and
// without a node named it is so for all of them.
type ServerControl interface {
	SetPhase(phase string)
	AssignNewID()
	Kill()
	Restart(warm bool) error
	SetPaused(paused bool)
	SetSlowdown(multiple float64)
	SetRefusing(refusing bool) error
	ResetConnections()
	SetBlackholed(blackholed bool, nodes ...servermodel.NodeID)
	SetFaults(faults fakes.Faults)
}

// NodeControl acts on one node. None of its methods waits for a process to start or to end.
type NodeControl interface {
	Kill()
	Stop()  // gracefully
	Start() // once it has ended
	Reload() error
	SetFrozen(frozen bool)
	PauseFor(duration time.Duration) error                             // it stands still, and counts as running
	ReloadTruncated() error                                            // of a configuration that is cut short
	OpenIdleConnections(connections int, duration time.Duration) error // clients connect and say nothing
	SetStandby(standby bool) error
	SetExcluded(server string, excluded bool) error // as its operators call it; the server is one of the experiment's file
	SetRetuned(stricter bool) error                 // settings with other classes and limits, as RetunedSettings has them
	HotRestart() error
	ReplaceMachine() // it loses its disk, and another one begins under its name
}

// DiscoveryControl acts on the discovery service.
type DiscoveryControl interface {
	SetDelay(delay time.Duration)
	SetUnavailable(unavailable bool)
	SetStalled(stalled bool)
	ResetRevision()
	SetClockOffset(ms float64) // of servers' clocks against the nodes': starts are listed so much later
}
