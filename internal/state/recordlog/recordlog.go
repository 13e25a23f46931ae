// Package recordlog reads and writes append-only files of checksummed records. Beside such a file is a small one, its sync mark, which
// says how much of the records is known to be synced.
//
// A record after the synced length that cannot be decoded was being written when the process died. Nothing relies on it, and it may be
// truncated. If a record before the synced length cannot be decoded, the disk has lost or changed it, which is reported as ErrCorrupt.
package recordlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// ErrCorrupt says that a file no longer contains the data that was synced to it.
var ErrCorrupt = errors.New("synced data is missing or corrupt")

// Errors in the encoding of a single record. Replay wraps them.
var (
	ErrTruncated = errors.New("truncated record")
	ErrChecksum  = errors.New("record checksum mismatch")
)

// A record is a header and its payload. The header contains, in big endian, the length of the payload, the CRC-32C of kind and payload,
// and the kind.
const (
	checksumOffset = 4
	kindOffset     = 8
	headerSize     = 9
)

// Sizes of the parts of a sync mark, which is a list of numbers followed by their CRC-32C.
const (
	markNumberSize   = 8
	markChecksumSize = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(kind byte, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, payload)
}

// Append appends a record to b and returns the extended slice.
func Append(b []byte, kind byte, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, checksum(kind, payload))
	b = append(b, kind)
	return append(b, payload...)
}

// next decodes the first record of b, which takes size bytes. The payload shares its memory with b.
func next(b []byte) (kind byte, payload []byte, size int, err error) {
	if len(b) < headerSize {
		return 0, nil, 0, ErrTruncated
	}
	length := int(binary.BigEndian.Uint32(b))
	if length > len(b)-headerSize {
		return 0, nil, 0, ErrTruncated
	}
	kind, size = b[kindOffset], headerSize+length
	payload = b[headerSize:size]
	if checksum(kind, payload) != binary.BigEndian.Uint32(b[checksumOffset:]) {
		return 0, nil, 0, ErrChecksum
	}
	return kind, payload, size, nil
}

// Replay calls apply with each record of a file's contents in order, and returns how many bytes the records take. Within the first synced
// bytes, a record that is missing, cannot be decoded or is refused by apply makes Replay return the error together with ErrCorrupt.
// After them, the first such record ends the replay without an error, and the caller may truncate the file to the returned length. The
// name of the file is used only in errors.
func Replay(name string, contents []byte, synced int64, apply func(kind byte, payload []byte) error) (int, error) {
	if int64(len(contents)) < synced {
		return 0, fmt.Errorf("%s has %d bytes, of which %d were synced: %w", name, len(contents), synced, ErrCorrupt)
	}
	offset := 0
	for offset < len(contents) {
		kind, payload, size, err := next(contents[offset:])
		if err == nil {
			err = apply(kind, payload)
		}
		if err != nil {
			if int64(offset) >= synced {
				break
			}
			return 0, fmt.Errorf("%s at byte %d: %w: %w", name, offset, err, ErrCorrupt)
		}
		offset += size
	}
	return offset, nil
}

// WriteSyncMark writes numbers and their checksum to the beginning of f. Callers sync the record file first. WriteSyncMark does not sync
// f, so that after a crash the mark may describe an earlier state of the record file, but never a later one.
func WriteSyncMark(f io.WriterAt, numbers ...uint64) error {
	mark := make([]byte, 0, markNumberSize*len(numbers)+markChecksumSize)
	for _, number := range numbers {
		mark = binary.BigEndian.AppendUint64(mark, number)
	}
	mark = binary.BigEndian.AppendUint32(mark, crc32.Checksum(mark, castagnoli))
	_, err := f.WriteAt(mark, 0)
	return err
}

// ParseSyncMark decodes a sync mark of count numbers. If the mark is empty, as it is until WriteSyncMark is called, all numbers are 0. The
// name of the file is used only in errors.
func ParseSyncMark(name string, mark []byte, count int) ([]uint64, error) {
	numbers := make([]uint64, count)
	if len(mark) == 0 {
		return numbers, nil
	}
	size := markNumberSize * count
	if len(mark) != size+markChecksumSize || crc32.Checksum(mark[:size], castagnoli) != binary.BigEndian.Uint32(mark[size:]) {
		return nil, fmt.Errorf("mark %s: %w", name, ErrCorrupt)
	}
	for i := range numbers {
		numbers[i] = binary.BigEndian.Uint64(mark[markNumberSize*i:])
	}
	return numbers, nil
}
