// Package lifecycle is the state machine of a node as its clients and operators see it: whether the node reports ready, whether it accepts
// new connections, and when client connections are closed.
//
// The package does no I/O and reads no clock; callers pass times in ms. The listener, the command handlers and the admin port all use the
// same State, so that they agree.
package lifecycle

import "sync"

// Phase is the phase of a node's life.
type Phase uint8

const (
	// Starting means that the node has no endpoint list yet.
	Starting Phase = iota
	// Ready means that the node serves.
	Ready
	// Standby means that operators have taken the node out of service. They may put it back at any time.
	Standby
	// Stopping means that the process is about to end.
	Stopping
)

// String returns the phase as in replies of the admin port. The texts are part of its protocol.
func (p Phase) String() string {
	return [...]string{"starting", "ready", "on standby", "ending"}[p]
}

// Bounds of the drain on standby, in ms after standby was entered. The operators' page of daily operation requires two things. The load
// balancer in front sends new connections for 200 ms after the first negative health check. After 4,000 ms no client connection may be open
// that is idle or whose request came within the last 2,000 ms. A request may come just before an idle connection is closed and take 2,000 ms,
// so all idle connections must be closed before 2,000 ms. Each connection gets its own time between the two bounds, so that clients do not
// reconnect to other nodes all at once.
const (
	closeAfterReplyFromMs  = 300.0 // 100 ms after the load balancer stops sending new connections
	closeAfterReplyUntilMs = 1000.0
	closeWhenIdleFromMs    = 900.0
	closeWhenIdleUntilMs   = 1700.0
)

// CloseMode says when a client connection is closed. The modes are cumulative: each one also does what the modes before it do.
type CloseMode uint8

const (
	// KeepOpen leaves the connection open.
	KeepOpen CloseMode = iota
	// CloseAfterReply closes the connection right after its next reply.
	CloseAfterReply
	// CloseWhenIdle closes the connection as soon as no request is in flight on it.
	CloseWhenIdle
	// StopReading stops forwarding what is read from the connection, and closes it after the last reply (InputMode).
	StopReading
)

// InputMode says what happens to a request that arrives on a connection behind others that are in flight.
type InputMode uint8

const (
	// ForwardInput forwards it.
	ForwardInput InputMode = iota
	// RejectInput rejects it. The connection is closed when its client has paused and all replies are written.
	RejectInput
	// EndInput rejects it if it has been read. The connection is closed even if its client never pauses.
	EndInput
)

// Bounds for clients that never pause, in ms after standby was entered. After 4,000 ms no connection may be open whose request came within the
// last 2,000 ms (above): no request is forwarded from the first bound on, and the connections are closed from the second one on.
const (
	rejectInputAfterMs = 2000.0
	endInputAfterMs    = 3000.0
)

// stopStage is the progress of the shutdown of the process.
type stopStage uint8

const (
	running stopStage = iota
	stopping
	finishing // too late to forward requests that have not been read yet
	ending    // too late to wait for clients that never pause
)

// State is the state of one node. The zero value is the state of a starting node. The methods are safe for concurrent use.
type State struct {
	mu             sync.Mutex // guards all fields below
	hasEndpoints   bool       // the node has an endpoint list with a ready server
	standby        bool
	standbySince   float64 // ms; valid while standby is set
	stop           stopStage
	hasPredecessor bool // another process of the node serves until this one is ready
	hasSuccessor   bool // another process of the node has replaced this one
}

// MarkEndpointsKnown records that the node has an endpoint list with a ready server. It reports whether this was the first call.
func (s *State) MarkEndpointsKnown() (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, s.hasEndpoints = !s.hasEndpoints, true
	return first
}

// EnterStandby takes the node out of service. If the node is on standby already, nothing changes: the drain counts from the first call.
func (s *State) EnterStandby(now float64) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standby {
		return false
	}
	s.standby, s.standbySince = true, now
	return true
}

