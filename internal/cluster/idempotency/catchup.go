package idempotency

import "slices"

const (
	// maxPageBytes is the size at which a catch-up page is full.
	maxPageBytes = 24 << 10
	// pageRecordBytes is the size of a record in a catch-up page, without its receipt.
	pageRecordBytes = 96
	// maxPageKeys limits the keys in a compare page.
	maxPageKeys = 400
	// maxKnownStorage limits the storage incarnations in a message, whose count is one byte.
	maxKnownStorage = 255
	// comparedRetentionFraction is the part of its retention during which a record is compared. A record that expires soon would be copied
	// back and forth between replicas.
	comparedRetentionFraction = 0.9
)

// announcement is the state of announcing this member's storage incarnation to a peer.
type announcement struct {
	acknowledged bool
	retryAt      float64
	backoffMs    float64
}

// catchUp is the progress of reading a peer's records into this member's new storage.
type catchUp struct {
	position    uint64
	done        bool
	requestedAt float64 // first request for the current page; 0: not requested yet
	retryAt     float64
	backoffMs   float64
}

// pageCursor holds the keys that a peer reads page by page: those that both members replicate, as of the request for the first page.
type pageCursor struct {
	peerStorage StorageIncarnation
	requestType MessageType
	keys        []Key
}

// knownStorageOf returns the latest known storage of a key's replicas.
func (a *acceptor) knownStorageOf(groups replicaGroups) []MemberStorage {
	known := make([]MemberStorage, 0, maxReplicaSets*a.config.ReplicationFactor)
	for _, m := range groups.members() {
		if incarnation := a.knownStorage[m]; incarnation != 0 {
			known = append(known, MemberStorage{m, incarnation})
		}
	}
	return known
}

// updateKnownStorage records the storage incarnation of a member if it is later than the known one.
func (a *acceptor) updateKnownStorage(known MemberStorage) {
	if known.Incarnation <= a.knownStorage[known.Member] {
		return
	}
	a.knownStorage[known.Member] = known.Incarnation
	a.detectNewerStorage(known)
	a.outbox.store(storageEntry(known))
}

// detectNewerStorage marks this member as superseded if another process has its number and later storage.
func (a *acceptor) detectNewerStorage(known MemberStorage) {
	if own := a.config.StorageIncarnation; own != 0 && known.Member == a.config.Self && known.Incarnation > own {
		a.superseded = true
	}
}

// newerStorage returns the known storage of the sender if it is later than the storage that the message comes from. Then either the message
// comes from the sender's previous storage, or the sender created its storage while its clock was behind.
func (a *acceptor) newerStorage(m *Message) []MemberStorage {
	if known := a.knownStorage[m.From]; m.StorageIncarnation < known {
		return []MemberStorage{{m.From, known}}
	}
	return nil
}

// handleAnnounce acknowledges the storage of a peer once its incarnation is synced, or answers with a later incarnation if one is known.
func (a *acceptor) handleAnnounce(m *Message) {
	r := a.newReply(m, MsgAnnounceAck)
	r.Ballot.Claim.Incarnation = m.StorageIncarnation
	if r.KnownStorage = a.newerStorage(m); r.KnownStorage == nil {
		a.updateKnownStorage(MemberStorage{m.From, m.StorageIncarnation})
	}
	a.outbox.sendAfterSync(r)
}

// handleAnnounceAck handles the answer of a peer that knows this member's storage, or later storage with the same member number.
func (a *acceptor) handleAnnounceAck(m *Message) {
	for _, known := range m.KnownStorage {
		a.updateKnownStorage(known)
	}
	if m.Ballot.Claim.Incarnation == a.config.StorageIncarnation && len(m.KnownStorage) == 0 {
		a.recordAcknowledgement(m.From)
	}
}

