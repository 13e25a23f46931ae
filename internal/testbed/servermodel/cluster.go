package servermodel

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

const (
	// clusterRandomStream is the PCG stream of the cluster, which keeps its random numbers independent of others with the same seed.
	clusterRandomStream = 1
	// maxTrackedMisses bounds the number of requests that missed at a cache and have not reached the origin yet.
	maxTrackedMisses = 1 << 14
	// maxFilledCaches is the number of caches that store the origin's response to a request that missed at them.
	maxFilledCaches = 2
)

// Cluster models cache servers and their origin.
type Cluster struct {
	Servers           []*Server
	Costs             map[string]Cost // by request class
	ValueSize         int             // bytes of a value
	CachesActAsOrigin bool            // there is no origin: caches do its work at its cost and share the records that deduplicate writes

	Executions       []*Execution // every submitted execution, if RecordExecutions is set
	RecordExecutions bool

	schedule        completionSchedule
	rng             *rand.Rand
	versions        map[string]int           // by key
	receipts        map[string]storedReceipt // by idempotency key
	missesByRequest map[string][]ServerID    // IDs of the caches that missed, by request ID
	unreported      []*Execution             // ended executions that Advance has not returned yet
}

// storedReceipt keeps the response to a write, which is returned for duplicates of the write.
type storedReceipt struct {
	storedAt float64
	value    string
}

// NewCluster returns a cluster without servers that records executions.
func NewCluster(seed uint64, costs map[string]Cost) *Cluster {
	return &Cluster{
		Costs: costs, rng: rand.New(rand.NewPCG(seed, clusterRandomStream)), versions: map[string]int{},
		receipts: map[string]storedReceipt{}, missesByRequest: map[string][]ServerID{}, RecordExecutions: true,
	}
}

// AddServer adds a server that has finished warming up.
func (c *Cluster) AddServer(name string, origin bool, config ServerConfig) *Server {
	s := &Server{
		ID: ServerID(len(c.Servers)), Name: name, Origin: origin, Up: true, Config: config,
		queue: newWorkQueue(config, math.Inf(-1)), cache: newLRUCache(config.CacheObjects), scheduledEnd: math.Inf(1),
	}
	c.Servers = append(c.Servers, s)
	heap.Push(&c.schedule, s)
	return s
}

// Preload stores the initial version of a key at a server.
func (c *Cluster) Preload(id ServerID, key string) {
	c.Servers[id].cache.put(cachedObject{key: key, size: c.ValueSize})
}

// HasCopy reports whether a server has a copy of a key.
func (c *Cluster) HasCopy(id ServerID, key string) bool { return c.Servers[id].cache.contains(key) }

// Kill stops a server. Its executions end as Killed; Start gives it an empty cache.
func (c *Cluster) Kill(now float64, id ServerID) {
	s := c.Servers[id]
	s.Up = false
	c.killExecutions(now, s)
}

// killExecutions ends all running and waiting executions of a server.
func (c *Cluster) killExecutions(now float64, s *Server) {
	s.queue.accountBusyTime(now)
	for _, e := range s.queue.all() { // the queue is cleared afterwards, so that load reports still count them
		c.finish(now, e, Killed)
	}
	s.queue.clear()
	c.reschedule(s)
}

// Start starts a server that was killed or has collapsed, or restarts one that is up. The started server has an empty cache and,
// unless warm is set, only part of its capacity.
func (c *Cluster) Start(now float64, id ServerID, warm bool) {
	s := c.Servers[id]
	if s.Up {
		c.Kill(now, id)
	}
	startedAt := now
	if warm {
		startedAt = math.Inf(-1)
	}
	s.queue, s.cache = newWorkQueue(s.Config, startedAt), newLRUCache(s.Config.CacheObjects)
	s.queue.busyCountedAt = now
	s.Up, s.Collapsed, s.ErrorRate, s.downUntil = true, false, 0, 0
	s.lastReport.text = ""
	c.reschedule(s)
}

// SetSlowdown multiplies the duration of executions that a server starts from now on.
func (c *Cluster) SetSlowdown(id ServerID, multiple float64) { c.Servers[id].queue.slowdown = multiple }

// SetPaused pauses a server, or resumes its executions with the work that they had left.
func (c *Cluster) SetPaused(now float64, id ServerID, paused bool) {
	s := c.Servers[id]
	s.queue.setPaused(now, paused)
	s.queue.startWaiting(now, c.expireAt(now))
	c.reschedule(s)
}

// OpenConnection counts a new connection and charges its handshake, unless the server has reached MaxConnections.
func (c *Cluster) OpenConnection(id ServerID) (accepted bool) {
	s := c.Servers[id]
	if s.Config.MaxConnections > 0 && s.Connections >= s.Config.MaxConnections {
		return false
	}
	s.Connections++
	s.queue.addHandshake()
	return true
}

// CloseConnection removes an accepted connection from the count.
func (c *Cluster) CloseConnection(id ServerID) { c.Servers[id].Connections-- }

// NextEvent returns the time at which Advance has something to do: -Inf for immediately, +Inf for never.
func (c *Cluster) NextEvent() float64 {
	if len(c.unreported) > 0 {
		return math.Inf(-1)
	}
	if len(c.schedule) == 0 {
		return math.Inf(1)
	}
	return c.schedule[0].scheduledEnd
}

// Advance simulates the cluster up to now and returns the executions that have ended since the last call, in the order of their ends.
func (c *Cluster) Advance(now float64) []*Execution {
	for len(c.schedule) > 0 && c.schedule[0].scheduledEnd <= now {
		s := c.schedule[0]
		at := s.scheduledEnd
		c.complete(at, s, s.queue.completeNext(c.expireAt(at)))
		c.reschedule(s)
	}
	completed := c.unreported
	c.unreported = nil
	return completed
}

// expireAt returns a function that ends an execution at the given time as Expired, for executions whose deadline passed in the queue.
func (c *Cluster) expireAt(now float64) func(*Execution) {
	return func(e *Execution) { c.finish(now, e, Expired) }
}

// finish ends an execution with an outcome and attaches the server's load report.
func (c *Cluster) finish(now float64, e *Execution, outcome Outcome) {
	e.EndedAt, e.Outcome = now, outcome
	s := c.Servers[e.Server]
	e.Report = s.loadReport(now, c.rng)
	if outcome == Served {
		e.Warmth = s.queue.warmth(now)
	}
	c.unreported = append(c.unreported, e)
}

// reschedule updates the time of a server's next completion in the schedule. A heap keeps this cheap: clusters have hundreds of servers,
// and most events change only one of them.
func (c *Cluster) reschedule(s *Server) {
	if at := s.queue.nextCompletion(); at != s.scheduledEnd {
		s.scheduledEnd = at
		heap.Fix(&c.schedule, s.scheduleIndex)
	}
}

// completionSchedule is a heap of servers, ordered by the end of their next execution and then by ID.
type completionSchedule []*Server

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h completionSchedule) Len() int { return len(h) }

func (h completionSchedule) Less(i, j int) bool {
	return h[i].scheduledEnd < h[j].scheduledEnd || h[i].scheduledEnd == h[j].scheduledEnd && h[i].ID < h[j].ID
}

func (h completionSchedule) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].scheduleIndex, h[j].scheduleIndex = i, j
}

func (h *completionSchedule) Push(x any) {
	s := x.(*Server)
	s.scheduleIndex = len(*h)
	*h = append(*h, s)
}

func (h *completionSchedule) Pop() any {
	panic("servermodel: servers are never removed from a cluster")
}
