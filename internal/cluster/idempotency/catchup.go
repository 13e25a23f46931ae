package idempotency

import "slices"

const (
	// maxPageBytes is when a catch-up page is full.
	maxPageBytes = 24 << 10
	// pageRecordBytes is the size of a record in a catch-up page, without its receipt.
	pageRecordBytes = 96
	// maxPageKeys is how many keys a compare page has at most.
	maxPageKeys = 400
	// maxKnownStorage is how many storage incarnations fit into a message.
	maxKnownStorage = 255
	// comparedLifetime is the part of its retention during which a record is compared. One that expires soon would be copied back and forth.
	comparedLifetime = 0.9
)

// announcement is how far a peer is with knowing this member's storage incarnation.
type announcement struct {
	acknowledged bool
	retryAt      float64
	backoffMs    float64
}

// catchUp is how far this member, with new storage, is with reading what a peer has.
type catchUp struct {
	position    uint64
	done        bool
	requestedAt float64 // when this page was requested first; 0: not yet
	retryAt     float64
	backoffMs   float64
}

// pageCursor holds the keys that a peer reads page by page: those that both replicate, as they were when it began.
type pageCursor struct {
	storage StorageIncarnation
	request MessageType
	keys    []Key
}

// knownStorageOf returns the latest storage that is known of a key's replicas.
func (a *acceptor) knownStorageOf(groups replicaGroups) []MemberStorage {
	known := make([]MemberStorage, 0, maxReplicaSets*a.config.ReplicationFactor)
	for _, m := range groups.members() {
		if incarnation := a.knownStorage[m]; incarnation != 0 {
			known = append(known, MemberStorage{m, incarnation})
		}
	}
	return known
}

// learnStorage takes in that a member has storage of an incarnation; the latest counts.
func (a *acceptor) learnStorage(known MemberStorage) {
	if known.Incarnation <= a.knownStorage[known.Member] {
		return
	}
	a.knownStorage[known.Member] = known.Incarnation
	a.detectNewerStorage(known)
	a.out.store(storageEntry(known))
}

// detectNewerStorage notices that another process has this member's number, with storage of its own.
func (a *acceptor) detectNewerStorage(known MemberStorage) {
	if own := a.config.StorageIncarnation; own != 0 && known.Member == a.config.Self && known.Incarnation > own {
		a.superseded = true
	}
}

// newerStorage returns the known storage of the sender if it is later than the one that the message comes from: the sender's clock is behind that of
// the storage before it, or the message comes from that storage.
func (a *acceptor) newerStorage(m *Message) []MemberStorage {
	if known := a.knownStorage[m.From]; m.StorageIncarnation < known {
		return []MemberStorage{{m.From, known}}
	}
	return nil
}

// handleAnnounce acknowledges the storage of a peer once it is on the disk, or answers with a later one that is known.
func (a *acceptor) handleAnnounce(m *Message) {
	r := a.newReply(m, MsgAnnounceAck)
	r.Ballot.Claim.Incarnation = m.StorageIncarnation
	if r.KnownStorage = a.newerStorage(m); r.KnownStorage == nil {
		a.learnStorage(MemberStorage{m.From, m.StorageIncarnation})
	}
	a.out.sendAfterSync(r)
}

// handleAnnounceAck takes in that a peer knows this member's storage, or which later one it knows.
func (a *acceptor) handleAnnounceAck(m *Message) {
	for _, known := range m.KnownStorage {
		a.learnStorage(known)
	}
	if m.Ballot.Claim.Incarnation == a.config.StorageIncarnation && len(m.KnownStorage) == 0 {
		a.acknowledge(m.From)
	}
}

// acknowledge notes that a peer knows this member's storage.
func (a *acceptor) acknowledge(m MemberID) {
	announced := a.announcementTo(m)
	if !announced.acknowledged {
		announced.acknowledged = true
		a.acknowledgements++
	}
}

