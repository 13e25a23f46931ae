// Package faultrelay injects faults into the datagrams between the processes of a fleet: loss, delay, duplication, reordering, corruption,
// truncation and limited bandwidth, for each ordered pair of nodes. Links decides when and how a datagram is delivered; it does no I/O, and
// a seed determines its decisions. Relay applies them on loopback sockets between real processes, and the simulator on its virtual clock.
package faultrelay

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// randomStreamID distinguishes the random numbers of the links from others with the same seed.
const randomStreamID = 17

// Link holds the faults of datagrams from one node to another. The zero value delivers everything immediately.
type Link struct {
	Cut              bool    // nothing is delivered
	LossRate         float64 // share of datagrams that is lost
	DelayMs          float64
	JitterMs         float64 // up to this much is added to each delay at random, which reorders datagrams
	Duplicates       int     // additional deliveries of each datagram
	DuplicateDelayMs float64 // between the deliveries of one datagram
	CorruptRate      float64 // share of deliveries in which one bit is flipped
	TruncateRate     float64 // share of deliveries that are cut short
	BytesPerSecond   float64 // bandwidth; 0: unlimited
}

// nodePair is an ordered pair of nodes.
type nodePair struct{ from, to int }

// Delivery is a datagram that arrives at a time.
type Delivery struct {
	AtMs float64
	Data []byte
}

// Links holds the faults of all links. One goroutine must own it.
type Links struct {
	links     map[nodePair]*Link   // without an entry: no faults
	busyUntil map[nodePair]float64 // of links with limited bandwidth
	rng       *rand.Rand
}

// NewLinks returns links without faults.
func NewLinks(seed uint64) *Links {
	return &Links{
		links:     map[nodePair]*Link{},
		busyUntil: map[nodePair]float64{},
		rng:       rand.New(rand.NewPCG(seed, randomStreamID)),
	}
}

// Set applies change to each link that leads from a node in from to another node in to.
func (l *Links) Set(from, to []int, change func(*Link)) {
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			pair := nodePair{a, b}
			if l.links[pair] == nil {
				l.links[pair] = &Link{}
			}
			change(l.links[pair])
		}
	}
}

// Heal removes all faults.
func (l *Links) Heal() { clear(l.links) }

// Transmit returns the deliveries of a datagram that is sent now, in the order of their times. They do not share memory with it.
func (l *Links) Transmit(now float64, from, to int, b []byte) []Delivery {
	pair := nodePair{from, to}
	link := l.links[pair]
	if link == nil {
		return []Delivery{{AtMs: now, Data: slices.Clone(b)}}
	}
	if link.Cut || l.happens(link.LossRate) {
		return nil
	}
	sentAt := now
	if link.BytesPerSecond > 0 {
		sentAt = max(now, l.busyUntil[pair]) + 1000*float64(len(b))/link.BytesPerSecond
		l.busyUntil[pair] = sentAt
	}
	var deliveries []Delivery
	for i := range 1 + link.Duplicates {
		at := sentAt + link.DelayMs + float64(i)*link.DuplicateDelayMs
		deliveries = append(deliveries, l.delivery(link, at, slices.Clone(b)))
	}
	slices.SortStableFunc(deliveries, func(a, b Delivery) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return deliveries
}

// delivery returns one delivery of a datagram, with the random faults of its link.
func (l *Links) delivery(link *Link, at float64, b []byte) Delivery {
	if link.JitterMs > 0 {
		at += link.JitterMs * l.rng.Float64()
	}
	if l.happens(link.CorruptRate) {
		b[l.rng.IntN(len(b))] ^= 1 << l.rng.IntN(8)
	}
	if l.happens(link.TruncateRate) {
		b = b[:l.rng.IntN(len(b))]
	}
	return Delivery{AtMs: at, Data: b}
}

// happens decides at random whether a fault of the given probability happens. For a probability of 0 it draws no random number.
func (l *Links) happens(probability float64) bool {
	return probability > 0 && l.rng.Float64() < probability
}
