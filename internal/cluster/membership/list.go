package membership

import (
	"hash/fnv"
	"math"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/fleet"
)

// Event is a change of this node's view of another node.
type Event struct {
	At           float64 // by this node's clock, ms
	Node         cluster.NodeID
	From         wire.State
	To           wire.State
	Incarnation  cluster.Incarnation
	Reason       string
	SinceHeardMs float64 // since the last datagram from the node; -1: none was ever received
}

// member is this node's view of one other node.
type member struct {
	update       wire.MemberUpdate // the current update
	lastHeardAt  float64           // time of the last datagram from the node itself; -Inf: none
	stateSince   float64
	transmits    int     // number of times that the update has been sent
	lastProbedAt float64 // -Inf: never

	declareDeadAt  float64                 // of a suspect: when it is declared dead unless it refutes the suspicion
	suspectedBy    map[cluster.NodeID]bool // of a suspect: the nodes that suspect it
	disputedUpdate wire.MemberUpdate       // claim that the node is suspected or dead although it was heard recently; the node has to refute it
}

// pendingProbe is the ping of the current probe interval that has not been answered yet.
type pendingProbe struct {
	target         cluster.NodeID
	seq            uint32
	nextIndirectAt float64 // when the target is probed through other nodes next
	indirectRounds int
}

// indirectRequest is a ping on behalf of another node.
type indirectRequest struct {
	requester  cluster.NodeID
	seq        uint32 // the requester's sequence number
	receivedAt float64
}

// List is one node's view of the fleet.
type List struct {
	config  Config
	self    wire.MemberUpdate
	members []member // by node id; the entry of this node itself is not used
	events  []Event

	probeOrder  []cluster.NodeID
	probeIndex  int
	nextProbeAt float64
	probe       *pendingProbe // nil: answered, or none was sent
	seq         uint32
	indirect    map[uint32]indirectRequest // by the sequence number of this node's ping
	randomDraws uint64

	healthScore    int // of this node: 0 is healthy
	lastContactAt  float64
	isolated       bool
	noDeathsBefore float64 // this node declares no death before this time
	idConflicts    int
	lastConflictAt float64

	changed    []cluster.NodeID // members with changed updates, queued for gossip
	discovered []cluster.NodeID // newly discovered members, queued with lower priority
	fillCursor int              // the unchanged member whose update was added last

	otherMembers int // including suspects
	suspectCount int
}

// New returns the view of a node that has just started and knows no other node.
func New(now float64, config Config, incarnation cluster.Incarnation) *List {
	l := &List{
		config:         config,
		self:           wire.MemberUpdate{Node: config.Self, Incarnation: incarnation, State: wire.Alive},
		members:        make([]member, config.MaxNodes),
		indirect:       map[uint32]indirectRequest{},
		lastContactAt:  now,
		noDeathsBefore: now,
		nextProbeAt:    now + config.ProbeIntervalMs*fleet.UnitInterval(config.Seed),
	}
	for i := range l.members {
		l.members[i] = member{
			update:       wire.MemberUpdate{Node: cluster.NodeID(i)},
			lastHeardAt:  math.Inf(-1),
			lastProbedAt: math.Inf(-1),
		}
	}
	return l
}

// Incarnation returns the current incarnation of this node. It changes when another process with the same node id is detected.
func (l *List) Incarnation() cluster.Incarnation { return l.self.Incarnation }

// IDConflicts returns how often another process with this node's id was detected.
func (l *List) IDConflicts() int { return l.idConflicts }

// MemberCount returns the number of members, including this node and suspects.
func (l *List) MemberCount() int { return l.otherMembers + 1 }

// Isolated reports whether this node considers itself cut off from all others.
func (l *List) Isolated() bool { return l.isolated }

// HealthScore returns the health score of this node, from 0 (healthy) to 8 (worst).
func (l *List) HealthScore() int { return l.healthScore }

// Lookup returns the current update of a node, and the time in ms since the last datagram from it; +Inf: none.
func (l *List) Lookup(now float64, id cluster.NodeID) (wire.MemberUpdate, float64) {
	if id == l.config.Self {
		return l.self, 0
	}
	return l.members[id].update, now - l.members[id].lastHeardAt
}

// IsMember reports whether a node is alive or only suspected.
func (l *List) IsMember(id cluster.NodeID) bool {
	return id == l.config.Self || int(id) < len(l.members) && isMember(l.members[id].update.State)
}

func isMember(s wire.State) bool { return s == wire.Alive || s == wire.Suspect }

// DrainEvents returns the changes since the last call.
func (l *List) DrainEvents() []Event {
	events := l.events
	l.events = nil
	return events
}

// Sample returns up to n other alive nodes, chosen at random.
func (l *List) Sample(n int) []cluster.NodeID { return l.sampleExcept(n, l.config.Self) }

// random returns the next number of this node's deterministic sequence, in [0,1).
func (l *List) random() float64 {
	l.randomDraws++
	h := fnv.New64a()
	for i := range 8 {
		h.Write([]byte{byte(l.config.Seed >> (8 * i)), byte(l.randomDraws >> (8 * i))}) //nolint:errcheck // a hash never fails
	}
	return fleet.UnitInterval(h.Sum64())
}

// timeMultiplier returns the factor by which the health score lengthens the probe interval and probe timeouts.
func (l *List) timeMultiplier() float64 { return float64(1 + l.healthScore) }

// probeIntervalMs returns the time from one probe to the next at the current health score.
func (l *List) probeIntervalMs() float64 { return l.config.ProbeIntervalMs * l.timeMultiplier() }

// minSuspicionMs returns the shortest timeout of a suspicion. Fleets of fewer than ten nodes count as ten.
func (l *List) minSuspicionMs() float64 {
	return suspicionMultiplier * max(1, math.Log10(float64(l.MemberCount()))) * l.config.ProbeIntervalMs
}

// maxSuspicionMs returns the longest timeout of a suspicion.
func (l *List) maxSuspicionMs() float64 { return maxSuspicionMultiplier * l.minSuspicionMs() }
