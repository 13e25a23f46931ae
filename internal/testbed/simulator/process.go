package simulator

import (
	"fmt"
	"hash/fnv"
	"io"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/node/inflight"
	"mintspring/internal/node/serverstart"
	"mintspring/internal/node/servertable"
	"mintspring/internal/testbed/fakes"
)

const (
	// reapInterval is the time between two checks for connections whose idle timeout has expired, as in the node on sockets.
	reapInterval = 5 * time.Second
	// maxWakeDelayMs bounds the time between two calls of runDueWork.
	maxWakeDelayMs = 1000
	// maxDuePerInstant bounds the calls of a policy at one time. A policy that is due more often would block the run, so the run fails.
	maxDuePerInstant = 100_000
	// stallTimeoutShare is the ratio of the stall timeout of a response to the shortest latency objective.
	stallTimeoutShare = 1.0 / 4
)

// process is one process of a node. It connects the simulated network to the policy, as the node on sockets connects its sockets to it.
type process struct {
	sim            *Simulation
	node           *simNode
	inflight       *inflight.Table[*attempt]
	servers        *servertable.Table
	links          []*serverLink // by slot of the server table
	poolCounters   connpool.Counters
	cachePool      connpool.Config
	originPool     connpool.Config
	stallTimeoutMs float64
	descriptors    *fdlimit.Budget
	drawCount      uint64 // random numbers drawn so far

	clientAttempts map[*clientAttempt]bool // attempts of clients that wait for a response
	idleClients    int                     // client connections without a request in flight

	startTracker serverstart.Tracker
	confirmedAt  float64 // when the endpoint list was last known to be complete, by the node's clock

	watch    *watch // of the endpoint list; nil before the first
	revision int64  // of the endpoint list
	serving  bool   // it has received an endpoint list with a ready server
	draining bool   // it accepts no new clients
	exited   bool

	wakeAt   simTime        // when runDueWork is called next; notScheduled for never
	member   *clusterMember // nil if the node has no peers
	deferred []action       // actions postponed while the process was frozen
	cpu      cpuQueue
}

// startProcess starts a process of the node.
func (n *simNode) startProcess() {
	p := &process{
		sim: n.sim, node: n, servers: servertable.New(node.SlotRetention(&n.deployment)), wakeAt: notScheduled,
		clientAttempts: map[*clientAttempt]bool{}, descriptors: fdlimit.New(n.sim.experiment.Nodes.Sockets, 0),
		confirmedAt: serverstart.NeverConfirmed(), cpu: cpuQueue{sim: n.sim, requestCost: n.sim.experiment.Nodes.RequestCost.Duration()},
	}
	p.cachePool, p.originPool = node.PoolConfigs(&n.deployment, n.operatorFile)
	shortestObjectiveMs, _ := n.deployment.TimeBounds()
	p.stallTimeoutMs = shortestObjectiveMs * stallTimeoutShare
	p.descriptors.AddEvictor(fdlimit.Server, p.closeIdleServerConn)
	p.descriptors.AddEvictor(fdlimit.Client, p.closeIdleClientConn)
	p.inflight = inflight.New(inflight.Dispatcher[*attempt](p))
	p.inflight.Policy = n.sim.newPolicy(n.index, p.localNow(), n.deployment.Limits, &p.inflight.Slab)
	n.process, n.frozen = p, false
	p.joinCluster()
	p.applyEndpoints(fleet.ListCached, nil)
	p.runDueWork()
	n.sim.scheduleAfter(reapInterval, actionFunc(p.closeExpiredIdle))
}

// closeExpiredIdle periodically closes connections whose idle timeout has expired.
func (p *process) closeExpiredIdle() {
	if p.exited || p.deferIfStalled(actionFunc(p.closeExpiredIdle)) {
		return
	}
	for _, l := range p.links {
		l.pool.Reap(p.localNow())
	}
	p.sim.scheduleAfter(reapInterval, actionFunc(p.closeExpiredIdle))
}

// localNow returns the time by the node's own clock, in ms.
func (p *process) localNow() float64 {
	if p.node.clockDrift == 0 {
		return p.sim.nowMs() + p.node.clockSkewMs
	}
	return epochMs + (p.sim.nowMs()-epochMs)*(1+p.node.clockDrift) + p.node.clockSkewMs
}

