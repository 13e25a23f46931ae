package idempotency

import (
	"cmp"
	"math"
	"slices"
)

// replicaRecord is what an acceptor stores of one key. Times are of this member's clock.
type replicaRecord struct {
	accepted     Ballot
	record       Record
	claimedAt    float64 // the first claim; -Inf: not known any more
	changedAt    float64 // the last change; -Inf: not known any more
	retainedFrom float64 // from when on it is kept for RetentionMs
	batch        uint64  // by which it is synced
}

// ages returns how long ago the key was first claimed and its record changed.
func (r *replicaRecord) ages(now float64) (ageMs, unchangedMs float64) {
	return now - r.claimedAt, now - r.changedAt
}

// ballotPromise is the promise to accept nothing below a ballot, and when it was made.
type ballotPromise struct {
	ballot Ballot
	at     float64
}

const (
	// defaultBallotBlock is how far the ballot ceiling is raised at a time, so that not each promise has to be synced.
	defaultBallotBlock = 1 << 10
	// maxPromises bounds the promises that are remembered by key.
	maxPromises = 1 << 16
	// maxClockDrift is how far clocks may drift apart while a new storage waits until all records of the one before have expired.
	maxClockDrift = 0.05
	// expirySweeps is how many times in RetentionMs expired records are looked for.
	expirySweeps = 64
)

// acceptor is a member as one that stores records and votes.
//
// Promises are not stored one by one. In their place the disk has a ceiling above all rounds that were promised: an acceptor that starts again
// rejects every ballot up to it, and so keeps each promise that it cannot remember. It accepts only the exact ballot that it remembers to have
// promised.
type acceptor struct {
	config *Config
	out    *outbox
	peers  []MemberID // all others that store records

	records  map[Key]*replicaRecord
	promises map[Key]ballotPromise
	expireAt float64 // when expired records are looked for next

	promiseFloor  uint32 // rounds up to there are rejected for every key
	ballotCeiling uint32 // has to be synced before a promise above syncedCeiling is sent
	syncedCeiling uint32
	batch         uint64 // that is being collected
	syncedBatch   uint64

	knownStorage     map[MemberID]StorageIncarnation
	announcements    map[MemberID]*announcement
	acknowledgements int // of peers that know this member's storage
	catchUps         map[MemberID]*catchUp
	cursors          map[MemberID]*pageCursor
	createdAt        float64 // of a storage that has not caught up

	caughtUp      bool // it has all records that it has to store
	superseded    bool // another process has this number with a later storage
	storageFailed bool
}

// newAcceptor returns the acceptor of a member with what its data directory holds.
func newAcceptor(now float64, config *Config, out *outbox, stored *StoredState) *acceptor {
	a := &acceptor{
		config:        config,
		out:           out,
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
		cursors:       map[MemberID]*pageCursor{},
		createdAt:     now,
	}
	for key, r := range stored.Records {
		// Its age is not known after a start; it is kept for as long as if it were new.
		a.records[key] = &replicaRecord{accepted: r.AcceptedBallot, record: r.Record, claimedAt: math.Inf(-1), changedAt: math.Inf(-1), retainedFrom: now}
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

// available reports whether it may answer requests at all.
func (a *acceptor) available() bool {
	return a.config.StorageIncarnation != 0 && !a.superseded && !a.storageFailed
}

// handleRequest answers a request to this member as one that stores records.
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
			return // as if it were not there
		}
		if m.Type == MsgPrepare {
			a.handlePrepare(now, m, groups)
		} else {
			a.handleAccept(now, m, groups)
		}
	}
}

// newReply returns an answer to a request.
func (a *acceptor) newReply(request *Message, kind MessageType) *Message {
	r := a.config.newMessage(kind, request.From)
	r.Number, r.Key = request.Number, request.Key
	return r
}

// newVote returns an answer to MsgPrepare or MsgAccept. It says which storage of the key's replicas is known, so that the proposer can leave out votes
// of storage that is lost.
func (a *acceptor) newVote(request *Message, kind MessageType, groups replicaGroups) *Message {
	r := a.newReply(request, kind)
	r.Ballot, r.KnownStorage = request.Ballot, a.knownStorageOf(groups)
	return r
}

func (a *acceptor) reject(request *Message, groups replicaGroups, promised Ballot) {
	r := a.newVote(request, MsgRejected, groups)
	r.PromiseFloor = promised.Round
	a.out.send(r)
}

// promised returns the ballot below which a key's ballots are rejected.
func (a *acceptor) promised(key Key) Ballot {
	floor := lastBallot(a.promiseFloor)
	if p, ok := a.promises[key]; ok && floor.less(p.ballot) {
		return p.ballot
	}
	return floor
}

func (a *acceptor) handlePrepare(now float64, m *Message, groups replicaGroups) {
	if promised := a.promised(m.Key); m.Ballot.less(promised) {
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
		r.HasRecord, r.Accepted, r.Record = true, stored.accepted, stored.record
		r.AgeMs, r.UnchangedMs = stored.ages(now)
	}
	a.raiseCeiling(m.Ballot.Round)
	// A record that is not synced yet is not shown: two that show the same would be taken for a quorum that has it.
	if m.Ballot.Round > a.syncedCeiling || stored != nil && stored.batch > a.syncedBatch {
		a.out.sendAfterSync(r)
	} else {
		a.out.send(r)
	}
}

