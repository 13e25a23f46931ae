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
	At           float64 // ms
	Node         cluster.NodeID
	From         wire.State
	To           wire.State
	Incarnation  cluster.Incarnation
	Reason       string
	SinceHeardMs float64 // since the last datagram of that node; -1: none was ever received
}

// member is this node's view of one other node.
type member struct {
	update       wire.MemberUpdate // the update that is in effect
	lastHeardAt  float64           // of the last datagram that the node sent itself; -Inf: none
	stateSince   float64
	transmits    int     // how often the update has been passed on
	lastProbedAt float64 // -Inf: never

	deadAt      float64                 // of a suspect: when it is declared dead, as far as is known now
	suspectedBy map[cluster.NodeID]bool // of a suspect: the nodes that suspect it
	accusation  wire.MemberUpdate       // what others claimed although the node was heard recently; it is sent to the node so that it can refute it
}

// probe is the ping of the current probe interval that has not been answered yet.
type probe struct {
	target         cluster.NodeID
	seq            uint32
	nextIndirectAt float64 // when the target is probed through other nodes
	indirectRounds int
}

// indirectRequest is a ping on behalf of another node.
type indirectRequest struct {
	requester  cluster.NodeID
	seq        uint32 // of the requester
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
	probe       *probe // nil: answered, or none was sent
	seq         uint32
	indirect    map[uint32]indirectRequest // by the sequence number of this node's ping
	randomDraws uint64

	healthScore     int // of this node: 0 is healthy
	lastContactAt   float64
	isolated        bool
	declareDeadFrom float64 // no death is declared before this time
	idConflicts     int
	lastConflictAt  float64

	changed    []cluster.NodeID // members whose update has changed and is to be passed on
	discovered []cluster.NodeID // members found for the first time; passed on with lower priority
	syncCursor int              // the member that was last passed on although unchanged

	aliveOthers int // including suspects
	suspects    int
}

// New returns the view of a node that has just started and knows no other node.
func New(now float64, config Config, incarnation cluster.Incarnation) *List {
	l := &List{
		config:          config,
		self:            wire.MemberUpdate{Node: config.Self, Incarnation: incarnation, State: wire.Alive},
		members:         make([]member, config.MaxNodes),
		indirect:        map[uint32]indirectRequest{},
		lastContactAt:   now,
		declareDeadFrom: now,
		nextProbeAt:     now + config.ProbeIntervalMs*fleet.UnitInterval(config.Seed),
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

// Incarnation returns the present incarnation of this node. It changes when another process with the same node id is met.
func (l *List) Incarnation() cluster.Incarnation { return l.self.Incarnation }

// IDConflicts returns how often another process with this node's id was met.
func (l *List) IDConflicts() int { return l.idConflicts }

// MemberCount returns the number of members, including this node and suspects.
func (l *List) MemberCount() int { return l.aliveOthers + 1 }

// Isolated reports whether this node considers itself cut off from all others.
func (l *List) Isolated() bool { return l.isolated }

// HealthScore returns how badly this node itself fares, from 0 (healthy) to 8.
func (l *List) HealthScore() int { return l.healthScore }

// Lookup returns the update that is in effect for a node, and the time in ms since the node was last heard; +Inf: never.
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

// timeMultiplier slows this node down while it is in bad health.
func (l *List) timeMultiplier() float64 { return float64(1 + l.healthScore) }

// probeIntervalMs returns the time from one probe to the next at the present health.
func (l *List) probeIntervalMs() float64 { return l.config.ProbeIntervalMs * l.timeMultiplier() }

// minSuspicionMs returns the shortest time of a suspicion. Fleets of fewer than ten nodes count as ten.
func (l *List) minSuspicionMs() float64 {
	return suspicionMultiplier * max(1, math.Log10(float64(l.MemberCount()))) * l.config.ProbeIntervalMs
}

// maxSuspicionMs returns the longest time of a suspicion.
func (l *List) maxSuspicionMs() float64 { return maxSuspicionMultiplier * l.minSuspicionMs() }
