package outlier

import (
	"cmp"
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// localEvidence is the evidence that this node has observed of a server.
type localEvidence struct {
	failureRate   float64
	successStreak int // since the last failure
	outcomes      int // since the evidence was last renewed, up to maxOutcomes
	published     bool
	verdict       wire.Verdict // if published
	publishedAt   float64
	duplicatedAt  float64 // time of the last duplicate response; 0: there was none
}

// sourceEvidence is the latest evidence of a server from one source.
type sourceEvidence struct {
	verdict    wire.Verdict
	attempts   uint8
	observedAt float64 // by this node's clock
	transmits  int
}

// server is the evidence of one server and its last reported effect.
type server struct {
	local    localEvidence
	evidence map[cluster.NodeID]sourceEvidence // by source, including this node

	// As last returned by Tick.
	bias            float64
	trialIntervalMs float64
	duplicating     bool
}

// queueItem identifies evidence that is to be passed on.
type queueItem struct {
	server uint32
	source cluster.NodeID
}

// Detector holds one node's evidence of all servers, its own and that from other nodes.
type Detector struct {
	config         Config
	servers        map[uint32]*server // by hash of the name
	serverOrder    []uint32           // keys of servers in the order of their creation
	serverCount    int                // number of known servers, with or without evidence
	queue          []queueItem
	hasNewEvidence bool // evidence from a new source, or with a new verdict, has been queued since the last TakeNewEvidenceFlag
	lastTickAt     float64
}

// New returns a Detector without evidence.
func New(config Config) *Detector {
	return &Detector{config: config, servers: map[uint32]*server{}}
}

// SetServerCount sets the number of known servers.
func (d *Detector) SetServerCount(n int) { d.serverCount = n }

// Forget drops all evidence of a server that was removed or restarted.
func (d *Detector) Forget(id uint32) {
	delete(d.servers, id)
	d.serverOrder = slices.DeleteFunc(d.serverOrder, func(other uint32) bool { return other == id })
	d.queue = slices.DeleteFunc(d.queue, func(item queueItem) bool { return item.server == id })
}

// Observe records the outcome of one attempt at a server. failed means that the server caused the failure.
func (d *Detector) Observe(now float64, id uint32, failed bool) {
	s := d.servers[id]
	if s == nil {
		if !failed {
			return // no evidence is kept of healthy servers
		}
		s = d.server(id)
	}
	s.local.record(failed)
	if verdict, publish := s.verdictToPublish(failed); publish {
		d.publish(now, id, &s.local, verdict)
	}
}

func (e *localEvidence) record(failed bool) {
	e.outcomes = min(maxOutcomes, e.outcomes+1)
	if failed {
		e.failureRate += smoothing * (1 - e.failureRate)
		e.successStreak = 0
	} else {
		e.failureRate *= 1 - smoothing
		e.successStreak++
	}
}

// verdictToPublish returns the verdict to publish after an outcome, and whether there is one.
func (s *server) verdictToPublish(failed bool) (verdict wire.Verdict, publish bool) {
	e := &s.local
	reportedFailing := e.published && e.verdict == wire.Failing
	if !reportedFailing && e.failureRate >= failingThreshold && e.outcomes >= minOutcomes {
		return wire.Failing, true
	}
	// While others send most of the trial requests, this node sends few, and its own published verdict expires. It must still publish its first
	// response, or no node would learn of the recovery.
	othersReportFailing := !e.published && s.bias > 0 && e.failureRate > healthyThreshold
	recovered := e.failureRate < failingThreshold || e.successStreak >= recoveredStreak || s.trialIntervalMs > 0
	return wire.Healthy, !failed && (reportedFailing || othersReportFailing) && recovered
}

// ObserveDuplicate records that a server sent a duplicate response.
func (d *Detector) ObserveDuplicate(now float64, id uint32) {
	s := d.server(id)
	s.local.duplicatedAt = now
	d.publish(now, id, &s.local, wire.Duplicating)
}

// server returns the state of a server, which it creates if necessary.
func (d *Detector) server(id uint32) *server {
	s := d.servers[id]
	if s == nil {
		s = &server{evidence: map[cluster.NodeID]sourceEvidence{}}
		d.servers[id] = s
		d.serverOrder = append(d.serverOrder, id)
	}
	return s
}

// publish queues a verdict of this node for the other nodes.
func (d *Detector) publish(now float64, id uint32, e *localEvidence, verdict wire.Verdict) {
	e.published, e.verdict, e.publishedAt = true, verdict, now
	d.record(id, d.config.Self, sourceEvidence{verdict: verdict, attempts: uint8(e.outcomes), observedAt: now})
}

// ServerStatus is the evidence of one server as shown to operators.
type ServerStatus struct {
	Server      uint32          `json:"Server"`
	Name        string          `json:"Text"` // empty if this node does not know it
	FailureRate float64         `json:"Own"`  // as observed by this node
	Bias        float64         `json:"Hearsay"`
	Duplicating bool            `json:"Twice"`
	Evidence    []wire.Evidence `json:"Opinions"`
}

// Status returns the status of every server that there is evidence of.
func (d *Detector) Status(now float64) (all []ServerStatus) {
	for _, id := range d.serverOrder {
		s := d.servers[id]
		status := ServerStatus{Server: id, FailureRate: s.local.failureRate, Bias: s.bias, Duplicating: s.duplicating}
		for source, e := range s.evidence {
			status.Evidence = append(status.Evidence, e.toWire(now, id, source))
		}
		slices.SortFunc(status.Evidence, func(a, b wire.Evidence) int { return cmp.Compare(a.Source, b.Source) })
		all = append(all, status)
	}
	return all
}

// toWire converts evidence to its form on the wire.
func (e sourceEvidence) toWire(now float64, server uint32, source cluster.NodeID) wire.Evidence {
	return wire.Evidence{
		Source: source, Server: server, Verdict: e.verdict, Attempts: e.attempts, AgeMs: now - e.observedAt,
	}
}
