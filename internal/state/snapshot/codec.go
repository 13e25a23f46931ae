package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc64"
	"math"

	"mintspring/internal/fleet"
)

// Version is the version of the binary form. Parse refuses all others; the node then starts without a snapshot, which is always
// safe.
const Version = 2

// Limits of the binary form. Parse refuses a snapshot that exceeds them before it allocates memory for the excess.
const (
	maxServers   = 4096
	maxKeys      = 4096
	maxNameBytes = 256
	MaxBytes     = 1 << 20
)

// Errors that Parse wraps.
var (
	ErrVersion = errors.New("unsupported snapshot version")
	ErrCorrupt = errors.New("corrupt snapshot")
)

// The header: 4 bytes of magic, 4 of version, 8 of body length, 8 of checksum; integers are little-endian.
const (
	versionOffset  = 4
	lengthOffset   = 8
	checksumOffset = 16
	headerLen      = 24
)

var (
	magic    = [4]byte{'m', 's', 'l', 't'}
	crcTable = crc64.MakeTable(crc64.ECMA)
)

// maxValue limits each number in a snapshot; no node writes a greater one.
const maxValue = 1e15

// Append appends the binary form of the snapshot to b. Servers and keys beyond the limits are dropped, so callers list the most
// used ones first.
func Append(b []byte, s *State) []byte {
	start := len(b)
	b = append(b, make([]byte, headerLen)...)
	w := writer{b}
	w.f64(s.TakenAt)
	w.u64(s.PolicyFingerprint)
	w.text(s.Node)
	w.text(s.Zone)
	servers := s.Servers[:min(len(s.Servers), maxServers)]
	w.u32(uint32(len(servers)))
	for i := range servers {
		w.text(servers[i].Name)
		for _, value := range serverFields(&servers[i].ServerSnapshot) {
			w.f64(*value)
		}
	}
	for _, value := range globalFields(&s.Global) {
		w.f64(*value)
	}
	keys := s.Global.Keys[:min(len(s.Global.Keys), maxKeys)]
	w.u32(uint32(len(keys)))
	for _, key := range keys {
		w.u32(uint32(key.Bucket))
		w.f64(key.Count)
	}
	b = w.buf
	header, body := b[start:start+headerLen], b[start+headerLen:]
	copy(header, magic[:])
	binary.LittleEndian.PutUint32(header[versionOffset:], Version)
	binary.LittleEndian.PutUint64(header[lengthOffset:], uint64(len(body)))
	binary.LittleEndian.PutUint64(header[checksumOffset:], checksum(header[:checksumOffset], body))
	return b
}

// checksum covers the header as well, so that Parse detects every change of a single bit.
func checksum(header, body []byte) uint64 {
	return crc64.Update(crc64.Checksum(header, crcTable), crcTable, body)
}

// Parse decodes the binary form. Its errors wrap ErrVersion or ErrCorrupt. It checks each encoded length against the bytes that
// are present before it uses the length.
func Parse(b []byte) (*State, error) {
	body, err := parseHeader(b)
	if err != nil {
		return nil, err
	}
	r := reader{buf: body}
	s := &State{TakenAt: r.f64(), PolicyFingerprint: r.u64(), Node: r.text(), Zone: r.text()}
	for range r.count(maxServers) {
		server := Server{Name: r.text()}
		for _, value := range serverFields(&server.ServerSnapshot) {
			*value = r.f64()
		}
		if s.Servers = append(s.Servers, server); r.failed {
			break
		}
	}
	for _, value := range globalFields(&s.Global) {
		*value = r.f64()
	}
	for range r.count(maxKeys) {
		key := fleet.KeyCount{Bucket: int32(r.u32()), Count: r.f64()}
		if s.Global.Keys = append(s.Global.Keys, key); r.failed {
			break
		}
	}
	if r.failed || len(r.buf) > 0 {
		return nil, fmt.Errorf("%w: body length does not match its contents", ErrCorrupt)
	}
	return s, s.validate()
}

