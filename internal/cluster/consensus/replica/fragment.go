package replica

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"
)

// A consensus message that does not fit into one datagram is sent in fragments: kind, number of the message, index of the fragment, number of
// fragments, all big-endian, and then bytes of the message. The message has a checksum of its own. If a fragment is lost, so is the message.
const (
	fragmentHeaderSize = 9 // kind, message number (4 bytes), index and number of fragments (2 bytes each)
	fragmentSize       = maxDatagramSize - fragmentHeaderSize
	maxFragments       = 1024
	// fragmentInterval is the pause between two fragments, so that they do not fill the receiver's socket buffer.
	fragmentInterval = time.Millisecond
	// maxPartialMessages is the number of senders whose fragments are kept. A group has no more replicas.
	maxPartialMessages = 16
)

var errMessageTooLarge = errors.New("consensus message too large to be sent")

// splitMessage returns the fragments of an encoded message.
func splitMessage(number uint32, message []byte) ([][]byte, error) {
	count := (len(message) + fragmentSize - 1) / fragmentSize
	if count > maxFragments {
		return nil, errMessageTooLarge
	}
	fragments := make([][]byte, 0, count)
	for i := range count {
		b := make([]byte, 0, maxDatagramSize)
		b = append(b, kindFragment)
		b = binary.BigEndian.AppendUint32(b, number)
		b = binary.BigEndian.AppendUint16(b, uint16(i))
		b = binary.BigEndian.AppendUint16(b, uint16(count))
		from := i * fragmentSize
		fragments = append(fragments, append(b, message[from:min(from+fragmentSize, len(message))]...))
	}
	return fragments, nil
}

// partialMessage holds the fragments of one message that have arrived.
type partialMessage struct {
	number    uint32
	fragments [][]byte // nil: missing
	missing   int
}

// assembler puts messages together from their fragments. It keeps one message for each sender, the last one of which a fragment arrived.
type assembler struct {
	partial map[netip.AddrPort]*partialMessage
}

// add adds a fragment. It returns the message once all its fragments have arrived, and nil before.
func (a *assembler) add(from netip.AddrPort, datagram []byte) []byte {
	if len(datagram) < fragmentHeaderSize {
		return nil
	}
	number := binary.BigEndian.Uint32(datagram[1:])
	index, count := int(binary.BigEndian.Uint16(datagram[5:])), int(binary.BigEndian.Uint16(datagram[7:]))
	if index >= count || count > maxFragments {
		return nil
	}
	message := a.partial[from]
	if message == nil || message.number != number || len(message.fragments) != count {
		message = a.begin(from, number, count)
	}
	if message.fragments[index] != nil {
		return nil // a duplicate
	}
	message.fragments[index] = datagram[fragmentHeaderSize:]
	message.missing--
	if message.missing > 0 {
		return nil
	}
	delete(a.partial, from)
	return message.join()
}

// begin drops the fragments of an earlier message of the sender.
func (a *assembler) begin(from netip.AddrPort, number uint32, count int) *partialMessage {
	if a.partial == nil || len(a.partial) >= maxPartialMessages {
		a.partial = map[netip.AddrPort]*partialMessage{} // the protocol handles what is dropped like lost datagrams
	}
	message := &partialMessage{number: number, fragments: make([][]byte, count), missing: count}
	a.partial[from] = message
	return message
}

func (m *partialMessage) join() []byte {
	var message []byte
	for _, fragment := range m.fragments {
		message = append(message, fragment...)
	}
	return message
}

// sendFragments sends a message in fragments, with pauses, in a goroutine that ends with the last one. While it sends a message to a replica,
// further large messages to this replica are dropped.
func (r *Replica) sendFragments(message []byte, to netip.AddrPort) {
	r.fragmentsMu.Lock()
	defer r.fragmentsMu.Unlock()
	if r.sendingFragments[to] {
		return
	}
	r.lastMessageNumber++
	fragments, err := splitMessage(r.lastMessageNumber, message)
	if err != nil {
		r.log.WithError(err).WithField("bytes", len(message)).Error("a replica that needs this message cannot catch up")
		return
	}
	if r.sendingFragments == nil {
		r.sendingFragments = map[netip.AddrPort]bool{}
	}
	r.sendingFragments[to] = true
	go r.writeFragments(fragments, to)
}

func (r *Replica) writeFragments(fragments [][]byte, to netip.AddrPort) {
	defer func() {
		r.fragmentsMu.Lock()
		defer r.fragmentsMu.Unlock()
		delete(r.sendingFragments, to)
	}()
	for _, fragment := range fragments {
		r.send(fragment, to)
		time.Sleep(fragmentInterval)
	}
}
