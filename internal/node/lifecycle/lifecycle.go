// Package lifecycle is the state machine of a node as its clients and operators see it: whether it reports ready, whether
// it accepts new connections, and when a client's connection is to be closed.
//
// It does no I/O and reads no clock; times are passed in by the caller, in ms. The listener, the command handlers and the
// admin port all ask here and nowhere else, so that they agree.
package lifecycle

import "sync"

// Phase is the phase of a node's life.
type Phase uint8

const (
	// Starting means that there is no endpoint list yet.
	Starting Phase = iota
	// Ready means that the node serves.
	Ready
	// Standby means that operators have taken the node out of use; they may call it back at any moment.
	Standby
	// Stopping means that the process is about to end.
	Stopping
)

// String returns the phase as the admin port answers it; these texts are part of its protocol.
func (p Phase) String() string {
	return [...]string{"starting", "ready", "on standby", "ending"}[p]
}

// Times of a drain, in ms after standby was entered. The operators' page of daily operation demands them: the load balancer
// in front sends new connections for 200 ms after the first negative health check, and by 4,000 ms no client's connection
// may be open that is idle or has a request of the last 2,000 ms. A request that comes at the last moment may take all of
// its time, so idle connections have to be closed before the second half of that begins. Each connection has a moment
// of its own between the two bounds, so that clients do not reconnect to other nodes all at once.
const (
	closeAfterReplyFromMs  = 300.0 // 100 ms after the load balancer sends the last new connection
	closeAfterReplyUntilMs = 1000.0
	closeWhenIdleFromMs    = 900.0
	closeWhenIdleUntilMs   = 1700.0
)

// CloseMode says when a client's connection is to be closed. A later mode includes the ones before it.
type CloseMode uint8

const (
	// KeepOpen leaves the connection open.
	KeepOpen CloseMode = iota
	// CloseAfterReply closes it right behind its next reply.
	CloseAfterReply
	// CloseWhenIdle closes it as soon as no request is in flight on it.
	CloseWhenIdle
	// StopReading reads nothing more from it, and closes it behind the last reply.
	StopReading
)

// stopStage is how far the end of the process has come.
type stopStage uint8

const (
	running stopStage = iota
	stopping
	finishing // a request that is read now could not be answered any more
)

// State is the state of one node. The zero value is a node that starts. Its methods may be called from several goroutines.
type State struct {
	mu             sync.Mutex // guards all fields below
	hasEndpoints   bool       // there is an endpoint list
	standby        bool
	standbySince   float64 // ms; valid while standby is set
	stop           stopStage
	hasPredecessor bool // another process of the node serves until this one can
	hasSuccessor   bool // another process serves in the node's place
}

// MarkEndpointsKnown records that there is an endpoint list with servers in it. It reports whether this is the first one.
func (s *State) MarkEndpointsKnown() (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, s.hasEndpoints = !s.hasEndpoints, true
	return first
}

// EnterStandby takes the node out of use. On standby already it changes nothing: the times of the drain run from the first
// call.
func (s *State) EnterStandby(now float64) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standby {
		return false
	}
	s.standby, s.standbySince = true, now
	return true
}

// LeaveStandby puts the node back into use.
func (s *State) LeaveStandby() (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, s.standby = s.standby, false
	return changed
}

// BeginStop records that the process is about to end.
func (s *State) BeginStop() { s.advanceStop(stopping) }

// FinishStop records that the end is near: requests that were read are answered, and nothing more is read.
func (s *State) FinishStop() { s.advanceStop(finishing) }

func (s *State) advanceStop(stage stopStage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = max(s.stop, stage)
}

// SetSuccessor records that a successor serves in the node's place, or, should it be lost, that none does any more.
func (s *State) SetSuccessor(serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasSuccessor = serving
}

// SetPredecessor records that another process serves until this one can, or that it does not any more.
func (s *State) SetPredecessor(serving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasPredecessor = serving
}

// CanServe reports whether the node has what it needs to serve.
func (s *State) CanServe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasEndpoints
}

// StandbySince returns when standby was entered, or 0 if the node is not on standby.
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

// ReadyForClients reports whether the node reports ready to its clients. One that stops still does on the connections that
// it has: their clients learn of the end by other means, and new connections meet a closed listener.
func (s *State) ReadyForClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readyForClients()
}

// readyForClients is called with mu held.
func (s *State) readyForClients() bool { return s.hasEndpoints && !s.standby }

// ReadyForOperators reports whether the node reports ready on the admin port: as to clients, but not before the predecessor
// has acknowledged that this process serves, because operators stop the predecessor then.
func (s *State) ReadyForOperators() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readyForClients() && !s.hasPredecessor
}

// AcceptsConnections reports whether new connections are accepted. They are on standby, because the load balancer makes its
// health checks on new connections.
func (s *State) AcceptsConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.hasSuccessor && !s.hasPredecessor
}

// ClosesConnections reports whether clients' connections are closed by and by.
func (s *State) ClosesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standby || s.stop != running || s.hasSuccessor
}

// CloseMode says when a client's connection is to be closed. position, in [0, 1), is drawn once for each connection; it is
// the place of the connection within the spans of a drain.
func (s *State) CloseMode(now, jitter float64) CloseMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stop == finishing:
		return StopReading
	case s.stop == stopping || s.hasSuccessor:
		return CloseWhenIdle
	case s.standby:
		return drainMode(now-s.standbySince, jitter)
	}
	return KeepOpen
}

// drainMode is the mode of a connection so many ms after standby was entered.
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
