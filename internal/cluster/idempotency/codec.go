package idempotency

import (
	"encoding/binary"
	"math"

	"mintspring/internal/cluster"
)

// encoder appends values in big endian.
type encoder struct{ b []byte }

func (e *encoder) bytes(v []byte) { e.b = append(e.b, v...) }
func (e *encoder) u8(v uint8)     { e.b = append(e.b, v) }
func (e *encoder) u16(v uint16)   { e.b = binary.BigEndian.AppendUint16(e.b, v) }
func (e *encoder) u32(v uint32)   { e.b = binary.BigEndian.AppendUint32(e.b, v) }
func (e *encoder) u64(v uint64)   { e.b = binary.BigEndian.AppendUint64(e.b, v) }
func (e *encoder) f64(v float64)  { e.u64(math.Float64bits(v)) }

// flags packs booleans into a byte, the first into its lowest bit.
func (e *encoder) flags(values ...bool) {
	packed := uint8(0)
	for i, set := range values {
		if set {
			packed |= 1 << i
		}
	}
	e.u8(packed)
}

func (e *encoder) claimID(id ClaimID) {
	e.u16(uint16(id.Member))
	e.u64(uint64(id.Incarnation))
	e.u64(id.Number)
}

func (e *encoder) ballot(b Ballot) {
	e.u32(b.Round)
	e.claimID(b.Claim)
}

func (e *encoder) record(r Record) {
	e.u8(uint8(r.State))
	e.flags(r.MayHaveExecuted, r.HasReceipt)
	e.claimID(r.Claim)
	e.f64(r.TimeoutMs)
	e.u16(uint16(len(r.Receipt)))
	e.bytes(r.Receipt)
}

// versionedRecord appends key and ballot and, with withRecord, the record and its ages.
func (e *encoder) versionedRecord(r *VersionedRecord, withRecord bool) {
	e.bytes(r.Key[:])
	e.ballot(r.AcceptedBallot)
	if withRecord {
		e.record(r.Record)
		e.f64(r.AgeMs)
		e.f64(r.UnchangedMs)
	}
}

// decoder reads values in big endian. A missing or invalid value sets malformed. After a missing value all others are zero.
type decoder struct {
	b         []byte
	malformed bool
}

// done reports whether all bytes were read and each value was valid.
func (d *decoder) done() bool { return !d.malformed && len(d.b) == 0 }

func (d *decoder) next(size int) []byte {
	if size > len(d.b) {
		d.malformed, d.b = true, nil
		return make([]byte, size)
	}
	value := d.b[:size]
	d.b = d.b[size:]
	return value
}

func (d *decoder) u8() uint8    { return d.next(1)[0] }
func (d *decoder) u16() uint16  { return binary.BigEndian.Uint16(d.next(2)) }
func (d *decoder) u32() uint32  { return binary.BigEndian.Uint32(d.next(4)) }
func (d *decoder) u64() uint64  { return binary.BigEndian.Uint64(d.next(8)) }
func (d *decoder) f64() float64 { return math.Float64frombits(d.u64()) }

// duration reads milliseconds, which may be +Inf but not negative.
func (d *decoder) duration() float64 {
	ms := d.f64()
	if math.IsNaN(ms) || ms < 0 {
		d.malformed = true
	}
	return ms
}

func (d *decoder) key() Key { return Key(d.next(len(Key{}))) }

func (d *decoder) claimID() ClaimID {
	return ClaimID{MemberID(d.u16()), cluster.Incarnation(d.u64()), d.u64()}
}

func (d *decoder) ballot() Ballot { return Ballot{d.u32(), d.claimID()} }

func (d *decoder) record() Record {
	r := Record{State: State(d.u8())}
	flags := d.u8()
	r.MayHaveExecuted, r.HasReceipt = flags&1 != 0, flags&2 != 0
	r.Claim, r.TimeoutMs = d.claimID(), d.duration()
	if size := int(d.u16()); size > 0 {
		r.Receipt = append([]byte(nil), d.next(size)...)
	}
	if r.State > StateCompleted {
		d.malformed = true
	}
	return r
}

func (d *decoder) versionedRecord(withRecord bool) VersionedRecord {
	r := VersionedRecord{Key: d.key(), AcceptedBallot: d.ballot()}
	if withRecord {
		r.Record = d.record()
		r.AgeMs, r.UnchangedMs = d.duration(), d.duration()
	}
	return r
}
