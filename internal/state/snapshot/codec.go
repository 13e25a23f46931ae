package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc64"
	"math"

	"mintspring/internal/fleet"
)

// Version is the version of the binary form. Parse refuses every other one; the node then learns anew, which is always safe.
const Version = 2

// Limits of the binary form. Parse refuses what exceeds them, before it allocates memory for it.
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

// maxFigure bounds each figure of a snapshot; no node writes greater ones.
const maxFigure = 1e15

// Append appends the binary form of the snapshot to b. Servers and keys beyond the limits are dropped; the caller lists
// those used most first.
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
		for _, figure := range serverFields(&servers[i].ServerSnapshot) {
			w.f64(*figure)
		}
	}
	for _, figure := range globalFields(&s.Global) {
		w.f64(*figure)
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

// checksum covers the header as well, so that no change of a single bit goes unnoticed.
func checksum(header, body []byte) uint64 {
	return crc64.Update(crc64.Checksum(header, crcTable), crcTable, body)
}

// Parse reads the binary form. Its errors wrap ErrVersion or ErrCorrupt. No length in it is relied on before the bytes are
// there.
func Parse(b []byte) (*State, error) {
	body, err := parseHeader(b)
	if err != nil {
		return nil, err
	}
	r := reader{buf: body}
	s := &State{TakenAt: r.f64(), PolicyFingerprint: r.u64(), Node: r.text(), Zone: r.text()}
	for range r.count(maxServers) {
		server := Server{Name: r.text()}
		for _, figure := range serverFields(&server.ServerSnapshot) {
			*figure = r.f64()
		}
		if s.Servers = append(s.Servers, server); r.failed {
			break
		}
	}
	for _, figure := range globalFields(&s.Global) {
		*figure = r.f64()
	}
	for range r.count(maxKeys) {
		key := fleet.KeyCount{Bucket: int32(r.u32()), Count: r.f64()}
		if s.Global.Keys = append(s.Global.Keys, key); r.failed {
			break
		}
	}
	if r.failed || len(r.buf) > 0 {
		return nil, fmt.Errorf("%w: its parts do not add up to its length", ErrCorrupt)
	}
	return s, s.validate()
}

// parseHeader checks magic, version, length and checksum, and returns the body.
func parseHeader(b []byte) (body []byte, err error) {
	switch {
	case len(b) < headerLen || [4]byte(b[:len(magic)]) != magic:
		return nil, fmt.Errorf("%w: not a snapshot file", ErrCorrupt)
	case len(b) > MaxBytes:
		return nil, fmt.Errorf("%w: over %d bytes", ErrCorrupt, MaxBytes)
	}
	body = b[headerLen:]
	if v := binary.LittleEndian.Uint32(b[versionOffset:]); v != Version {
		return nil, fmt.Errorf("%w: %d, this program writes %d", ErrVersion, v, Version)
	}
	if n := binary.LittleEndian.Uint64(b[lengthOffset:]); n != uint64(len(body)) {
		return nil, fmt.Errorf("%w: %d bytes where the header has %d", ErrCorrupt, len(body), n)
	}
	if checksum(b[:checksumOffset], body) != binary.LittleEndian.Uint64(b[checksumOffset:]) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	return body, nil
}

// validate refuses figures that no node writes, because a checksum does not protect against a faulty writer.
func (s *State) validate() error {
	figures := append(globalFields(&s.Global), &s.TakenAt)
	for i := range s.Servers {
		figures = append(figures, serverFields(&s.Servers[i].ServerSnapshot)...)
	}
	for i := range s.Global.Keys {
		figures = append(figures, &s.Global.Keys[i].Count)
	}
	for _, figure := range figures {
		if math.IsNaN(*figure) || math.IsInf(*figure, 0) || *figure < 0 || *figure > maxFigure {
			return fmt.Errorf("%w: a figure of %v", ErrCorrupt, *figure)
		}
	}
	return nil
}

// serverFields are the figures of a server in the order of the binary form.
func serverFields(s *fleet.ServerSnapshot) []*float64 {
	return []*float64{
		&s.StartedAt, &s.ShedArcShare, &s.AdjustmentStep, &s.TimePerQueued, &s.ResponseTime, &s.RequestsAhead,
		&s.Failures, &s.Backoff, &s.HitRatio, &s.QueuePeak, &s.LastResponseAt,
	}
}

// globalFields are the figures that belong to no single server, in the order of the binary form.
func globalFields(l *fleet.Snapshot) []*float64 {
	return []*float64{&l.OriginWindow, &l.OriginResponseTime, &l.Util, &l.ZoneShare, &l.KeySum}
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

// reader takes little-endian values off the front of buf. Once one does not fit, failed is set and all that follow are zero.
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
