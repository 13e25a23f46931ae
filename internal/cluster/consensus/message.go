package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// checksumSize is the size in bytes of the CRC-32C that precedes an encoded message.
const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors for received messages. The replica drops the message and continues.
var (
	ErrChecksum     = errors.New("message has a wrong checksum")
	ErrWrongReplica = errors.New("message is not addressed to this replica, or claims to come from it")
)

// EncodeMessage returns the wire form of a message: the CRC-32C of its protobuf encoding, big-endian, followed by that encoding.
func EncodeMessage(m *pb.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, checksumSize), m)
	if err != nil {
		return nil, fmt.Errorf("encode consensus message: %w", err)
	}
	binary.BigEndian.PutUint32(b, crc32.Checksum(b[checksumSize:], castagnoli))
	return b, nil
}

// decodeMessage decodes a message that EncodeMessage encoded.
func decodeMessage(b []byte) (*pb.Message, error) {
	if len(b) < checksumSize || crc32.Checksum(b[checksumSize:], castagnoli) != binary.BigEndian.Uint32(b) {
		return nil, ErrChecksum
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(b[checksumSize:], m); err != nil {
		return nil, fmt.Errorf("decode consensus message: %w", err)
	}
	return m, nil
}
