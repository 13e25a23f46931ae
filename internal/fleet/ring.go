package fleet

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// RingPoint is a server's point on a hash ring: the interval [0,1) with its ends joined. The server's arc begins after the preceding point
// and ends at the server's own point.
type RingPoint struct {
	ID            ServerID
	Position      float64 // below 1; the position of the first point may be below 0
	CapacityShare float64 // the server has at least this share of its capacity; if below 1, it may serve only a part of its arc
}

// Mix is the 64-bit finalizer of MurmurHash3. It mixes FNV hashes, whose high bits hardly differ between similar names.
func Mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// UnitInterval maps a hash to [0,1).
func UnitInterval(h uint64) float64 { return float64(Mix(h)>>11) / (1 << 53) }

// InitialPoint returns the position of a server's point before any adjustment: the hash of the server's name.
func InitialPoint(name string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash takes every byte
	return UnitInterval(h.Sum64())
}

// Point returns the position of a key on the ring.
func (k Key) Point() float64 { return UnitInterval(uint64(k)) }

// Sample returns a number in [0,1) for selecting a share of all keys. It is independent of the key's point.
func (k Key) Sample() float64 { return UnitInterval(Mix(uint64(k)) + 1) }

// ArcLength returns the distance on the ring from one position forward to another. Both may be outside [0,1).
func ArcLength(from, to float64) float64 {
	distance := to - from
	return distance - math.Floor(distance)
}

// Random returns the pseudo-random number in [0,1) for a seed and a counter. The number is the same on every machine.
func Random(seed, counter uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], counter)
	h := fnv.New64a()
	_, _ = h.Write(b[:]) // a hash takes every byte
	return UnitInterval(h.Sum64())
}
