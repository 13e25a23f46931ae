package servermodel

import (
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// missCostShare is the share of its work that a request costs a cache that misses its key.
const missCostShare = 0.2

// costStream separates the random numbers of costs from others that are drawn under the same hash.
const costStream = 7

// Submit hands a request to a server. Its execution ends through Advance, also when it ends at once.
func (c *Cluster) Submit(now float64, id ServerID, request Request, tag any) *Execution {
	s := c.Servers[id]
	e := &Execution{Request: request, Server: id, Tag: tag, Warmth: s.queue.warmth(now)}
	if c.RecordExecutions {
		c.Executions = append(c.Executions, e)
	}
	e.work = c.workOf(s, &request)
	c.countOffered(now, s, e)
	switch {
	case !s.Up || s.downUntil > now:
		c.finish(now, e, Rejected)
	case s.ErrorRate > 0 && c.rng.Float64() < s.ErrorRate:
		c.finish(now, e, Failed)
	case e.Deadline < now:
		c.finish(now, e, Expired)
	case !s.queue.enqueue(now, e):
		c.finish(now, e, Rejected)
	}
	c.reschedule(s)
	return e
}

// workOf returns what a request costs a server, and counts it as a hit or a miss.
func (c *Cluster) workOf(s *Server, request *Request) float64 {
	cost := c.Costs[request.Class]
	mean := cost.Cache
	if s.Origin {
		mean = cost.Origin
	}
	work := cost.draw(mean, request.RequestID, request.Key)
	s.reads++
	missed := !s.Origin && (request.Write || !s.cache.contains(request.Key))
	switch {
	case missed && c.FetchThrough:
		work = work*missCostShare + cost.draw(cost.Origin, request.RequestID, request.Key, "fetch")
	case missed:
		work *= missCostShare
	default:
		s.hits++
	}
	return work
}

// draw returns a cost with the given mean that follows from the labels alone.
func (c *Cost) draw(mean float64, labels ...string) float64 {
	return mean * ((1 - c.Spread) - c.Spread*math.Log(1-hashUniform(labels...)))
}

// hashUniform returns a number from [0,1) that follows from the labels alone.
func hashUniform(labels ...string) float64 {
	h := fnv.New64a()
	for _, label := range labels {
		_, _ = io.WriteString(h, label+"\x00") // a hash never fails
	}
	return rand.New(rand.NewPCG(h.Sum64(), costStream)).Float64()
}

// countOffered counts what a server is sent, and has it collapse if that is too much.
func (c *Cluster) countOffered(now float64, s *Server, e *Execution) {
	blamed := e.NodeNotified
	if s.Origin {
		blamed = c.isColdMiss(now, e.RequestID)
	}
	if s.Config.OverloadWindow <= 0 || !s.Up || s.downUntil > now {
		return
	}
	offered, blamedPart := s.queue.countOffered(now, e.work, blamed)
	// A server that is warm rejects what is too much and does not collapse; the origin always may.
	limit := s.Config.OverloadMultiple * s.queue.capacity(now) * s.Config.OverloadWindow
	if offered > limit && (s.Origin || e.Warmth < 1) {
		c.collapse(now, s, blamedPart/offered)
	}
}

// collapse has a server collapse under overload.
func (c *Cluster) collapse(now float64, s *Server, blamedShare float64) {
	s.Collapses++
	s.AvoidableShare = max(s.AvoidableShare, blamedShare)
	if s.Config.RecoveryTime > 0 {
		s.downUntil = now + s.Config.RecoveryTime
		s.queue.offered = newSlidingWindow(s.Config.OverloadWindow)
		c.dropWork(now, s)
		return
	}
	s.Collapsed = true
	c.Kill(now, s.ID)
}

// isColdMiss reports whether a request comes to the origin because a cache that is warming up missed its key.
func (c *Cluster) isColdMiss(now float64, requestID string) bool {
	for _, id := range c.missedBy[requestID] {
		if c.Servers[id].queue.warmth(now) < 1 {
			return true
		}
	}
	return false
}

// complete carries out a request once its work is done.
func (c *Cluster) complete(now float64, s *Server, e *Execution) {
	switch {
	case e.Write && (s.Origin || c.FetchThrough):
		c.touch(s, e.Key)
		c.applyWrite(now, e)
	case s.Origin:
		c.readOrigin(now, e)
	default:
		c.readCache(now, s, e)
	}
}

// touch counts a cache's copy of a key as used.
func (c *Cluster) touch(s *Server, key string) {
	if !s.Origin {
		s.cache.get(key)
	}
}

// readCache responds with a cache's copy of a key, or that it has none. Writes are misses: the origin carries them out.
func (c *Cluster) readCache(now float64, s *Server, e *Execution) {
	object, found := s.cache.get(e.Key)
	if c.FetchThrough && !found {
		object, found = c.currentObject(e.Key), true
		s.cache.put(object)
	}
	if e.Write || !found {
		c.trackMiss(e.RequestID, s.ID)
		e.Note = NoteMiss
		c.finish(now, e, CacheMiss)
		return
	}
	e.Value, e.Note = object.value(), NoteHit
	c.finish(now, e, Served)
}

// trackMiss notes which cache missed, for what the origin returns to be stored there.
func (c *Cluster) trackMiss(requestID string, id ServerID) {
	missed := append(c.missedBy[requestID], id)
	if c.missedBy[requestID] = missed; len(c.missedBy) > maxTrackedMisses {
		c.missedBy = map[string][]ServerID{requestID: missed} // the others never reached the origin
	}
}

// readOrigin responds with the value of a key, which the caches that missed store.
func (c *Cluster) readOrigin(now float64, e *Execution) {
	object := c.currentObject(e.Key)
	for i, id := range c.missedBy[e.RequestID] {
		if s := c.Servers[id]; i < maxFilledCaches && s.Up {
			s.cache.put(object)
		}
	}
	delete(c.missedBy, e.RequestID)
	e.Value = object.value()
	c.finish(now, e, Served)
}

// applyWrite carries a write out, unless it is a duplicate.
func (c *Cluster) applyWrite(now float64, e *Execution) {
	if window := c.Costs[e.Class].DedupWindow; window > 0 && e.IdempotencyKey != "" {
		if receipt, found := c.receipts[e.IdempotencyKey]; found && now-receipt.storedAt <= window {
			e.Value = receipt.value
			c.finish(now, e, Served)
			return
		}
	}
	c.versions[e.Key]++
	for _, s := range c.Servers {
		s.cache.remove(e.Key)
	}
	e.Applied, e.Value = true, valueOf(e.Key, c.versions[e.Key], 0)
	if e.IdempotencyKey != "" {
		c.receipts[e.IdempotencyKey] = storedReceipt{now, e.Value}
	}
	c.finish(now, e, Served)
}

// currentObject is what the origin holds under a key.
func (c *Cluster) currentObject(key string) cachedObject {
	return cachedObject{key: key, version: c.versions[key], size: c.ValueSize}
}

// valueOf returns what is stored under a key: the key and its version, so that a reader of the value can check it.
func valueOf(key string, version, size int) string {
	value := key + "|" + strconv.Itoa(version) + "|"
	return value + strings.Repeat(".", max(0, size-len(value)))
}
