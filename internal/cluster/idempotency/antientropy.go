package idempotency

import "slices"

// comparePatience is the backoff of a compare request, in multiples of RetryIntervalMs, after which a peer is taken not to be there.
const comparePatience = 8

// Pacing of repairs: what was not used of the rate within repairBurstMs is lost, but for repairHeadStartMs.
const (
	repairBurstMs     = 1000
	repairHeadStartMs = 10
)

// antiEntropy compares this member's records with those of its peers, one after another, and repairs those that it lacks or has older.
type antiEntropy struct {
	config   *Config
	out      *outbox
	acceptor *acceptor
	proposer *proposer

	scan             antiEntropyScan
	consistentSince  float64    // since when scans have found nothing to repair; 0: the last one did, or none has ended
	lastUnresponsive []MemberID // peers that did not answer in the last scan

	repairQueue []Key
	repairing   map[Key]bool // keys in the queue or with a repair under way
	repairAt    float64      // when the rate allows the next repair
	lastRepair  uint64       // its number
}

// antiEntropyScan is one pass over all peers.
type antiEntropyScan struct {
	number       uint64 // by which late answers to an earlier scan are recognized
	startedAt    float64
	finished     bool
	peerIndex    int
	position     uint64
	requestAt    float64
	backoffMs    float64 // 0: no request is waiting for its answer
	differing    int     // records that were found to need a repair
	unresponsive []MemberID
}

func newAntiEntropy(config *Config, out *outbox, a *acceptor) *antiEntropy {
	return &antiEntropy{config: config, out: out, acceptor: a, repairing: map[Key]bool{}, lastRepair: firstInternalNumber}
}

// tick starts repairs that are due, and sends the next request of a scan.
func (ae *antiEntropy) tick(now float64) {
	peers := ae.acceptor.peers
	if !ae.acceptor.available() || !ae.acceptor.caughtUp || ae.config.AntiEntropyIntervalMs <= 0 || len(peers) == 0 {
		return
	}
	ae.startRepairs(now)
	scan := &ae.scan
	if now < scan.requestAt || len(ae.repairQueue) > maxPageKeys {
		return
	}
	if scan.finished || scan.startedAt == 0 {
		*scan = antiEntropyScan{number: scan.number + 1, startedAt: now}
	}
	if scan.backoffMs >= comparePatience*ae.config.RetryIntervalMs {
		scan.unresponsive = append(scan.unresponsive, peers[scan.peerIndex])
		ae.nextPeer(now)
		return
	}
	scan.backoffMs = max(2*scan.backoffMs, ae.config.RetryIntervalMs)
	scan.requestAt = now + scan.backoffMs
	request := ae.config.newMessage(MsgCompare, peers[scan.peerIndex])
	request.Number, request.Ballot.Claim.Number = scan.position, scan.number
	ae.out.send(request)
}

// nextPeer goes on with the next peer, and ends the scan behind the last.
func (ae *antiEntropy) nextPeer(now float64) {
	scan := &ae.scan
	scan.backoffMs, scan.position, scan.requestAt = 0, 0, now
	scan.peerIndex++
	if scan.peerIndex < len(ae.acceptor.peers) {
		return
	}
	scan.finished, scan.requestAt = true, max(now, scan.startedAt+ae.config.AntiEntropyIntervalMs)
	ae.lastUnresponsive = scan.unresponsive
	switch {
	case scan.differing > 0 || len(ae.repairing) > 0:
		ae.consistentSince = 0
	case ae.consistentSince == 0:
		ae.consistentSince = scan.startedAt
	}
}

// expects reports whether a page answers the last request of the current scan.
func (ae *antiEntropy) expects(m *Message) bool {
	scan := &ae.scan
	return !scan.finished && scan.backoffMs > 0 && ae.acceptor.peers[scan.peerIndex] == m.From && m.Ballot.Claim.Number == scan.number &&
		(m.Restart || m.Number == scan.position)
}

// handleComparePage takes in which records a peer has, and queues repairs of those that this member lacks or has older.
func (ae *antiEntropy) handleComparePage(now float64, m *Message) {
	if !ae.expects(m) {
		return
	}
	scan := &ae.scan
	scan.backoffMs, scan.requestAt = 0, now
	if m.Restart {
		scan.position = 0
		return
	}
	for _, r := range m.Records {
		stored := ae.acceptor.records[r.Key]
		if (stored == nil || stored.accepted.less(r.AcceptedBallot)) && !ae.repairing[r.Key] && ae.config.replicates(r.Key, ae.config.Self) {
			scan.differing++
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
	if ae.repairAt < now-repairBurstMs {
		ae.repairAt = now - repairHeadStartMs
	}
	for len(ae.repairQueue) > 0 && ae.repairAt < now {
		key := ae.repairQueue[0]
		ae.repairQueue = ae.repairQueue[1:]
		ae.repairAt += 1000 / max(ae.config.RepairsPerSecond, 1)
		ae.lastRepair++
		ae.proposer.repair(now, ae.lastRepair, key)
	}
}

// repaired is called at the end of each repair, also of one that failed.
func (ae *antiEntropy) repaired(key Key) { delete(ae.repairing, key) }

// unresponsivePeers returns the peers that did not answer in the last scan.
func (ae *antiEntropy) unresponsivePeers() []MemberID { return slices.Clone(ae.lastUnresponsive) }
