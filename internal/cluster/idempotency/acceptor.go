package idempotency

import (
	"cmp"
	"math"
	"slices"
)

// replicaRecord is an acceptor's record of one key. Times are of this member's clock.
type replicaRecord struct {
	acceptedBallot Ballot
	record         Record
	firstClaimedAt float64 // time of the first claim; -Inf: unknown
	lastChangedAt  float64 // -Inf: unknown
	retainedFrom   float64 // time from which RetentionMs counts
	batch          uint64  // batch that syncs it
}

// ages returns the times since the key was first claimed and since its record last changed.
func (r *replicaRecord) ages(now float64) (ageMs, unchangedMs float64) {
	return now - r.firstClaimedAt, now - r.lastChangedAt
}

// ballotPromise is the promise to accept nothing below a ballot, and when it was made.
type ballotPromise struct {
	ballot     Ballot
	promisedAt float64
}

const (
	// defaultBallotCeilingStep is the default of Config.BallotCeilingStep. A promise needs a sync only when it raises the ceiling.
	defaultBallotCeilingStep = 1 << 10
	// maxPromises limits the promises that are remembered by key.
	maxPromises = 1 << 16
	// maxRelativeClockDrift is the clock drift, as a fraction, that is allowed for while new storage waits until all records of its previous
	// storage have expired.
	maxRelativeClockDrift = 0.05
	// expirySweepsPerRetention is the number of sweeps for expired records per RetentionMs.
	expirySweepsPerRetention = 64
)

// acceptor is the part of a member that stores records and votes.
//
// Promises are not stored one by one. Instead the disk has a ceiling above all promised rounds. After a restart an acceptor rejects every
// ballot up to the ceiling, and so keeps the promises that it no longer remembers. It accepts only the exact ballot that it remembers
// having promised.
type acceptor struct {
	config *Config
	outbox *outbox
	peers  []MemberID // all other members that store records

	records           map[Key]*replicaRecord
	promises          map[Key]ballotPromise
	nextExpirySweepAt float64 // time of the next sweep

	promiseFloor  uint32 // ballots of this round or a lower one are rejected for every key
	ballotCeiling uint32 // must be synced before a promise above syncedCeiling is sent
	syncedCeiling uint32
	batch         uint64 // number of the batch being collected
	syncedBatch   uint64

	knownStorage      map[MemberID]StorageIncarnation
	announcements     map[MemberID]*announcement
	acknowledgedPeers int // number of peers that know this member's storage
	catchUps          map[MemberID]*catchUp
	pageCursors       map[MemberID]*pageCursor
	startedAt         float64 // start of this member; new storage waits from this time until old records have expired

	caughtUp      bool // it has all records that it has to store
	superseded    bool // another process has this member's number and later storage
	storageFailed bool
}

// newAcceptor returns the acceptor of a member with the contents of its data directory.
func newAcceptor(now float64, config *Config, out *outbox, stored *StoredState) *acceptor {
	a := &acceptor{
		config:        config,
		outbox:        out,
		peers:         config.peers(),
		records:       map[Key]*replicaRecord{},
		promises:      map[Key]ballotPromise{},
		promiseFloor:  stored.BallotCeiling,
		ballotCeiling: stored.BallotCeiling,
		syncedCeiling: stored.BallotCeiling,
		batch:         1,
		knownStorage:  map[MemberID]StorageIncarnation{},
		announcements: map[MemberID]*announcement{},
		catchUps:      map[MemberID]*catchUp{},
		pageCursors:   map[MemberID]*pageCursor{},
		startedAt:     now,
	}
	for key, r := range stored.Records {
		// Ages are unknown after a start. The record is retained as if it were new.
		a.records[key] = &replicaRecord{
			acceptedBallot: r.AcceptedBallot, record: r.Record, firstClaimedAt: math.Inf(-1), lastChangedAt: math.Inf(-1), retainedFrom: now,
		}
	}
	for m, incarnation := range stored.KnownStorage {
		a.knownStorage[m] = incarnation
	}
	if own := config.StorageIncarnation; own != 0 {
		a.caughtUp = stored.CaughtUpStorage == own
		a.superseded = a.knownStorage[config.Self] > own
		a.knownStorage[config.Self] = max(a.knownStorage[config.Self], own)
	}
	return a
}

// available reports whether this member may answer requests as an acceptor.
func (a *acceptor) available() bool {
	return a.config.StorageIncarnation != 0 && !a.superseded && !a.storageFailed
}

