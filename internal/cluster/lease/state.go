package lease

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Limits of the state. A snapshot of it has to fit in one datagram.
const (
	maxLeases        = 64
	maxWaiters       = 1024
	maxProgressBytes = 16 << 10
)

// Lease is the state of one lease.
type Lease struct {
	TTLMillis      float64   `json:"length"`
	Held           bool      `json:"held"`
	Holder         Process   `json:"holder"`   // the current holder, or the last one
	Token          Token     `json:"token"`    // of the last grant
	Renewals       uint64    `json:"renewals"` // number of grants and renewals since the lease was created
	Waiters        []Process `json:"line"`     // in the order of their first requests
	Revision       uint64    `json:"rev"`      // of the progress; each write increments it
	ExpiredHolders []Process `json:"lost"`     // did not renew in time; other waiters go first until a holder releases the lease
	Progress       []byte    `json:"progress,omitempty"`
}

// State is the replicated state of all leases. It is not safe for concurrent use.
type State struct {
	LastToken Token             `json:"last"`
	Leases    map[string]*Lease `json:"leases"` // by name
}

// NewState returns a state without leases.
func NewState() *State { return &State{Leases: map[string]*Lease{}} }

// Encode returns the state as stored in snapshots.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	return b
}

// DecodeState reads a state that Encode wrote.
func DecodeState(b []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("decode lease state: %w", err)
	}
	return s, nil
}

// Apply applies a committed command and returns its result. Both depend only on the state and the command, so that every replica computes the
// same. The result is zero if the lease does not exist and the command cannot create it.
func (s *State) Apply(c Command) Result {
	l := s.leaseFor(c)
	if l == nil {
		return Result{}
	}
	ok := s.applyTo(l, c)
	return Result{
		OK:           ok,
		Token:        l.Token,
		Holder:       l.Holder,
		Held:         l.Held,
		TTLMillis:    l.TTLMillis,
		Revision:     l.Revision,
		Progress:     l.Progress,
		WaitersAhead: max(0, slices.Index(l.Waiters, c.Process)),
	}
}

// leaseFor returns the lease that a command names. If the lease does not exist, KindAcquire and KindOverrideProgress create it, and other commands
// get nil. leaseFor also returns nil if there are too many leases already or the command has no TTL.
func (s *State) leaseFor(c Command) *Lease {
	if l := s.Leases[c.Name]; l != nil {
		return l
	}
	creates := c.Kind == KindAcquire || c.Kind == KindOverrideProgress
	if !creates || len(s.Leases) >= maxLeases || c.TTLMillis <= 0 {
		return nil
	}
	l := &Lease{TTLMillis: c.TTLMillis}
	s.Leases[c.Name] = l
	return l
}

func (s *State) applyTo(l *Lease, c Command) (ok bool) {
	switch c.Kind {
	case KindAcquire:
		return s.acquire(l, c.Process)
	case KindRenew:
		return l.renew(c)
	case KindRelease:
		return l.release(c)
	case KindUpdateProgress:
		return l.isHeldUnder(c) && l.replaceProgress(c)
	case KindOverrideProgress:
		return l.replaceProgress(c)
	case KindExpire:
		return l.expire(c)
	case KindSkipWaiter:
		return l.skipWaiter(c)
	case KindRead:
		return true
	}
	return false
}

// acquire renews the lease if the process holds it. It enqueues any other process, and grants it the lease if that is free and the process is the
// next waiter: the first that has not let the lease expire, or the first of all if each of them has.
func (s *State) acquire(l *Lease, p Process) bool {
	if l.Held && l.Holder == p {
		l.Renewals++ // the response to an earlier request was lost
		return true
	}
	if !slices.Contains(l.Waiters, p) && len(l.Waiters) < maxWaiters {
		l.Waiters = append(l.Waiters, p)
	}
	next := slices.IndexFunc(l.Waiters, func(w Process) bool { return !slices.Contains(l.ExpiredHolders, w) })
	if next < 0 {
		next = 0
	}
	if l.Held || len(l.Waiters) == 0 || l.Waiters[next] != p {
		return false
	}
	l.Waiters = slices.Delete(l.Waiters, next, next+1)
	s.LastToken++
	l.Held, l.Holder, l.Token = true, p, s.LastToken
	l.Renewals++
	return true
}

// isHeldUnder reports whether the sender of a command holds the lease and the command has the lease's current token.
func (l *Lease) isHeldUnder(c Command) bool {
	return l.Held && l.Holder == c.Process && l.Token == c.Token
}

func (l *Lease) renew(c Command) bool {
	if !l.isHeldUnder(c) {
		return false
	}
	l.Renewals++
	return true
}

func (l *Lease) release(c Command) bool {
	if !l.isHeldUnder(c) {
		return false
	}
	l.Held, l.ExpiredHolders = false, nil
	return true
}

// expire takes the lease from its holder, unless it was renewed after the leader proposed the command.
func (l *Lease) expire(c Command) bool {
	if !l.Held || l.Token != c.Token || l.Renewals != c.Renewals {
		return false
	}
	l.Held = false
	if !slices.Contains(l.ExpiredHolders, l.Holder) {
		l.ExpiredHolders = append(l.ExpiredHolders, l.Holder)
	}
	return true
}

// skipWaiter removes the first waiter, unless the lease was granted after the leader proposed the command.
func (l *Lease) skipWaiter(c Command) bool {
	if l.Held || l.Renewals != c.Renewals || len(l.Waiters) == 0 || l.Waiters[0] != c.Process {
		return false
	}
	l.Waiters = slices.Delete(l.Waiters, 0, 1)
	return true
}

// replaceProgress writes the progress if the command was made from the current revision. The holder and operators may write at the same time;
// the check prevents either from overwriting a change that it has not read.
func (l *Lease) replaceProgress(c Command) bool {
	if c.Revision != l.Revision || len(c.Progress) > maxProgressBytes {
		return false
	}
	l.Revision++
	l.Progress = c.Progress
	return true
}