// LeaveStandby puts the node back into service.
func (s *State) LeaveStandby() (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, s.standby = s.standby, false
	return changed
}

// BeginStop records that the process is shutting down.
func (s *State) BeginStop() { s.advanceStop(stopping) }

// FinishStop begins the stage of the shutdown in which requests that are in flight are answered, and later ones are rejected.
func (s *State) FinishStop() { s.advanceStop(finishing) }

// EndInput begins the last stage of the shutdown: connections of clients that never pause are closed.
func (s *State) EndInput() { s.advanceStop(ending) }

func (s *State) advanceStop(stage stopStage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = max(s.stop, stage)
}

// SetSuccessor records whether a successor serves instead of this process. serving is false again if the successor is lost.
func (s *State) SetSuccessor(serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasSuccessor = serving
}

// SetPredecessor records whether another process of the node serves until this one is ready.
func (s *State) SetPredecessor(serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasPredecessor = serving
}

// CanServe reports whether the node has an endpoint list, without which it cannot serve.
func (s *State) CanServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasEndpoints
}

// StandbySince returns the time at which standby was entered, or 0 if the node is not on standby.
func (s *State) StandbySince() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.standby {
		return 0
	}
	return s.standbySince
}

// Phase returns the phase of the node.
func (s *State) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stop != running:
		return Stopping
	case s.standby:
		return Standby
	case s.hasEndpoints:
		return Ready
	}
	return Starting
}

// ReadyForClients reports whether the node reports ready to its clients. A stopping node still reports ready on its open connections: the
// listener is closed for new ones, and clients notice the shutdown when their connections are closed.
func (s *State) ReadyForClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readyForClients()
}

// readyForClients implements ReadyForClients. The caller holds mu.
func (s *State) readyForClients() bool { return s.hasEndpoints && !s.standby }

// ReadyForOperators reports whether the node reports ready on the admin port. The answer is that of ReadyForClients, but a successor is not
// ready before the predecessor has acknowledged that the successor serves, because operators then stop the predecessor.
func (s *State) ReadyForOperators() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readyForClients() && !s.hasPredecessor
}

// AcceptsConnections reports whether new connections are accepted. A node on standby accepts them, because the load balancer opens new
// connections for its health checks.
func (s *State) AcceptsConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hasSuccessor && !s.hasPredecessor
}

// ClosesConnections reports whether client connections are being closed or will be closed gradually.
func (s *State) ClosesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standby || s.stop != running || s.hasSuccessor
}

// CloseMode returns the mode for closing a client connection. jitter is a random number in [0, 1) that the caller draws once per connection;
// it places the connection between the bounds of the drain.
func (s *State) CloseMode(now, jitter float64) CloseMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stop >= finishing:
		return StopReading
	case s.stop == stopping || s.hasSuccessor:
		return CloseWhenIdle
	case s.standby:
		return drainMode(now-s.standbySince, jitter)
	}
	return KeepOpen
}

// InputMode returns the mode for requests that arrive behind others.
func (s *State) InputMode(now float64) InputMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now - s.standbySince
	switch {
	case s.stop == ending || s.standby && elapsed >= endInputAfterMs:
		return EndInput
	case s.stop == finishing || s.standby && elapsed >= rejectInputAfterMs:
		return RejectInput
	}
	return ForwardInput
}

// drainMode returns the mode of a connection when elapsed ms have passed since standby was entered.
func drainMode(elapsed, jitter float64) CloseMode {
	switch {
	case elapsed >= interpolate(closeWhenIdleFromMs, closeWhenIdleUntilMs, jitter):
		return CloseWhenIdle
	case elapsed >= interpolate(closeAfterReplyFromMs, closeAfterReplyUntilMs, jitter):
		return CloseAfterReply
	}
	return KeepOpen
}

func interpolate(from, until, fraction float64) float64 { return from + fraction*(until-from) }
