package lifecycle

import (
	"testing"

	"pgregory.net/rapid"
)

// model is the state expected of a State, given the methods called so far.
type model struct {
	now                          float64
	listed, stopping, finishing  bool
	hasSuccessor, hasPredecessor bool
	standbySince                 float64 // below 0: not on standby
}

func (m *model) onStandby() bool { return m.standbySince >= 0 }

// TestStateInvariants calls the methods in any order and checks the readiness of the node and the times of the drain.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		m := model{now: 1000, standbySince: -1}
		t.Repeat(map[string]func(*rapid.T){
			"listed": func(*rapid.T) { m.listed = true; s.MarkEndpointsKnown() },
			"standby": func(*rapid.T) {
				if s.EnterStandby(m.now); !m.onStandby() {
					m.standbySince = m.now
				}
			},
			"active": func(*rapid.T) { m.standbySince = -1; s.LeaveStandby() },
			"stop":   func(*rapid.T) { m.stopping = true; s.BeginStop() },
			"finish": func(*rapid.T) { m.stopping, m.finishing = true, true; s.FinishStop() },
			"successor": func(t *rapid.T) {
				m.hasSuccessor = rapid.Bool().Draw(t, "serving")
				s.SetSuccessor(m.hasSuccessor)
			},
			"predecessor": func(t *rapid.T) {
				m.hasPredecessor = rapid.Bool().Draw(t, "serving")
				s.SetPredecessor(m.hasPredecessor)
			},
			"later": func(t *rapid.T) { m.now += rapid.Float64Range(0, 5000).Draw(t, "ms") },
			"": func(t *rapid.T) {
				m.checkReadiness(t, &s)
				m.checkCloseMode(t, &s, rapid.Float64Range(0, 0.999).Draw(t, "position"))
			},
		})
	})
}

func (m *model) checkReadiness(t *rapid.T, s *State) {
	ready := m.listed && !m.onStandby()
	if s.ReadyForClients() != ready || s.ReadyForOperators() != (ready && !m.hasPredecessor) {
		t.Fatal("readiness does not match the methods called")
	}
	if since := s.StandbySince(); since != max(0, m.standbySince) || s.CanServe() != m.listed {
		t.Fatalf("on standby since %v, want %v", since, m.standbySince)
	}
	if s.AcceptsConnections() == (m.hasSuccessor || m.hasPredecessor) {
		t.Fatal("exactly one of the two processes must accept connections")
	}
}

func (m *model) checkCloseMode(t *rapid.T, s *State, jitter float64) {
	mode := s.CloseMode(m.now, jitter)
	leaving := m.stopping || m.hasSuccessor
	closing := leaving || m.onStandby()
	elapsed := m.now - m.standbySince
	switch {
	case s.ClosesConnections() != closing, !closing && mode != KeepOpen:
		t.Fatalf("mode %d, and closing is %v", mode, closing)
	case (mode == StopReading) != m.finishing:
		t.Fatalf("mode %d, and finishing is %v", mode, m.finishing)
	case leaving && !m.finishing && mode != CloseWhenIdle:
		t.Fatalf("mode %d while the process hands over its connections or stops", mode)
	case m.onStandby() && elapsed >= 2000 && !m.finishing && mode != CloseWhenIdle:
		t.Fatalf("an idle connection is kept %v ms after EnterStandby", elapsed)
	case m.onStandby() && !leaving && elapsed <= 200 && mode != KeepOpen:
		t.Fatalf("mode %d while new connections still come, %v ms after EnterStandby", mode, elapsed)
	}
}

func TestPhases(t *testing.T) {
	var s State
	for i, step := range []struct {
		do   func()
		want Phase
	}{
		{func() {}, Starting},
		{func() { s.EnterStandby(1) }, Standby},
		{func() { s.LeaveStandby() }, Starting},
		{func() { s.MarkEndpointsKnown() }, Ready},
		{func() { s.EnterStandby(2) }, Standby},
		{func() { s.BeginStop() }, Stopping},
	} {
		if step.do(); s.Phase() != step.want {
			t.Errorf("step %d: %v, want %v", i, s.Phase(), step.want)
		}
	}
}
