package idempotency

// Core is one member of the fleet, without its sockets and files.
type Core struct {
	config      Config
	out         outbox
	counts      Counts
	acceptor    *acceptor
	proposer    *proposer
	antiEntropy *antiEntropy
}

// Result is the end of a claim or a settlement.
type Result struct {
	Number       uint64 // that it was proposed with
	IsSettlement bool   // it is of a settlement, not of a claim
	Decision     Decision
	WaitMs       float64 // of DecisionWait: when the other claim is over at the latest
	Receipt      []byte  // of DecisionReplay
	DurationMs   float64
}

// New returns a member with what its data directory holds. nil: an empty one.
func New(now float64, config Config, stored *StoredState) *Core {
	if stored == nil {
		stored = NewStoredState()
	}
	c := &Core{config: config.withHashes()}
	c.acceptor = newAcceptor(now, &c.config, &c.out, stored)
	c.antiEntropy = newAntiEntropy(&c.config, &c.out, c.acceptor)
	c.proposer = newProposer(&c.config, &c.out, &c.counts, c.antiEntropy.repaired)
	c.antiEntropy.proposer = c.proposer
	return c
}

// Claim proposes a claim of a key. Its result is there by the deadline at the latest. A number is used once by each process.
func (c *Core) Claim(now float64, number uint64, key Key, options ClaimOptions, deadline float64) {
	c.proposer.claim(now, number, key, options, deadline)
}

// Settle proposes the outcome of a granted claim, by its number. The receipt is of OutcomeCompleted, nil if there is none; one above MaxReceiptBytes
// is not kept. The result says whether the outcome is recorded.
func (c *Core) Settle(now float64, number uint64, outcome Outcome, receipt []byte, deadline float64) {
	s := settlement{outcome: outcome}
	if receipt != nil && len(receipt) <= c.config.MaxReceiptBytes {
		s.hasReceipt, s.receipt = true, receipt
	}
	c.proposer.settle(now, number, s, deadline)
}

// ReceiveDatagram takes in a datagram.
func (c *Core) ReceiveDatagram(now float64, b []byte) {
	m, err := ParseMessage(b)
	if err != nil {
		c.CountCorruptDatagram()
		return
	}
	c.Receive(now, m)
}

// CountCorruptDatagram counts a datagram that could not be decoded.
func (c *Core) CountCorruptDatagram() { c.counts.CorruptDatagrams++ }

// Receive takes in a message, also one of this member to itself.
func (c *Core) Receive(now float64, m *Message) {
	if m.To != c.config.Self {
		return
	}
	c.counts.ReceivedMessages++
	if !c.config.sharesReplicaSet(m.ReplicaSets) {
		c.counts.ForeignReplicaSets++
		return
	}
	switch m.Type {
	case MsgPrepare, MsgAccept, MsgCatchUp, MsgCompare, MsgAnnounce:
		c.acceptor.handleRequest(now, m)
	case MsgCatchUpPage:
		c.acceptor.handleCatchUpPage(now, m)
	case MsgComparePage:
		c.antiEntropy.handleComparePage(now, m)
	case MsgAnnounceAck:
		c.acceptor.handleAnnounceAck(m)
	case MsgPromise, MsgAccepted, MsgRejected:
		for _, known := range m.KnownStorage {
			c.acceptor.detectNewerStorage(known)
		}
		c.proposer.handleReply(now, m)
	}
}

// Tick does what is due at a time. It has to be called several times in RetryIntervalMs.
func (c *Core) Tick(now float64) {
	c.proposer.tick(now)
	c.acceptor.tick(now)
	c.antiEntropy.tick(now)
}

// Ready returns what is to be sent and synced since the last call.
func (c *Core) Ready() Ready {
	r := Ready{
		Messages:          c.out.messages,
		Entries:           c.out.entries,
		MessagesAfterSync: c.out.messagesAfterSync,
		ceiling:           c.acceptor.ballotCeiling,
		number:            c.acceptor.batch,
	}
	c.out = outbox{}
	c.acceptor.batch++
	return r
}

// Advance says that the entries of a batch, and those of all before it, are synced.
func (c *Core) Advance(r Ready) {
	c.acceptor.syncedCeiling = max(c.acceptor.syncedCeiling, r.ceiling)
	c.acceptor.syncedBatch = max(c.acceptor.syncedBatch, r.number)
}

// TakeResults returns what has ended since the last call.
func (c *Core) TakeResults() []Result {
	results := c.proposer.results
	c.proposer.results = nil
	return results
}

// FileHeader returns the entries which each file of the data directory begins with.
func (c *Core) FileHeader() [][]byte { return c.acceptor.fileHeader() }

// RecordEntries returns all stored records as entries, for files that are written again.
func (c *Core) RecordEntries() [][]byte {
	entries := make([][]byte, 0, len(c.acceptor.records))
	for _, key := range c.Keys() {
		r := c.acceptor.records[key]
		entries = append(entries, recordEntry(key, r.accepted, r.record))
	}
	return entries
}

// Keys returns the keys of all stored records, in order.
func (c *Core) Keys() []Key { return sortedKeys(c.acceptor.records) }

// Record returns the stored record of a key, without its ages.
func (c *Core) Record(key Key) (VersionedRecord, bool) {
	r, ok := c.acceptor.records[key]
	if !ok {
		return VersionedRecord{}, false
	}
	return VersionedRecord{Key: key, AcceptedBallot: r.accepted, Record: r.record}, true
}

// FailStorage says that the storage has failed: this member stores and promises nothing more, and goes on as a proposer.
func (c *Core) FailStorage() { c.acceptor.storageFailed = true }

// RestoreStorage says that the storage works again and holds, synced, the header and all records as they were when a batch was taken.
func (c *Core) RestoreStorage(r Ready) {
	c.Advance(r)
	c.acceptor.storageFailed = false
}

// NewerStorage returns the later storage incarnation under this member's number, 0 if none is known. If this member's own storage has never served,
// the clock was behind when it was made, and it may take a later incarnation; otherwise another process uses the number.
func (c *Core) NewerStorage() (latest StorageIncarnation, neverServed bool) {
	if !c.acceptor.superseded {
		return 0, false
	}
	return c.acceptor.knownStorage[c.config.Self], !c.acceptor.caughtUp
}

// CaughtUp reports whether this member has all records that it has to store.
func (c *Core) CaughtUp() bool { return c.acceptor.caughtUp }

// Busy reports whether a claim or a settlement has not ended. What a member proposes by itself does not count: it can be done at any other time.
func (c *Core) Busy() bool {
	for _, p := range c.proposer.proposals {
		if p.kind != repairProposal && !p.internal {
			return true
		}
	}
	return false
}
