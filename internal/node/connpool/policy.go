// Package connpool assigns the connections to one server to the attempts that want one, one attempt at a time on each.
//
// Policy decides when a connection is opened, kept and closed, and how long an attempt may wait for one. Pool applies
// it: it holds the connections and the waiting attempts, and calls its Owner to dial, assign and close. Both do no I/O and
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

	Cooldown        float64 // ms after a response in which a connection is not reused, since a duplicate may follow
	DialAfterWait   float64 // ms of waiting for cooling connections that justify one more connection
	IdleTimeout     float64 // ms after which an unused connection is closed, before the peer does so
	MaxAge          float64 // ms after which a connection is not reused
	MaxConns        int     // connections that one server accepts from all nodes together
	MinConns        int     // connections that this node keeps open to each server
	Prewarm         bool    // connections are opened ahead of need, and closed when no longer needed
	DialRate        float64 // connections opened to one server per second by all nodes together
	StartupDialRate float64 // the same while the server has just started
	StartupWindow   float64 // ms for which a server counts as just started
	LeasedRate      bool    // DialRate is divided by quotas leased among the nodes instead of time slots

	InitialQuota quota.Allowance // with LeasedRate: this node's quota until SetQuota is called

	WaitTimeout float64 // ms that an attempt may wait for a connection
	MaxWaiting  int     // attempts that may wait at one server
}

const (
	peakWindow        = 0.5 // fraction of IdleTimeout over which the peak of use is tracked
	limitRegain       = 0.2 // fraction of IdleTimeout after which a learned limit grows by one
	minAgeFraction    = 0.8 // connections expire between this fraction of MaxAge and MaxAge, by their jitter
	tableFullRejected = 2   // first requests rejected per later one that show a full connection table
)

// Policy decides what the pool of one server holds. It is not safe for concurrent use.
type Policy struct {
	config          Config
	slotOffset      int64 // this node's place in the rotation of dial slots
	serverStartedAt float64

	quota    quota.Allowance // share of the dials of all nodes
	bucket   quota.Bucket
	dialed   int // dials since Demand was called last
	deferred int // dials that the rate did not allow when last wanted
	demandAt float64
	demand   float64 // smoothed dials per second

	prewarmPause       float64 // ms, after the last failed dial; 0: none has failed since one succeeded
	prewarmPausedUntil float64 // until then no connections are opened that no attempt waits for

	slotEnd        float64 // end of the last slot in which this node dialed
	waitSinceDial  float64 // ms waited for cooling connections since the last dial
	learnedLimit   int     // connections that the server seems to accept; 0: unknown
	learnedLimitAt float64
	firstRejected  float64 // fading count of rejected requests that were the first on their connection
	laterRejected  float64 // fading count of the other rejected requests
	fadedAt        float64

	peakWindowStart float64
	peakInUse       [2]int // most connections in use in the current window and in the one before
	suspicion       suspicion
}

// State counts the connections and waiting attempts of one pool.
type State struct {
	Open        int // connections, in use or not
	InUse       int // connections with an attempt in flight
	CoolingDown int // unused connections that may not be reused yet
	Dialing     int
	Waiting     int // attempts that wait for a connection
}

// NewPolicy returns the policy for one server. The hash identifies the server, so that a node's dial slots differ
// between servers. Where the node's index is unknown, random, from [0,1), chooses its slot.
func NewPolicy(config Config, hash uint64, random float64) *Policy {
	p := &Policy{config: config, serverStartedAt: math.Inf(-1), quota: config.InitialQuota}
	if n := int64(max(config.Nodes, 1)); config.NodeIndex >= 0 {
		p.slotOffset = (int64(config.NodeIndex) + int64(hash%uint64(n))) % n
	} else {
		p.slotOffset = min(int64(random*float64(n)), n-1)
	}
	return p
}

// ServerStarted records when the server's process last started. What was learned about an earlier process is forgotten.
func (p *Policy) ServerStarted(at float64) {
	if at == p.serverStartedAt {
		return
	}
	p.serverStartedAt, p.learnedLimit, p.waitSinceDial = at, 0, 0
	p.firstRejected, p.laterRejected = 0, 0
	p.peakInUse = [2]int{}
	p.suspicion = suspicion{}
}

// limit returns how many connections this node may hold. All nodes together stay within MaxConns, except that a node
// whose share would be none may hold one.
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

