package idempotency

// outbox collects messages to send and entries to store until Core.Ready takes them.
type outbox struct {
	messages          []*Message // may be sent at once
	messagesAfterSync []*Message // may be sent once the entries, and those before them, are synced
	entries           [][]byte
}

func (o *outbox) send(m *Message)          { o.messages = append(o.messages, m) }
func (o *outbox) sendAfterSync(m *Message) { o.messagesAfterSync = append(o.messagesAfterSync, m) }
func (o *outbox) store(entry []byte)       { o.entries = append(o.entries, entry) }

// Ready is a batch of messages to send and entries to sync. Batches are synced in order.
type Ready struct {
	Messages          []*Message // to send at once
	Entries           [][]byte   // to append to the data directory and sync
	MessagesAfterSync []*Message // to send once Entries, and those of all batches before, are synced

	ballotCeiling uint32 // the ballot ceiling that the entries store
	batch         uint64 // number of the batch
}

// NothingToSync reports whether the batch has no entries and no messages that wait for a sync.
func (r *Ready) NothingToSync() bool { return len(r.Entries) == 0 && len(r.MessagesAfterSync) == 0 }
