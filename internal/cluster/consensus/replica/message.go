package replica

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"mintspring/internal/cluster/consensus"
	"mintspring/internal/cluster/lease"
)

// The first byte of a datagram is its kind. In a consensus datagram, a message encoded by consensus.EncodeMessage follows, which includes a checksum.
// A fragment has a header and a part of such a message. In all other datagrams, the CRC-32C of kind and body follows, big-endian, and then the body: the type named beside the kind, as JSON.
const (
	kindConsensus        = 'R'
	kindFragment         = 'F' // see fragment.go
	kindCommand          = 'C' // commandMessage
	kindResult           = 'A' // resultMessage
	kindReplaceReplica   = 'T' // consensus.ReplicaID
	kindChangeMembership = 'V' // membershipMessage
)

const (
	headerSize        = 5          // bytes before the body of a datagram: kind and checksum
	maxDatagramSize   = 60 << 10   // bytes; larger consensus messages are sent in fragments
	socketBufferBytes = 1024 << 10 // receive buffer of the socket in the kernel
)

var errChecksum = errors.New("datagram has a wrong checksum")

// commandMessage is a command of a client.
type commandMessage struct {
	RequestID uint64        `json:"no"`
	Command   lease.Command `json:"command"`
}

// resultMessage is the response to a command.
type resultMessage struct {
	RequestID   uint64       `json:"no"`
	Incarnation uint64       `json:"life"` // incarnation of the client that sent the command
	Result      lease.Result `json:"result"`
}

// membershipMessage adds a replica to the group or removes one.
type membershipMessage struct {
	ID     consensus.ReplicaID `json:"id"`
	Remove bool                `json:"drop"`
}

// encodeDatagram returns a datagram whose body is the message as JSON. The datagram has a checksum, because a flipped bit in a result could make it
// look like a grant with a later token.
func encodeDatagram(kind byte, message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode datagram of kind %q: %w", kind, err)
	}
	b := append([]byte{kind, 0, 0, 0, 0}, body...)
	binary.BigEndian.PutUint32(b[1:], checksum(kind, body))
	return b, nil
}

// decodeDatagram decodes the body of a datagram into a message.
func decodeDatagram(b []byte, message any) error {
	if len(b) < headerSize || binary.BigEndian.Uint32(b[1:]) != checksum(b[0], b[headerSize:]) {
		return errChecksum
	}
	if err := json.Unmarshal(b[headerSize:], message); err != nil {
		return fmt.Errorf("decode datagram of kind %q: %w", b[0], err)
	}
	return nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(kind byte, body []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, body)
}
