package simulator

import (
	"math"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// fullListRevision is the revision by which a call requests the full list instead of changes.
const fullListRevision = -1

// discoveryService serves the endpoint list to nodes, as fakes.Discovery does on sockets.
type discoveryService struct {
	sim          *Simulation
	endpoints    servermodel.EndpointList
	unavailable  bool
	stalled      bool
	clockOffset  float64 // of server clocks, in ms; applies to entries that are published from now on
	stallCount   int     // number of stalls so far
	watches      []*watch
	stalledPolls []*watch // polls received during a stall
	callCount    int
}

// watch is one call of a node: a watch of the endpoint list, or a single poll.
type watch struct {
	process  *process
	revision int64 // of the list that the node holds
	closed   bool
}

// newDiscoveryService returns a service with all servers in its list.
func newDiscoveryService(s *Simulation) *discoveryService {
	d := &discoveryService{sim: s}
	for _, server := range s.servers {
		if server.Origin && s.experiment.Fleet.FetchThrough {
			continue // caches fetch from the origin themselves, so nodes need no entry for it
		}
		d.endpoints.Publish(0, servermodel.EndpointUpdate{Server: server.model.ID, Name: server.Name, Phase: servermodel.InService})
	}
	d.endpoints.Delay = s.experiment.Fleet.DiscoveryDelay.Milliseconds()
	return d
}

// startWatch starts a watch for a process and closes its previous one.
func (d *discoveryService) startWatch(p *process) {
	if p.watch != nil {
		p.watch.closed = true
	}
	w := &watch{process: p, revision: p.revision}
	if w.revision == 0 {
		w.revision = fullListRevision
	}
	p.watch = w
	d.callCount++
	d.sim.scheduleAfter(serverHopDelay, actionFunc(func() {
		if d.unavailable {
			w.fail()
			return
		}
		d.watches = append(d.watches, w)
		d.failIfStalled(w, discovery.DefaultIdleTimeout)
		d.notify(w)
	}))
}

// poll handles a single call for the full list.
func (d *discoveryService) poll(p *process) {
	d.callCount++
	d.sim.scheduleAfter(serverHopDelay, actionFunc(func() {
		w := &watch{process: p, revision: fullListRevision}
		switch {
		case d.unavailable:
			w.fail()
		case d.stalled:
			d.failIfStalled(w, discovery.DefaultIdleTimeout)
			d.stalledPolls = append(d.stalledPolls, w)
		default:
			d.notify(w)
		}
	}))
}

// isPending reports whether the process still waits for the call.
func (w *watch) isPending() bool { return !w.closed && !w.process.exited }

// fail ends a call with an error.
func (w *watch) fail() {
	w.closed = true
	p := w.process
	p.sim.scheduleAfter(serverHopDelay, p.whenRunning(func() {
		if !p.exited && (p.watch == w || p.watch == nil) {
			p.inflight.Policy.UpdateEndpoints(p.localNow(), fleet.ListFailed, nil)
			p.runDueWork()
		}
	}))
}

// notify sends the changes that are visible now, and schedules another call for when the next delayed change becomes visible.
func (d *discoveryService) notify(w *watch) {
	if !w.isPending() || d.stalled {
		return
	}
	updates, isComplete, listRevision, dueMs := d.endpoints.ChangesSince(w.revision, d.sim.nowMs())
	w.revision = listRevision
	var entries []discovery.Entry
	for _, u := range updates {
		d.recordNotification(w.process.node.index, &u)
		if isComplete && u.Phase == servermodel.Terminated {
			continue // a complete list omits terminated servers
		}
		entries = append(entries, d.sim.servers[u.Server].listEntry(&u))
	}
	if len(entries) > 0 || isComplete {
		d.sim.scheduleAfter(serverHopDelay, w.process.whenRunning(func() { w.deliver(entries, isComplete, listRevision) }))
	}
	if !math.IsInf(dueMs, 1) {
		d.sim.schedule(simTimeOf(dueMs), actionFunc(func() { d.notify(w) }))
	}
}

// recordNotification informs the checker that a node is notified of a change, and adds the notification to the result unless it belongs to
// the initial list.
func (d *discoveryService) recordNotification(node int, u *servermodel.EndpointUpdate) {
	sim := d.sim
	n := fakes.Notification{
		AtMs: sim.nowMs(), Node: servermodel.NodeID(node), Server: u.Server, Name: u.Name, Phase: u.Phase, StartedMs: u.Started,
	}
	sim.checker.NodeNotified(n)
	isInitialEntry := u.Phase == servermodel.InService && u.Started <= 0 && sim.nowMs() <= simTime(startupLead).ms()
	if !isInitialEntry { // the initial list would add one entry per server and node
		sim.result.Notifications = append(sim.result.Notifications, n)
	}
	sim.servers[u.Server].lastNotifiedStart[node] = u.Started
}

// listEntry returns the server's entry in the endpoint list.
func (s *server) listEntry(u *servermodel.EndpointUpdate) discovery.Entry {
	flavor := fakes.CacheKind
	if s.Origin {
		flavor = fakes.OriginKind
	}
	return discovery.Entry{
		ID: u.Name, HostPort: s.addr, Locality: s.Zone, Flavor: flavor, Cell: int32(s.Cell), Phase: u.Phase, Size: s.Size,
		UpSince: u.ListedStart(),
	}
}

// deliver passes entries of the list to the process.
func (w *watch) deliver(entries []discovery.Entry, isComplete bool, listRevision int64) {
	if !w.isPending() {
		return
	}
	p, mode := w.process, fleet.ListDelta
	p.revision = max(p.revision, listRevision)
	if isComplete {
		p.revision, mode = listRevision, fleet.ListFull
	}
	p.applyEndpoints(mode, entries)
	p.confirmedAt = p.localNow()
	p.runDueWork()
}

// notifyWatchers sends the visible changes to all pending watches.
func (d *discoveryService) notifyWatchers() {
	pending := d.watches[:0]
	for _, w := range d.watches {
		if w.isPending() {
			pending = append(pending, w)
		}
	}
	clear(d.watches[len(pending):])
	d.watches = pending
	for _, w := range pending {
		d.notify(w)
	}
}

// publish changes the entry of a server and notifies the watches.
func (d *discoveryService) publish(u servermodel.EndpointUpdate) {
	u.ClockOffset = d.clockOffset
	d.endpoints.Publish(d.sim.nowMs(), u)
	d.notifyWatchers()
}

// setUnavailable makes the service fail all calls, pending watches included, or restores it.
func (d *discoveryService) setUnavailable(unavailable bool) {
	if d.unavailable = unavailable; !unavailable {
		return
	}
	for _, w := range d.watches {
		if w.isPending() {
			w.fail()
		}
	}
	d.watches = nil
}

// setStalled stops all responses, or resumes the pending calls. A node detects the stall by missing heartbeats.
func (d *discoveryService) setStalled(stalled bool) {
	if stalled == d.stalled {
		return
	}
	d.stalled = stalled
	if !stalled {
		d.notifyWatchers()
		for _, w := range d.stalledPolls {
			d.notify(w)
		}
		d.stalledPolls = nil
		return
	}
	d.stallCount++
	for _, w := range d.watches {
		if w.isPending() {
			sinceHeartbeat := time.Duration(w.process.uniform() * float64(fakes.Heartbeat))
			d.failIfStalled(w, discovery.DefaultIdleTimeout-sinceHeartbeat)
		}
	}
}

// failIfStalled schedules the failure of a call, provided that the current stall lasts until then.
func (d *discoveryService) failIfStalled(w *watch, after time.Duration) {
	if !d.stalled {
		return
	}
	currentStall := d.stallCount
	d.sim.scheduleAfter(after, actionFunc(func() {
		if d.stalled && d.stallCount == currentStall && w.isPending() {
			w.fail()
		}
	}))
}
