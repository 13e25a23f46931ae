package replica

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"

	"mintspring/internal/cluster/idempotency"
)

// A snapshot is application state, such as statistics of servers, that a member sends to a member that starts without any. Correctness does
// not depend on it: its datagrams share the socket with the messages of the records, each part is sent once, and lost parts are not
// retransmitted.
//
// A snapshot datagram starts with two bytes of magic, a version byte, the CRC-32C of all bytes after the checksum, and the request ID. A
// part continues with its index, the number of parts, and its data.
const (
	snapshotRequestMagic   = "mg"
	snapshotPartMagic      = "mp"
	snapshotVersion        = 1
	snapshotVersionOffset  = 2
	snapshotChecksumOffset = 3
	snapshotNumberOffset   = 7
	snapshotHeaderSize     = 15
	snapshotPartHeaderSize = 4
)

const (
	maxPartBytes = 32 << 10
	maxParts     = 32
	// fetchPeerTimeout is how long FetchSnapshot waits for one member before it asks the next.
	fetchPeerTimeout = 200 * time.Millisecond
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// snapshotDatagram is a request for a snapshot, or one part of a snapshot.
type snapshotDatagram struct {
	magic     string
	requestID uint64
	body      []byte
}

func (d snapshotDatagram) encode() []byte {
	b := append([]byte(d.magic), snapshotVersion, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, d.requestID)
	b = append(b, d.body...)
	binary.BigEndian.PutUint32(b[snapshotChecksumOffset:], crc32.Checksum(b[snapshotNumberOffset:], castagnoli))
	return b
}

// decodeSnapshotDatagram returns false if b is not a valid snapshot datagram.
func decodeSnapshotDatagram(b []byte) (snapshotDatagram, bool) {
	if len(b) < snapshotHeaderSize || b[snapshotVersionOffset] != snapshotVersion {
		return snapshotDatagram{}, false
	}
	magic := string(b[:snapshotVersionOffset])
	if magic != snapshotRequestMagic && magic != snapshotPartMagic {
		return snapshotDatagram{}, false
	}
	if crc32.Checksum(b[snapshotNumberOffset:], castagnoli) != binary.BigEndian.Uint32(b[snapshotChecksumOffset:]) {
		return snapshotDatagram{}, false
	}
	return snapshotDatagram{magic, binary.BigEndian.Uint64(b[snapshotNumberOffset:]), b[snapshotHeaderSize:]}, true
}

// snapshotPart is one of the parts into which a snapshot is split.
type snapshotPart struct {
	index, count int
	data         []byte
}

func (p snapshotPart) encode() []byte {
	b := binary.BigEndian.AppendUint16(nil, uint16(p.index))
	b = binary.BigEndian.AppendUint16(b, uint16(p.count))
	return append(b, p.data...)
}

func decodeSnapshotPart(b []byte) (snapshotPart, bool) {
	if len(b) < snapshotPartHeaderSize {
		return snapshotPart{}, false
	}
	p := snapshotPart{
		index: int(binary.BigEndian.Uint16(b)),
		count: int(binary.BigEndian.Uint16(b[2:])),
		data:  b[snapshotPartHeaderSize:],
	}
	return p, p.index < p.count && p.count <= maxParts
}

// snapshotFetch is a request for a snapshot and the parts received so far.
type snapshotFetch struct {
	requestID uint64
	parts     [][]byte
	received  int
	complete  chan []byte // receives the whole snapshot; buffered, so that the sender never blocks
}

// addPart adds a received part and reports whether the snapshot is complete. Duplicates, and parts with a different count of parts, are
// ignored.
func (f *snapshotFetch) addPart(p snapshotPart) bool {
	if f.parts == nil {
		f.parts = make([][]byte, p.count)
	}
	if p.count != len(f.parts) || f.parts[p.index] != nil {
		return false
	}
	f.parts[p.index] = p.data
	f.received++
	if f.received < p.count {
		return false
	}
	f.complete <- slices.Concat(f.parts...)
	return true
}

func (r *Replica) handleSnapshotDatagram(from idempotency.MemberID, d snapshotDatagram) {
	if d.magic == snapshotRequestMagic {
		r.startSendingSnapshot(from, d.requestID)
		return
	}
	f := r.snapshotFetch
	if f == nil || f.requestID != d.requestID {
		return
	}
	if p, ok := decodeSnapshotPart(d.body); ok && f.addPart(p) {
		r.snapshotFetch = nil
	}
}

// startSendingSnapshot sends this member's snapshot to another member on a separate goroutine, as Config.Snapshot may be slow. Requests
// that arrive while a snapshot is being sent are dropped.
func (r *Replica) startSendingSnapshot(to idempotency.MemberID, requestID uint64) {
	if r.config.Snapshot == nil || !r.sendingSnapshot.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.sendingSnapshot.Store(false)
		r.sendSnapshot(to, requestID)
	}()
}

func (r *Replica) sendSnapshot(to idempotency.MemberID, requestID uint64) {
	chunks := slices.Collect(slices.Chunk(r.config.Snapshot(), maxPartBytes))
	if len(chunks) > maxParts {
		return
	}
	for i, chunk := range chunks {
		part := snapshotPart{index: i, count: len(chunks), data: chunk}
		r.sendDatagram(snapshotDatagram{snapshotPartMagic, requestID, part.encode()}.encode(), to)
	}
}

// FetchSnapshot requests a snapshot from the other members, one after another, until it has received one or the timeout expires. It returns
// false if it received none.
func (r *Replica) FetchSnapshot(timeout time.Duration) ([]byte, bool) {
	members := len(r.memberAddrs)
	deadline := time.Now().Add(timeout)
	for attempt := 1; time.Now().Before(deadline) && members > 1; attempt++ {
		to := (int(r.config.Core.Self) + attempt) % members
		if to == int(r.config.Core.Self) {
			continue
		}
		f := &snapshotFetch{requestID: uint64(r.config.Core.Incarnation) + uint64(attempt), complete: make(chan []byte, 1)}
		r.enqueue(func(float64) {
			r.snapshotFetch = f
			r.sendDatagram(snapshotDatagram{magic: snapshotRequestMagic, requestID: f.requestID}.encode(), idempotency.MemberID(to))
		})
		select {
		case snapshot := <-f.complete:
			return snapshot, true
		case <-r.done:
			return nil, false
		case <-time.After(min(fetchPeerTimeout, time.Until(deadline))):
		}
	}
	return nil, false
}
