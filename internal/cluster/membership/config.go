package membership

import "mintspring/internal/cluster"

// Config holds the parameters of a List. All nodes of a fleet use the same values, except for Self and Seed.
type Config struct {
	Self            cluster.NodeID
	MaxNodes        int     // node ids are below this number
	ProbeIntervalMs float64 // time between two probes
	ProbeTimeoutMs  float64 // time to wait for an answer before the target is probed through other nodes
	Seed            uint64  // seeds the random choices
}

// Parameters of SWIM and Lifeguard.
const (
	indirectProbes                   = 3 // nodes through which an unresponsive target is probed
	suspicionMultiplier              = 4 // shortest suspicion: this * log10(fleet size) probe intervals
	maxSuspicionMultiplier           = 6 // longest suspicion: this * the shortest one
	suspicionConfirmations           = 3 // confirmations by other nodes after which a suspicion has the shortest timeout
	deathVerificationPeriods         = 4 // probe intervals in which this node probes a suspect itself before declaring the suspect dead
	deathVerificationProbesPerPeriod = 2 // probes of the suspect per probe interval during that time
	maxHealthScore                   = 8 // limit of the health score of this node
	retransmitMultiplier             = 4 // transmissions of an update: this * log10(fleet size)
	isolationPeriods                 = 4 // probe intervals without any datagram after which this node considers itself isolated
	probesPerDiscoveryProbe          = 4 // one of this many probes goes to a node that is not known to be a member
	isolationRecoveryMultiplier      = 2 // after an isolation other nodes have this * the longest suspicion to be heard

	maxIndirectPings      = 64 // concurrent pings on behalf of other nodes
	indirectExpiryPeriods = 4  // probe intervals after which such a ping is abandoned
	maxFillUpdates        = 4  // unchanged members are added only to datagrams with fewer updates than this
)
