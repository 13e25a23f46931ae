package connpool

import (
	"hash/maphash"
	"slices"
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

// Identifies reports whether a buffered value that was read from a server identifies its response: a duplicate of that response can be told
// from the responses to requests for other keys. Misses, rejections and failures have no value, and the receipts of writes may all be alike.
func Identifies(value []byte, write bool) bool { return !write && len(value) >= minIdentifyingValue }

// pickIdle returns the index of the idle connection to use next for a key. It prefers the most recently used one, so that surplus
// connections stay unused and are eventually closed. Connections used so recently that a duplicate may still arrive are chosen only if
// there is no other, the one idle longest first. It returns -1 if no idle connection may be used for the key.
func (p *Pool[C, A]) pickIdle(now float64, key KeyHash) int {
	for k := len(p.idle) - 1; k >= 0; k-- {
		c := p.idle[k].PoolConn()
		if rested := !c.Responded || now-c.IdleSince >= p.Policy.safeIdle(); rested && p.distinguishes(now, c, key) {
			return k
		}
	}
	return slices.IndexFunc(p.idle, func(conn C) bool { return p.distinguishes(now, conn.PoolConn(), key) })
}

// distinguishes reports whether a duplicate of a connection's latest response could be told from the response to an attempt with the given
// key: two responses to one key may be the same.
func (p *Pool[C, A]) distinguishes(now float64, c *Conn, key KeyHash) bool {
	return !c.Responded || c.lastKey != key || now-c.IdleSince >= p.Policy.config.DuplicateWindow
}

// MayReceiveDuplicate reports whether a duplicate of the previous response on a connection may arrive in place of the response to the
// attempt in flight. The caller has to compare the two.
func (p *Pool[C, A]) MayReceiveDuplicate(conn C) bool {
	c := conn.PoolConn()
	return c.Responded && c.IdleDuration < p.Policy.config.DuplicateWindow
}

// cooldownOf returns how long a connection is not reused after its response, in ms: until no duplicate of it is expected any more if a
// duplicate could not be recognized.
func (p *Pool[C, A]) cooldownOf(c *Conn) float64 {
	if c.identifiable {
		return p.Policy.cooldown()
	}
	return max(p.Policy.cooldown(), p.Policy.config.DuplicateWindow)
}

// readySoon returns how many cooling connections become ready within the cooldown of a server that sends no duplicates.
func (p *Pool[C, A]) readySoon(now float64) int {
	n := 0
	for n < len(p.coolingDown) && p.coolingDown[n].PoolConn().ReadyAt <= now+p.Policy.config.Cooldown {
		n++
	}
	return n
}

// evictUnready closes unused connections that the waiting attempts cannot use soon, if the connection limit is reached: new connections can
// be used at once.
func (p *Pool[C, A]) evictUnready(now float64) {
	soon := 0
	if !p.Policy.Suspected() {
		soon = p.readySoon(now)
	}
	dialsNeeded := len(p.waiters) - p.Dialing - soon
	excess := p.openConns() + p.Dialing + dialsNeeded - p.Policy.limit()
	for n := min(excess, dialsNeeded); n > 0 && p.unusedCount() > soon; n-- {
		if len(p.coolingDown) > soon {
			p.CloseConn(p.coolingDown[soon])
			p.coolingDown = slices.Delete(p.coolingDown, soon, soon+1)
			continue
		}
		p.CloseConn(p.idle[0]) // the waiting attempts are for the key of its latest response
		p.idle = slices.Delete(p.idle, 0, 1)
	}
}
