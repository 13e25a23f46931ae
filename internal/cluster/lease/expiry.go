package lease

import (
	"maps"
	"slices"
)

// expiryMargin is the time after the TTL at which the leader expires a lease, as a share of the TTL. It covers a holder's clock that is slow and
// a leader's clock that is fast by [MaxClockDrift]: 1.024/0.976 = 1.049.
const expiryMargin = 0.05

// observation is the state of one lease at its last change that a replica has observed.
type observation struct {
	renewals    uint64
	held        bool
	firstWaiter Process
	sinceMillis float64 // time of the change, by the replica's own clock
}

// ExpiryTracker measures by a replica's own clock the time since each lease last changed. Each replica has a tracker for the state that it has
// applied; only the leader proposes the commands that its tracker reports as due. It is not safe for concurrent use.
type ExpiryTracker struct {
	observed map[string]observation // by lease name
}

// NewExpiryTracker returns a tracker that has observed no lease. The time of a lease that is already held counts from the first observation.
func NewExpiryTracker() *ExpiryTracker { return &ExpiryTracker{observed: map[string]observation{}} }

// Observe records the changes of leases in the state that the replica has applied.
func (t *ExpiryTracker) Observe(now float64, s *State) {
	for name, l := range s.Leases {
		var first Process
		if len(l.Waiters) > 0 {
			first = l.Waiters[0]
		}
		last, known := t.observed[name]
		changed := last.renewals != l.Renewals || last.held != l.Held || !l.Held && last.firstWaiter != first
		if !known || changed {
			t.observed[name] = observation{renewals: l.Renewals, held: l.Held, firstWaiter: first, sinceMillis: now}
		}
	}
}

// DueCommands returns the commands for the leader to propose now. They expire leases that were not renewed in time, and skip waiters that did not
// acquire a free lease in time.
func (t *ExpiryTracker) DueCommands(now float64, s *State) []Command {
	t.Observe(now, s)
	var due []Command
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		l := s.Leases[name]
		if now-t.observed[name].sinceMillis < l.TTLMillis*(1+expiryMargin) {
			continue
		}
		switch {
		case l.Held:
			due = append(due, Command{Kind: KindExpire, Name: name, Token: l.Token, Renewals: l.Renewals})
		case len(l.Waiters) > 0:
			due = append(due, Command{Kind: KindSkipWaiter, Name: name, Process: l.Waiters[0], Renewals: l.Renewals})
		}
	}
	return due
}
