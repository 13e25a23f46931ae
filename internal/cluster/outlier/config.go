// Package outlier lets the nodes of a fleet exchange evidence of failing servers, so that each needs less evidence of its own. Evidence from
// other nodes acts as a bias on the failure rate that a node observes: it lowers the threshold at which the node's own failures eject a
// server, or raises that threshold if other nodes report that the server responds again. Evidence from other nodes alone neither ejects nor
// readmits a server. It counts only if several sources agree, it is limited to a share of the servers, both per source and in total, and it
// expires unless it is renewed. Hence nodes that send false evidence, or that are partitioned and observe failures everywhere, can only change
// how strongly a node's own evidence counts, and only for that share of the servers.
//
// While other nodes report that a server fails, this node sends only its part of the trial requests, because it also learns the results of the
// others' trials. As soon as one of them receives a response, this node sends trial requests as if it were alone.
//
// The package does no I/O and reads no clock; times are float64 ms. One goroutine must own a Detector.
package outlier

import "mintspring/internal/cluster"

// Config holds the parameters of a Detector.
type Config struct {
	Self     cluster.NodeID
	MaxNodes int     // node ids are below this number
	TTLMs    float64 // age at which evidence is dropped unless it was renewed
}

// Limits of the bias, which is added to the failure rate that a node has observed of a server.
const (
	minBias = -0.2
	maxBias = 0.25
)

// Parameters of this node's own evidence.
const (
	smoothing        = 0.25 // weight of the latest outcome in the failure rate, an exponential moving average
	failingThreshold = 0.4  // failure rate at which a server is published as failing
	healthyThreshold = 0.1  // failure rate below which a server needs no evidence and is forgotten
	minOutcomes      = 2    // outcomes required before a server is published as failing
	recoveredStreak  = 2    // successes in a row after which a failing server is published as healthy, whatever its failure rate
	maxOutcomes      = 255  // upper bound of the number of outcomes, which is one byte on the wire
	refreshAfter     = 0.4  // age, as a share of the TTL, at which evidence that still holds is renewed
	duplicatingTTLs  = 10   // number of TTLs for which a server counts as duplicating after a duplicate response
)

// Parameters of the evidence from other nodes.
const (
	maxFailingShare      = 0.25 // share of all servers that one source may report as failing; if it reports more, none of those reports count
	maxBiasedShare       = 0.25 // share of all servers that may have a positive bias or count as duplicating at a time
	minSources           = 2    // sources required in a small fleet
	nodesPerExtraSource  = 20   // one more source is required per this many nodes
	maxSources           = 8    // upper bound of the required sources
	trialsPerSource      = 8    // trial requests that all nodes together send in a TTL, per required source
	retransmitMultiplier = 3    // evidence is passed on this many times log2 of the number of nodes
	minNewerByMs         = 150  // evidence replaces that of the same source if newer by more than this; ages are rounded on the wire
	tickIntervalMs       = 100
	trialIntervalChange  = 2 // factor by which the trial interval must change before it is reported
)

// requiredSources returns how many sources must agree in a fleet of a number of nodes.
func requiredSources(nodes int) int {
	return min(maxSources, minSources+nodes/nodesPerExtraSource)
}