// localToSimTime converts a time of the node's own clock to a time of the simulation.
func (p *process) localToSimTime(localMs float64) simTime {
	if p.node.clockDrift == 0 {
		return simTimeOf(localMs - p.node.clockSkewMs)
	}
	return simTimeOf(epochMs + (localMs-p.node.clockSkewMs-epochMs)/(1+p.node.clockDrift))
}

// uniform returns a pseudo-random number from [0,1).
func (p *process) uniform() float64 {
	p.drawCount++
	return fleet.UnitInterval(p.node.deployment.Limits.Seed + p.drawCount)
}

// runDueWork calls the policy for everything that is due and schedules the next call.
func (p *process) runDueWork() {
	if p.exited {
		return
	}
	now := p.localNow()
	for range maxDuePerInstant {
		entry, waitMs := p.inflight.NextDue(now)
		if waitMs > 0 {
			p.wakeAfter(durationOf(min(waitMs, maxWakeDelayMs)))
			return
		}
		p.inflight.Decide(now, entry)
	}
	p.sim.err = fmt.Errorf("node %d: policy is still due after %d calls at %.3f ms", p.node.index, maxDuePerInstant, now-epochMs)
}

// wakeAfter schedules a call of runDueWork after a delay, unless an earlier one is scheduled already.
func (p *process) wakeAfter(delay time.Duration) {
	at := p.sim.now + simTime(delay)
	if p.wakeAt == notScheduled || at < p.wakeAt {
		p.wakeAt = at
		p.sim.schedule(at, (*dueWorkTimer)(p))
	}
}

// dueWorkTimer is the timer that calls runDueWork.
type dueWorkTimer process

func (t *dueWorkTimer) fire() {
	p := (*process)(t)
	if p.sim.now == p.wakeAt && !p.deferIfStalled(actionFunc(p.wake)) {
		p.wake()
	}
}

// wake handles the timer set by wakeAfter.
func (p *process) wake() {
	p.wakeAt = notScheduled
	p.runDueWork()
}

// applyEndpoints applies a full endpoint list or changes to the current list. Servers missing from a full list are gone.
func (p *process) applyEndpoints(mode fleet.ListMode, entries []discovery.Entry) {
	now := p.localNow()
	endpoints := make([]fleet.Endpoint, 0, len(entries))
	for _, e := range entries {
		endpoints = append(endpoints, p.applyEntry(now, e))
	}
	if mode != fleet.ListDelta {
		for _, id := range p.servers.Missing(endpoints) {
			p.setServerState(now, id, p.links[id].server.addr, fleet.Gone)
		}
	}
	p.inflight.Policy.UpdateEndpoints(now, mode, endpoints)
}

// applyEntry applies one entry of the endpoint list.
func (p *process) applyEntry(now float64, e discovery.Entry) fleet.Endpoint {
	id, isNew, _ := p.servers.Assign(now, e.ID)
	if isNew {
		if int(id) == len(p.links) {
			p.links = append(p.links, nil)
		}
		p.links[id] = p.newServerLink(e)
	}
	endpoint := e.Endpoint(id, &p.node.deployment)
	endpoint.StartedAt = p.startTracker.Observe(now, e.ID, e.UpSince, p.startsConfirmedAt(now))
	p.links[id].pool.Policy.ServerStarted(endpoint.StartedAt)
	if p.member != nil && e.Flavor != discovery.OriginFlavor && endpoint.State != fleet.Gone {
		p.member.participant.AddServer(now, id, e.ID, e.UpSince)
	}
	p.setServerState(now, id, e.HostPort, endpoint.State)
	p.serving = p.serving || endpoint.State == fleet.Ready
	return endpoint
}

// startsConfirmedAt returns when the endpoint list was last known to be complete. Each heartbeat of an open watch confirms the list.
func (p *process) startsConfirmedAt(now float64) float64 {
	if p.confirmedAt != serverstart.NeverConfirmed() && p.watch != nil && p.watch.isPending() && !p.sim.discovery.stalled {
		return max(p.confirmedAt, now-float64(fakes.Heartbeat/time.Millisecond))
	}
	return p.confirmedAt
}

