package fleet

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// RingPoint is a server's point on a hash ring, which is [0,1) closed to a circle. Its arc ends there and begins behind the point before it.
type RingPoint struct {
	ID            ServerID
	Position      float64 // below 1; that of the first point may be below 0
	CapacityShare float64 // share of its capacity that the server surely has; below 1 it may serve only a part of its arc
}

// Mix spreads the bits of an FNV hash, whose high ones hardly differ for similar names.
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// UnitInterval maps a hash to [0,1).
func UnitInterval(h uint64) float64 { return float64(Mix(h)>>11) / (1 << 53) }

// InitialPoint is where a server's point is on the ring at first: the hash of its id.
func InitialPoint(name string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes every byte
	return UnitInterval(h.Sum64())
}

// Point is the point of a key on the ring.
func (k Key) Point() float64 { return UnitInterval(uint64(k)) }

// Sample is a number in [0,1) by which a share of all keys is chosen. It is independent of the key's point.
func (k Key) Sample() float64 { return UnitInterval(Mix(uint64(k)) + 1) }

// ArcLength is the distance from a forward to b on the ring. Either may be outside [0,1).
func ArcLength(a, b float64) float64 {
	d := b - a
	return d - math.Floor(d)
}

// Random returns the draw of a counter under a seed, in [0,1): equal arguments give equal draws, on every machine.
func Random(seed, counter uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], counter)
	h := fnv.New64a()
	_, _ = h.Write(b[:]) // a hash takes every byte
	return UnitInterval(h.Sum64())
}