func (a *acceptor) announcementTo(m MemberID) *announcement {
	announced := a.announcements[m]
	if announced == nil {
		announced = &announcement{}
		a.announcements[m] = announced
	}
	return announced
}

// sendAnnouncements announces this member's storage to each peer until it has acknowledged it.
func (a *acceptor) sendAnnouncements(now float64) {
	if a.acknowledgements >= len(a.peers) {
		return
	}
	for _, m := range a.peers {
		announced := a.announcementTo(m)
		if announced.acknowledged || now < announced.retryAt {
			continue
		}
		announced.backoffMs = a.config.nextBackoff(announced.backoffMs)
		announced.retryAt = now + announced.backoffMs
		a.out.send(a.config.newMessage(MsgAnnounce, m))
	}
}

// tickCatchUp requests the next page of each peer. When all records of the storage before must have expired there is nothing left to catch up with.
func (a *acceptor) tickCatchUp(now float64) {
	if now-a.createdAt > a.config.RetentionMs*(1+maxClockDrift) {
		a.finishCatchUp()
		return
	}
	for _, m := range a.peers {
		c := a.catchUps[m]
		if c == nil {
			c = &catchUp{}
			a.catchUps[m] = c
		}
		if c.done || now < c.retryAt {
			continue
		}
		if c.requestedAt == 0 {
			c.requestedAt = now
		}
		c.backoffMs = a.config.nextBackoff(c.backoffMs)
		c.retryAt = now + c.backoffMs
		request := a.config.newMessage(MsgCatchUp, m)
		request.Number = c.position
		a.out.send(request)
	}
}

func (a *acceptor) finishCatchUp() {
	a.caughtUp = true
	a.out.store(CaughtUpEntry(a.config.StorageIncarnation))
}

// handleCatchUp answers a peer with new storage. From here on this member counts no vote of an earlier storage of that peer, and says so in each of
// its own votes; only then does the peer get the records that it has to store.
func (a *acceptor) handleCatchUp(now float64, m *Message) {
	if newer := a.newerStorage(m); newer != nil {
		r := a.newReply(m, MsgCatchUpPage)
		r.Restart, r.KnownStorage = true, newer
		a.out.sendAfterSync(r)
		return
	}
	a.learnStorage(MemberStorage{m.From, m.StorageIncarnation})
	if !a.caughtUp {
		return
	}
	r := a.newReply(m, MsgCatchUpPage)
	cursor := a.cursorFor(m)
	if cursor == nil {
		r.Restart = true
		a.out.sendAfterSync(r)
		return
	}
	r.PromiseFloor = a.ballotCeiling
	r.KnownStorage = a.allKnownStorage()
	end := a.appendPage(now, r, cursor)
	// The position of the next page, and the storage that the page is for: one that comes late to a later storage would be taken for all there is.
	r.Ballot = Ballot{uint32(end), ClaimID{Incarnation: m.StorageIncarnation}}
	r.More = end < len(cursor.keys)
	a.out.sendAfterSync(r)
}

// allKnownStorage returns what this member knows of all members' storage: one with new storage has to know it too.
func (a *acceptor) allKnownStorage() []MemberStorage {
	members := sortedMembers(a.knownStorage)
	members = members[:min(len(members), maxKnownStorage)]
	known := make([]MemberStorage, len(members))
	for i, m := range members {
		known[i] = MemberStorage{m, a.knownStorage[m]}
	}
	return known
}

// appendPage fills a catch-up page with the records from the page's position on, and returns the position behind them.
func (a *acceptor) appendPage(now float64, page *Message, cursor *pageCursor) int {
	position, size := int(page.Number), 0
	for ; position < len(cursor.keys) && size < maxPageBytes; position++ {
		key := cursor.keys[position]
		if r := a.records[key]; r != nil {
			page.Records = append(page.Records, r.versioned(now, key))
			size += pageRecordBytes + len(r.record.Receipt)
		}
	}
	return position
}