// prewarms reports whether connections are opened that no attempt waits for.
func (p *Policy) prewarms() bool { return p.config.Prewarm || p.config.MinConns > 0 }

// Bounds, in ms, of the pause after a failed dial.
const (
	minPrewarmPause = 50
	maxPrewarmPause = 1000
)

// pausePrewarming records that a dial failed: the next one that no attempt waits for would fail as well, and at once.
func (p *Policy) pausePrewarming(now float64) {
	p.prewarmPause = min(max(2*p.prewarmPause, minPrewarmPause), maxPrewarmPause)
	p.prewarmPausedUntil = now + p.prewarmPause
}

// target returns how many connections should be open before an attempt needs one.
func (p *Policy) target(now float64, s State) int {
	want := p.config.MinConns
	if !p.config.Prewarm {
		return want
	}
	p.recordInUse(now, s.InUse)
	if peak := max(p.peakInUse[0], p.peakInUse[1]); peak > 0 {
		// The number of arrivals varies by about its square root.
		want = max(want, peak+int(math.Ceil(math.Sqrt(float64(peak)))))
	}
	return want
}

// idleTarget returns how many unused connections are worth keeping.
func (p *Policy) idleTarget(now float64, s State) int {
	if !p.config.Prewarm {
		return math.MaxInt32
	}
	p.recordInUse(now, s.InUse)
	return max(0, max(p.target(now, s), 1)-s.InUse)
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
	if p.learnedLimit > 0 && now-p.learnedLimitAt > limitRegain*p.config.IdleTimeout {
		p.learnedLimit, p.learnedLimitAt = p.learnedLimit+1, now // the server may accept more by now
	}
	p.peakInUse[0] = max(p.peakInUse[0], inUse)
}

// recordWait records that an attempt waited for ms until it got a reused connection.
func (p *Policy) recordWait(ms float64) { p.waitSinceDial += ms }

// queueFull reports whether an attempt that wants a connection is rejected at once, with so many waiting already.
func (p *Policy) queueFull(waiting int) bool {
	return p.config.MaxWaiting > 0 && waiting >= p.config.MaxWaiting
}

// waitDeadline returns when an attempt that has been waiting since then gives up; +Inf: never.
func (p *Policy) waitDeadline(since float64) float64 {
	if p.config.WaitTimeout <= 0 {
		return math.Inf(1)
	}
	return since + p.config.WaitTimeout
}

// idleTimeout returns how long a connection may be unused, in ms; 0: for ever.
func (p *Policy) idleTimeout() float64 { return p.config.IdleTimeout }

// expired reports whether a connection is too old to be reused. The jitter, from [0,1), spreads the ends of connections
// that were opened together.
func (p *Policy) expired(now, openedAt, jitter float64) bool {
	return p.config.MaxAge > 0 && now-openedAt > p.config.MaxAge*(minAgeFraction+(1-minAgeFraction)*jitter)
}

// recordResponse records a response other than a rejection.
func (p *Policy) recordResponse(now float64) {
	p.fadeRejections(now)
	p.suspicion.recordResponse(p.safeIdle())
}

// recordRejection records that the server rejected a request as full, and reports whether its connection is one too many
// and should be closed. First says that the request was the first on its connection, others how many connections are
// open besides. A server whose connection table is full rejects new connections and keeps serving the established ones; one
// whose request queue is full rejects requests on both.
func (p *Policy) recordRejection(now float64, first bool, others int) bool {
	p.fadeRejections(now)
	if !first {
		p.laterRejected++
		return false
	}
	p.firstRejected++
	if p.firstRejected > tableFullRejected*p.laterRejected && others > 0 {
		p.learnLimit(now, others)
		return true
	}
	return false
}

// recordDialFailure records that a dial failed while others connections were open. If one of them has had a response
// since the dial began, the server is alive and accepts no more.
func (p *Policy) recordDialFailure(now float64, others int, responding bool) {
	if responding && others > 0 {
		p.learnLimit(now, others)
	}
}

func (p *Policy) fadeRejections(now float64) {
	if window := max(p.config.IdleTimeout*peakWindow, 1); now-p.fadedAt > window {
		p.firstRejected, p.laterRejected, p.fadedAt = p.firstRejected/2, p.laterRejected/2, now
	}
}

func (p *Policy) learnLimit(now float64, conns int) {
	if p.learnedLimit == 0 || conns < p.learnedLimit {
		p.learnedLimit = max(1, conns)
	}
	p.learnedLimitAt = now
}