// recordAcknowledgement records that a peer knows this member's storage.
func (a *acceptor) recordAcknowledgement(m MemberID) {
	announced := a.announcementTo(m)
	if !announced.acknowledged {
		announced.acknowledged = true
		a.acknowledgedPeers++
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

// sendAnnouncements announces this member's storage to the peers that have not acknowledged it.
func (a *acceptor) sendAnnouncements(now float64) {
	if a.acknowledgedPeers >= len(a.peers) {
		return
	}
	for _, m := range a.peers {
		announced := a.announcementTo(m)
		if announced.acknowledged || now < announced.retryAt {
			continue
		}
		announced.backoffMs = a.config.nextBackoff(announced.backoffMs)
		announced.retryAt = now + announced.backoffMs
		a.outbox.send(a.config.newMessage(MsgAnnounce, m))
	}
}

// tickCatchUp requests the next page from each peer. It ends the catch-up when all records of the previous storage must have expired.
func (a *acceptor) tickCatchUp(now float64) {
	if now-a.startedAt > a.config.RetentionMs*(1+maxRelativeClockDrift) {
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
		a.outbox.send(request)
	}
}

func (a *acceptor) finishCatchUp() {
	a.caughtUp = true
	a.outbox.store(CaughtUpEntry(a.config.StorageIncarnation))
}

// handleCatchUp answers a peer with new storage. It first records the peer's storage incarnation. All later votes of this member list it,
// so that votes from the peer's earlier storage no longer count. Only then does the peer get the records that it has to store.
func (a *acceptor) handleCatchUp(now float64, m *Message) {
	if newer := a.newerStorage(m); newer != nil {
		r := a.newReply(m, MsgCatchUpPage)
		r.Restart, r.KnownStorage = true, newer
		a.outbox.sendAfterSync(r)
		return
	}
	a.updateKnownStorage(MemberStorage{m.From, m.StorageIncarnation})
	if !a.caughtUp {
		return
	}
	r := a.newReply(m, MsgCatchUpPage)
	cursor := a.cursorFor(m)
	if cursor == nil {
		r.Restart = true
		a.outbox.sendAfterSync(r)
		return
	}
	r.PromiseFloor = a.ballotCeiling
	r.KnownStorage = a.allKnownStorage()
	end := a.appendPageRecords(now, r, cursor)
	// The ballot has the position of the next page and the storage that the page is for. Without the latter, a late page for the peer's
	// earlier storage could end the catch-up of its current storage too early.
	r.Ballot = Ballot{uint32(end), ClaimID{Incarnation: m.StorageIncarnation}}
	r.More = end < len(cursor.keys)
	a.outbox.sendAfterSync(r)
}

// allKnownStorage returns the known storage of all members, which a member with new storage has to know too.
func (a *acceptor) allKnownStorage() []MemberStorage {
	members := sortedMembers(a.knownStorage)
	members = members[:min(len(members), maxKnownStorage)]
	known := make([]MemberStorage, len(members))
	for i, m := range members {
		known[i] = MemberStorage{m, a.knownStorage[m]}
	}
	return known
}

// appendPageRecords fills a catch-up page with the records from its position on, and returns the position of the next page.
func (a *acceptor) appendPageRecords(now float64, page *Message, cursor *pageCursor) int {
	position, size := int(page.Number), 0
	for ; position < len(cursor.keys) && size < maxPageBytes; position++ {
		key := cursor.keys[position]
		if r := a.records[key]; r != nil {
			page.Records = append(page.Records, r.toVersionedRecord(now, key))
			size += pageRecordBytes + len(r.record.Receipt)
		}
	}
	return position
}

// handleCompare answers with the keys and ballots of the records that this member stores and the sender also has to store.
func (a *acceptor) handleCompare(now float64, m *Message) {
	if !a.caughtUp || a.newerStorage(m) != nil {
		return
	}
	r := a.newReply(m, MsgComparePage)
	r.Ballot.Claim = m.Ballot.Claim
	cursor := a.cursorFor(m)
	if cursor == nil {
		r.Restart = true
		a.outbox.send(r)
		return
	}
	position := int(m.Number)
	for ; position < len(cursor.keys) && len(r.Records) < maxPageKeys; position++ {
		key := cursor.keys[position]
		if stored := a.records[key]; stored != nil && now-stored.retainedFrom < comparedRetentionFraction*a.config.RetentionMs {
			r.Records = append(r.Records, VersionedRecord{Key: key, AcceptedBallot: stored.acceptedBallot})
		}
	}
	r.Ballot.Round, r.More = uint32(position), position < len(cursor.keys)
	a.outbox.send(r)
}

// cursorFor returns the cursor for a page request, and creates one for the first page. It returns nil if the request is for a later page of
// a cursor that does not exist.
func (a *acceptor) cursorFor(m *Message) *pageCursor {
	cursor := a.pageCursors[m.From]
	if m.Number == 0 {
		cursor = &pageCursor{peerStorage: m.StorageIncarnation, requestType: m.Type, keys: a.sharedKeys(m.From)}
		a.pageCursors[m.From] = cursor
		return cursor
	}
	if cursor == nil || cursor.peerStorage != m.StorageIncarnation || cursor.requestType != m.Type || m.Number > uint64(len(cursor.keys)) {
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

// handleCatchUpPage stores the records of a page from a peer. This member does not vote before it has all records, so it may store them as
// if it had accepted them itself.
func (a *acceptor) handleCatchUpPage(now float64, m *Message) {
	c := a.catchUps[m.From]
	if a.caughtUp || c == nil || c.done {
		return
	}
	for _, known := range m.KnownStorage {
		a.updateKnownStorage(known)
	}
	if m.Restart {
		c.position, c.retryAt, c.requestedAt = 0, now, 0
		return
	}
	if m.Number != c.position || m.Ballot.Claim.Incarnation != a.config.StorageIncarnation {
		return
	}
	a.storeNewerRecords(now, m.Records, now-c.requestedAt)
	a.recordAcknowledgement(m.From) // a page for this storage shows that the peer knows it
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
	// If a promise of the previous storage was part of a quorum, then one of the peers that this member catches up with made the same
	// promise. The promised round is not above that peer's ballot ceiling, which the page contains.
	a.raisePromiseFloor(m.PromiseFloor)
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

// storeNewerRecords stores the records of a page that are newer than those stored here. The page took delayMs at most to arrive.
func (a *acceptor) storeNewerRecords(now float64, records []VersionedRecord, delayMs float64) {
	for _, r := range records {
		if !a.config.replicates(r.Key, a.config.Self) {
			continue
		}
		if stored := a.records[r.Key]; stored != nil && !stored.acceptedBallot.less(r.AcceptedBallot) {
			continue
		}
		a.setRecord(now, r, now-r.AgeMs-delayMs, now-r.UnchangedMs)
		a.outbox.store(recordEntry(r.Key, r.AcceptedBallot, r.Record))
	}
}
