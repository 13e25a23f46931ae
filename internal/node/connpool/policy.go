// Package connpool pools the connections to one server. Each connection serves one attempt at a time.
//
// Policy decides when a connection is opened, kept and closed, and how long an attempt may wait for one. Pool applies
// the policy: it holds the connections and the waiting attempts, and calls its Owner to dial, assign and close. Both do no I/O and
// read no clock; times are milliseconds, as float64, of the owner's clock. Neither is safe for concurrent use: an owner
// calls them under a lock of its own.
package connpool

import (
	"math"

	"mintspring/internal/cluster/quota"
)

// Config is the configuration of the pools of one node. A zero field sets no bound.
type Config struct {
	Nodes     int // nodes that share each server
	NodeIndex int // this node's index among them; negative if unknown

	Cooldown        float64 // ms after a response in which a connection is not reused, since a duplicate response may follow
	DuplicateWindow float64 // ms after a response in which a connection is not reused where a duplicate would not be recognized
	CompareWindow   float64 // ms after a response in which the next response may be a duplicate of it; at least DuplicateWindow
	Fences          bool    // the protocol has fences (FenceState)
	DialAfterWait   float64 // ms that attempts wait, in total, for cooling connections before a new connection is dialed
	IdleTimeout     float64 // ms after which an unused connection is closed, before the peer does so
	MaxAge          float64 // ms after which a connection is not reused
	MaxConns        int     // connections that a server accepts from all nodes together
	MinConns        int     // connections that this node keeps open to each server
	Prewarm         bool    // connections are opened ahead of need, and closed when no longer needed
	DialRate        float64 // connections per second that all nodes together may open to one server
	StartupDialRate float64 // upper bound of DialRate during the StartupWindow
	StartupWindow   float64 // ms after the start of a server's process
	LeasedRate      bool    // DialRate is divided by quotas leased among the nodes instead of time slots

	InitialQuota quota.Allowance // with LeasedRate: this node's quota until SetQuota is called

	WaitTimeout float64 // ms that an attempt may wait for a connection
	MaxWaiting  int     // attempts that may wait for a connection to one server
}

const (
	peakWindow          = 0.5 // fraction of IdleTimeout over which the peak of connections in use is tracked
	limitGrowthInterval = 0.2 // fraction of IdleTimeout after which a learned connection limit grows by one
	minAgeFraction      = 0.8 // connections expire between this fraction of MaxAge and MaxAge, depending on their jitter
	tableFullRatio      = 2   // ratio of rejected first requests to rejected later ones above which the connection table counts as full
)

// Policy decides how many connections the pool of one server holds. It is not safe for concurrent use.
type Policy struct {
	config          Config
	slotOffset      int64 // this node's position in the rotation of dial slots
	serverStartedAt float64

	quota            quota.Allowance // this node's share of the dials of all nodes
	bucket           quota.Bucket
	recentDials      int // dials since the last call of Demand
	deferredDials    int // wanted dials that the rate limit deferred at the last call of planDials
	demandMeasuredAt float64
	demandRate       float64 // smoothed dials per second

	prewarmPause       float64 // ms, after the last failed dial; 0: no dial has failed since the last successful one
	prewarmPausedUntil float64 // no connections are prewarmed before this time

	lastSlotEnd         float64 // end of the last dial slot that this node used
	waitSinceDial       float64 // total ms that attempts have waited for cooling connections since the last dial
	learnedLimit        int     // connections that the server seems to accept; 0: unknown
	learnedLimitAt      float64
	firstRejections     float64 // decaying count of rejected requests that were the first on their connection
	laterRejections     float64 // decaying count of the other rejected requests
	rejectionsDecayedAt float64

	peakWindowStart float64
	peakInUse       [2]int // most connections in use in the current and in the previous window
	suspicion       suspicion

	valuesRepeatUntil float64 // until then the values of responses do not identify them

	fenceAnswered          bool // the server has answered a fence since its start
	fencesUnsupportedUntil float64
}

// State counts the connections and waiting attempts of a pool.
type State struct {
	Open        int // connections in use and unused
	InUse       int // connections with an attempt in flight
	CoolingDown int // unused connections that may not be reused yet
	Dialing     int
	Waiting     int // attempts that wait for a connection
}

// NewPolicy returns the policy for one server. The hash identifies the server, so that a node's dial slots differ
// between servers. If the node's index is unknown, the random number, from [0,1), selects its slots.
func NewPolicy(config Config, hash uint64, random float64) *Policy {
	p := &Policy{config: config, serverStartedAt: math.Inf(-1), quota: config.InitialQuota}
	if n := int64(max(config.Nodes, 1)); config.NodeIndex >= 0 {
		p.slotOffset = (int64(config.NodeIndex) + int64(hash%uint64(n))) % n
	} else {
		p.slotOffset = min(int64(random*float64(n)), n-1)
	}
	return p
}

// ServerStarted records when the server's process last started, and resets what was learned about an earlier process.
func (p *Policy) ServerStarted(at float64) {
	if at == p.serverStartedAt {
		return
	}
	p.serverStartedAt, p.learnedLimit, p.waitSinceDial = at, 0, 0
	p.firstRejections, p.laterRejections = 0, 0
	p.peakInUse = [2]int{}
	p.suspicion = suspicion{}
	p.fenceAnswered, p.fencesUnsupportedUntil = false, 0
}