// handleRequest handles a request to this member as an acceptor.
func (a *acceptor) handleRequest(now float64, m *Message) {
	if !a.available() {
		return
	}
	switch m.Type {
	case MsgCatchUp:
		a.handleCatchUp(now, m)
	case MsgCompare:
		a.handleCompare(now, m)
	case MsgAnnounce:
		a.handleAnnounce(m)
	case MsgPrepare, MsgAccept:
		groups := a.config.replicaGroups(m.Key)
		if !groups.contains(a.config.Self) || !a.mayVote(groups) {
			return // ignored, as by a member that is down
		}
		if m.Type == MsgPrepare {
			a.handlePrepare(now, m, groups)
		} else {
			a.handleAccept(now, m, groups)
		}
	}
}

// newReply returns an answer to a request.
func (a *acceptor) newReply(request *Message, messageType MessageType) *Message {
	r := a.config.newMessage(messageType, request.From)
	r.Number, r.Key = request.Number, request.Key
	return r
}

// newVote returns an answer to MsgPrepare or MsgAccept. It lists the known storage of the key's replicas, so that the proposer can ignore
// votes from lost storage.
func (a *acceptor) newVote(request *Message, messageType MessageType, groups replicaGroups) *Message {
	r := a.newReply(request, messageType)
	r.Ballot, r.KnownStorage = request.Ballot, a.knownStorageOf(groups)
	return r
}

func (a *acceptor) reject(request *Message, groups replicaGroups, promised Ballot) {
	r := a.newVote(request, MsgRejected, groups)
	r.PromiseFloor = promised.Round
	a.outbox.send(r)
}

// promisedBallot returns the ballot below which ballots for a key are rejected.
func (a *acceptor) promisedBallot(key Key) Ballot {
	floor := lastBallot(a.promiseFloor)
	if p, ok := a.promises[key]; ok && floor.less(p.ballot) {
		return p.ballot
	}
	return floor
}

func (a *acceptor) handlePrepare(now float64, m *Message, groups replicaGroups) {
	if promised := a.promisedBallot(m.Key); m.Ballot.less(promised) {
		a.reject(m, groups, promised)
		return
	}
	stored := a.records[m.Key]
	if stored == nil && a.config.MaxRecords > 0 && len(a.records) >= a.config.MaxRecords {
		return
	}
	a.addPromise(now, m.Key, m.Ballot)
	r := a.newVote(m, MsgPromise, groups)
	if stored != nil {
		r.HasRecord, r.AcceptedBallot, r.Record = true, stored.acceptedBallot, stored.record
		r.AgeMs, r.UnchangedMs = stored.ages(now)
	}
	a.raiseBallotCeiling(m.Ballot.Round)
	// A record is not reported before it is synced: the proposer takes the members that report the same record as a quorum that stores it.
	if m.Ballot.Round > a.syncedCeiling || stored != nil && stored.batch > a.syncedBatch {
		a.outbox.sendAfterSync(r)
	} else {
		a.outbox.send(r)
	}
}

func (a *acceptor) handleAccept(now float64, m *Message, groups replicaGroups) {
	stored := a.records[m.Key]
	if stored != nil && stored.acceptedBallot == m.Ballot { // a duplicate
		a.outbox.sendAfterSync(a.newVote(m, MsgAccepted, groups))
		return
	}
	promise, ok := a.promises[m.Key]
	if !ok || promise.ballot != m.Ballot {
		a.reject(m, groups, a.promisedBallot(m.Key))
		return
	}
	// The transit time of the message is unknown, but it is less than the time since this ballot was promised. Counting the age from the
	// promise ensures that copying never makes a record younger. The last change may appear later than it was, which only lengthens
	// retention and the wait of other claims.
	claimedAt, changedAt := promise.promisedAt-m.AgeMs, now-m.UnchangedMs
	a.setRecord(now, VersionedRecord{Key: m.Key, AcceptedBallot: m.Ballot, Record: m.Record}, claimedAt, changedAt)
	// A vote for this ballot also promises the next one, so that the proposer of a claim can settle it in one phase.
	a.addPromise(now, m.Key, m.Ballot.next())
	a.raiseBallotCeiling(m.Ballot.Round + 1)
	a.outbox.store(recordEntry(m.Key, m.Ballot, m.Record))
	a.outbox.sendAfterSync(a.newVote(m, MsgAccepted, groups))
}

// setRecord stores an accepted record. The earliest known time of the first claim is kept, so that a record never becomes younger.
func (a *acceptor) setRecord(now float64, r VersionedRecord, claimedAt, changedAt float64) {
	stored := a.records[r.Key]
	if stored == nil {
		stored = &replicaRecord{firstClaimedAt: claimedAt}
		a.records[r.Key] = stored
	}
	stored.acceptedBallot, stored.record = r.AcceptedBallot, r.Record
	stored.firstClaimedAt, stored.lastChangedAt = min(stored.firstClaimedAt, claimedAt), changedAt
	if stored.retainedFrom = changedAt; math.IsInf(changedAt, -1) {
		stored.retainedFrom = now
	}
	stored.batch = a.batch
}

