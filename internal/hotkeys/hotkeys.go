// Package hotkeys estimates how often keys were requested lately: decaying counts by the hash of the key, in constant space. Keys in the
// same bucket share a count. The package does no I/O, reads no clock and does not allocate after the names of the hottest keys have been
// stored. One goroutine must own a Counts or a Top.
package hotkeys

// Buckets is the number of counts.
const Buckets = 2048

const (
	decayFactor = 0.95 // what is left of a count after each step
	maxUnit     = 1e9  // the unit at which the counts are scaled back
	topKeys     = 8    // keys that Top keeps
)

// Counts are the decaying counts of one node. The zero value is ready for use.
//
// Instead of shrinking all counts at each step, the unit in which new requests are counted grows.
type Counts struct {
	buckets [Buckets]float32
	unit    float32 // 0 stands for 1
	sum     float32 // of all keys
}

func (c *Counts) currentUnit() float32 {
	if c.unit == 0 {
		c.unit = 1
	}
	return c.unit
}

// Add counts one request for a key.
func (c *Counts) Add(key uint64) { c.AddToBucket(key%Buckets, 1) }

// AddToBucket adds a count to a bucket.
func (c *Counts) AddToBucket(bucket uint64, count float32) {
	scaled := count * c.currentUnit()
	c.buckets[bucket] += scaled
	c.sum += scaled
}

// Decay takes one step.
func (c *Counts) Decay() {
	c.unit = c.currentUnit() / decayFactor
	if c.unit <= maxUnit {
		return
	}
	for i := range c.buckets {
		c.buckets[i] /= c.unit
	}
	c.sum, c.unit = c.sum/c.unit, 1
}

// Count returns the count of a key.
func (c *Counts) Count(key uint64) float64 { return float64(c.buckets[key%Buckets] / c.currentUnit()) }

// Sum returns the count of all keys together.
func (c *Counts) Sum() float64 { return float64(c.sum / c.currentUnit()) }

// Top keeps the names of the keys with the greatest counts, as far as the buckets distinguish them. The zero value is ready for use.
type Top struct {
	keys [topKeys]topKey
	n    int
}

type topKey struct {
	key  uint64
	name []byte
}

// Offer considers a key that was just counted. The name is copied.
func (t *Top) Offer(c *Counts, key uint64, name []byte) {
	least := 0
	for i := range t.keys[:t.n] {
		if t.keys[i].key == key {
			return
		}
		if c.Count(t.keys[i].key) < c.Count(t.keys[least].key) {
			least = i
		}
	}
	if t.n < len(t.keys) {
		least = t.n
		t.n++
	} else if c.Count(key) <= c.Count(t.keys[least].key) {
		return
	}
	t.keys[least].key = key
	t.keys[least].name = append(t.keys[least].name[:0], name...)
}

// Each passes the keys and their names to visit. The names must not be kept.
func (t *Top) Each(visit func(key uint64, name []byte)) {
	for i := range t.keys[:t.n] {
		visit(t.keys[i].key, t.keys[i].name)
	}
}