// limit returns how many connections this node may hold. All nodes together stay within MaxConns, unless there are more nodes than
// MaxConns, because each node may hold at least one.
func (p *Policy) limit() int {
	limit := math.MaxInt32
	if p.config.MaxConns > 0 {
		limit = max(1, p.config.MaxConns/max(1, p.config.Nodes))
	}
	if p.learnedLimit > 0 {
		limit = min(limit, p.learnedLimit)
	}
	return limit
}

// prewarmEnabled reports whether connections are opened before an attempt needs them.
func (p *Policy) prewarmEnabled() bool { return p.config.Prewarm || p.config.MinConns > 0 }

// Bounds, in ms, of the backoff of prewarming after a failed dial.
const (
	minPrewarmPause = 50
	maxPrewarmPause = 1000
)

// pausePrewarming suspends prewarming after a failed dial, with exponential backoff. Otherwise the next prewarming dial would follow
// at once, and probably fail as well.
func (p *Policy) pausePrewarming(now float64) {
	p.prewarmPause = min(max(2*p.prewarmPause, minPrewarmPause), maxPrewarmPause)
	p.prewarmPausedUntil = now + p.prewarmPause
}

// targetOpen returns how many connections should be open before an attempt needs one.
func (p *Policy) targetOpen(now float64, s State) int {
	target := p.config.MinConns
	if !p.config.Prewarm {
		return target
	}
	p.recordInUse(now, s.InUse)
	if peak := max(p.peakInUse[0], p.peakInUse[1]); peak > 0 {
		// The number of arrivals varies by about its square root.
		target = max(target, peak+int(math.Ceil(math.Sqrt(float64(peak)))))
	}
	return target
}

// idleTarget returns how many unused connections to keep.
func (p *Policy) idleTarget(now float64, s State) int {
	if !p.config.Prewarm {
		return math.MaxInt32
	}
	p.recordInUse(now, s.InUse)
	return max(0, max(p.targetOpen(now, s), 1)-s.InUse)
}

// recordInUse records how many connections are in use.
func (p *Policy) recordInUse(now float64, inUse int) {
	if window := p.config.IdleTimeout * peakWindow; window > 0 && now-p.peakWindowStart > window {
		p.peakInUse[1] = p.peakInUse[0]
		if now-p.peakWindowStart > 2*window {
			p.peakInUse[1] = 0
		}
		p.peakInUse[0], p.peakWindowStart = 0, now
	}
	if p.learnedLimit > 0 && now-p.learnedLimitAt > limitGrowthInterval*p.config.IdleTimeout {
		p.learnedLimit, p.learnedLimitAt = p.learnedLimit+1, now // the server may accept more connections by now
	}
	p.peakInUse[0] = max(p.peakInUse[0], inUse)
}

// recordWait records how long an attempt waited for a reused connection.
func (p *Policy) recordWait(ms float64) { p.waitSinceDial += ms }

// queueFull reports whether a new attempt is rejected, given the number of attempts that already wait.
func (p *Policy) queueFull(waiting int) bool {
	return p.config.MaxWaiting > 0 && waiting >= p.config.MaxWaiting
}

// waitDeadline returns when the wait of an attempt that has been waiting since the given time ends; +Inf: never.
func (p *Policy) waitDeadline(since float64) float64 {
	if p.config.WaitTimeout <= 0 {
		return math.Inf(1)
	}
	return since + p.config.WaitTimeout
}

// idleTimeout returns how long a connection may be unused, in ms; 0: without limit.
func (p *Policy) idleTimeout() float64 { return p.config.IdleTimeout }

// expired reports whether a connection is too old to be reused. The jitter, from [0,1), spreads the expiry of connections
// that were opened together.
func (p *Policy) expired(now, openedAt, jitter float64) bool {
	return p.config.MaxAge > 0 && now-openedAt > p.config.MaxAge*(minAgeFraction+(1-minAgeFraction)*jitter)
}

// recordResponse records a response other than a rejection.
func (p *Policy) recordResponse(now float64) {
	p.decayRejections(now)
	p.suspicion.recordResponse(p.safeIdle())
}

// recordRejection records that the server rejected a request because it is full, and reports whether to close the connection because it
// exceeds the server's limit. firstRequest means that the request was the first on its connection; otherConns is the number of other
// open connections. A server whose connection table is full rejects requests on new connections and keeps serving the established ones;
// a server whose request queue is full rejects requests on both.
func (p *Policy) recordRejection(now float64, firstRequest bool, otherConns int) bool {
	p.decayRejections(now)
	if !firstRequest {
		p.laterRejections++
		return false
	}
	p.firstRejections++
	if p.firstRejections > tableFullRatio*p.laterRejections && otherConns > 0 {
		p.learnLimit(now, otherConns)
		return true
	}
	return false
}

// recordDialFailure records that a dial failed while otherConns connections were open. responding means that the server has responded on
// one of them since the dial started: it is alive and accepts no further connections.
func (p *Policy) recordDialFailure(now float64, otherConns int, responding bool) {
	if responding && otherConns > 0 {
		p.learnLimit(now, otherConns)
	}
}

func (p *Policy) decayRejections(now float64) {
	if window := max(p.config.IdleTimeout*peakWindow, 1); now-p.rejectionsDecayedAt > window {
		p.firstRejections, p.laterRejections, p.rejectionsDecayedAt = p.firstRejections/2, p.laterRejections/2, now
	}
}

func (p *Policy) learnLimit(now float64, conns int) {
	if p.learnedLimit == 0 || conns < p.learnedLimit {
		p.learnedLimit = max(1, conns)
	}
	p.learnedLimitAt = now
}
