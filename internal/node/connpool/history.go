package connpool

import (
	"hash/maphash"
	"math"
	"slices"

	"mintspring/internal/fleet"
)

// maxRecentResponses bounds how many responses a connection remembers. A connection that has had more of them within the duplicate window
// is not reused until the oldest one has left it.
const maxRecentResponses = 128

// digestSeed is the seed of all digests of the process.
var digestSeed = maphash.MakeSeed()

// Digest identifies a response. The protocols do not say which request a response belongs to, but a duplicate has the digest of an earlier
// response on its connection. A digest depends on the response alone, not on the request that waits for one: that may be of another kind
// than the one whose duplicate arrives.
type Digest uint64

// DigestOf returns the digest of a response with a buffered value, which is nil if there is none. A value identifies the response without the
// load report, which may be newer in a duplicate.
func DigestOf(result fleet.Result, value []byte, cache fleet.CacheStatus, report *fleet.LoadReport) Digest {
	var hash maphash.Hash
	hash.SetSeed(digestSeed)
	_ = hash.WriteByte(byte(result)) // a hash never fails
	_ = hash.WriteByte(byte(cache))
	if _, _ = hash.Write(value); len(value) > 0 {
		return Digest(hash.Sum64())
	}
	for _, figure := range [...]float64{
		report.Util, report.Queue, report.Inflight, report.Latency, report.Rate, report.Errors, report.HitRatio, report.X1,
	} {
		maphash.WriteComparable(&hash, math.Float64bits(figure)) // an absent figure is NaN, which is not equal to itself
	}
	return Digest(hash.Sum64())
}

// pastResponse is a response that has arrived on a connection.
type pastResponse struct {
	at          float64
	key         KeyHash // of its request
	digest      Digest
	recognition Recognition // of a duplicate of it
}

// history has the latest responses of a connection, in the order in which they arrived. A duplicate of each of them may arrive after
// responses to later requests.
type history []pastResponse

// add adds a response and drops those before the given time.
func (h *history) add(response pastResponse, expired float64) {
	kept := slices.DeleteFunc(*h, func(r pastResponse) bool { return r.at < expired })
	if len(kept) == maxRecentResponses {
		kept = slices.Delete(kept, 0, 1)
	}
	*h = append(kept, response)
}

// overflowed reports whether responses after the given time may have been dropped for want of room.
func (h history) overflowed(since float64) bool {
	return len(h) == maxRecentResponses && h[0].at > since
}

// nextExpiry returns when the next response is older than the window; +Inf if all are.
func (h history) nextExpiry(now, window float64) float64 {
	for _, past := range h {
		if at := past.at + window; at > now {
			return at
		}
	}
	return math.Inf(1)
}

// Originality says whether a response is that to the attempt in flight on its connection.
type Originality uint8

// What a response may be.
const (
	Original          Originality = iota
	Duplicate                     // of an earlier response on the connection
	PossibleDuplicate             // it equals an earlier response, and may be either
)

// Compare compares a response that arrives on a connection, with an attempt in flight, with the earlier ones of which a duplicate may arrive.
// A duplicate of a response longer before the attempt than the duplicate window would have arrived before the attempt was assigned.
func (p *Pool[C, A]) Compare(now float64, conn C, digest Digest) Originality {
	c, window := conn.PoolConn(), p.Policy.config.CompareWindow
	assignedAt := c.IdleSince + c.IdleDuration
	originality := Original
	for _, past := range c.history {
		mayCross := assignedAt-past.at < p.Policy.config.DuplicateWindow
		switch {
		case past.digest != digest || now-past.at >= window:
		case past.recognition == ByValue && past.key != c.lastKey:
			return Duplicate
		case mayCross && (past.recognition == AsRepeat || past.recognition == ByFence):
			originality = PossibleDuplicate
		}
	}
	return originality
}

// reusableAt returns from when on a connection may serve a waiting attempt: no response is expected by then whose duplicate would be taken
// for the response to the attempt.
func (p *Pool[C, A]) reusableAt(now float64, c *Conn, waiter *Waiter) float64 {
	window, at := p.Policy.config.DuplicateWindow, math.Inf(-1)
	fences := p.Policy.FenceState(now) != FenceUnsupported
	for _, past := range c.history {
		if !past.recognizedBy(waiter, fences) {
			at = past.at + window
		}
	}
	if len(c.history) > 0 && c.history.overflowed(c.IdleSince-window) {
		at = max(at, c.history[0].at+window)
	}
	return at
}

// recognizedBy reports whether a duplicate of a response would not be taken for the response to an attempt, or would do no harm. fences says
// whether the server is sent fences.
func (r *pastResponse) recognizedBy(waiter *Waiter, fences bool) bool {
	switch r.recognition {
	case ByValue:
		return r.key != waiter.Key // two responses to one key may be the same
	case AsRepeat:
		return !waiter.ExecuteOnce // the attempt cannot be ended with certainty before the server executes it
	case ByFence:
		return fences
	case Unrecognizable:
	}
	return false
}
