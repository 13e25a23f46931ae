package experiment

import (
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// System is the system under test, on which the steps of a timeline act: real processes with fake servers, or a simulation. Its methods
// are called from one goroutine. An error ends the run.
type System interface {
	// SetRateFactor sets the rate of clients to a multiple of the experiment's rate.
	SetRateFactor(factor float64)
	// Server returns a server by its index in Experiment.ServerSpecs; the origin is the last one.
	Server(index int) ServerControl
	// Node returns a node by its index.
	Node(index int) NodeControl
	Discovery() DiscoveryControl
	// RelocateDiscovery moves the discovery service to other addresses. Nodes learn them by reloading their configuration.
	RelocateDiscovery() error
	// UpdateLinks changes the links between nodes.
	UpdateLinks(change func(*faultrelay.Links)) error
}

// ServerControl acts on one server. Kill resets the server's connections. SetBlackholed leaves them open without carrying data, for the
// given nodes or, if none is given, for all.
type ServerControl interface {
	SetPhase(phase string)
	AssignNewID()
	Kill()
	Restart(warm bool) error
	SetPaused(paused bool)
	SetSlowdown(factor float64) // multiplies the duration of executions
	SetRefusing(refusing bool) error
	ResetConnections()
	SetBlackholed(blackholed bool, nodes ...servermodel.NodeID)
	SetFaults(faults fakes.Faults)
}

// NodeControl acts on one node. Its methods return without waiting for a process to start or exit.
type NodeControl interface {
	Kill()
	Stop()  // gracefully
	Start() // after the previous process has exited
	Reload() error
	SetFrozen(frozen bool)                                             // suspends or resumes the process; a frozen node counts as down
	PauseFor(duration time.Duration) error                             // suspends the process for a time; the node counts as running
	ReloadTruncated() error                                            // reloads a truncated configuration file
	OpenIdleConnections(connections int, duration time.Duration) error // clients that connect and send nothing
	SetStandby(standby bool) error
	SetExcluded(server string, excluded bool) error // the operator's command; the server is named as in the experiment file
	SetRetuned(retuned bool) error                  // switches to the settings of RetunedSettings, or back
	HotRestart() error
	ReplaceMachine() // starts a new machine under the same name, with an empty disk
}

// DiscoveryControl acts on the discovery service.
type DiscoveryControl interface {
	SetDelay(delay time.Duration)
	SetUnavailable(unavailable bool)
	SetStalled(stalled bool)
	ResetRevision()
	SetClockOffset(ms float64) // sets how far the servers' clocks are ahead of the nodes'; listed start times are later by as much
}
