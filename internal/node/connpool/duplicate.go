package connpool

import (
	"hash/maphash"
	"slices"

	"mintspring/internal/fleet"
)

// minIdentifyingValue is the length in bytes from which a value identifies the response that carries it. Shorter values, such as counters
// and flags, may be the same for many keys.
const minIdentifyingValue = 16

// keySeed is the seed of all hashes of keys in the process.
var keySeed = maphash.MakeSeed()

// KeyHash is a hash of the key of a request.
type KeyHash uint64

// HashKey returns the hash of a key. It differs between processes.
func HashKey(key []byte) KeyHash { return KeyHash(maphash.Bytes(keySeed, key)) }

// Recognition says how a duplicate of a response can be recognized when it arrives in place of the next response.
type Recognition uint8

const (
	// Unrecognizable is a response whose duplicate may look like the response to any request: a short value, a value that is not compared,
	// or the receipt of a write.
	Unrecognizable Recognition = iota
	// ByValue is a response whose value tells its duplicate from the responses to requests for other keys.
	ByValue
	// AsRepeat is a miss, a rejection or a failure. If the next response is the same, it may be a duplicate. Its connection has to be closed,
	// which ends an attempt that is still in flight.
	AsRepeat
	// ByFence is any buffered response of a server that answers fences. If a later response is the same, a fence tells which of the two it is.
	ByFence
)

// RecognitionOf returns how a duplicate of a response is recognized. The value was buffered; it is nil if the response has none.
func RecognitionOf(result fleet.Result, value []byte, write bool) Recognition {
	switch {
	case result != fleet.Completed:
		return AsRepeat
	case !write && len(value) >= minIdentifyingValue:
		return ByValue
	}
	return Unrecognizable
}

// pickIdle returns the index of the idle connection to use next for a waiting attempt. It prefers the most recently used one, so that surplus
// connections stay unused and are eventually closed. Connections used so recently that a duplicate may still arrive are chosen only if
// there is no other, the one idle longest first. It returns -1 if the attempt may use none.
func (p *Pool[C, A]) pickIdle(now float64, waiter *Waiter) int {
	best, bestRisk := -1, mustNotReuse
	for k := len(p.idle) - 1; k >= 0; k-- {
		risk := p.reuseRisk(now, p.idle[k].PoolConn(), waiter)
		if risk == safeToReuse {
			return k
		}
		if risk != mustNotReuse && risk <= bestRisk {
			best, bestRisk = k, risk
		}
	}
	return best
}

// reuseRisk is what may happen if a duplicate arrives on a connection that is reused.
type reuseRisk uint8

const (
	safeToReuse      reuseRisk = iota // a duplicate hardly ever arrives
	likelyRecognized                  // a duplicate may arrive and is recognized, or the response will have to be verified
	mustNotReuse                      // a duplicate would be taken for the response
)

// reuseRisk returns the risk of using an idle connection for a waiting attempt.
func (p *Pool[C, A]) reuseRisk(now float64, c *Conn, waiter *Waiter) reuseRisk {
	switch {
	case !c.Responded:
		return safeToReuse
	case now < p.reusableAt(now, c, waiter):
		return mustNotReuse
	case now-c.IdleSince < p.Policy.safeIdle():
		return likelyRecognized
	case p.expectsEqualResponse(now, c, waiter):
		return likelyRecognized
	}
	return safeToReuse
}

// expectsEqualResponse reports whether the response to a waiting attempt will probably equal an earlier one on the connection, and then take
// a fence: the earlier one was to the same key.
func (p *Pool[C, A]) expectsEqualResponse(now float64, c *Conn, waiter *Waiter) bool {
	return slices.ContainsFunc(c.history, func(past pastResponse) bool {
		return past.recognition == ByFence && past.key == waiter.Key && now-past.at < p.Policy.config.DuplicateWindow
	})
}

// cooldownEnd returns from when on a connection may be reused after its latest response: not before no duplicate is expected that could
// not be recognized.
func (p *Pool[C, A]) cooldownEnd(c *Conn) float64 {
	end := c.IdleSince + p.Policy.cooldown()
	for _, past := range c.history {
		if past.recognition == Unrecognizable {
			end = max(end, past.at+p.Policy.config.DuplicateWindow)
		}
	}
	return end
}

// repeatMemory is how long a server counts as one whose values repeat, in ms.
const repeatMemory = 60_000

// RecordRepeatedValue records that the server's responses to two keys were the same, so that values do not identify its responses.
func (p *Policy) RecordRepeatedValue(now float64) { p.valuesRepeatUntil = now + repeatMemory }

// ValuesRepeat reports whether the server's responses to two keys have lately been the same.
func (p *Policy) ValuesRepeat(now float64) bool { return now < p.valuesRepeatUntil }
