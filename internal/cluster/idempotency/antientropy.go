package idempotency

import "slices"

// unresponsiveBackoffFactor is the backoff of a compare request, in multiples of RetryIntervalMs, at which a peer is considered unresponsive.
const unresponsiveBackoffFactor = 8

// Pacing of repairs: the unused part of the rate accumulates for repairIdleResetMs at most. After a longer idle time, only the part
// of the last repairBurstAfterIdleMs is kept.
const (
	repairIdleResetMs      = 1000
	repairBurstAfterIdleMs = 10
)

// antiEntropy compares this member's records with those of its peers, one peer after another, and repairs records that are missing or out
// of date here.
type antiEntropy struct {
	config   *Config
	outbox   *outbox
	acceptor *acceptor
	proposer *proposer

	scan antiEntropyScan
	// consistentSince is the start of the first scan in the latest series of scans without repairs; 0: the last scan needed repairs, or no
	// scan has ended.
	consistentSince       float64
	lastUnresponsivePeers []MemberID // peers that did not answer in the last scan

	repairQueue      []Key
	repairing        map[Key]bool // keys in the queue or with a repair in progress
	nextRepairAt     float64      // when the rate allows the next repair
	lastRepairNumber uint64       // number of the last repair
}

// antiEntropyScan is one pass over all peers.
type antiEntropyScan struct {
	number            uint64 // distinguishes late answers to an earlier scan
	startedAt         float64
	finished          bool
	peerIndex         int
	position          uint64
	nextRequestAt     float64
	backoffMs         float64 // 0: no request is pending
	recordsToRepair   int     // found in this scan
	unresponsivePeers []MemberID
}

func newAntiEntropy(config *Config, out *outbox, a *acceptor) *antiEntropy {
	return &antiEntropy{config: config, outbox: out, acceptor: a, repairing: map[Key]bool{}, lastRepairNumber: repairNumberBase}
}

// tick starts repairs that are due, and sends the next request of a scan.
func (ae *antiEntropy) tick(now float64) {
	peers := ae.acceptor.peers
	if !ae.acceptor.available() || !ae.acceptor.caughtUp || ae.config.AntiEntropyIntervalMs <= 0 || len(peers) == 0 {
		return
	}
	ae.startRepairs(now)
	scan := &ae.scan
	if now < scan.nextRequestAt || len(ae.repairQueue) > maxPageKeys {
		return
	}
	if scan.finished || scan.startedAt == 0 {
		*scan = antiEntropyScan{number: scan.number + 1, startedAt: now}
	}
	if scan.backoffMs >= unresponsiveBackoffFactor*ae.config.RetryIntervalMs {
		scan.unresponsivePeers = append(scan.unresponsivePeers, peers[scan.peerIndex])
		ae.nextPeer(now)
		return
	}
	scan.backoffMs = max(2*scan.backoffMs, ae.config.RetryIntervalMs)
	scan.nextRequestAt = now + scan.backoffMs
	request := ae.config.newMessage(MsgCompare, peers[scan.peerIndex])
	request.Number, request.Ballot.Claim.Number = scan.position, scan.number
	ae.outbox.send(request)
}

// nextPeer continues the scan with the next peer, or ends it after the last one.
func (ae *antiEntropy) nextPeer(now float64) {
	scan := &ae.scan
	scan.backoffMs, scan.position, scan.nextRequestAt = 0, 0, now
	scan.peerIndex++
	if scan.peerIndex < len(ae.acceptor.peers) {
		return
	}
	scan.finished, scan.nextRequestAt = true, max(now, scan.startedAt+ae.config.AntiEntropyIntervalMs)
	ae.lastUnresponsivePeers = scan.unresponsivePeers
	switch {
	case scan.recordsToRepair > 0 || len(ae.repairing) > 0:
		ae.consistentSince = 0
	case ae.consistentSince == 0:
		ae.consistentSince = scan.startedAt
	}
}

// expectsPage reports whether a page answers the last request of the current scan.
func (ae *antiEntropy) expectsPage(m *Message) bool {
	scan := &ae.scan
	return !scan.finished && scan.backoffMs > 0 && ae.acceptor.peers[scan.peerIndex] == m.From && m.Ballot.Claim.Number == scan.number &&
		(m.Restart || m.Number == scan.position)
}

// handleComparePage queues repairs of the records on a peer's page that are missing or out of date here.
func (ae *antiEntropy) handleComparePage(now float64, m *Message) {
	if !ae.expectsPage(m) {
		return
	}
	scan := &ae.scan
	scan.backoffMs, scan.nextRequestAt = 0, now
	if m.Restart {
		scan.position = 0
		return
	}
	for _, r := range m.Records {
		stored := ae.acceptor.records[r.Key]
		if (stored == nil || stored.acceptedBallot.less(r.AcceptedBallot)) && !ae.repairing[r.Key] && ae.config.replicates(r.Key, ae.config.Self) {
			scan.recordsToRepair++
			ae.repairing[r.Key] = true
			ae.repairQueue = append(ae.repairQueue, r.Key)
		}
	}
	scan.position = uint64(m.Ballot.Round)
	if !m.More {
		ae.nextPeer(now)
	}
}

// startRepairs starts as many repairs as the rate allows.
func (ae *antiEntropy) startRepairs(now float64) {
	if ae.nextRepairAt < now-repairIdleResetMs {
		ae.nextRepairAt = now - repairBurstAfterIdleMs
	}
	for len(ae.repairQueue) > 0 && ae.nextRepairAt < now {
		key := ae.repairQueue[0]
		ae.repairQueue = ae.repairQueue[1:]
		ae.nextRepairAt += 1000 / max(ae.config.RepairsPerSecond, 1)
		ae.lastRepairNumber++
		ae.proposer.repair(now, ae.lastRepairNumber, key)
	}
}

// repairFinished is called at the end of each repair, even if it failed.
func (ae *antiEntropy) repairFinished(key Key) { delete(ae.repairing, key) }

// unresponsivePeers returns the peers that did not answer in the last scan.
func (ae *antiEntropy) unresponsivePeers() []MemberID { return slices.Clone(ae.lastUnresponsivePeers) }