// addPromise remembers a promise. When there are maxPromises, it raises the promise floor, which covers every key, to the highest promised round,
// and forgets the promises.
func (a *acceptor) addPromise(now float64, key Key, b Ballot) {
	if len(a.promises) >= maxPromises {
		for _, p := range a.promises {
			a.promiseFloor = max(a.promiseFloor, p.ballot.Round) // the ballot ceiling is never below these rounds
		}
		clear(a.promises)
		if b.Round <= a.promiseFloor {
			return
		}
	}
	a.promises[key] = ballotPromise{b, now}
}

// raiseBallotCeiling raises the ballot ceiling above a round. A promise above the synced ceiling may be sent only after the new ceiling is
// synced.
func (a *acceptor) raiseBallotCeiling(round uint32) {
	if round > a.ballotCeiling {
		a.ballotCeiling = round + cmp.Or(a.config.BallotCeilingStep, defaultBallotCeilingStep)
		a.outbox.store(ceilingEntry(a.ballotCeiling))
	}
}

// raisePromiseFloor promises to reject all ballots of the given round or a lower one, for every key.
func (a *acceptor) raisePromiseFloor(round uint32) {
	a.promiseFloor = max(a.promiseFloor, round)
	a.raiseBallotCeiling(a.promiseFloor)
}

// mayVote reports whether this member may vote on a key with these replicas.
//
// A member with new storage must first catch up with enough members of each group that every quorum in which its previous storage voted
// includes one of them. With three replicas, it must catch up with both others.
//
// In addition, so many members of each group must know this member's storage incarnation that newer storage with the same member number
// meets at least one of them while it catches up. Incarnations come from clocks, which may be behind. Newer storage that learns of a later
// incarnation than its own takes one later still. Otherwise votes from this storage would count as votes from the newer storage.
func (a *acceptor) mayVote(groups replicaGroups) bool {
	for _, g := range groups {
		if !slices.Contains(g, a.config.Self) {
			continue
		}
		if !a.isStorageKnownTo(g) || !a.hasCaughtUpWith(g) {
			return false
		}
	}
	return true
}

// isStorageKnownTo reports whether enough members of a group know this member's storage.
func (a *acceptor) isStorageKnownTo(g replicaGroup) bool {
	known := 0
	for _, m := range g {
		if announced := a.announcements[m]; announced != nil && announced.acknowledged {
			known++
		}
	}
	return known >= g.quorum()-1
}

// hasCaughtUpWith reports whether this member has caught up with enough members of a group. If it is the only member, it has to wait until
// all records of its previous storage have expired.
func (a *acceptor) hasCaughtUpWith(g replicaGroup) bool {
	if a.caughtUp {
		return true
	}
	if len(g) == 1 {
		return false
	}
	done := 0
	for _, m := range g {
		if c := a.catchUps[m]; m != a.config.Self && c != nil && c.done {
			done++
		}
	}
	return done >= len(g)-g.quorum()+1
}

// tick does the work that is due.
func (a *acceptor) tick(now float64) {
	if !a.available() {
		return
	}
	if a.caughtUp {
		a.sendAnnouncements(now)
	} else {
		a.tickCatchUp(now)
	}
	if now >= a.nextExpirySweepAt {
		a.nextExpirySweepAt = now + a.config.RetentionMs/expirySweepsPerRetention
		a.expireRecords(now)
	}
}

// expireRecords removes expired records and the promises for their keys. To keep these promises, it raises the promise floor, which covers
// every key.
func (a *acceptor) expireRecords(now float64) {
	floor := a.promiseFloor
	for key, r := range a.records {
		if now-r.retainedFrom <= a.config.RetentionMs {
			continue
		}
		if p, ok := a.promises[key]; ok {
			floor = max(floor, p.ballot.Round)
			delete(a.promises, key)
		}
		floor = max(floor, r.acceptedBallot.Round)
		delete(a.records, key)
	}
	a.raisePromiseFloor(floor)
}

// fileHeader returns the entries at the beginning of each file of the data directory.
func (a *acceptor) fileHeader() [][]byte {
	header := append(storageEntries(a.knownStorage), ceilingEntry(a.ballotCeiling))
	if a.caughtUp {
		header = append(header, CaughtUpEntry(a.config.StorageIncarnation))
	}
	return header
}

// toVersionedRecord returns the record in the form in which pages contain it.
func (r *replicaRecord) toVersionedRecord(now float64, key Key) VersionedRecord {
	v := VersionedRecord{Key: key, AcceptedBallot: r.acceptedBallot, Record: r.record}
	v.AgeMs, v.UnchangedMs = r.ages(now)
	return v
}
