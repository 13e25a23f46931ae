package simulator

import (
	"math"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// fullList is the revision that requests the full list instead of changes.
const fullList = -1

// discoveryService notifies nodes of servers, as fakes.Discovery does on sockets.
type discoveryService struct {
	sim          *Simulation
	endpoints    servermodel.EndpointList
	unavailable  bool
	stalled      bool
	clockOffset  float64 // of servers' clocks, in ms
	stallNumber  int     // grows with each stall
	watches      []*watch
	stalledPolls []*watch // polls that came during a stall
	callCount    int
}

// watch is one call of a node: a watch, or a poll.
type watch struct {
	process  *process
	revision int64 // that the node has
	closed   bool
}

// newDiscoveryService returns a service with all servers in its list.
func newDiscoveryService(s *Simulation) *discoveryService {
	d := &discoveryService{sim: s}
	for _, server := range s.servers {
		if server.Origin && s.experiment.Fleet.FetchThrough {
			continue // nobody needs it
		}
		d.endpoints.Publish(0, servermodel.EndpointUpdate{Server: server.model.ID, Name: server.Name, Phase: servermodel.InService})
	}
	d.endpoints.Delay = s.experiment.Fleet.DiscoveryDelay.Milliseconds()
	return d
}

// startWatch begins a watch of a process, in place of the one before.
func (d *discoveryService) startWatch(p *process) {
	if p.watch != nil {
		p.watch.closed = true
	}
	w := &watch{process: p, revision: p.revision}
	if w.revision == 0 {
		w.revision = fullList
	}
	p.watch = w
	d.callCount++
	d.sim.scheduleAfter(serverHop, actionFunc(func() {
		if d.unavailable {
			w.fail()
			return
		}
		d.watches = append(d.watches, w)
		d.failIfStalled(w, discovery.DefaultIdleTimeout)
		d.notify(w)
	}))
}

// poll answers a call for the whole list.
func (d *discoveryService) poll(p *process) {
	d.callCount++
	d.sim.scheduleAfter(serverHop, actionFunc(func() {
		w := &watch{process: p, revision: fullList}
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

// isOpen reports whether somebody still waits for the call.
func (w *watch) isOpen() bool { return !w.closed && !w.process.exited }

// fail ends a call with an error.
func (w *watch) fail() {
	w.closed = true
	p := w.process
	p.sim.scheduleAfter(serverHop, p.whenRunning(func() {
		if !p.exited && (p.watch == w || p.watch == nil) {
			p.inflight.Policy.UpdateEndpoints(p.localNow(), fleet.ListFailed, nil)
			p.runDueWork()
		}
	}))
}

// notify sends what is new, and does so again when a delayed change becomes visible.
func (d *discoveryService) notify(w *watch) {
	if !w.isOpen() || d.stalled {
		return
	}
	updates, isComplete, upTo, dueMs := d.endpoints.ChangesSince(w.revision, d.sim.nowMs())
	w.revision = upTo
	var entries []discovery.Entry
	for _, u := range updates {
		d.recordNotification(w.process.node.index, &u)
		if isComplete && u.Phase == servermodel.Terminated {
			continue // a complete list says so by leaving it out
		}
		entries = append(entries, d.sim.servers[u.Server].entry(&u))
	}
	if len(entries) > 0 || isComplete {
		d.sim.scheduleAfter(serverHop, w.process.whenRunning(func() { w.deliver(entries, isComplete, upTo) }))
	}
	if !math.IsInf(dueMs, 1) {
		d.sim.schedule(simTimeOf(dueMs), actionFunc(func() { d.notify(w) }))
	}
}

// recordNotification records a notification of a node.
func (d *discoveryService) recordNotification(node int, u *servermodel.EndpointUpdate) {
	sim := d.sim
	n := fakes.Notification{
		AtMs: sim.nowMs(), Node: servermodel.NodeID(node), Server: u.Server, Name: u.Name, Phase: u.Phase, StartedMs: u.Started,
	}
	sim.checker.NodeNotified(n)
	isFirstList := u.Phase == servermodel.InService && u.Started <= 0 && sim.nowMs() <= simTime(startupLead).ms()
	if !isFirstList { // of which there is one for each server and node
		sim.result.Notifications = append(sim.result.Notifications, n)
	}
	sim.servers[u.Server].notifiedStart[node] = u.Started
}

// entry is the server as a list has it.
func (s *server) entry(u *servermodel.EndpointUpdate) discovery.Entry {
	flavor := fakes.CacheKind
	if s.Origin {
		flavor = fakes.OriginKind
	}
	return discovery.Entry{
		ID: u.Name, HostPort: s.addr, Locality: s.Zone, Flavor: flavor, Cell: int32(s.Cell), Phase: u.Phase, Size: s.Size,
		UpSince: u.ListedStart(),
	}
}

// deliver hands entries of the list to the process.
func (w *watch) deliver(entries []discovery.Entry, isComplete bool, upTo int64) {
	if !w.isOpen() {
		return
	}
	p, mode := w.process, fleet.ListDelta
	p.revision = max(p.revision, upTo)
	if isComplete {
		p.revision, mode = upTo, fleet.ListFull
	}
	p.applyEndpoints(mode, entries)
	p.confirmedAt = p.localNow()
	p.runDueWork()
}

// notifyWatchers sends all watches what is new.
func (d *discoveryService) notifyWatchers() {
	open := d.watches[:0]
	for _, w := range d.watches {
		if w.isOpen() {
			open = append(open, w)
		}
	}
	clear(d.watches[len(open):])
	d.watches = open
	for _, w := range open {
		d.notify(w)
	}
}

// publish changes the list.
func (d *discoveryService) publish(u servermodel.EndpointUpdate) {
	u.ClockOffset = d.clockOffset
	d.endpoints.Publish(d.sim.nowMs(), u)
	d.notifyWatchers()
}

// setUnavailable makes every call fail and ends the watches, or has the service work again.
func (d *discoveryService) setUnavailable(unavailable bool) {
	if d.unavailable = unavailable; !unavailable {
		return
	}
	for _, w := range d.watches {
		if w.isOpen() {
			w.fail()
		}
	}
	d.watches = nil
}

// setStalled delays all responses, or resumes the calls. A node finds out when the next heartbeats have not come.
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
	d.stallNumber++
	for _, w := range d.watches {
		if w.isOpen() {
			sinceHeartbeat := time.Duration(w.process.uniform() * float64(fakes.Heartbeat))
			d.failIfStalled(w, discovery.DefaultIdleTimeout-sinceHeartbeat)
		}
	}
}

// failIfStalled has a call fail after some time if the present stall lasts till then.
func (d *discoveryService) failIfStalled(w *watch, after time.Duration) {
	if !d.stalled {
		return
	}
	stall := d.stallNumber
	d.sim.scheduleAfter(after, actionFunc(func() {
		if d.stalled && d.stallNumber == stall && w.isOpen() {
			w.fail()
		}
	}))
}