// parseHeader checks magic, version, length and checksum, and returns the body.
func parseHeader(b []byte) (body []byte, err error) {
	switch {
	case len(b) < headerLen || [4]byte(b[:len(magic)]) != magic:
		return nil, fmt.Errorf("%w: not a snapshot file", ErrCorrupt)
	case len(b) > MaxBytes:
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrCorrupt, MaxBytes)
	}
	body = b[headerLen:]
	if v := binary.LittleEndian.Uint32(b[versionOffset:]); v != Version {
		return nil, fmt.Errorf("%w: %d, this program writes %d", ErrVersion, v, Version)
	}
	if n := binary.LittleEndian.Uint64(b[lengthOffset:]); n != uint64(len(body)) {
		return nil, fmt.Errorf("%w: body of %d bytes, the header says %d", ErrCorrupt, len(body), n)
	}
	if checksum(b[:checksumOffset], body) != binary.LittleEndian.Uint64(b[checksumOffset:]) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	return body, nil
}

// validate refuses numbers that no node writes, because a checksum does not protect against a faulty writer.
func (s *State) validate() error {
	values := append(globalFields(&s.Global), &s.TakenAt)
	for i := range s.Servers {
		values = append(values, serverFields(&s.Servers[i].ServerSnapshot)...)
	}
	for i := range s.Global.Keys {
		values = append(values, &s.Global.Keys[i].Count)
	}
	for _, value := range values {
		if math.IsNaN(*value) || math.IsInf(*value, 0) || *value < 0 || *value > maxValue {
			return fmt.Errorf("%w: value %v is out of range", ErrCorrupt, *value)
		}
	}
	return nil
}

// serverFields returns the fields of a server in the order of the binary form.
func serverFields(s *fleet.ServerSnapshot) []*float64 {
	return []*float64{
		&s.StartedAt, &s.ShedArcShare, &s.AdjustmentStep, &s.TimePerQueued, &s.ResponseTime, &s.RequestsAhead,
		&s.Failures, &s.Backoff, &s.HitRatio, &s.QueuePeak, &s.LastResponseAt,
	}
}

// globalFields returns the fields that are not specific to a server, in the order of the binary form.
func globalFields(s *fleet.Snapshot) []*float64 {
	return []*float64{&s.OriginWindow, &s.OriginResponseTime, &s.Util, &s.ZoneShare, &s.KeySum}
}

// writer appends little-endian values.
type writer struct{ buf []byte }

func (w *writer) u32(x uint32)  { w.buf = binary.LittleEndian.AppendUint32(w.buf, x) }
func (w *writer) u64(x uint64)  { w.buf = binary.LittleEndian.AppendUint64(w.buf, x) }
func (w *writer) f64(x float64) { w.u64(math.Float64bits(x)) }

func (w *writer) text(s string) {
	s = s[:min(len(s), maxNameBytes)]
	w.u32(uint32(len(s)))
	w.buf = append(w.buf, s...)
}

// reader decodes little-endian values from the front of buf. When a value exceeds buf or a limit, failed is set, and this value
// and all later ones are zero.
type reader struct {
	buf    []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if r.failed || n < 0 || n > len(r.buf) {
		r.failed = true
		return make([]byte, min(max(n, 0), maxNameBytes))
	}
	taken := r.buf[:n]
	r.buf = r.buf[n:]
	return taken
}

func (r *reader) u32() uint32  { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64  { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) f64() float64 { return math.Float64frombits(r.u64()) }

func (r *reader) text() string {
	n := r.u32()
	if n > maxNameBytes {
		r.failed = true
		return ""
	}
	return string(r.take(int(n)))
}

// count reads the number of elements that follow, at most limit.
func (r *reader) count(limit int) int {
	n := r.u32()
	if n > uint32(limit) {
		r.failed = true
		return 0
	}
	return int(n)
}
