// Package hotkeys estimates how often keys were requested recently. It keeps decaying counts in a fixed number of buckets, which keys are
// assigned to by their hash; keys in the same bucket share a count. The package does no I/O, reads no clock and does not allocate after the
// names of the hottest keys have been stored. Counts and Top are not safe for concurrent use.
package hotkeys

// Buckets is the number of counts.
const Buckets = 2048

const (
	decayFactor = 0.95 // of a count in each step
	maxUnit     = 1e9  // the counts are rescaled when the unit exceeds it
	topKeys     = 8    // keys that Top holds
)

// Counts are the decaying counts of one node. The zero value is ready for use.
//
// Instead of shrinking all counts, each step of decay increases the unit in which new requests are counted.
type Counts struct {
	buckets [Buckets]float32
	unit    float32 // stored count of one request; 0 stands for 1
	sum     float32 // of all buckets
}

// currentIncrement returns the amount that one request currently adds to its bucket.
func (c *Counts) currentIncrement() float32 {
	if c.unit == 0 {
		c.unit = 1
	}
	return c.unit
}

// Add counts one request for a key.
func (c *Counts) Add(key uint64) { c.AddToBucket(key%Buckets, 1) }

// AddToBucket adds a count to a bucket.
func (c *Counts) AddToBucket(bucket uint64, count float32) {
	scaled := count * c.currentIncrement()
	c.buckets[bucket] += scaled
	c.sum += scaled
}

// Decay multiplies all counts by decayFactor.
func (c *Counts) Decay() {
	c.unit = c.currentIncrement() / decayFactor
	if c.unit <= maxUnit {
		return
	}
	for i := range c.buckets {
		c.buckets[i] /= c.unit
	}
	c.sum, c.unit = c.sum/c.unit, 1
}

// Count returns the decayed count of a key.
func (c *Counts) Count(key uint64) float64 {
	return float64(c.buckets[key%Buckets] / c.currentIncrement())
}

// Sum returns the sum of the decayed counts of all keys.
func (c *Counts) Sum() float64 { return float64(c.sum / c.currentIncrement()) }

// Top holds the names of the keys with the greatest counts. It cannot tell keys in the same bucket apart by their counts. The zero value is
// ready for use.
type Top struct {
	keys  [topKeys]topKey
	count int // of keys that are in use
}

type topKey struct {
	key  uint64
	name []byte
}

// Offer adds a key that was just counted, if its count is among the greatest. The name is copied.
func (t *Top) Offer(c *Counts, key uint64, name []byte) {
	least := 0
	for i := range t.keys[:t.count] {
		if t.keys[i].key == key {
			return
		}
		if c.Count(t.keys[i].key) < c.Count(t.keys[least].key) {
			least = i
		}
	}
	if t.count < len(t.keys) {
		least = t.count
		t.count++
	} else if c.Count(key) <= c.Count(t.keys[least].key) {
		return
	}
	t.keys[least].key = key
	t.keys[least].name = append(t.keys[least].name[:0], name...)
}

// Each calls visit for each key. The names are valid until the next Offer.
func (t *Top) Each(visit func(key uint64, name []byte)) {
	for i := range t.keys[:t.count] {
		visit(t.keys[i].key, t.keys[i].name)
	}
}
