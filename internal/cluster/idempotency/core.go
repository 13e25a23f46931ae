package idempotency

// Core is one member of the fleet, without its sockets and files.
type Core struct {
	config      Config
	outbox      outbox
	counts      Counts
	acceptor    *acceptor
	proposer    *proposer
	antiEntropy *antiEntropy
}

// Result reports how the proposal of a claim or a settlement ended.
type Result struct {
	Number       uint64 // of the claim
	IsSettlement bool   // false: the result of a claim
	Decision     Decision
	WaitMs       float64 // with DecisionWait: remaining timeout of the claim in flight
	Receipt      []byte  // with DecisionReplay
	DurationMs   float64
}

// New returns a member with the contents of its data directory; nil means an empty one.
func New(now float64, config Config, stored *StoredState) *Core {
	if stored == nil {
		stored = NewStoredState()
	}
	c := &Core{config: config.withHashes()}
	c.acceptor = newAcceptor(now, &c.config, &c.outbox, stored)
	c.antiEntropy = newAntiEntropy(&c.config, &c.outbox, c.acceptor)
	c.proposer = newProposer(&c.config, &c.outbox, &c.counts, c.antiEntropy.repairFinished)
	c.antiEntropy.proposer = c.proposer
	return c
}

// Claim proposes to claim a key. Its result is available by the deadline. Each process may use a number only once.
func (c *Core) Claim(now float64, number uint64, key Key, options ClaimOptions, deadline float64) {
	c.proposer.claim(now, number, key, options, deadline)
}

// Settle proposes to record the outcome of the granted claim with this number. The receipt is stored only if the outcome is
// OutcomeCompleted and the receipt is neither nil nor larger than MaxReceiptBytes. The result is DecisionGranted if the outcome is recorded.
func (c *Core) Settle(now float64, number uint64, outcome Outcome, receipt []byte, deadline float64) {
	s := settlement{outcome: outcome}
	if receipt != nil && len(receipt) <= c.config.MaxReceiptBytes {
		s.hasReceipt, s.receipt = true, receipt
	}
	c.proposer.settle(now, number, s, deadline)
}

// ReceiveDatagram decodes and handles a datagram.
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

// Receive handles a message, which may come from this member itself.
func (c *Core) Receive(now float64, m *Message) {
	if m.To != c.config.Self {
		return
	}
	c.counts.ReceivedMessages++
	if !c.config.sharesReplicaSet(m.ReplicaSetHashes) {
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

// Tick does the work that is due. It has to be called several times per RetryIntervalMs.
func (c *Core) Tick(now float64) {
	c.proposer.tick(now)
	c.acceptor.tick(now)
	c.antiEntropy.tick(now)
}

// Ready returns the messages to send and the entries to sync that have accumulated since the last call.
func (c *Core) Ready() Ready {
	r := Ready{
		Messages:          c.outbox.messages,
		Entries:           c.outbox.entries,
		MessagesAfterSync: c.outbox.messagesAfterSync,
		ballotCeiling:     c.acceptor.ballotCeiling,
		batch:             c.acceptor.batch,
	}
	c.outbox = outbox{}
	c.acceptor.batch++
	return r
}

// Advance reports that the entries of a batch and of all earlier ones are synced.
func (c *Core) Advance(r Ready) {
	c.acceptor.syncedCeiling = max(c.acceptor.syncedCeiling, r.ballotCeiling)
	c.acceptor.syncedBatch = max(c.acceptor.syncedBatch, r.batch)
}

// TakeResults returns the results since the last call.
func (c *Core) TakeResults() []Result {
	results := c.proposer.results
	c.proposer.results = nil
	return results
}

// FileHeader returns the entries at the beginning of each file of the data directory.
func (c *Core) FileHeader() [][]byte { return c.acceptor.fileHeader() }

// RecordEntries returns all stored records as entries, for rewriting the data directory.
func (c *Core) RecordEntries() [][]byte {
	entries := make([][]byte, 0, len(c.acceptor.records))
	for _, key := range c.Keys() {
		r := c.acceptor.records[key]
		entries = append(entries, recordEntry(key, r.acceptedBallot, r.record))
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
	return VersionedRecord{Key: key, AcceptedBallot: r.acceptedBallot, Record: r.record}, true
}

// FailStorage reports that the storage has failed. From then on this member stores and promises nothing, but still proposes.
func (c *Core) FailStorage() { c.acceptor.storageFailed = true }

// RestoreStorage reports that the storage works again, and that the file header and all records as of this batch are synced.
func (c *Core) RestoreStorage(r Ready) {
	c.Advance(r)
	c.acceptor.storageFailed = false
}

// NewerStorage returns the latest storage incarnation that is known under this member's number, or 0 if it is not later than this member's
// own. If this member's storage has never served, the clock was behind when that storage was created, and it may take a later
// incarnation. Otherwise another process uses the number.
func (c *Core) NewerStorage() (latest StorageIncarnation, neverServed bool) {
	if !c.acceptor.superseded {
		return 0, false
	}
	return c.acceptor.knownStorage[c.config.Self], !c.acceptor.caughtUp
}

// CaughtUp reports whether this member has all records that it has to store.
func (c *Core) CaughtUp() bool { return c.acceptor.caughtUp }

// Busy reports whether a claim or a settlement is pending. Repairs and releases do not count: they can be done at any other time.
func (c *Core) Busy() bool {
	for _, p := range c.proposer.proposals {
		if p.kind != repairProposal && !p.isRelease {
			return true
		}
	}
	return false
}
