package controller

import (
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
	"mintspring/internal/state/snapshotfile"
)

// Persistence configures how the learned state of the decision modules is kept across restarts.
type Persistence struct {
	Dir         string // data directory
	Interval    time.Duration
	TrustPolicy snapshot.Config // sets how far saved state is trusted at the start
}

// LearnedState returns the learned state of the decision modules, for a later RestoreState. It exports the state of the first module, since
// all modules learn the same from the same input.
func (c *core) LearnedState(now float64, policy snapshot.Config) *snapshot.State {
	c.zones[0].Export(now, &c.learnedBuffer)
	return snapshot.New(now, policy, &c.learnedBuffer, func(id fleet.ServerID) string { return c.slots[id].entry.ID })
}

// RestoreState applies saved state as far as it is trusted. It must be called after an endpoint list has arrived.
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
	c.markPending(pointsAdjusted)
	return trust
}

// stateStore loads and saves the learned state of a Controller. Only the goroutine that owns the core uses it.
type stateStore struct {
	config Persistence
	dir    *snapshotfile.Store // nil: not opened yet
	saved  *snapshot.State     // loaded at the start and not restored yet; nil: none
}

// open opens and locks the data directory. During a restart it fails until the predecessor releases the lock.
func (s *stateStore) open() error {
	var err error
	s.dir, err = snapshotfile.Open(s.config.Dir)
	return err
}

// restore applies the saved state to a core. It returns false if there is none or it has already been restored.
func (s *stateStore) restore(now float64, core *core) (trust snapshot.Trust, restored bool) {
	if s.saved == nil {
		return trust, false
	}
	trust = core.RestoreState(now, s.saved, s.config.TrustPolicy)
	s.saved = nil
	return trust, true
}

// save writes the learned state of a core if an endpoint list has arrived. While the data directory cannot be opened it writes nothing and
// returns no error, since the failure was logged at the start.
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
