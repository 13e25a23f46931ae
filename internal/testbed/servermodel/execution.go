package servermodel

import (
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
)

// missCostShare is the cost of a miss at a cache, as a share of the cost of a hit.
const missCostShare = 0.2

// costRandomStream is the PCG stream of costs, which keeps them independent of other random numbers with the same seed.
const costRandomStream = 7

// Submit sends a request to a server. Advance returns the execution once it has ended, even if it ends immediately.
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

// workOf returns the work that a request costs a server, and updates the server's counts of hits and reads.
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
	case missed && c.CachesActAsOrigin:
		work = work*missCostShare + cost.draw(cost.Origin, request.RequestID, request.Key, "fetch")
	case missed:
		work *= missCostShare
	default:
		s.hits++
	}
	return work
}

// draw returns a random cost with the given mean. The labels are its only seed.
func (c *Cost) draw(mean float64, labels ...string) float64 {
	return mean * ((1 - c.Spread) - c.Spread*math.Log(1-hashUniform(labels...)))
}

// hashUniform returns a pseudorandom number in [0,1) whose only seed is a hash of the labels.
func hashUniform(labels ...string) float64 {
	h := fnv.New64a()
	for _, label := range labels {
		_, _ = io.WriteString(h, label+"\x00") // writing to a hash never fails
	}
	return rand.New(rand.NewPCG(h.Sum64(), costRandomStream)).Float64()
}

// countOffered adds an execution to the work offered to its server, which collapses under overload.
func (c *Cluster) countOffered(now float64, s *Server, e *Execution) {
	isAvoidable := e.NodeNotified
	if s.Origin {
		isAvoidable = c.isColdMiss(now, e.RequestID)
	}
	if s.Config.OverloadWindow <= 0 || !s.Up || s.downUntil > now {
		return
	}
	offered, avoidableWork := s.queue.countOffered(now, e.work, isAvoidable)
	// A cache that has warmed up rejects excess load and does not collapse. The origin can collapse at any time.
	limit := s.Config.OverloadMultiple * s.queue.capacity(now) * s.Config.OverloadWindow
	if offered > limit && (s.Origin || e.Warmth < 1) {
		c.collapse(now, s, avoidableWork/offered)
	}
}

// collapse makes a server collapse: it recovers after RecoveryTime or, without one, stays down until Start.
func (c *Cluster) collapse(now float64, s *Server, avoidableShare float64) {
	s.Collapses++
	s.AvoidableShare = max(s.AvoidableShare, avoidableShare)
	if s.Config.RecoveryTime > 0 {
		s.downUntil = now + s.Config.RecoveryTime
		s.queue.offered = newSlidingWindow(s.Config.OverloadWindow)
		c.killExecutions(now, s)
		return
	}
	s.Collapsed = true
	c.Kill(now, s.ID)
}

// isColdMiss reports whether a request reaches the origin after a miss at a cache that is still warming up.
func (c *Cluster) isColdMiss(now float64, requestID string) bool {
	for _, id := range c.missesByRequest[requestID] {
		if c.Servers[id].queue.warmth(now) < 1 {
			return true
		}
	}
	return false
}

// complete produces the result of an execution whose work is done.
func (c *Cluster) complete(now float64, s *Server, e *Execution) {
	switch {
	case e.Write && (s.Origin || c.CachesActAsOrigin):
		c.markUsed(s, e.Key)
		c.applyWrite(now, e)
	case s.Origin:
		c.readOrigin(now, e)
	default:
		c.readCache(now, s, e)
	}
}

// markUsed marks a cache's copy of a key as the most recently used.
func (c *Cluster) markUsed(s *Server, key string) {
	if !s.Origin {
		s.cache.get(key)
	}
}

// readCache responds with a cache's copy of a key, or with a miss. Writes always miss, because the origin executes them.
func (c *Cluster) readCache(now float64, s *Server, e *Execution) {
	object, found := s.cache.get(e.Key)
	if c.CachesActAsOrigin && !found {
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

// trackMiss records which cache missed, so that readOrigin can store the value there.
func (c *Cluster) trackMiss(requestID string, id ServerID) {
	missed := append(c.missesByRequest[requestID], id)
	if c.missesByRequest[requestID] = missed; len(c.missesByRequest) > maxTrackedMisses {
		c.missesByRequest = map[string][]ServerID{requestID: missed} // drops entries of requests that never reached the origin
	}
}

// readOrigin responds with the value of a key and stores it at the caches that missed.
func (c *Cluster) readOrigin(now float64, e *Execution) {
	object := c.currentObject(e.Key)
	for i, id := range c.missesByRequest[e.RequestID] {
		if s := c.Servers[id]; i < maxFilledCaches && s.Up {
			s.cache.put(object)
		}
	}
	delete(c.missesByRequest, e.RequestID)
	e.Value = object.value()
	c.finish(now, e, Served)
}

// applyWrite executes a write and invalidates the caches' copies. A duplicate gets the response of the first write instead.
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

// currentObject returns the current version of a key at the origin.
func (c *Cluster) currentObject(key string) cachedObject {
	return cachedObject{key: key, version: c.versions[key], size: c.ValueSize}
}

// valueOf returns the value of a key, which contains the key and its version so that readers can verify it. size pads it.
func valueOf(key string, version, size int) string {
	value := key + "|" + strconv.Itoa(version) + "|"
	return value + strings.Repeat(".", max(0, size-len(value)))
}
