package controller

import (
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
	"mintspring/internal/state/snapshotfile"
)

// Persistence configures how learned state is kept across restarts.
type Persistence struct {
	Dir         string // data directory
	Interval    time.Duration
	TrustPolicy snapshot.Config // how far state found at the start is trusted
}

// LearnedState returns what the decision modules have learned, for a later RestoreState. All modules have learned the same.
func (c *core) LearnedState(now float64, policy snapshot.Config) *snapshot.State {
	c.zones[0].Export(now, &c.learnedBuffer)
	return snapshot.New(now, policy, &c.learnedBuffer, func(id fleet.ServerID) string { return c.slots[id].entry.ID })
}

// RestoreState applies saved state, as far as it is trusted. The endpoint list must have arrived.
func (c *core) RestoreState(now float64, state *snapshot.State, policy snapshot.Config) snapshot.Trust {
	var servers []snapshot.CurrentServer
	for i := range c.slots {
		slot := &c.slots[i]
		servers = append(servers, snapshot.CurrentServer{
			Name:      slot.entry.ID,
			StartedAt: slot.startedMs,
			Ready:     slot.state == fleet.Ready,
		})
	}
	restored, trust := state.Restore(now, policy, servers, c.slotByID)
	for _, module := range c.zones {
		module.Restore(now, &restored)
	}
	c.notePending(pointsMoved)
	return trust
}

// stateStore reads and writes the saved state of a Controller. The Controller's goroutine owns it.
type stateStore struct {
	config Persistence
	dir    *snapshotfile.Store // nil: not opened yet
	saved  *snapshot.State     // found at the start and not restored yet; nil: none
}

// open takes the data directory into use. It may fail for a while at a restart, while the predecessor still holds the lock.
func (s *stateStore) open() error {
	var err error
	s.dir, err = snapshotfile.Open(s.config.Dir)
	return err
}

// restore applies the state found at the start to a core, once. It reports false if there is none.
func (s *stateStore) restore(now float64, core *core) (trust snapshot.Trust, restored bool) {
	if s.saved == nil {
		return trust, false
	}
	trust = core.RestoreState(now, s.saved, s.config.TrustPolicy)
	s.saved = nil
	return trust, true
}

// save writes the learned state of a core that has endpoints. Nothing is written while the data directory cannot be opened; that was
// logged at the start.
func (s *stateStore) save(now func() float64, core *core) error {
	if !core.HasEndpoints() {
		return nil
	}
	if s.dir == nil && s.open() != nil {
		return nil
	}
	return s.dir.Save(snapshot.Append(nil, core.LearnedState(now(), s.config.TrustPolicy)))
}

// close releases the data directory.
func (s *stateStore) close() {
	if s.dir != nil {
		s.dir.Close()
	}
}