func (a *acceptor) handleAccept(now float64, m *Message, groups replicaGroups) {
	stored := a.records[m.Key]
	if stored != nil && stored.accepted == m.Ballot { // a duplicate
		a.out.sendAfterSync(a.newVote(m, MsgAccepted, groups))
		return
	}
	promise, ok := a.promises[m.Key]
	if !ok || promise.ballot != m.Ballot {
		a.reject(m, groups, a.promised(m.Key))
		return
	}
	// How long the message was on its way is not known, but no longer than since this ballot was promised: nothing becomes younger by being copied.
	// That its last change may seem later than it was does no harm.
	claimedAt, changedAt := promise.at-m.AgeMs, now-m.UnchangedMs
	a.setRecord(now, VersionedRecord{Key: m.Key, AcceptedBallot: m.Ballot, Record: m.Record}, claimedAt, changedAt)
	// With the vote for this ballot goes the promise for the next one, so that the proposer of a claim can settle it in one phase.
	a.addPromise(now, m.Key, m.Ballot.next())
	a.raiseCeiling(m.Ballot.Round + 1)
	a.out.store(recordEntry(m.Key, m.Ballot, m.Record))
	a.out.sendAfterSync(a.newVote(m, MsgAccepted, groups))
}

// setRecord takes in an accepted record. Whatever was known of its age before counts too: a record never becomes younger.
func (a *acceptor) setRecord(now float64, r VersionedRecord, claimedAt, changedAt float64) {
	stored := a.records[r.Key]
	if stored == nil {
		stored = &replicaRecord{claimedAt: claimedAt}
		a.records[r.Key] = stored
	}
	stored.accepted, stored.record = r.AcceptedBallot, r.Record
	stored.claimedAt, stored.changedAt = min(stored.claimedAt, claimedAt), changedAt
	if stored.retainedFrom = changedAt; math.IsInf(changedAt, -1) {
		stored.retainedFrom = now
	}
	stored.batch = a.batch
}

// addPromise remembers a promise. Beyond maxPromises all that are remembered become one for every key, by the promise floor.
func (a *acceptor) addPromise(now float64, key Key, b Ballot) {
	if len(a.promises) >= maxPromises {
		for _, p := range a.promises {
			a.promiseFloor = max(a.promiseFloor, p.ballot.Round) // which the ceiling on the disk is never below
		}
		clear(a.promises)
		if b.Round <= a.promiseFloor {
			return
		}
	}
	a.promises[key] = ballotPromise{b, now}
}

// raiseCeiling raises the ballot ceiling above a round. No promise above the synced ceiling may be sent before the new one is synced.
func (a *acceptor) raiseCeiling(round uint32) {
	if round > a.ballotCeiling {
		a.ballotCeiling = round + cmp.Or(a.config.BallotCeilingStep, defaultBallotBlock)
		a.out.store(ceilingEntry(a.ballotCeiling))
	}
}

// raiseFloor makes a promise of a round for every key.
func (a *acceptor) raiseFloor(round uint32) {
	a.promiseFloor = max(a.promiseFloor, round)
	a.raiseCeiling(a.promiseFloor)
}

// mayVote reports whether this member may vote on a key with these replicas.
//
// A member with new storage has to have caught up with so many of each group that nothing that its storage before took part in can be unknown to
// it: all but as many as a quorum can do without, which of three is both others. And so many of each group have to know its storage that a member
// with the same number and newer storage meets one that does, and takes a later incarnation: incarnations come from clocks, which may be behind,
// and a vote of the storage before would count as one of the later storage.
func (a *acceptor) mayVote(groups replicaGroups) bool {
	for _, g := range groups {
		if !slices.Contains(g, a.config.Self) {
			continue
		}
		if !a.isKnownTo(g) || !a.hasCaughtUpWith(g) {
			return false
		}
	}
	return true
}

// isKnownTo reports whether enough of a group know this member's storage.
func (a *acceptor) isKnownTo(g replicaGroup) bool {
	known := 0
	for _, m := range g {
		if announced := a.announcements[m]; announced != nil && announced.acknowledged {
			known++
		}
	}
	return known >= g.quorum()-1
}

// hasCaughtUpWith reports whether this member has caught up with enough of a group. Alone in a group it has to wait until all records of its storage
// before have expired.
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

// tick does what is due at a time.
func (a *acceptor) tick(now float64) {
	if !a.available() {
		return
	}
	if a.caughtUp {
		a.sendAnnouncements(now)
	} else {
		a.tickCatchUp(now)
	}
	if now >= a.expireAt {
		a.expireAt = now + a.config.RetentionMs/expirySweeps
		a.expireRecords(now)
	}
}

// expireRecords forgets records after their time. What was promised for their keys is from then on promised for every key.
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
		floor = max(floor, r.accepted.Round)
		delete(a.records, key)
	}
	a.raiseFloor(floor)
}

// fileHeader returns the entries which each file of the data directory begins with.
func (a *acceptor) fileHeader() [][]byte {
	header := append(storageEntries(a.knownStorage), ceilingEntry(a.ballotCeiling))
	if a.caughtUp {
		header = append(header, CaughtUpEntry(a.config.StorageIncarnation))
	}
	return header
}

// versioned returns the record of a key as it is sent in pages.
func (r *replicaRecord) versioned(now float64, key Key) VersionedRecord {
	v := VersionedRecord{Key: key, AcceptedBallot: r.accepted, Record: r.record}
	v.AgeMs, v.UnchangedMs = r.ages(now)
	return v
}