// newServerLink returns the link to a server that is new to the process.
func (p *process) newServerLink(e discovery.Entry) *serverLink {
	config := p.cachePool
	if e.Flavor == discovery.OriginFlavor {
		config = p.originPool
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, e.ID) // a hash never fails
	l := &serverLink{process: p, server: p.sim.serverByAddr(e.HostPort), poolTickAt: notScheduled}
	l.pool = connpool.New(connpool.NewPolicy(config, fleet.Mix(h.Sum64()), p.uniform()), &p.poolCounters, connpool.Owner[*conn, *attempt](l))
	return l
}

// setServerState updates the state and the address of a server.
func (p *process) setServerState(now float64, id fleet.ServerID, addr string, state fleet.State) {
	p.servers.SetState(now, id, state)
	if p.member != nil && state == fleet.Gone {
		p.member.participant.RemoveServer(id)
	}
	l := p.links[id]
	for _, a := range l.pool.SetTarget(now, addr, state == fleet.Ready) {
		l.endAttemptLater(a, fleet.NotSent)
	}
}

// closeIdleServerConn closes the server connection that has been idle longest, to free its descriptor.
func (p *process) closeIdleServerConn() bool {
	var oldest *serverLink
	var oldestSince float64
	for _, l := range p.links {
		if since, found := l.pool.OldestUnused(); found && (oldest == nil || since < oldestSince) {
			oldest, oldestSince = l, since
		}
	}
	return oldest != nil && oldest.pool.CloseOldestUnused()
}

// closeIdleClientConn closes an idle client connection, to free its descriptor.
func (p *process) closeIdleClientConn() bool {
	if p.idleClients == 0 {
		return false
	}
	p.idleClients--
	p.descriptors.Release(fdlimit.Client)
	return true
}

// acquireClientConnection takes an idle client connection or opens a new one. It returns false if no descriptor is left.
func (p *process) acquireClientConnection() bool {
	if p.idleClients > 0 {
		p.idleClients--
		return true
	}
	return p.descriptors.Acquire(fdlimit.Client)
}

// releaseClientConnection returns the connection of a client's attempt to the idle ones, or closes it.
func (p *process) releaseClientConnection(a *clientAttempt, isClosed bool) {
	if !p.clientAttempts[a] {
		return
	}
	if delete(p.clientAttempts, a); isClosed || p.sim.experiment.Load.DropsConnections() {
		p.descriptors.Release(fdlimit.Client)
		return
	}
	p.idleClients++
}

// Send implements inflight.Dispatcher.
func (p *process) Send(now float64, server fleet.ServerID, x *exchange.Exchange, index int, timeoutMs, sendBy float64) *attempt {
	p.servers.AddAttempt(server)
	return p.links[server].startAttempt(now, x, index, timeoutMs, sendBy)
}

// Cancel implements inflight.Dispatcher.
func (p *process) Cancel(_ float64, server fleet.ServerID, a *attempt) {
	p.links[server].endAttemptLater(a, fleet.Cancelled)
}

// CancelUnsent implements inflight.Dispatcher.
func (p *process) CancelUnsent(_ float64, server fleet.ServerID, a *attempt) {
	if a.progress == exchange.NotConnected {
		p.links[server].endAttemptLater(a, fleet.Cancelled)
	}
}

// BodyComplete implements inflight.Dispatcher. It does nothing, as values that are forwarded in pieces are not simulated.
func (p *process) BodyComplete(float64, fleet.ServerID, *attempt, float64) {}

// CloseIdle implements inflight.Dispatcher.
func (p *process) CloseIdle(server fleet.ServerID) { p.links[server].pool.CloseUnused() }

// WatchList implements inflight.Dispatcher.
func (p *process) WatchList() { p.sim.discovery.startWatch(p) }

// PollList implements inflight.Dispatcher.
func (p *process) PollList() { p.sim.discovery.poll(p) }

// Admitted implements inflight.Dispatcher.
func (p *process) Admitted(*inflight.Entry[*attempt]) {}

// Released implements inflight.Dispatcher.
func (p *process) Released(_ float64, entry *inflight.Entry[*attempt]) {
	p.servers.ReleaseAttempts(entry.Request)
}
