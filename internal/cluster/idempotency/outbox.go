package idempotency

// outbox collects what a member wants sent and stored until Core.Ready takes it.
type outbox struct {
	messages          []*Message // may be sent at once
	messagesAfterSync []*Message // may be sent once the entries, and those before them, are synced
	entries           [][]byte
}

func (o *outbox) send(m *Message)          { o.messages = append(o.messages, m) }
func (o *outbox) sendAfterSync(m *Message) { o.messagesAfterSync = append(o.messagesAfterSync, m) }
func (o *outbox) store(entry []byte)       { o.entries = append(o.entries, entry) }

// Ready is what a member wants done. Batches are synced in their order.
type Ready struct {
	Messages          []*Message // to send at once
	Entries           [][]byte   // to append to the data directory and sync
	MessagesAfterSync []*Message // to send once Entries, and those of all batches before, are synced

	ceiling uint32 // the ballot ceiling that the entries store
	number  uint64 // of the batch
}

// NothingToSync reports whether there is nothing to sync and nothing that waits for it.
func (r *Ready) NothingToSync() bool { return len(r.Entries) == 0 && len(r.MessagesAfterSync) == 0 }
