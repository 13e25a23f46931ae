package simulator

import (
	"slices"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/inflight"
	"mintspring/internal/testbed/baseline"
)

const (
	// observeAfterLoad is how long the oracle continues to observe the servers after the end of the load.
	observeAfterLoad = 10 * time.Second
	// maxErrorRate is the error rate at which a server counts as down.
	maxErrorRate = 0.5
	// minRetryAfterMs is the shortest RetryAfter of a rejection, in ms.
	minRetryAfterMs = 50
	// goldenRatio distributes the indexes of servers over 64 bits.
	goldenRatio = 0x9e3779b97f4a7c15
)

// Oracle is a reference policy with information that no real node has: the true state of all servers, observed with a delay, and the
// servers that hold a copy of each key. The nodes of a run share the oracle, so each of them also knows what the others have sent since
// the last observation. The oracle keeps one copy of a key on the healthy servers that have warmed up, sends a request to the copy with the
// shortest wait, rejects requests at once that the origin cannot complete in the time that their priority weight allows, and sends nothing
// to servers that are warming up. It shows what these simple rules achieve with delayed information, which is not an upper bound.
type Oracle struct {
	sim         *Simulation // set when the policy of the first node is created
	delay       time.Duration
	states      []serverState        // by server index, as last observed
	keysByPoint map[fleet.Key]string // by ring position, as requests carry no key
}

// serverState is the state of a server when it was last observed.
type serverState struct {
	up         bool
	warmedUp   bool
	backlogMs  float64 // wait of a new execution at the time of the observation
	sentWorkMs float64 // work sent to the server since the observation
}

// NewOracle returns the oracle of one run. It observes the servers every delayMs.
func NewOracle(delayMs float64) *Oracle { return &Oracle{delay: durationOf(delayMs)} }

// NewPolicy returns the policy of one node. It is a NewPolicyFunc.
func (o *Oracle) NewPolicy(s *Simulation, node int, now float64, limits fleet.Limits, _ *fleet.Slab) inflight.Policy {
	if o.sim == nil {
		o.sim = s
		o.observe()
	}
	p := &oraclePolicy{oracle: o, limits: limits, node: node}
	p.Choose, p.EndpointsChanged = p.route, p.indexServers
	p.Start(now)
	return p
}

// observe records the state of the servers periodically.
func (o *Oracle) observe() {
	now := o.sim.nowMs()
	states := make([]serverState, 0, len(o.sim.servers))
	for _, s := range o.sim.servers {
		states = append(states, serverState{
			up:       !s.down && !s.blackholed && !s.refusing && !s.model.Recovering(now) && s.faults.Errors < maxErrorRate,
			warmedUp: !s.model.WarmingUp(now), backlogMs: s.model.Backlog(now),
		})
	}
	o.states = states
	if o.sim.now < o.sim.clients.loadEnd+simTime(observeAfterLoad) {
		o.sim.scheduleAfter(o.delay, actionFunc(o.observe))
	}
}

// originIndex returns the index of the origin, which is the last server.
func (o *Oracle) originIndex() int { return len(o.sim.servers) - 1 }

// expectedWaitMs returns the estimated wait of a new execution at a server, in ms.
func (o *Oracle) expectedWaitMs(serverIndex int) float64 {
	state, config := &o.states[serverIndex], &o.sim.servers[serverIndex].Config
	return state.backlogMs + state.sentWorkMs/(float64(config.Cores)*config.Speed)
}

// keyOf returns the key of a request, found by its ring position.
func (o *Oracle) keyOf(q *fleet.Request) string {
	if o.keysByPoint == nil {
		o.keysByPoint = map[fleet.Key]string{}
		for _, key := range o.sim.clients.traffic.Keys {
			o.keysByPoint[ringKey(key)] = key
		}
	}
	return o.keysByPoint[q.Key]
}

// maxPriorityWeight returns the greatest priority weight of any class.
func (o *Oracle) maxPriorityWeight() float64 {
	maxWeight := 1e-9 // avoids a division by 0
	for _, class := range o.sim.experiment.Classes {
		maxWeight = max(maxWeight, class.PriorityWeight)
	}
	return maxWeight
}

// oraclePolicy is the policy of one node that uses the oracle.
type oraclePolicy struct {
	baseline.Base
	oracle    *Oracle
	limits    fleet.Limits
	node      int
	serverIDs []fleet.ServerID // by server index; fleet.NoServer for servers that are not ready
}