// handleCompare answers with the keys and ballots of the records that this member has and the sender has to store as well.
func (a *acceptor) handleCompare(now float64, m *Message) {
	if !a.caughtUp || a.newerStorage(m) != nil {
		return
	}
	r := a.newReply(m, MsgComparePage)
	r.Ballot.Claim = m.Ballot.Claim
	cursor := a.cursorFor(m)
	if cursor == nil {
		r.Restart = true
		a.out.send(r)
		return
	}
	position := int(m.Number)
	for ; position < len(cursor.keys) && len(r.Records) < maxPageKeys; position++ {
		key := cursor.keys[position]
		if stored := a.records[key]; stored != nil && now-stored.retainedFrom < comparedLifetime*a.config.RetentionMs {
			r.Records = append(r.Records, VersionedRecord{Key: key, AcceptedBallot: stored.accepted})
		}
	}
	r.Ballot.Round, r.More = uint32(position), position < len(cursor.keys)
	a.out.send(r)
}

// cursorFor returns the cursor of a request for a page, and a new one for the first page. nil: the request is for a later page of a cursor that is
// not there.
func (a *acceptor) cursorFor(m *Message) *pageCursor {
	cursor := a.cursors[m.From]
	if m.Number == 0 {
		cursor = &pageCursor{storage: m.StorageIncarnation, request: m.Type, keys: a.sharedKeys(m.From)}
		a.cursors[m.From] = cursor
		return cursor
	}
	if cursor == nil || cursor.storage != m.StorageIncarnation || cursor.request != m.Type || m.Number > uint64(len(cursor.keys)) {
		return nil
	}
	return cursor
}

// sharedKeys returns the keys of the stored records that both this member and a peer replicate, in order.
func (a *acceptor) sharedKeys(peer MemberID) []Key {
	var keys []Key
	for key := range a.records {
		if groups := a.config.replicaGroups(key); groups.contains(peer) && groups.contains(a.config.Self) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// handleCatchUpPage takes in records that this member has to store. It votes on nothing before it has all of them, so that it may take them in as if
// it had accepted them then.
func (a *acceptor) handleCatchUpPage(now float64, m *Message) {
	c := a.catchUps[m.From]
	if a.caughtUp || c == nil || c.done {
		return
	}
	for _, known := range m.KnownStorage {
		a.learnStorage(known)
	}
	if m.Restart {
		c.position, c.retryAt, c.requestedAt = 0, now, 0
		return
	}
	if m.Number != c.position || m.Ballot.Claim.Incarnation != a.config.StorageIncarnation {
		return
	}
	a.takeOver(now, m.Records, now-c.requestedAt)
	a.acknowledge(m.From) // the page is for this storage
	c.position = uint64(m.Ballot.Round)
	c.backoffMs, c.requestedAt = 0, 0
	c.retryAt = now
	if a.config.RepairsPerSecond > 0 {
		c.retryAt += 1000 * float64(len(m.Records)) / a.config.RepairsPerSecond
	}
	if m.More {
		return
	}
	c.done = true
	// Whatever the storage before had promised, to anybody who got a quorum by it, is no higher than what one of these had promised with it.
	a.raiseFloor(m.PromiseFloor)
	if a.hasCaughtUpWithAll() {
		a.finishCatchUp()
	}
}

func (a *acceptor) hasCaughtUpWithAll() bool {
	for _, m := range a.peers {
		if c := a.catchUps[m]; c == nil || !c.done {
			return false
		}
	}
	return true
}

// takeOver stores the records of a page that was no longer than delayMs on its way, if they are later than what is stored.
func (a *acceptor) takeOver(now float64, records []VersionedRecord, delayMs float64) {
	for _, r := range records {
		if !a.config.replicates(r.Key, a.config.Self) {
			continue
		}
		if stored := a.records[r.Key]; stored != nil && !stored.accepted.less(r.AcceptedBallot) {
			continue
		}
		a.setRecord(now, r, now-r.AgeMs-delayMs, now-r.UnchangedMs)
		a.out.store(recordEntry(r.Key, r.AcceptedBallot, r.Record))
	}
}
