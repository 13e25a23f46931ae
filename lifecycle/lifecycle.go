// Package lifecycle says what a node is to its clients at each moment: whether it calls itself ready, whether it takes
// newcomers, and when a client's connection is to be closed. It does no I/O and reads no clock; times are float ms. What
// listens, closes and answers asks here and nowhere else. It may be asked from several goroutines.
package lifecycle

import "sync"

// Phase is where a node stands.
type Phase uint8

const (
	Starting Phase = iota // no list of servers yet
	Ready
	Standby // out of use by an operator's word, and may be called back at any moment
	Ending  // told to stop, for good
)

func (p Phase) String() string {
	return [...]string{"starting", "ready", "on standby", "ending"}[p]
}

// What the operators' page of daily operation says of a drain, in ms after the call. For 200 after the first no the front
// sends newcomers; by 4,000 no client's connection may be held that is idle, or has a request of the last 2,000. A
// request that comes at the last moment may take its whole time, so that quiet connections have to go before the second
// half begins. Connections are spread between, each by a chance of its own: clients that lose theirs come back elsewhere.
const (
	newcomers   = 300.0  // with some room for when the front asked
	behindUntil = 1000.0 // from newcomers till then closing behind an answer begins, so that few requests cross
	quietFrom   = 900.0
	quietUntil  = 1700.0
)

// Closing says what is to become of a client's connection.
type Closing uint8

const (
	Keep   Closing = iota
	Behind         // closed right behind its next answer
	Quiet          // closed as soon as nothing is in hand on it
	Last           // nothing more is read on it, and it is closed behind the last answer
)

// Life is the state of one node. The zero value is starting.
type Life struct {
	mu        sync.Mutex
	listed    bool
	standby   bool
	since     float64 // of the standby
	ending    bool
	last      bool // and what is read now could not be answered any more
	heir      bool // of a process that still serves
	succeeded bool // another process has taken the node's place
}

// Listed says that there is a list with servers in it.
func (l *Life) Listed() (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, l.listed = !l.listed, true
	return first
}

// Standby takes the node out of use. Said again it changes nothing: the times it owes run from the first call.
func (l *Life) Standby(now float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.standby {
		return false
	}
	l.standby, l.since = true, now
	return true
}

// Active puts it back in use.
func (l *Life) Active() (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed, l.standby = l.standby, false
	return changed
}

// End begins the end.
func (l *Life) End() {
	l.mu.Lock()
	l.ending = true
	l.mu.Unlock()
}

// Finish says that the end is near: what has been read is answered, and nothing more is read.
func (l *Life) Finish() {
	l.mu.Lock()
	l.ending, l.last = true, true
	l.mu.Unlock()
}

// Succeeded says that a successor serves in the node's place, or, should it be lost, that none does any more.
func (l *Life) Succeeded(by bool) {
	l.mu.Lock()
	l.succeeded = by
	l.mu.Unlock()
}

// Heir says that another process serves until this one can, or that it does not any more.
func (l *Life) Heir(is bool) {
	l.mu.Lock()
	l.heir = is
	l.mu.Unlock()
}

// Able tells whether the node could serve, should it be asked to.
func (l *Life) Able() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// Since is when the standby began; 0: there is none.
func (l *Life) Since() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.standby {
		return 0
	}
	return l.since
}

// Phase is where the node stands.
func (l *Life) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase()
}

func (l *Life) phase() Phase {
	switch {
	case l.ending:
		return Ending
	case l.standby:
		return Standby
	case l.listed:
		return Ready
	}
	return Starting
}

// Serves tells whether the node calls itself ready. One that is ending still does to those connections that it has: what
// asks on them has been told of the end by other means, and newcomers are turned to others by the closed listener.
func (l *Life) Serves() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed && !l.standby
}

// Takes tells whether operators may be told that the node serves: as clients are, but not while the process before has not heard
// that it does. It is ended on that word.
func (l *Life) Takes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed && !l.standby && !l.heir
}

// Accepts tells whether newcomers are taken. On standby they are: the front asks on new connections.
func (l *Life) Accepts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.succeeded && !l.heir
}

// Leaving tells whether connections are to be closed by and by.
func (l *Life) Leaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.standby || l.ending || l.succeeded
}

// Closing says what is to become of a connection with a chance of its own from [0,1).
func (l *Life) Closing(now, chance float64) Closing {
	l.mu.Lock()
	defer l.mu.Unlock()
	past := now - l.since
	switch {
	case l.last:
		return Last
	case l.ending || l.succeeded || l.standby && past >= quietFrom+chance*(quietUntil-quietFrom):
		return Quiet
	case l.standby && past >= newcomers+chance*(behindUntil-newcomers):
		return Behind
	}
	return Keep
}