// indexServers maps server indexes to the IDs of ready endpoints.
func (p *oraclePolicy) indexServers() {
	p.serverIDs = slices.Repeat([]fleet.ServerID{fleet.NoServer}, len(p.oracle.sim.servers))
	for id, endpoint := range p.Endpoints {
		if endpoint.State != fleet.Ready {
			continue
		}
		for serverIndex, s := range p.oracle.sim.servers {
			if s.endpointID == endpoint.Name {
				p.serverIDs[serverIndex] = id
			}
		}
	}
}

// route sends a request to the server selected by the rules of the oracle, or rejects or aborts it.
func (p *oraclePolicy) route(now float64, q *fleet.Request) fleet.Decision {
	o := p.oracle
	class, limits := &o.sim.experiment.Classes[q.Class], &p.limits.Classes[q.Class]
	allDeduplicate := func(fleet.ServerID) bool { return true } // all servers of an experiment share deduplication
	retry := baseline.EvaluateRetry(now, &p.limits, q, allDeduplicate)
	remainingMs := q.Deadline - now
	target, workMs := o.originIndex(), class.OriginWork.Milliseconds()
	if !q.Write && !hasMissed(q) {
		if target = p.chooseCache(q); target != o.originIndex() {
			workMs = class.CacheWork.Milliseconds()
		}
	}
	// A request that the origin cannot complete in time would only delay others. A greater priority weight allows a longer wait.
	objectiveMs := class.LatencyObjective.Milliseconds() * (0.5 + 0.5*class.PriorityWeight/o.maxPriorityWeight())
	isOverloaded := target == o.originIndex() && o.expectedWaitMs(target)+workMs > min(remainingMs, objectiveMs)
	mayBeSent := retry.Allowed && remainingMs > p.limits.Quantum && q.NumAttempts < p.limits.AttemptLimit(limits)
	if !mayBeSent || p.serverIDs[target] == fleet.NoServer || isOverloaded {
		q.Closed = true
		if !retry.NoEffect {
			return fleet.Decision{Action: fleet.Abort}
		}
		return fleet.Decision{Action: fleet.Reject, RetryAfter: min(p.limits.MaxRetryAfter, max(minRetryAfterMs, o.expectedWaitMs(o.originIndex())))}
	}
	o.states[target].sentWorkMs += workMs
	return baseline.SendTo(now, q, p.serverIDs[target])
}

// hasMissed reports whether a cache missed the key of a request.
func hasMissed(q *fleet.Request) bool {
	return slices.ContainsFunc(q.Attempts[:q.NumAttempts], func(a fleet.Attempt) bool { return a.Result == fleet.Missed })
}

// wasTried reports whether a request was sent to a server already.
func wasTried(q *fleet.Request, id fleet.ServerID) bool {
	return slices.ContainsFunc(q.Attempts[:q.NumAttempts], func(a fleet.Attempt) bool { return a.Server == id })
}

// isUsable reports whether a request can be sent to a cache.
func (p *oraclePolicy) isUsable(serverIndex int, q *fleet.Request) bool {
	id := p.serverIDs[serverIndex]
	return p.oracle.states[serverIndex].up && id != fleet.NoServer && !wasTried(q, id) && !p.oracle.sim.servers[serverIndex].blackholedNodes[p.node]
}

// chooseCache returns the index of the cache with a copy of the key and the shortest wait. If no cache has a copy, it returns the owner of
// the key by rendezvous hashing; if no cache is usable, the origin.
func (p *oraclePolicy) chooseCache(q *fleet.Request) int {
	o := p.oracle
	key := o.keyOf(q)
	bestCopy, owner, ownerRank := -1, -1, uint64(0)
	for serverIndex, s := range o.sim.servers[:o.originIndex()] {
		if !p.isUsable(serverIndex, q) || !o.states[serverIndex].warmedUp {
			continue
		}
		rank := fleet.Mix(uint64(q.Key) ^ fleet.Mix(uint64(serverIndex+1)*goldenRatio)) // the cache with the highest rank owns the key
		if owner < 0 || rank > ownerRank {
			owner, ownerRank = serverIndex, rank
		}
		if o.sim.cluster.HasCopy(s.model.ID, key) && (bestCopy < 0 || o.expectedWaitMs(serverIndex) < o.expectedWaitMs(bestCopy)) {
			bestCopy = serverIndex
		}
	}
	switch {
	case bestCopy >= 0:
		return bestCopy
	case owner >= 0:
		return owner
	}
	return o.originIndex()
}
